"""Find lost members when a stream falls silent.

The platform's list drops a dead engine only after seconds, and the head of
its group stalls without saying so. A silent stream is the first sign; a probe
of every member then tells which one is lost.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import tables
from balsamlug.health import listed as listing

# Four passes of a full batch; a preempted request can be silent for longer.
SILENCE_S = 0.35
# A report needs no slot. Two round trips within a region take 6 ms.
PROBE_TIMEOUT_S = 0.3
# A group is probed at most this often because of silence.
PROBE_INTERVAL_S = 0.6
# When no upstream has answered this node for longer, its own path is cut.
OWN_PATH_S = 1.0

# Returns incarnation and announcement of the engine at an address.
FetchReport = Callable[[str], Awaitable[tuple[str, tables.Announcement]]]


@attrs.define(eq=False)
class Detector:
    """Probe groups on suspicion and keep what was found.

    Attributes:
      on_lost: told the instance that was found not to answer.
    """

    _listed: listing.Listed
    _clock: clocks.Clock
    _fetch: FetchReport
    on_lost: Callable[[str], None] = lambda instance: None
    heard_s: float = float("-inf")
    _checks: dict[tuple[str, int], tuple[float, asyncio.Task]] = attrs.field(
        factory=dict
    )
    _probes: dict[str, asyncio.Task] = attrs.field(factory=dict)

    def heard(self) -> None:
        """Note that some upstream sent something."""
        self.heard_s = self._clock.monotonic()

    async def is_lost(self, group: tables.Group, reason: str) -> bool:
        """Return whether a member of a group does not answer."""
        now_s = self._clock.monotonic()
        key = group.id, group.generation
        started_s, task = self._checks.get(key, (float("-inf"), None))
        if task is None or now_s - started_s >= PROBE_INTERVAL_S:
            task = asyncio.create_task(self._check(group, reason))
            self._checks[key] = now_s, task
        return await asyncio.shield(task)

    async def verify(self, instance: str) -> bool:
        """Probe one engine and return whether it answers."""
        task = self._probes.get(instance)
        if task is None:
            task = asyncio.create_task(self._probe(instance))
            self._probes[instance] = task
            task.add_done_callback(lambda t: self._probes.pop(instance, None))
        return await asyncio.shield(task)

    async def _check(self, group: tables.Group, reason: str) -> bool:
        answers = await asyncio.gather(*(self.verify(m) for m in group.members))
        silent = [
            m for m, a in zip(group.members, answers, strict=True) if not a
        ]
        trusted = any(answers) or self._path_works()
        eliot.log_message(
            "group_probed",
            group=group.id,
            generation=group.generation,
            reason=reason,
            silent=silent,
            trusted=trusted,
        )
        if trusted:
            for instance in silent:
                self._lost(instance)
        return bool(silent) and trusted

    def _path_works(self) -> bool:
        return self._clock.monotonic() - self.heard_s < OWN_PATH_S

    def _lost(self, instance: str) -> None:
        if self._listed.suspect(instance):
            eliot.log_message("instance_suspected", instance=instance)
            self.on_lost(instance)

    async def _probe(self, instance: str) -> bool:
        current = self._listed.current(instance)
        if current is None:
            return False
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                incarnation, told = await self._fetch(current.address)
        except (exceptions.BalsamlugError, TimeoutError, OSError) as exc:
            eliot.log_message(
                "probe_failed", instance=instance, error=type(exc).__name__
            )
            return False
        self.heard()
        self._listed.record_report(instance, incarnation, told)
        return incarnation == current.incarnation
