"""Requests that crash upstreams: suspicion, isolation and quarantine."""

import asyncio
import collections
from collections.abc import Callable
import functools
from typing import Protocol

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import state
from balsamlug import tables
from balsamlug.messages import types
from balsamlug.router import permits as permits_module
from balsamlug.router import scheduler as schedulers

QUARANTINE_CRASHES = 2
NOT_RUN = "not_run"
RETRY_AFTER_MS = 1000
# Suspicion reaches every node within 1 s; the permit is kept for longer.
KEEP_PERMIT_S = 2.0
# A group that breaks or stays full while a suspect waits for it alone is
# given up after this time.
CLAIM_HOLD_S = 2.0
# How soon a suspect asks again when every group runs another one.
CLAIM_AGAIN_S = 0.2
# All streams of a group break within this time of its crash and count once.
CRASH_WINDOW_S = 5.0

# group id and generation
GroupKey = tuple[str, int]


class Placer(Protocol):
    """Scheduling of work."""

    async def place(self, work: schedulers.Work) -> schedulers.Start:
        """Return the start of work, or raise its refusal."""

    def ready_groups(self, deployment: str) -> list[tables.GroupStatus]:
        """Return the groups that work can start in now."""

    def finished(self, work_id: str, outcome: str) -> None:
        """Release what the started work holds."""


@attrs.frozen
class InFlight:
    """One attempt and what it runs."""

    group_id: str
    generation: int
    fingerprint: str


@attrs.define
class Quarantine:
    """Know which fingerprints were in flight in groups that crashed.

    Attributes:
      send: sends a message to the controller.
    """

    _fleet: state.FleetState
    _clock: clocks.Clock
    send: Callable[[types.Message], None]
    permits: permits_module.Permits
    _in_flight: dict[str, InFlight] = attrs.field(factory=dict)
    _counted: dict[GroupKey, float] = attrs.field(factory=dict)
    _reported: dict[GroupKey, float] = attrs.field(factory=dict)
    # group id -> id of the suspected work that runs there
    _isolated: dict[str, str] = attrs.field(factory=dict)

    def crashes(self, fingerprint: str) -> int:
        """Return in how many crashes a fingerprint was in flight."""
        suspicion = self._fleet.suspicions.get(fingerprint)
        return suspicion.crashes if suspicion is not None else 0

    def check(self, fingerprint: str) -> None:
        """Refuse a quarantined fingerprint.

        Raises:
          Quarantined: it was in flight in two crashes.
        """
        if self.crashes(fingerprint) >= QUARANTINE_CRASHES:
            raise exceptions.Quarantined(
                "the request was in flight in two upstream crashes"
            )

    def enter(self, attempt_id: str, start: schedulers.Start, fp: str) -> None:
        """Note that an attempt runs in a group."""
        self._in_flight[attempt_id] = InFlight(
            start.group_id, start.generation, fp
        )

    def leave(self, attempt_id: str) -> None:
        """Note that an attempt has ended and was judged."""
        self._in_flight.pop(attempt_id, None)

    def crashed(self, group_id: str, generation: int, reason: str) -> None:
        """Suspect everything that was in flight in a crashed group."""
        self.report_fault(group_id, generation, reason)
        now_s = self._clock.monotonic()
        if not _first(self._counted, (group_id, generation), now_s):
            return
        fingerprints = {
            entry.fingerprint
            for entry in self._in_flight.values()
            if (entry.group_id, entry.generation) == (group_id, generation)
        }
        for fingerprint in fingerprints:
            count = self.crashes(fingerprint) + 1
            update = types.SuspicionUpdate(fingerprint, count, 0)
            self._fleet.publish(update, now_s)
            self.send(update)

    def report_fault(self, group_id: str, generation: int, reason: str) -> None:
        """Tell the controller that a group does not serve."""
        now_s = self._clock.monotonic()
        if _first(self._reported, (group_id, generation), now_s):
            self.send(types.GroupFault(group_id, generation, reason))

    async def place(
        self, work: schedulers.Work, placer: Placer, interrupted: bool
    ) -> schedulers.Start:
        """Place work, a suspect only where no other suspect runs.

        What a started suspect holds must be freed with `release`.

        Args:
          interrupted: the request ran before, so it waits for a permit.

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
            # A copy of it crashed another group while this one was queued.
            placer.finished(work.id, NOT_RUN)

    def release(self, group_id: str, work: schedulers.Work) -> None:
        """Free the group and the permit of a suspect that has ended."""
        if self._isolated.get(group_id) == work.id:
            self._free(group_id, work)
            self._give_back(work)

    def _free(self, group_id: str, work: schedulers.Work) -> None:
        del self._isolated[group_id]
        self.permits.release(_group_key(group_id), work.id)

    def _give_back(self, work: schedulers.Work) -> None:
        release = functools.partial(
            self.permits.release, work.fingerprint, work.id
        )
        if self.crashes(work.fingerprint) < QUARANTINE_CRASHES:
            release()
            return
        # Another router could get the permit before it hears of the crash.
        asyncio.get_running_loop().call_later(KEEP_PERMIT_S, release)

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
        waited: collections.Counter[str] = collections.Counter()
        try:
            while True:
                group_id = await self._claim_group(work, placer, waited)
                waited[group_id] += 1
                start = await self._place_in(group_id, work, placer)
                if start is not None:
                    return start
        except BaseException:
            self._give_back(work)
            raise

    async def _claim_group(
        self,
        work: schedulers.Work,
        placer: Placer,
        waited: collections.Counter[str],
    ) -> str:
        """Return a group where no router runs a suspect.

        Its home node is asked like that of a fingerprint, because suspects
        of different routers must not meet either.
        """
        while True:
            self.check(work.fingerprint)
            groups = self._free_groups(work, placer)
            # Groups that did not start it so far come last.
            for group_id in sorted(groups, key=waited.__getitem__):
                # No second suspect of this router asks for it meanwhile.
                self._isolated[group_id] = work.id
                key = _group_key(group_id)
                if await self._try_claim(key, group_id, work):
                    return group_id
            await asyncio.sleep(CLAIM_AGAIN_S)

    async def _try_claim(
        self, key: str, group_id: str, work: schedulers.Work
    ) -> bool:
        granted = False
        try:
            granted = await self.permits.try_acquire(key, work.id)
        finally:
            if not granted:
                del self._isolated[group_id]
        return granted

    async def _place_in(
        self, group_id: str, work: schedulers.Work, placer: Placer
    ) -> schedulers.Start | None:
        """Start work in one group; None when it did not start there."""
        ready = placer.ready_groups(work.deployment)
        others = {g.group_id for g in ready} - {group_id}
        only_here = attrs.evolve(work, exclude=work.exclude | others)
        start = None
        try:
            async with asyncio.timeout(CLAIM_HOLD_S):
                start = await placer.place(only_here)
        except TimeoutError:
            return None
        finally:
            if start is None or start.group_id != group_id:
                self._free(group_id, work)
        if start.group_id == group_id:
            return start
        # The other group became ready while the work was queued.
        placer.finished(work.id, NOT_RUN)
        return None

    def _free_groups(self, work: schedulers.Work, placer: Placer) -> list[str]:
        """Return groups to ask for, the least loaded first.

        Raises:
          NoReadyGroup: none is ready, whether free or not.
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
    return f"group {group_id}"


def _first(seen: dict[GroupKey, float], key: GroupKey, now_s: float) -> bool:
    """Return whether a group was not seen in the window, and note it."""
    for other, seen_s in list(seen.items()):
        if now_s - seen_s > CRASH_WINDOW_S:
            del seen[other]
    if key in seen:
        return False
    seen[key] = now_s
    return True
