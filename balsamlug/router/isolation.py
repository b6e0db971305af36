"""Isolation of requests that are suspected of crashing upstreams.

A request that was in flight in a group when it crashed is suspected. It then
needs a permit and a group in which no other suspected request runs. After two
crashes it is quarantined: every copy of it is refused.
"""

import asyncio
import collections
from collections.abc import Callable
import functools
from typing import Protocol

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import quarantine as quarantines
from balsamlug import suspicions
from balsamlug import tables
from balsamlug.messages import types
from balsamlug.router import permits as permits_module
from balsamlug.router import scheduler as schedulers

# Requests here have no tests: the permit of a suspected one isolates it.
LIMITS = suspicions.Limits(quarantined=2, untested=2, late_tests=0)
NOT_RUN = "not_run"
RETRY_AFTER_MS = 1000
# Delay before the permit of a quarantined request is released. It exceeds the
# 1 s in which the suspicion reaches every node.
PERMIT_RELEASE_DELAY_S = 2.0
# A suspected request releases its claim on a group after this time when the
# group fails or has no free slot.
CLAIM_TIMEOUT_S = 2.0
# Time between attempts to claim a group while all of them run another
# suspected request.
CLAIM_RETRY_S = 0.2
# All streams of a crashed group end within this time and count as one crash.
CRASH_WINDOW_S = 5.0

# Group id and generation.
GroupKey = tuple[str, int]


class Placer(Protocol):
    """Scheduler interface that the quarantine needs."""

    async def place(self, work: schedulers.Work) -> schedulers.Start:
        """Return the start of the work, or raise its refusal."""

    def ready_groups(self, deployment: str) -> list[tables.GroupStatus]:
        """Return the groups in which work can start now."""

    def finished(self, work_id: str, outcome: str) -> None:
        """Release the slot of started work."""


@attrs.frozen
class InFlight:
    """A running attempt, its group and the fingerprint of its request."""

    group_id: str
    generation: int
    fingerprint: str


@attrs.define
class Isolation:
    """Isolate requests that were in flight in a group that crashed.

    Attributes:
      send: sends a message to the controller.
      permits: permit requests of this router.
    """

    _quarantine: quarantines.Quarantine
    _clock: clocks.Clock
    send: Callable[[types.Message], None]
    permits: permits_module.Permits
    _in_flight: dict[str, InFlight] = attrs.field(factory=dict)
    _crash_times: dict[GroupKey, float] = attrs.field(factory=dict)
    _fault_times: dict[GroupKey, float] = attrs.field(factory=dict)
    # group id -> id of the suspected work that claimed it
    _isolated: dict[str, str] = attrs.field(factory=dict)

    def crashes(self, fingerprint: str) -> int:
        """Return the number of crashes in which a fingerprint was in flight."""
        return self._quarantine.crashes(fingerprint)

    def check(self, fingerprint: str) -> None:
        """Refuse a quarantined fingerprint.

        Raises:
          Quarantined: the fingerprint was in flight in two crashes.
        """
        if self._quarantine.is_quarantined(fingerprint):
            raise exceptions.Quarantined(
                "the request was in flight in two upstream crashes"
            )

    def record_attempt(
        self, attempt_id: str, start: schedulers.Start, fingerprint: str
    ) -> None:
        """Record that an attempt runs in a group."""
        self._in_flight[attempt_id] = InFlight(
            start.group_id, start.generation, fingerprint
        )

    def remove_attempt(self, attempt_id: str) -> None:
        """Remove an attempt whose outcome has been handled."""
        self._in_flight.pop(attempt_id, None)

    def record_crash(self, group_id: str, generation: int, reason: str) -> None:
        """Suspect everything that was in flight in a crashed group."""
        self.report_fault(group_id, generation, reason)
        now_s = self._clock.monotonic()
        if not _record_first(self._crash_times, (group_id, generation), now_s):
            return
        fingerprints = {
            entry.fingerprint
            for entry in self._in_flight.values()
            if (entry.group_id, entry.generation) == (group_id, generation)
        }
        self._quarantine.record_crash(
            sorted(fingerprints), group_id, generation
        )

    def record_served(self, fingerprint: str, began_s: float) -> None:
        """Clear a fingerprint of the crashes before a complete answer."""
        self._quarantine.record_proof([fingerprint], began_s)

    def report_fault(self, group_id: str, generation: int, reason: str) -> None:
        """Report to the controller that a group does not serve."""
        now_s = self._clock.monotonic()
        if _record_first(self._fault_times, (group_id, generation), now_s):
            self.send(types.GroupFault(group_id, generation, reason))

    async def place(
        self, work: schedulers.Work, placer: Placer, interrupted: bool
    ) -> schedulers.Start:
        """Start work; suspected work only in a group without other suspects.

        The group and the permit of started suspected work must be released
        with `release`.

        Args:
          interrupted: the request ran before, so it waits for a permit instead
            of being refused without one.

        Raises:
          Refusal: quarantined, or refused by the scheduler.
        """
        while True:
            self.check(work.fingerprint)
            if self.crashes(work.fingerprint):
                return await self._place_suspect(work, placer, interrupted)
            start = await placer.place(work)
            if not self.crashes(work.fingerprint):
                return start
            # A copy of the request crashed another group while the request was
            # queued.
            placer.finished(work.id, NOT_RUN)

    def release(self, group_id: str, work: schedulers.Work) -> None:
        """Release the group and the permit of suspected work that ended."""
        if self._isolated.get(group_id) == work.id:
            self._release_group(group_id, work)
            self._release_permit(work)

    def _release_group(self, group_id: str, work: schedulers.Work) -> None:
        del self._isolated[group_id]
        self.permits.release(_group_key(group_id), work.id)

    def _release_permit(self, work: schedulers.Work) -> None:
        release = functools.partial(
            self.permits.release, work.fingerprint, work.id
        )
        if not self._quarantine.is_quarantined(work.fingerprint):
            release()
            return
        # Another router could otherwise get the permit before it is informed
        # of the second crash.
        asyncio.get_running_loop().call_later(PERMIT_RELEASE_DELAY_S, release)

    async def _place_suspect(
        self, work: schedulers.Work, placer: Placer, interrupted: bool
    ) -> schedulers.Start:
        remaining_s = work.deadline_s - self._clock.monotonic()
        try:
            async with asyncio.timeout(remaining_s):
                await self.permits.acquire(
                    work.fingerprint, work.id, interrupted
                )
                return await self._place_permitted(work, placer)
        except TimeoutError as exc:
            raise exceptions.DeadlineUnreachable(
                "waited for a permit or a group without a suspected request",
                RETRY_AFTER_MS,
            ) from exc

    async def _place_permitted(
        self, work: schedulers.Work, placer: Placer
    ) -> schedulers.Start:
        claims: collections.Counter[str] = collections.Counter()
        try:
            while True:
                group_id = await self._claim_group(work, placer, claims)
                claims[group_id] += 1
                start = await self._place_in_group(group_id, work, placer)
                if start is not None:
                    return start
        except BaseException:
            self._release_permit(work)
            raise

    async def _claim_group(
        self,
        work: schedulers.Work,
        placer: Placer,
        claims: collections.Counter[str],
    ) -> str:
        """Claim a group in which no router runs suspected work.

        The group needs a permit like a fingerprint does, because suspected
        requests of different routers must not share a group either.
        """
        while True:
            self.check(work.fingerprint)
            groups = self._claimable_groups(work, placer)
            # Groups that were claimed before but did not start the work are
            # tried last.
            for group_id in sorted(groups, key=claims.__getitem__):
                if group_id in self._isolated:
                    # Other suspected work claimed it during a request for a
                    # permit of this one.
                    continue
                # Keeps other suspected work of this router from claiming the
                # group while the permit is requested.
                self._isolated[group_id] = work.id
                key = _group_key(group_id)
                if await self._acquire_group(key, group_id, work):
                    return group_id
            await asyncio.sleep(CLAIM_RETRY_S)

    async def _acquire_group(
        self, key: str, group_id: str, work: schedulers.Work
    ) -> bool:
        granted = False
        try:
            granted = await self.permits.try_acquire(key, work.id)
        finally:
            if not granted:
                del self._isolated[group_id]
        return granted

    async def _place_in_group(
        self, group_id: str, work: schedulers.Work, placer: Placer
    ) -> schedulers.Start | None:
        """Start work in one group, or return None when it did not start."""
        ready = placer.ready_groups(work.deployment)
        others = {g.group_id for g in ready} - {group_id}
        restricted_work = attrs.evolve(work, exclude=work.exclude | others)
        start = None
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                start = await placer.place(restricted_work)
        except TimeoutError:
            return None
        finally:
            if start is None or start.group_id != group_id:
                self._release_group(group_id, work)
        if start.group_id == group_id:
            return start
        # Another group became ready while the work was queued, and the work
        # started there.
        placer.finished(work.id, NOT_RUN)
        return None

    def _claimable_groups(
        self, work: schedulers.Work, placer: Placer
    ) -> list[str]:
        """Return groups without suspected work, the least loaded first.

        Raises:
          NoReadyGroup: no group is ready, with or without suspected work.
        """
        ready = [
            group
            for group in placer.ready_groups(work.deployment)
            if group.group_id not in work.exclude
        ]
        if not ready:
            raise exceptions.NoReadyGroup("no group is ready", RETRY_AFTER_MS)
        ready.sort(key=lambda g: g.load.running + g.load.queued)
        return [g.group_id for g in ready if g.group_id not in self._isolated]


def _group_key(group_id: str) -> str:
    """Return the key under which the permit of a group is requested."""
    return f"group {group_id}"


def _record_first(
    event_times: dict[GroupKey, float], key: GroupKey, now_s: float
) -> bool:
    """Record an event; return whether it is the first in the window."""
    for other, time_s in list(event_times.items()):
        if now_s - time_s > CRASH_WINDOW_S:
            del event_times[other]
    if key in event_times:
        return False
    event_times[key] = now_s
    return True
