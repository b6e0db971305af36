"""State of the engines from the platform's list, reports and failed probes.

The platform's list of instances shows a change of a group at once, but an
engine that stopped responding only after seconds. Reports that an engine sent
to this node cover the delay of the list, and failed probes mark an engine
before the list removes it. Placement of requests and orders rely on this view.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping

import attrs

from balsamlug import announcements
from balsamlug import catalogue as catalogues
from balsamlug import clock as clocks
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.health import evidence
from balsamlug.health import observations as obs

# Within this time the list shows what an engine announces.
LIST_DELAY_S = 3.0
# A report is older than the list when the list shows more orders. A report is
# not used for longer than an announcement takes to reach the list.
REPORT_LIFETIME_S = LIST_DELAY_S
# A report shows the state of some hundred milliseconds before, so it may lack
# the effect of an order that was accepted within this time.
REPORT_LAG_S = 1.0
# An engine that disappears from the list may only be partitioned from the
# platform. It is retained for this time, so that the lease holder of its domain
# can probe it.
UNLISTED_GRACE_S = 1.0
# How long a lease holder's message that a retained engine responds is valid.
RETENTION_S = 2.0
# A failed probe counts until the list must have removed the engine: three
# heartbeats of 1.2 s plus the interval of the watch.
FAILED_PROBE_LIFETIME_S = 5.0
# A sound engine may be silent for a second or so. While requests run that its
# repaired group could not go on with in time, the group is formed again only
# when the engine has not answered for this time after the first failed probe.
SILENCE_TOLERANCE_S = 1.2
# The holder of a lease probes suspects in less than this time. An older probe,
# as from before the lease was held, does not show that an engine is lost now.
MAX_EVIDENCE_AGE_S = 1.1
# A stream is resumed up to 1.7 s after its last event, and a probe of a silent
# head has failed 0.65 s after it.
QUICK_REPAIR_S = 0.8


@attrs.define
class Listed(Mapping):
    """Observations of all engines; a lost engine has a failed observation.

    Attributes:
      in_flight: returns how many requests run in a group.
      bound_requests: returns how many of them no other attempt may follow.
      is_retiring: returns whether a group is dissolved instead of repaired.
      counts_age_s: returns how old both numbers may be. Until then after a
        failed probe, other nodes may send requests that are not counted.
    """

    _state: fleet.FleetState
    _clock: clocks.Clock
    in_flight: Callable[[str], int] = lambda group: 0
    bound_requests: Callable[[str], int] = lambda group: 0
    is_retiring: Callable[[str], bool] = lambda group: False
    counts_age_s: Callable[[], float] = lambda: 0.0
    _reports: dict[str, evidence.Report] = attrs.field(factory=dict)
    _failed_probes: dict[str, evidence.FailedProbe] = attrs.field(factory=dict)
    _join_orders: dict[str, evidence.JoinOrder] = attrs.field(factory=dict)
    _previous: dict[str, tables.Instance] = attrs.field(factory=dict)
    # Address -> key of the latest incarnation that is listed there.
    _latest_starts: dict[str, tuple[int, str]] = attrs.field(factory=dict)
    _retained: dict[str, evidence.RetainedEngine] = attrs.field(factory=dict)
    _refreshed_s: float = 0.0
    _first_listed_s: float = float("inf")

    def refresh(self) -> None:
        """Retain engines that disappeared from the list since the last call."""
        now_s = self._clock.monotonic()
        listed = self._state.instances
        if listed:
            self._first_listed_s = min(self._first_listed_s, now_s)
        for name, previous in self._previous.items():
            if name not in listed and self._may_be_partitioned(previous):
                self._retained[name] = evidence.RetainedEngine(
                    previous, now_s + UNLISTED_GRACE_S, self._refreshed_s
                )
        self._refreshed_s = now_s
        for name in [n for n in self._retained if n in listed]:
            del self._retained[name]
        self._latest_starts = {}
        for instance in listed.values():
            key = tables.incarnation_key(instance.incarnation)
            latest = self._latest_starts.setdefault(instance.address, key)
            if key > latest:
                self._latest_starts[instance.address] = key
        self._previous = dict(listed)

    def _may_be_partitioned(self, previous: tables.Instance) -> bool:
        live = previous.state is tables.InstanceState.LIVE
        engine = previous.announcement is not None
        return live and engine and not self._has_failed_probe(previous)

    def retain(
        self, instance: str, announcement: tables.Announcement | None = None
    ) -> None:
        """Record that an unlisted engine responds to some node.

        Args:
          announcement: what the engine announced to that node.
        """
        retained = self._retained.get(instance)
        if retained is None:
            return
        now_s = self._clock.monotonic()
        newer, known_s = retained.instance, retained.known_s
        if (
            announcement is not None
            and announcement.orders >= newer.announcement.orders
        ):
            newer = attrs.evolve(newer, announcement=announcement)
            known_s = now_s
        self._retained[instance] = evidence.RetainedEngine(
            newer, now_s + RETENTION_S, known_s
        )

    def drop(self, instance: str) -> None:
        """Record that an unlisted engine does not respond."""
        self._retained.pop(instance, None)

    def retained(self) -> list[str]:
        """Return the unlisted engines that are assumed to be alive."""
        now_s = self._clock.monotonic()
        return [
            n
            for n, retained in self._retained.items()
            if now_s < retained.until_s
        ]

    def is_hidden(self, instance: str) -> bool:
        """Return whether an engine is retained but not in the list."""
        listed = instance in self._state.instances
        return not listed and self.listed_or_retained(instance) is not None

    def listed_or_retained(self, instance: str) -> tables.Instance | None:
        """Return an instance as the list shows or last showed it."""
        listed = self._state.instances.get(instance)
        if listed is not None:
            return listed
        retained = self._retained.get(instance)
        if retained is None or self._clock.monotonic() >= retained.until_s:
            return None
        return retained.instance

    def record_report(
        self, instance: str, incarnation: str, announcement: tables.Announcement
    ) -> None:
        """Record a report that an engine sent to this node.

        A report from before the last accepted order does not change the state.
        Otherwise that order would be sent again, and a join that is repeated
        starts from the beginning.
        """
        report = evidence.Report(
            incarnation, announcement, self._clock.monotonic()
        )
        if not self._precedes_order(instance, report):
            self._reports[instance] = report
        known = self.listed_or_retained(instance)
        if known is None or known.incarnation == incarnation:
            # Another server at the address may have answered instead.
            self._failed_probes.pop(instance, None)

    def _precedes_order(self, instance: str, report: evidence.Report) -> bool:
        known = self._reports.get(instance)
        if known is None or not known.expected:
            return False
        if known.incarnation != report.incarnation:
            return False
        if report.received_s - known.received_s >= REPORT_LAG_S:
            return False
        has_effect = announcements.group_key(
            report.announcement
        ) == announcements.group_key(known.announcement)
        fewer_orders = report.announcement.orders < known.announcement.orders
        return fewer_orders and not has_effect

    def record_join_order(
        self, instance: str, order: evidence.JoinOrder
    ) -> None:
        """Record that an order to join a group is about to be sent."""
        self._join_orders[instance] = order

    def unconfirmed_group(
        self, instance: str, group: str, generation: int
    ) -> tuple[str, int] | None:
        """Return another group that an order may have made an engine join.

        The response to that order may have been lost, and the list may not
        show the membership yet.
        """
        last = self._join_orders.get(instance)
        if last is None or (last.group, last.generation) == (group, generation):
            return None
        return last.group, last.generation

    def record_join(self, instance: str, membership: tables.Membership) -> None:
        """Record that an engine accepted an order to join a group."""
        self._expect_membership(instance, membership)

    def record_leave(
        self, instance: str, group: str, generation: int, fencing: int
    ) -> bool:
        """Record that an engine accepted an order to leave a group.

        An engine also accepts an order to leave a group that it is not in, and
        the list may be older than its last change.

        Returns:
          whether the engine is known to be in no group now: it was ordered to
          join that group last, in the same term of the lease.
        """
        last = self._join_orders.get(instance)
        if last is None or (last.group, last.generation) != (group, generation):
            return False
        del self._join_orders[instance]
        if last.fencing != fencing:
            return False
        self._expect_membership(instance, None)
        return True

    def _expect_membership(
        self, instance: str, membership: tables.Membership | None
    ) -> None:
        """Apply an accepted order before the engine reports its effect."""
        current = self.current(instance)
        if current is None or current.announcement is None:
            return
        announcement = current.announcement
        announcement = attrs.evolve(
            announcement, membership=membership, orders=announcement.orders + 1
        )
        self._reports[instance] = evidence.Report(
            current.incarnation,
            announcement,
            self._clock.monotonic(),
            expected=True,
        )
        self._failed_probes.pop(instance, None)

    def suspect(self, instance: str, refused: bool = False) -> bool:
        """Record a failed probe; return whether none was recorded before.

        Args:
          refused: whether the host refused the connection.
        """
        listed = self.listed_or_retained(instance)
        if listed is None:
            return False
        is_new = not self.is_suspect(instance)
        now_s = since_s = self._clock.monotonic()
        if self._has_failed_probe(listed):
            since_s = self._failed_probes[instance].since_s
        self._failed_probes[instance] = evidence.FailedProbe(
            listed.incarnation, now_s, since_s, refused
        )
        return is_new

    def restart_silence(self, instance: str) -> bool:
        """Count the silence of a suspect from now on, as its group progresses.

        It remains a suspect until it answers a probe.

        Returns:
          whether it is a suspect that did not refuse the connection.
        """
        known = self.listed_or_retained(instance)
        if known is None or not self._has_failed_probe(known):
            return False
        failed = self._failed_probes[instance]
        if failed.refused:
            return False
        self._failed_probes[instance] = attrs.evolve(
            failed, since_s=self._clock.monotonic()
        )
        return True

    def suspects(self) -> list[str]:
        """Return the engines that did not answer a recent probe."""
        suspects = [n for n in self._failed_probes if self.is_suspect(n)]
        self._failed_probes = {n: self._failed_probes[n] for n in suspects}
        return suspects

    def is_suspect(self, instance: str) -> bool:
        """Return whether an engine is listed but probably gone.

        A recent probe of it failed, or a server that started later is listed at
        its address.
        """
        known = self.listed_or_retained(instance)
        return known is not None and (
            self._has_failed_probe(known) or self._is_superseded(known)
        )

    def has_successor(self, instance: tables.Instance) -> bool:
        """Return whether a later incarnation is listed in place of another.

        It has the same id or the same address.
        """
        listed = self._state.instances.get(instance.id)
        if listed is not None and listed.incarnation != instance.incarnation:
            return True
        return self._is_superseded(instance)

    def _is_superseded(self, instance: tables.Instance) -> bool:
        latest = self._latest_starts.get(instance.address)
        key = tables.incarnation_key(instance.incarnation)
        return latest is not None and key < latest

    def _has_failed_probe(self, instance: tables.Instance) -> bool:
        failed = self._failed_probes.get(instance.id)
        if failed is None or failed.incarnation != instance.incarnation:
            return False
        age_s = self._clock.monotonic() - failed.failed_s
        return age_s < FAILED_PROBE_LIFETIME_S

    def current(self, instance: str) -> tables.Instance | None:
        """Return an instance with its newest known announcement."""
        newest = self.newest(instance)
        return newest.instance if newest is not None else None

    def newest(self, instance: str) -> evidence.Evidence | None:
        """Return what `current` returns, with its source."""
        listed = self.listed_or_retained(instance)
        if listed is None:
            return None
        report = self._reports.get(instance)
        if report is not None and self._overrides(report, listed):
            reported = attrs.evolve(
                listed,
                incarnation=report.incarnation,
                announcement=report.announcement,
            )
            source = evidence.Source.REPORT
            if report.expected:
                source = evidence.Source.ACCEPTED_ORDER
            return evidence.Evidence(reported, source, report.received_s)
        if instance in self._state.instances:
            return evidence.Evidence(
                listed, evidence.Source.LIST, self._refreshed_s
            )
        known_s = self._retained[instance].known_s
        return evidence.Evidence(listed, evidence.Source.RETAINED, known_s)

    def is_from_first_list(self, instance: str) -> bool:
        """Return whether an engine is known only from a list read first.

        It may lack changes from before this process started, also after some
        newer lists: the store may have returned from an older copy, in which
        engines appear anew one by one.
        """
        listed_s = self._clock.monotonic() - self._first_listed_s
        newest = self.newest(instance)
        is_listed = newest is None or newest.source is evidence.Source.LIST
        return is_listed and listed_s < LIST_DELAY_S

    def _overrides(
        self, report: evidence.Report, listed: tables.Instance
    ) -> bool:
        if listed.announcement is None:
            return False
        if self._clock.monotonic() - report.received_s >= REPORT_LIFETIME_S:
            return False
        if report.incarnation == listed.incarnation:
            return report.announcement.orders >= listed.announcement.orders
        # The engine was restarted, and the list does not show it yet.
        return tables.incarnation_key(
            report.incarnation
        ) > tables.incarnation_key(listed.incarnation)

    def is_complete(self, group: tables.Group) -> bool:
        """Return whether every member is in the group and the head serves.

        A head that is not in the list must receive no requests. Any other
        member may be missing from the list while it is retained.
        """
        if group.retiring or group.members[0] not in self._state.instances:
            return False
        if not self.has_size(group):
            return False
        return all(
            self._is_serving(group, rank, member)
            for rank, member in enumerate(group.members)
        )

    def has_size(self, group: tables.Group) -> bool:
        """Return whether a group has the size of its model.

        The size may have changed since the group was assigned. A model that is
        not configured gets no requests.
        """
        entry = self._model(group.members[0], group.model)
        return entry is None or entry[1].group_size == len(group.members)

    def _is_serving(self, group: tables.Group, rank: int, member: str) -> bool:
        current = self.current(member)
        if current is None or self.is_suspect(member):
            return False
        if current.state is not tables.InstanceState.LIVE:
            return False
        membership = announcements.membership_of(current)
        return announcements.is_member(
            membership, group, member
        ) and membership.state is (
            tables.MemberState.READY if rank else tables.MemberState.OPEN
        )

    def __getitem__(self, instance: str) -> obs.Observation:
        now_s = self._clock.monotonic()
        current = self.current(instance)
        if current is not None and self._may_be_sound(current):
            return obs.Observation(
                failure=obs.Failure.SILENT,
                failing_since_s=self._failed_probes[instance].since_s,
            )
        if current is None or self.is_suspect(instance):
            return obs.Observation(
                failure=obs.Failure.REFUSED, failing_since_s=float("-inf")
            )
        return obs.Observation(self._status(current), now_s)

    def _may_be_sound(self, instance: tables.Instance) -> bool:
        """Return whether a suspected engine may only be silent for a while."""
        if not self._has_failed_probe(instance):
            return False
        failed = self._failed_probes[instance.id]
        member = announcements.membership_of(instance)
        if failed.refused or member is None or self._is_superseded(instance):
            return False
        now_s = self._clock.monotonic()
        silent_s = now_s - failed.since_s
        if silent_s < min(self.counts_age_s(), SILENCE_TOLERANCE_S):
            return True
        if now_s - failed.failed_s >= MAX_EVIDENCE_AGE_S:
            return self.in_flight(member.group) > 0
        return silent_s < SILENCE_TOLERANCE_S and self._needs_engine(
            instance.id, member
        )

    def _needs_engine(self, instance: str, member: tables.Membership) -> bool:
        """Return whether requests end if their group loses an engine now.

        A request that another group takes no longer runs in this one.
        """
        if self.bound_requests(member.group) > 0:
            return True
        is_quick = (
            not self.is_retiring(member.group)
            and self._repair_s(instance, member.model) <= QUICK_REPAIR_S
        )
        return not is_quick and self.in_flight(member.group) > 0

    def _model(
        self, instance: str, name: str
    ) -> tuple[catalogues.Engine, catalogues.Model] | None:
        """Return a model of an engine's service, None if there is none."""
        current = self.current(instance)
        service = current.service if current is not None else ""
        return self._state.catalogue.model(service, name)

    def _repair_s(self, instance: str, model: str) -> float:
        """Return the time in which a staged spare replaces a member."""
        entry = self._model(instance, model)
        if entry is None:
            return 0.0
        engine, settings = entry
        return settings.warm_s + engine.form_ms / clocks.MS_PER_S

    def __iter__(self) -> Iterator[str]:
        return iter(self._state.instances)

    def __len__(self) -> int:
        return len(self._state.instances)

    def _status(self, current: tables.Instance) -> obs.EngineStatus:
        announcement = current.announcement or tables.Announcement()
        member = announcement.membership
        leaving = current.state is tables.InstanceState.LEAVING
        idle = obs.EngineState.IDLE
        return obs.EngineStatus(
            instance=current.id,
            incarnation=current.incarnation,
            state=obs.EngineState.DRAINING if leaving else idle,
            group=member.group if member else "",
            generation=member.generation if member else 0,
            rank=member.rank if member else 0,
            members=(),
            model=member.model if member else "",
            version="",
            load=obs.Load(
                running=self.in_flight(member.group) if member else 0
            ),
            load_age_ms=0,
            staged=announcement.staged,
            hidden=self.is_hidden(current.id),
        )
