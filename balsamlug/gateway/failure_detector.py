"""Failure detection: probe the members of a group when a stream is idle.

The platform's list drops a failed engine only after seconds, and the head of
its group stalls without an error. A stream without events is the first symptom;
a probe of every member then finds the one that failed.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import math

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import tables
from balsamlug import timeouts
from balsamlug.health import listed as listing

# Four passes of a full batch. A preempted request can be without events for
# longer.
SILENCE_TIMEOUT_S = 0.35
# The first event is overdue after this multiple of its expected time, plus
# `SILENCE_TIMEOUT_S`.
FIRST_EVENT_FACTOR = 2.0
# A report needs no slot of the engine. Two round trips within a region take
# 6 ms.
PROBE_TIMEOUT_S = 0.3
# While this node has no path, two other nodes try to connect, one after the
# other (`paths.connector.OPINIONS`).
PROBE_TIMEOUT_WITHOUT_PATH_S = 0.55
# A probe that ends this much later than its extended timeout shows that this
# process was paused. The answer may have arrived meanwhile.
MAX_LATENESS_S = 0.1
# Minimum time between two probes of a group.
PROBE_INTERVAL_S = 0.6
# If no upstream has answered this node for this time, its own network path is
# assumed to be interrupted.
LOCAL_PATH_TIMEOUT_S = 1.0

# Returns the incarnation and announcement of an engine at its address.
FetchReport = Callable[[str, str], Awaitable[tuple[str, tables.Announcement]]]


def first_event_timeout_s(expected_s: float) -> float:
    """Return the time without an event after which a group is probed.

    Args:
      expected_s: expected time to the first event.
    """
    return SILENCE_TIMEOUT_S + FIRST_EVENT_FACTOR * expected_s


@attrs.define(eq=False)
class Detector:
    """Probe suspected groups and record the results.

    Attributes:
      on_lost: called with an instance that was found to be unresponsive.
      on_answered: called with a suspect that answers after its group has
        progressed.
      on_probe: called with each instance that is sent a probe.
      is_path_up: returns whether this node's path is up, after an upstream at
        an address has not answered since a monotonic time.
      was_path_lost_since: returns whether the loss of this node's path became
        known at or after a time. Probes from before are no evidence.
      last_response_s: time of the last response of any upstream.
    """

    _listed: listing.Listed
    _clock: clocks.Clock
    _fetch_report: FetchReport
    on_lost: Callable[[str], None] = lambda instance: None
    on_answered: Callable[[str], None] = lambda instance: None
    on_probe: Callable[[tables.Instance], None] = lambda instance: None
    is_path_up: Callable[[str, float], Awaitable[bool]] | None = None
    was_path_lost_since: Callable[[float], bool] = lambda time_s: False
    last_response_s: float = float("-inf")
    _checks: dict[tuple[str, int], tuple[float, asyncio.Task]] = attrs.field(
        factory=dict
    )
    _probes: dict[str, asyncio.Task] = attrs.field(factory=dict)
    _verifications: set[asyncio.Task] = attrs.field(factory=set)
    # Engines whose last probe was refused a connection.
    _refusing: set[str] = attrs.field(factory=set)
    # Engines of which the last probe says nothing.
    _unknown: set[str] = attrs.field(factory=set)

    def record_response(self) -> None:
        """Record that an upstream sent data."""
        self.last_response_s = self._clock.monotonic()

    async def is_lost(self, group: tables.Group, reason: str) -> bool:
        """Return whether a member of a group is unresponsive."""
        now_s = self._clock.monotonic()
        key = group.id, group.generation
        started_s, task = self._checks.get(key, (float("-inf"), None))
        if task is None or now_s - started_s >= PROBE_INTERVAL_S:
            task = asyncio.create_task(self._probe_members(group, reason))
            self._checks[key] = now_s, task
        return await asyncio.shield(task)

    def record_progress(self, group: tables.Group) -> None:
        """Record an event of a group in which a member was unresponsive.

        A later silence of a member is another one. Until the members have
        answered, the holder of the lease would form the group again as soon as
        no request needs it.
        """
        for member in group.members:
            if self._listed.restart_silence(member):
                task = asyncio.create_task(self._verify_answer(member))
                self._verifications.add(task)
                task.add_done_callback(self._verifications.discard)

    async def _verify_answer(self, instance: str) -> None:
        # The first probe may have begun during the silence.
        if await self.probe(instance) or await self.probe(instance):
            self.on_answered(instance)

    async def has_head_crashed(
        self, group: tables.Group | None, incarnation: str
    ) -> bool:
        """Return whether the head ended and another member did not.

        When no member answers, the failure domain has failed, and no request
        of the group is to blame.

        Args:
          group: as it was when it was sent the request, None if unknown.
          incarnation: the head's when it was sent the request. The group may
            have been repaired since, and the head may have started again.
        """
        if group is None:
            return False
        answers = await asyncio.gather(
            *(self.probe(member) for member in group.members)
        )
        head = self._listed.current(group.members[0])
        restarted = head is None or head.incarnation != incarnation
        # A host that refuses connections shows that the path to it is up.
        refused = group.members[0] in self._refusing
        others = answers[1:] or [refused or self.is_local_path_up()]
        is_silent = not answers[0] and group.members[0] not in self._unknown
        return (restarted or is_silent) and any(others)

    async def probe(self, instance: str) -> bool:
        """Probe one engine and return whether it answers."""
        task = self._probes.get(instance)
        if task is None:
            task = asyncio.create_task(self._run_probe(instance))
            self._probes[instance] = task
            task.add_done_callback(lambda t: self._probes.pop(instance, None))
        return await asyncio.shield(task)

    async def _probe_members(self, group: tables.Group, reason: str) -> bool:
        started_s = self._clock.monotonic()
        answers = await asyncio.gather(
            *(self.probe(member) for member in group.members)
        )
        unresponsive = [
            member
            for member, answered in zip(group.members, answers, strict=True)
            if not answered and member not in self._unknown
        ]
        trusted = (
            any(answers) or self.is_local_path_up()
        ) and not self.was_path_lost_since(started_s)
        eliot.log_message(
            "group_probed",
            group=group.id,
            generation=group.generation,
            reason=reason,
            silent=unresponsive,
            trusted=trusted,
        )
        if trusted:
            for instance in unresponsive:
                self._suspect(instance)
        is_lost = bool(unresponsive) and trusted
        return is_lost or self._is_suspected_by_others(group)

    def _is_suspected_by_others(self, group: tables.Group) -> bool:
        """Return whether a member that this node cannot judge is suspected."""
        return any(
            self._listed.is_suspect(member)
            for member in group.members
            if member in self._unknown
        )

    def is_refusing(self, instance: str) -> bool:
        """Return whether the last probe was refused a connection."""
        return instance in self._refusing

    def is_local_path_up(self) -> bool:
        """Return whether an upstream has answered this node recently."""
        return (
            self._clock.monotonic() - self.last_response_s
            < LOCAL_PATH_TIMEOUT_S
        )

    def _suspect(self, instance: str) -> None:
        if self._listed.suspect(instance, self.is_refusing(instance)):
            eliot.log_message("instance_suspected", instance=instance)
            self.on_lost(instance)

    async def _run_probe(self, instance: str) -> bool:
        self._refusing.discard(instance)
        self._unknown.discard(instance)
        known = self._listed.listed_or_retained(instance)
        if known is None:
            return False
        self.on_probe(known)
        started_s = self._clock.monotonic()
        has_path = not self.was_path_lost_since(-math.inf)
        timeout_s = (
            PROBE_TIMEOUT_S if has_path else PROBE_TIMEOUT_WITHOUT_PATH_S
        )
        try:
            async with timeouts.timeout(timeout_s):
                incarnation, announcement = await self._fetch_report(
                    instance, known.address
                )
        except (exceptions.BalsamlugError, TimeoutError, OSError) as exc:
            eliot.log_message(
                "probe_failed", instance=instance, error=type(exc).__name__
            )
            if isinstance(exc.__cause__, ConnectionRefusedError):
                self._refusing.add(instance)
            elapsed_s = self._clock.monotonic() - started_s
            latest_s = timeout_s + timeouts.EXTENSION_S + MAX_LATENESS_S
            is_late = elapsed_s > latest_s
            if is_late or await self._lacks_path(known, exc, started_s):
                self._unknown.add(instance)
            return False
        self.record_response()
        self._listed.record_report(instance, incarnation, announcement)
        # A later report may come from another server at the address.
        return incarnation == known.incarnation

    async def _lacks_path(
        self, instance: tables.Instance, exc: Exception, started_s: float
    ) -> bool:
        """Return whether this node's path may be why a probe failed."""
        if isinstance(exc, (exceptions.PathLost, exceptions.RelayLost)):
            return True
        if not isinstance(exc, TimeoutError) or self.is_path_up is None:
            return False
        return not await self.is_path_up(instance.address, started_s)
