"""Probe engines whose state is doubtful: unlisted ones and suspects.

An engine leaves the list when it is lost, but also when only its connection to
the store is interrupted. An unlisted engine that answers probes keeps its place
in its group. An engine that did not answer a probe may be back soon, long
before the list would drop it.
"""

import asyncio
from collections.abc import Callable

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import plain
from balsamlug import state as fleet
from balsamlug.gateway import failure_detector
from balsamlug.health import listed as listing
from balsamlug.ownership import manager as managers

PROBE_INTERVAL_S = 0.5
# How long other nodes are told that a suspected engine answered; datagrams may
# be lost.
RECOVERY_REPORT_S = 1.0


@attrs.define(eq=False)
class DoubtfulProber:
    """Probe doubtful engines of the domains whose leases this node holds.

    Attributes:
      on_change: called when an unlisted engine did not answer and was dropped,
        or when a suspected engine answered.
      responding: unlisted engines that answered the last probe.
    """

    _fleet: fleet.FleetState
    _listed: listing.Listed
    _manager: managers.Manager
    _detector: failure_detector.Detector
    _clock: clocks.Clock
    on_change: Callable[[], None] = lambda: None
    responding: set[str] = attrs.field(factory=set)
    _recovered_s: dict[str, float] = attrs.field(factory=dict)
    _probed_s: dict[str, float] = attrs.field(factory=dict)
    _probes: set[asyncio.Task] = attrs.field(factory=set)

    def tick(self) -> None:
        """Start the probes that are due."""
        now_s = self._clock.monotonic()
        unlisted = set(self._listed.retained())
        suspects = set(self._listed.suspects()) - unlisted
        doubtful = unlisted | suspects
        targets = doubtful & self._members() if doubtful else doubtful
        self.responding &= targets
        for instance in targets:
            last_s = self._probed_s.get(instance, float("-inf"))
            if now_s - last_s >= PROBE_INTERVAL_S:
                self._probed_s[instance] = now_s
                probe = (
                    self._probe if instance in unlisted else self._probe_suspect
                )
                task = asyncio.create_task(probe(instance))
                self._probes.add(task)
                task.add_done_callback(self._probes.discard)
        for instance in self._probed_s.keys() - targets:
            del self._probed_s[instance]

    def _members(self) -> set[str]:
        held = self._manager.held_domains(self._clock.monotonic())
        return {
            member
            for record in held
            for group in self._manager.views.groups.of(record.domain).values()
            for member in group.members
        }

    async def _probe_suspect(self, instance: str) -> None:
        if await self._detector.probe(instance):
            self.record_answer(instance)

    def record_answer(self, instance: str) -> None:
        """Record that a suspect answers, and tell the other nodes."""
        eliot.log_message("suspect_answered", instance=instance)
        self._recovered_s[instance] = self._clock.monotonic()
        self.on_change()

    async def _probe(self, instance: str) -> None:
        if await self._detector.probe(instance):
            if instance not in self.responding:
                eliot.log_message("unlisted_kept", instance=instance)
            self.responding.add(instance)
            self._listed.retain(instance)
            return
        eliot.log_message("unlisted_given_up", instance=instance)
        self.responding.discard(instance)
        self._listed.drop(instance)
        self.on_change()

    def announcements(self) -> dict[str, dict]:
        """Return the announcements of responding engines, for other nodes."""
        oldest_s = self._clock.monotonic() - RECOVERY_REPORT_S
        self._recovered_s = {
            n: since_s
            for n, since_s in self._recovered_s.items()
            if since_s > oldest_s
        }
        names = sorted(self.responding | self._recovered_s.keys())
        instances = {name: self._listed.current(name) for name in names}
        return {
            name: plain.announcement_to_dict(current.announcement)
            for name, current in instances.items()
            if current is not None
        }
