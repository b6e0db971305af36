"""State of the engines from the platform's list, reports and failed probes.

The list announces a change of a group at once, but the silence of an engine
only after seconds. Reports that an engine gave this node fill in what the
list has not brought yet; failed probes tell of silence earlier.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping

import attrs

from balsamlug import clock as clocks
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.health import observations as obs

# A report is older than the list when the list has brought more orders, and
# it is not trusted for longer than an announcement takes to arrive.
REPORT_LIFETIME_S = 3.0
# An engine that leaves the list may only be cut off from it. It is kept for
# this time, until the holder of its domain has probed it.
VANISHED_S = 1.0
# What a holder tells of a kept engine holds for this time.
KEPT_S = 2.0
# A failed probe marks an engine until the list drops it: three heartbeats of
# 1.2 s, and the interval of the watch.
SUSPECT_S = 5.0


@attrs.frozen
class _Report:
    incarnation: str
    announcement: tables.Announcement
    received_s: float


@attrs.frozen
class _Kept:
    """An engine that is not in the list and may still answer."""

    instance: tables.Instance
    until_s: float


@attrs.define
class Listed(Mapping):
    """Observations of all engines; one that is lost is observed as failed.

    Attributes:
      in_flight: returns how many requests run in a group.
    """

    _state: fleet.FleetState
    _clock: clocks.Clock
    in_flight: Callable[[str], int] = lambda group: 0
    _reports: dict[str, _Report] = attrs.field(factory=dict)
    # instance id -> incarnation and time of the failed probe
    _suspects: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    # instance id -> group and generation that this node let it join last
    _ordered: dict[str, tuple[str, int]] = attrs.field(factory=dict)
    _before: dict[str, tables.Instance] = attrs.field(factory=dict)
    _kept: dict[str, _Kept] = attrs.field(factory=dict)

    def refresh(self) -> None:
        """Keep the engines that the list has lost since the last call."""
        now_s = self._clock.monotonic()
        listed = self._state.instances
        for name, before in self._before.items():
            if name not in listed and self._may_be_cut_off(before):
                self._kept[name] = _Kept(before, now_s + VANISHED_S)
        for name in [n for n in self._kept if n in listed]:
            del self._kept[name]
        self._before = dict(listed)

    def _may_be_cut_off(self, before: tables.Instance) -> bool:
        live = before.state is tables.InstanceState.LIVE
        engine = before.announcement is not None
        return live and engine and not self._is_marked(before)

    def keep(
        self, instance: str, told: tables.Announcement | None = None
    ) -> None:
        """Note that an unlisted engine answers a node.

        Args:
          told: what it announced to that node.
        """
        kept = self._kept.get(instance)
        if kept is None:
            return
        until_s = self._clock.monotonic() + KEPT_S
        newer = kept.instance
        if told is not None and told.orders >= newer.announcement.orders:
            newer = attrs.evolve(newer, announcement=told)
        self._kept[instance] = _Kept(newer, until_s)

    def drop(self, instance: str) -> None:
        """Note that an unlisted engine does not answer."""
        self._kept.pop(instance, None)

    def kept(self) -> list[str]:
        """Return the unlisted engines that are taken to be alive."""
        now_s = self._clock.monotonic()
        return [n for n, kept in self._kept.items() if now_s < kept.until_s]

    def is_hidden(self, instance: str) -> bool:
        """Return whether an engine is alive and not in the list."""
        listed = instance in self._state.instances
        return not listed and self._known(instance) is not None

    def _known(self, instance: str) -> tables.Instance | None:
        listed = self._state.instances.get(instance)
        if listed is not None:
            return listed
        kept = self._kept.get(instance)
        if kept is None or self._clock.monotonic() >= kept.until_s:
            return None
        return kept.instance

    def reported(
        self, instance: str, incarnation: str, told: tables.Announcement
    ) -> None:
        """Take a report that an engine gave this node."""
        now_s = self._clock.monotonic()
        self._reports[instance] = _Report(incarnation, told, now_s)
        self._suspects.pop(instance, None)

    def ordered(self, instance: str, group: str, generation: int) -> None:
        """Note that an order to join a group is about to be sent."""
        self._ordered[instance] = group, generation

    def unsettled(
        self, instance: str, group: str, generation: int
    ) -> tuple[str, int] | None:
        """Return another group that an engine may have joined by an order.

        The answer of that order may be missing, and the engine's next entry
        in the list still to come.
        """
        last = self._ordered.get(instance)
        return None if last == (group, generation) else last

    def joined(self, instance: str, membership: tables.Membership) -> None:
        """Note that an engine has accepted an order to join a group."""
        self.ordered(instance, membership.group, membership.generation)
        self._changed(instance, membership)

    def left(self, instance: str, group: str, generation: int) -> bool:
        """Note that an engine has accepted an order to leave a group.

        Returns:
          whether it is in no group now. It is not known when it was last
          ordered to join another one: an engine also accepts an order to
          leave a group that it is not in.
        """
        current = self.current(instance)
        if current is None or current.announcement is None:
            return False
        if self.unsettled(instance, group, generation) is not None:
            return False
        self._ordered.pop(instance, None)
        self._changed(instance, None)
        return True

    def _changed(
        self, instance: str, membership: tables.Membership | None
    ) -> None:
        """Take what an accepted order does before the engine tells it."""
        current = self.current(instance)
        if current is None or current.announcement is None:
            return
        told = current.announcement
        told = attrs.evolve(told, membership=membership, orders=told.orders + 1)
        self.reported(instance, current.incarnation, told)

    def suspect(self, instance: str) -> bool:
        """Note that an engine does not answer; return whether it is news."""
        listed = self._known(instance)
        if listed is None:
            return False
        news = not self.is_suspect(instance)
        now_s = self._clock.monotonic()
        self._suspects[instance] = listed.incarnation, now_s
        return news

    def is_suspect(self, instance: str) -> bool:
        """Return whether an engine of the list did not answer lately."""
        known = self._known(instance)
        return known is not None and self._is_marked(known)

    def _is_marked(self, instance: tables.Instance) -> bool:
        incarnation, since_s = self._suspects.get(instance.id, ("", 0.0))
        if not incarnation:
            return False
        fresh = self._clock.monotonic() - since_s < SUSPECT_S
        return fresh and instance.incarnation == incarnation

    def current(self, instance: str) -> tables.Instance | None:
        """Return an instance with the newest that is known of it."""
        listed = self._known(instance)
        report = self._reports.get(instance)
        if listed is None or report is None or listed.announcement is None:
            return listed
        if self._clock.monotonic() - report.received_s >= REPORT_LIFETIME_S:
            return listed
        if _order(report.incarnation) > _order(listed.incarnation):
            # It restarted, and the list has not told yet.
            return attrs.evolve(
                listed,
                incarnation=report.incarnation,
                announcement=report.announcement,
            )
        newer = report.announcement.orders >= listed.announcement.orders
        if newer and report.incarnation == listed.incarnation:
            return attrs.evolve(listed, announcement=report.announcement)
        return listed

    def is_whole(self, group: tables.Group) -> bool:
        """Return whether every member is in the group and the head serves.

        A head that is not in the list must get no requests; another member
        may be cut off from it.
        """
        if group.retiring or group.members[0] not in self._state.instances:
            return False
        return all(
            self._serves(group, rank, member)
            for rank, member in enumerate(group.members)
        )

    def _serves(self, group: tables.Group, rank: int, member: str) -> bool:
        current = self.current(member)
        if current is None or self.is_suspect(member):
            return False
        if current.state is not tables.InstanceState.LIVE:
            return False
        membership = membership_of(current)
        return is_member(membership, group) and membership.state is (
            tables.MemberState.READY if rank else tables.MemberState.OPEN
        )

    def __getitem__(self, instance: str) -> obs.Observation:
        now_s = self._clock.monotonic()
        current = self.current(instance)
        if current is None or self.is_suspect(instance):
            return obs.Observation(
                failure=obs.Failure.REFUSED, failing_since_s=float("-inf")
            )
        return obs.Observation(self._status(current), now_s)

    def __iter__(self) -> Iterator[str]:
        return iter(self._state.instances)

    def __len__(self) -> int:
        return len(self._state.instances)

    def _status(self, current: tables.Instance) -> obs.EngineStatus:
        told = current.announcement or tables.Announcement()
        member = told.membership
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
            staged=told.staged,
            hidden=self.is_hidden(current.id),
        )


def _order(incarnation: str) -> tuple[int, str]:
    """Return a key by which whole numbers in text sort by value."""
    return len(incarnation), incarnation


def membership_of(instance: tables.Instance) -> tables.Membership | None:
    """Return the group that an instance announces."""
    told = instance.announcement
    return told.membership if told is not None else None


def is_member(member: tables.Membership | None, group: tables.Group) -> bool:
    """Return whether a membership is of this generation of a group."""
    return member is not None and (member.group, member.generation) == (
        group.id,
        group.generation,
    )
