"""Probe engines that left the list, to tell which are only cut off."""

import asyncio
from collections.abc import Callable

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import plain
from balsamlug import state as fleet
from balsamlug.gateway import silence
from balsamlug.health import listed as listing
from balsamlug.ownership import manager as managers

PROBE_INTERVAL_S = 0.5


@attrs.define(eq=False)
class Keeper:
    """Keep unlisted engines of the domains that this node holds.

    Attributes:
      on_change: called when an engine was given up.
      held: unlisted engines that answered this node last time.
    """

    _fleet: fleet.FleetState
    _listed: listing.Listed
    _manager: managers.Manager
    _detector: silence.Detector
    _clock: clocks.Clock
    on_change: Callable[[], None] = lambda: None
    held: set[str] = attrs.field(factory=set)
    _probed_s: dict[str, float] = attrs.field(factory=dict)
    _probes: set[asyncio.Task] = attrs.field(factory=set)

    def tick(self) -> None:
        """Start the probes that are due."""
        now_s = self._clock.monotonic()
        kept = set(self._listed.retained())
        due = kept & self._members() if kept else kept
        self.held &= due
        for instance in due:
            last_s = self._probed_s.get(instance, float("-inf"))
            if now_s - last_s >= PROBE_INTERVAL_S:
                self._probed_s[instance] = now_s
                task = asyncio.create_task(self._probe(instance))
                self._probes.add(task)
                task.add_done_callback(self._probes.discard)
        for instance in self._probed_s.keys() - due:
            del self._probed_s[instance]

    def _members(self) -> set[str]:
        held = self._manager.held(self._clock.monotonic())
        return {
            member
            for record in held
            for group in self._manager.views.groups.of(record.domain).values()
            for member in group.members
        }

    async def _probe(self, instance: str) -> None:
        if await self._detector.verify(instance):
            if instance not in self.held:
                eliot.log_message("unlisted_kept", instance=instance)
            self.held.add(instance)
            self._listed.retain(instance)
            return
        eliot.log_message("unlisted_given_up", instance=instance)
        self.held.discard(instance)
        self._listed.drop(instance)
        self.on_change()

    def told(self) -> dict[str, dict]:
        """Return what the held engines announce, for other nodes."""
        found = {name: self._listed.current(name) for name in sorted(self.held)}
        return {
            name: plain.announcement_to_dict(current.announcement)
            for name, current in found.items()
            if current is not None
        }
