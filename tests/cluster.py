"""Runs controllers in one process, with real sockets and a store in memory."""

import asyncio
import random

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug.config import schema
from balsamlug.controller import app
from balsamlug.store import objects
from balsamlug_standins import processes

BASE = "[limits]\nmax_queue = {queue}\n"
# Ways in which the store turns a node away: an answer or a reset, no answer.
REFUSALS = ("refused", "silent")


class FakeStore:
    """Object API in memory, shared by the clients of all nodes."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[tuple[str, str], objects.StoredObject] = {}
        self.changed: dict[tuple[str, str], int] = {}
        self.listed: tuple[dict, ...] = ()
        self.listed_revision = 0
        self.down = False
        self.hanging = False
        self.calls = 0

    def write(self, kind: str, name: str, value: dict) -> int:
        self.revision += 1
        item = objects.StoredObject(kind, name, self.revision, value)
        self.objects[kind, name] = item
        self.changed[kind, name] = self.revision
        return self.revision

    def configure(self, revision: int, queue: int = 100) -> None:
        value = {
            "revision": revision,
            "base": BASE.format(queue=queue),
            "overlays": {},
            "author": "test",
            "operation_id": "",
            "digest": "",
            "history": [],
        }
        self.write("config", "current", value)

    def list_instances(self, *instances: dict) -> None:
        self.listed = instances
        self.listed_revision += 1


class FakeClient:
    """Store client of one node.

    Attributes:
      cut: whether the node cannot reach the store.
      how: one of `REFUSALS`.
      calls: number of calls of this node.
    """

    def __init__(self, shared: FakeStore) -> None:
        self.shared = shared
        self.cut = False
        self.how = REFUSALS[0]
        self.calls = 0

    def close(self) -> None:
        pass

    async def list(self, kind: str) -> objects.Changes:
        await self._call()
        await self._fail_if_silent()
        return self._changes(kind, 0)

    async def watch(
        self,
        kind: str,
        since: int,
        timeout_ms: int = 2000,
        grace_s: float = 0.0,
    ) -> objects.Changes:
        await self._call()
        for _ in range(timeout_ms // 20):
            changes = self._changes(kind, since)
            if changes.items and not self.cut:
                return changes
            await asyncio.sleep(0.02)
            self._fail_if_refused()
        await self._fail_if_silent(grace_s)
        return self._changes(kind, since)

    async def instances(
        self,
        since: int | None = None,
        timeout_ms: int = 2000,
        grace_s: float = 0.0,
    ) -> objects.InstanceList:
        await self._call()
        for _ in range(timeout_ms // 20 if since is not None else 0):
            if self.shared.listed_revision > since and not self.cut:
                break
            await asyncio.sleep(0.02)
            self._fail_if_refused()
        await self._fail_if_silent(grace_s)
        return objects.InstanceList(
            self.shared.listed, self.shared.listed_revision
        )

    def __getattr__(self, name: str):
        # Other calls of the ownership tasks fail as in an outage.
        async def unavailable(*args, **kwargs):
            raise exceptions.StoreOutage(name)

        return unavailable

    async def _call(self) -> None:
        self.shared.calls += 1
        self.calls += 1
        self._fail_if_refused()
        if self.shared.hanging:
            await asyncio.sleep(3600)

    def _fail_if_refused(self) -> None:
        if self.shared.down or (self.cut and self.how == "refused"):
            raise exceptions.StoreOutage("test")

    async def _fail_if_silent(self, grace_s: float = 2.0) -> None:
        if self.cut:
            await asyncio.sleep(grace_s)
            raise exceptions.StoreOutage("test")

    def _changes(self, kind: str, since: int) -> objects.Changes:
        items = tuple(
            item
            for key, item in self.shared.objects.items()
            if key[0] == kind and self.shared.changed[key] > since
        )
        return objects.Changes(items, (), self.shared.revision)


@attrs.define
class Cluster:
    """Controllers of several failure domains over loopback sockets."""

    size: int
    domains: int = 3
    seed: int = 1
    store: FakeStore = attrs.field(factory=FakeStore)
    nodes: dict[str, app.Controller] = attrs.field(factory=dict)
    settings: dict[str, schema.NodeSettings] = attrs.field(factory=dict)
    _ports: processes.Ports = attrs.field(factory=processes.Ports)

    def __attrs_post_init__(self) -> None:
        ports = [self._ports.take() for _ in range(3 * self.size)]
        seeds = tuple(f"127.0.0.1:{port}" for port in ports[2:9:3])
        for number in range(self.size):
            control, admin, peer = ports[3 * number : 3 * number + 3]
            name = f"node-{number}"
            self.settings[name] = schema.NodeSettings(
                id=name,
                site="vedrina",
                region="region-1",
                failure_domain=f"fd-{number % self.domains}",
                address="127.0.0.1",
                caller_port=1,
                control_port=control,
                peer_port=peer,
                admin_port=admin,
                platform="http://127.0.0.1:1",
                peers=seeds,
            )

    async def start(self, *names: str) -> None:
        for name in names or self.settings:
            rng = random.Random(f"{self.seed}:{name}")
            self.nodes[name] = app.Controller(
                self.settings[name],
                clocks.SystemClock(),
                rng,
                FakeClient(self.store),
            )
            await self.nodes[name].start()

    async def stop(self, *names: str) -> None:
        for name in names or list(self.nodes):
            await self.nodes.pop(name).stop()
        if not names:
            self._ports.release()

    async def crash(self, name: str) -> None:
        """Stop a node without notifying its peers."""
        node = self.nodes.pop(name)
        node.peers._ticker.stop()
        node.peers.links.stop()
        await node.stop()

    def partition(self, *names: str) -> None:
        """Disconnect some nodes from all other nodes."""
        for name, node in self.nodes.items():
            separated = {
                n for n in self.nodes if (n in names) != (name in names)
            }
            node.peers.links._adopt = _refuse(node.peers.links, separated)
            for peer in separated & node.peers.links.open.keys():
                node.peers.links.open[peer].conn.close()

    def heal(self) -> None:
        """End every partition."""
        for node in self.nodes.values():
            node.peers.links.__dict__.pop("_adopt", None)
            node.store.cut = False

    def cut_store(self, *names: str, how: str = REFUSALS[0]) -> None:
        for name in names:
            self.nodes[name].store.how = how
            self.nodes[name].store.cut = True

    def serve_store(self, *names: str) -> None:
        """End the refusals of some nodes."""
        for name in names:
            self.nodes[name].store.cut = False

    def views(self) -> set[tuple[str, ...]]:
        """Return the distinct lists of live nodes of all nodes."""
        return {
            tuple(node.id for node in controller.state.live_nodes())
            for controller in self.nodes.values()
        }

    def agreed(self) -> bool:
        return self.views() == {tuple(sorted(self.nodes))}

    def protocol_errors(self) -> list[str]:
        return [
            sample.labels["reason"]
            for node in self.nodes.values()
            for family in node.metrics.protocol_errors.collect()
            for sample in family.samples
            if sample.name.endswith("_total") and sample.value
        ]

    def revisions(self, names: set[str] | None = None) -> set[int]:
        return {
            self.nodes[name].state.config_revision
            for name in names or self.nodes
        }


def _refuse(server, separated):
    def adopt(link):
        return link.peer not in separated and type(server)._adopt(server, link)

    return adopt


async def until(condition, timeout_s: float) -> float:
    """Wait for a condition and return the seconds it took."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while not condition():
        elapsed_s = loop.time() - started_s
        assert elapsed_s < timeout_s, f"not within {timeout_s} s"
        await asyncio.sleep(0.02)
    return loop.time() - started_s
