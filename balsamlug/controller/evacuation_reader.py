"""Read the evacuated failure domains from the object API."""

from typing import Protocol

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import evacuations
from balsamlug import plausibility
from balsamlug import state as fleet
from balsamlug import validation
from balsamlug.controller import sources
from balsamlug.messages import types
from balsamlug.platform import evacuations as wire
from balsamlug.store import objects

# Parts of the bound within which an evacuation must hold at all nodes. A watch
# that hangs delays a watcher by the sum of these, and the rest is left for the
# second read and the way between nodes. With 5 s, a watcher notices within
# 2.5 s, and a fleet of three failure domains makes 3 calls per second.
WATCH_SHARE = 0.3
GRACE_SHARE = 0.15
# Keep a tiny bound from turning each watch into a failure, and a large one from
# holding a connection for minutes.
MIN_WATCH_MS = 200
MAX_WATCH_MS = 10_000
# Nodes reject a message that is too far ahead of the position they hold. The
# same set is stated at a new position before that, and digests carry it.
MAX_LAG = plausibility.MAX_VERSION_JUMP // 100


class Store(Protocol):
    """Calls of `store.client.ObjectStore` that are made here."""

    async def list(self, kind: str) -> objects.Changes:
        """Return all objects of a kind."""

    async def watch(
        self, kind: str, since: int, timeout_ms: int, grace_s: float
    ) -> objects.Changes:
        """Wait for changes of a kind after a revision."""


@attrs.define
class Reader:
    """Publishes the evacuated failure domains whenever they change.

    Attributes:
      bound_ms: time after its acknowledgement from which an evacuation must
        hold at all nodes.
      _names: evacuated failure domains as of the last read.
    """

    _state: fleet.FleetState
    _store: Store
    _clock: clocks.Clock
    bound_ms: int
    _names: frozenset[str] = frozenset()

    @property
    def wait(self) -> sources.Wait:
        """Return how long a read waits for a change."""
        wanted_ms = int(self.bound_ms * WATCH_SHARE)
        watch_ms = max(MIN_WATCH_MS, min(MAX_WATCH_MS, wanted_ms))
        grace_s = watch_ms * GRACE_SHARE / WATCH_SHARE / clocks.MS_PER_S
        return sources.Wait(watch_ms, grace_s)

    def has_state(self) -> bool:
        """Return whether the node has the set from any origin."""
        return self._state.evacuations.position > 0

    async def fetch(self, since: int | None, wait: sources.Wait) -> int:
        """Read and publish the set, waiting for changes after a revision."""
        if since is None:
            changes = await self._store.list(wire.KIND)
            kept: frozenset[str] = frozenset()
        else:
            changes = await self._store.watch(
                wire.KIND, since, wait.timeout_ms, wait.grace_s
            )
            kept = self._names.difference(changes.deleted)
        read = self._domains(changes.items)
        if repeated := kept & read:
            eliot.log_message(
                "evacuation_repeated", failure_domains=sorted(repeated)
            )
        self._names = kept | read
        self._publish(changes.revision)
        return changes.revision

    def _domains(
        self, items: tuple[objects.StoredObject, ...]
    ) -> frozenset[str]:
        """Return the failure domains of all objects with a usable name."""
        names = set()
        for item in items:
            try:
                names.add(wire.failure_domain(item))
            except ValueError as exc:
                eliot.log_message(
                    "store_value_rejected",
                    kind=item.kind,
                    name=ascii(item.name)[: validation.MAX_NAME_LENGTH],
                    version=item.version,
                    error=type(exc).__name__,
                    reason=str(exc)[: validation.MAX_NAME_LENGTH],
                )
        return frozenset(names)

    def _publish(self, position: int) -> None:
        """Publish the set unless all nodes have it at a recent position."""
        held, domains = self._state.evacuations, self._limited()
        is_known = held.position > 0 and held.stored == frozenset(domains)
        is_recent = position - held.position <= MAX_LAG
        if is_known and is_recent and not held.is_other_era(position):
            return
        message = types.EvacuationUpdate(position, domains)
        self._state.publish(message, self._clock.monotonic())

    def _limited(self) -> list[str]:
        """Return the names that fit in a message, those of instances first."""
        if len(self._names) <= evacuations.MAX_DOMAINS:
            return sorted(self._names)
        instances = self._state.instances.values()
        known = {instance.failure_domain for instance in instances}
        ranked = sorted(self._names, key=lambda name: (name not in known, name))
        eliot.log_message("evacuations_dropped", count=len(ranked))
        return ranked[: evacuations.MAX_DOMAINS]
