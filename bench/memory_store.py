"""Object API in memory for the control plane benchmark.

Counts the calls and the received bytes of each client.
"""

import asyncio
import json

from balsamlug import exceptions
from balsamlug.store import objects

POLL_INTERVAL_S = 0.02


class Store:
    """Configuration and instance list of one benchmark process."""

    def __init__(self, instances: int) -> None:
        self.revision = 0
        self.config: objects.StoredObject | None = None
        self.instances = tuple(instance(i) for i in range(instances))

    def configure(self, revision: int, size: int) -> None:
        """Store a new configuration of about `size` bytes."""
        comment = "# " + "x" * 70 + "\n"
        base = "[limits]\nmax_queue = 99\n" + comment * (size // 73)
        value = {"revision": revision, "base": base, "overlays": {}}
        self.revision += 1
        self.config = objects.StoredObject(
            "config", "current", self.revision, value
        )


class Client:
    """Client of one node.

    Attributes:
      received_bytes: total size of the JSON bodies of the answers.
      is_refused: whether the store turns this node away.
    """

    def __init__(self, shared: Store) -> None:
        self._shared = shared
        self.calls = 0
        self.received_bytes = 0
        self.is_refused = False

    async def list(self, kind: str) -> objects.Changes:
        """Return all objects of a kind."""
        return self._changes_since(kind, 0)

    async def watch(
        self, kind: str, since: int, timeout_ms: int, grace_s: float = 0.0
    ) -> objects.Changes:
        """Wait for a change; only the configuration ever changes."""
        del grace_s
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_ms / 1000
        while kind != "config" or self._shared.revision <= since:
            if loop.time() >= end_s or self.is_refused:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        return self._changes_since(kind, since)

    async def instances(
        self, since: int | None, timeout_ms: int, grace_s: float = 0.0
    ) -> objects.InstanceList:
        """Return the list; all but the first call wait for the timeout."""
        del grace_s
        if since is not None and not self.is_refused:
            await asyncio.sleep(timeout_ms / 1000)
        self._record_call(self._shared.instances)
        return objects.InstanceList(self._shared.instances, 1)

    def _changes_since(self, kind: str, since: int) -> objects.Changes:
        item = self._shared.config
        is_new = kind == "config" and item is not None and item.version > since
        self._record_call(item.value if is_new else None)
        revision = self._shared.revision
        return objects.Changes((item,) if is_new else (), (), revision)

    def _record_call(self, value: object) -> None:
        self.calls += 1
        if self.is_refused:
            raise exceptions.StoreOutage("refused")
        self.received_bytes += len(json.dumps(value))


def instance(number: int) -> dict:
    """Return one engine instance as the platform lists it."""
    return {
        "id": f"engine-{number:04d}",
        "incarnation": "1",
        "kind": "engine",
        "address": f"10.1.{number // 250}.{number % 250}:8000",
        "fabric_domain": f"fab{number // 30}",
        "failure_domain": f"fd-{number % 6}",
        "region": "region-1",
        "accelerators": 8,
        "state": "live",
        "checks_orders": True,
    }
