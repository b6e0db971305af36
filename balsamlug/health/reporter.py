"""Publish readiness reports of the groups that this node probes."""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from balsamlug import clock as clocks
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.health import readiness
from balsamlug.messages import types
from balsamlug.ownership import candidates
from balsamlug.ownership import groups as group_table

PROBERS_PER_GROUP = 2
# Three reports are sent in the lifetime of a report, so that one lost report
# does not take a group out of service.
REPORT_INTERVAL_S = 1.0


@attrs.frozen
class ProbedGroup:
    """A group and its draining members from the domain object."""

    group: tables.Group
    draining: Mapping[str, str]


class Reporter:
    """Evaluate the groups of this node and publish changed reports."""

    def __init__(
        self, node: str, state: fleet.FleetState, clock: clocks.Clock
    ) -> None:
        self._node = node
        self._state = state
        self._clock = clock
        self._groups = group_table.Cache(state)
        self._ranking = candidates.Ranking(node, state)
        self._sent: dict[str, tuple[float, types.GroupReport]] = {}

    def groups(self, watched: Container[str] = ()) -> list[ProbedGroup]:
        """Return the groups this node probes.

        Args:
          watched: ids of groups that it probes as lease holder of a domain.
        """
        self._ranking.refresh()
        return [
            ProbedGroup(group, self._draining(domain))
            for domain, group in self._groups.all()
            if group.id in watched or self._is_prober(group)
        ]

    def _is_prober(self, group: tables.Group) -> bool:
        region = _region(self._state, group)
        rank = self._ranking.rank(f"probe:{group.id}", region)
        return rank < PROBERS_PER_GROUP

    def tick(
        self,
        observations: Mapping,
        address: Callable[[str], str],
        watched: Container[str] = (),
    ) -> None:
        """Publish reports that changed or are due again.

        Args:
          address: returns the address of an instance, used for the head.
        """
        now_s = self._clock.monotonic()
        probed = self.groups(watched)
        leaving = _leaving(self._state, probed)
        for item in probed:
            inputs = readiness.ReadinessInputs(
                observations, leaving, item.draining
            )
            head = address(item.group.members[0])
            self._publish(
                readiness.report(item.group, inputs, self._node, head, now_s),
                now_s,
            )
        unprobed = self._sent.keys() - {item.group.id for item in probed}
        for group_id in unprobed:
            del self._sent[group_id]

    def _publish(self, report: types.GroupReport, now_s: float) -> None:
        sent_at_s, last = self._sent.get(report.group_id, (0.0, None))
        due = last is None or now_s - sent_at_s >= REPORT_INTERVAL_S
        if not due and _readiness_key(report) == _readiness_key(last):
            return
        # A report whose observation is older than the last one is not accepted
        # and not recorded, so the next tick sends a report again.
        if self._state.publish(report, now_s):
            self._sent[report.group_id] = now_s, report

    def _draining(self, domain: str) -> Mapping[str, str]:
        return self._state.domains[domain].value.get("draining", {})


def _readiness_key(report: types.GroupReport) -> tuple:
    return (
        report.generation,
        report.ready,
        report.definite,
        report.reason,
        report.head_address,
    )


def _region(state: fleet.FleetState, group: tables.Group) -> str:
    head = state.instances.get(group.members[0])
    return head.region if head is not None else ""


def _leaving(
    state: fleet.FleetState, probed: Iterable[ProbedGroup]
) -> frozenset[str]:
    members = {m for item in probed for m in item.group.members}
    return frozenset(
        m
        for m in members
        if (instance := state.instances.get(m)) is not None
        and instance.state is tables.InstanceState.LEAVING
    )
