"""Verify what other nodes report about engines.

An engine may answer one node and not another, so a node relies only on its own
probes.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine

import attrs
import eliot

from balsamlug import tables
from balsamlug.gateway import failure_detector
from balsamlug.health import listed as listing


@attrs.define(eq=False)
class PeerReports:
    """Probe engines that other nodes found lost or back.

    Attributes:
      on_change: called when the known state of an engine has changed.
    """

    _listed: listing.Listed
    _detector: failure_detector.Detector
    on_change: Callable[[], None] = lambda: None
    _probes: set[asyncio.Task] = attrs.field(factory=set)

    def on_unresponsive(self, instance: str) -> None:
        """Verify that an engine does not answer."""
        if not self._listed.is_suspect(instance):
            self._start(self._verify_unresponsive(instance))

    def on_responding(
        self, instance: str, announcement: tables.Announcement
    ) -> None:
        """Retain an unlisted engine, or verify that a suspect answers."""
        if self._listed.is_suspect(instance):
            self._start(self._verify_responding(instance))
            return
        self._listed.retain(instance, announcement)

    def stop(self) -> None:
        """Cancel the probes."""
        for task in self._probes:
            task.cancel()

    def _start(self, verification: Coroutine) -> None:
        task = asyncio.create_task(verification)
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _verify_responding(self, instance: str) -> None:
        if await self._detector.probe(instance):
            self.on_change()

    async def _verify_unresponsive(self, instance: str) -> None:
        if await self._detector.probe(instance):
            return
        if self._listed.suspect(instance):
            eliot.log_message(
                "instance_suspected", instance=instance, told=True
            )
            self.on_change()
