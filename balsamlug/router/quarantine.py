"""Requests that crash upstreams: suspicion, isolation and quarantine."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
from typing import Protocol

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import state
from balsamlug.messages import types
from balsamlug.router import scheduler as schedulers

QUARANTINE_CRASHES = 2
NOT_RUN = "not_run"
RETRY_AFTER_MS = 1000
# All streams of a group break within this time of its crash and count once.
CRASH_WINDOW_S = 5.0

# group id and generation
GroupKey = tuple[str, int]


class Placer(Protocol):
    """Scheduling of work."""

    def report_fault(self, group_id: str, generation: int, reason: str) -> None:
        """Tell the controller that a group does not serve."""
        now_s = self._clock.monotonic()
        if _first(self._reported, (group_id, generation), now_s):
            self.send(types.GroupFault(group_id, generation, reason))

    async def place(self, work: schedulers.Work) -> schedulers.Start:
        """Return the start of work, or raise its refusal."""

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
    _in_flight: dict[str, InFlight] = attrs.field(factory=dict)
    _counted: dict[GroupKey, float] = attrs.field(factory=dict)
    _reported: dict[GroupKey, float] = attrs.field(factory=dict)
    # group id -> fingerprint of the suspect that runs there
    _isolated: dict[str, str] = attrs.field(factory=dict)
    # deployment -> held by the suspect that waits for placement
    _turns: dict[str, asyncio.Lock] = attrs.field(
        factory=lambda: collections.defaultdict(asyncio.Lock)
    )
    _freed: asyncio.Condition = attrs.field(factory=asyncio.Condition)

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
        self, work: schedulers.Work, placer: Placer
    ) -> schedulers.Start:
        """Place work, a suspect only where no other suspect runs.

        A suspect's group must be freed with `release`.

        Raises:
          Refusal: quarantined, or refused by the scheduler.
        """
        while True:
            self.check(work.fingerprint)
            if self.crashes(work.fingerprint):
                return await self._place_suspect(work, placer)
            start = await placer.place(work)
            if not self.crashes(work.fingerprint):
                return start
            # A copy of it crashed another group while this one was queued.
            placer.finished(work.id, NOT_RUN)

    async def release(self, group_id: str, fingerprint: str) -> None:
        """Let another suspect use a group."""
        if self._isolated.get(group_id) == fingerprint:
            del self._isolated[group_id]
            async with self._freed:
                self._freed.notify_all()

    async def _place_suspect(
        self, work: schedulers.Work, placer: Placer
    ) -> schedulers.Start:
        remaining_s = work.deadline_s - self._clock.monotonic()
        try:
            turn = self._turns[work.deployment]
            async with asyncio.timeout(remaining_s), turn:
                await self._wait_for_group(work)
                self.check(work.fingerprint)
                await request_permit(work.fingerprint)
                exclude = work.exclude | self._isolated.keys()
                start = await placer.place(attrs.evolve(work, exclude=exclude))
                self._isolated[start.group_id] = work.fingerprint
                return start
        except TimeoutError as exc:
            raise exceptions.DeadlineUnreachable(
                "waited for a group without another suspected request",
                RETRY_AFTER_MS,
            ) from exc

    async def _wait_for_group(self, work: schedulers.Work) -> None:
        async with self._freed:
            while not self._has_room(work):
                with contextlib.suppress(TimeoutError):
                    # Groups also become ready without a notification.
                    await asyncio.wait_for(self._freed.wait(), 0.1)

    def _has_room(self, work: schedulers.Work) -> bool:
        if work.fingerprint in self._isolated.values():
            return False
        ready = self._fleet.ready_groups(
            work.deployment, self._clock.monotonic()
        )
        candidates = {g.group_id for g in ready} - work.exclude
        # Without any candidate the scheduler words the refusal.
        return not candidates or bool(candidates - self._isolated.keys())


async def request_permit(fingerprint: str) -> None:
    """Ask the fingerprint's home node for a permit to run a suspect.

    The home node is not asked yet: this router alone runs one copy of a
    suspected fingerprint at a time.
    """
    del fingerprint


def _first(seen: dict[GroupKey, float], key: GroupKey, now_s: float) -> bool:
    """Return whether a group was not seen in the window, and note it."""
    for other, seen_s in list(seen.items()):
        if now_s - seen_s > CRASH_WINDOW_S:
            del seen[other]
    if key in seen:
        return False
    seen[key] = now_s
    return True
