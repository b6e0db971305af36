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
# A failed probe marks an engine until the list drops it: three heartbeats of
# 1.2 s, and the interval of the watch.
SUSPECT_S = 5.0


@attrs.frozen
class _Report:
    incarnation: str
    announcement: tables.Announcement
    received_s: float


@attrs.define
class Listed(Mapping):
    """Observations of all engines; an unlisted one is observed as lost.

    Attributes:
      in_flight: returns how many requests run in a group.
    """

    _state: fleet.FleetState
    _clock: clocks.Clock
    in_flight: Callable[[str], int] = lambda group: 0
    _reports: dict[str, _Report] = attrs.field(factory=dict)
    # instance id -> incarnation and time of the failed probe
    _suspects: dict[str, tuple[str, float]] = attrs.field(factory=dict)

    def reported(
        self, instance: str, incarnation: str, told: tables.Announcement
    ) -> None:
        """Take a report that an engine gave this node."""
        now_s = self._clock.monotonic()
        self._reports[instance] = _Report(incarnation, told, now_s)
        self._suspects.pop(instance, None)

    def left(self, instance: str) -> None:
        """Note that an engine has carried out an order to leave."""
        current = self.current(instance)
        if current is None or current.announcement is None:
            return
        told = attrs.evolve(current.announcement, membership=None)
        told = attrs.evolve(told, orders=told.orders + 1)
        self.reported(instance, current.incarnation, told)

    def suspect(self, instance: str) -> bool:
        """Note that an engine does not answer; return whether it is news."""
        listed = self._state.instances.get(instance)
        if listed is None:
            return False
        news = not self.is_suspect(instance)
        now_s = self._clock.monotonic()
        self._suspects[instance] = listed.incarnation, now_s
        return news

    def is_suspect(self, instance: str) -> bool:
        """Return whether an engine of the list did not answer lately."""
        incarnation, since_s = self._suspects.get(instance, ("", 0.0))
        listed = self._state.instances.get(instance)
        if not incarnation or listed is None:
            return False
        fresh = self._clock.monotonic() - since_s < SUSPECT_S
        return fresh and listed.incarnation == incarnation

    def current(self, instance: str) -> tables.Instance | None:
        """Return an instance with the newest that is known of it."""
        listed = self._state.instances.get(instance)
        report = self._reports.get(instance)
        if listed is None or report is None or listed.announcement is None:
            return listed
        age_s = self._clock.monotonic() - report.received_s
        newer = report.announcement.orders >= listed.announcement.orders
        same = report.incarnation == listed.incarnation
        if same and newer and age_s < REPORT_LIFETIME_S:
            return attrs.evolve(listed, announcement=report.announcement)
        return listed

    def is_whole(self, group: tables.Group) -> bool:
        """Return whether every member is in the group and the head serves."""
        if group.retiring:
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
        )


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
