"""Controllers of one benchmark process.

Reads a JSON description and then commands, one a line, from standard input,
and writes one JSON line for each command.
"""

import asyncio
import collections
import json
import pathlib
import random
import sys
import time

import attrs
import msgpack

from balsamlug import clock as clocks
from balsamlug import hashing
from balsamlug import state as fleet
from balsamlug.config import schema
from balsamlug.controller import metrics
from balsamlug.controller import watchers
from balsamlug.membership import connection
from balsamlug.membership import peers
from balsamlug.messages import codec
from balsamlug.messages import types
from bench import memory_store

PROBERS = 2
REPORT_S = 1.0
RENEW_S = 2.0
MEMBERS = 8
SLOTS = 64


@attrs.define
class Node:
    """The parts of a controller that talk to peers, with made-up duties.

    Attributes:
      groups, domains: what this node reports on and holds the leases of.
    """

    settings: schema.NodeSettings
    state: fleet.FleetState
    peers: peers.Peers
    watchers: watchers.Watchers
    store: memory_store.Client
    rng: random.Random
    in_force_s: dict[int, float] = attrs.field(factory=dict)
    groups: list[int] = attrs.field(factory=list)
    domains: list[int] = attrs.field(factory=list)
    versions: dict[str, int] = attrs.field(factory=dict)

    def on_news(self, message: types.Message) -> None:
        """Note when a configuration comes into force."""
        if isinstance(message, types.ConfigUpdate):
            self.in_force_s.setdefault(message.revision, time.monotonic())

    def assign(self, names: list[str], groups: int, domains: int) -> None:
        """Choose the duties of this node among all nodes."""
        own = self.settings.id
        self.groups = [
            g
            for g in range(groups)
            if own in hashing.rank(f"probe:g{g}", names)[:PROBERS]
        ]
        self.domains = [
            d
            for d in range(domains)
            if own == hashing.rank(f"domain:fab{d}", names)[0]
        ]

    def report(self) -> None:
        """Publish a report of every probed group."""
        for group in self.groups:
            running = self.rng.randrange(SLOTS)
            message = types.GroupReport(
                f"fab{group % 20}-g{group}",
                self.settings.id,
                "rental-model",
                3,
                True,
                True,
                "",
                f"10.1.{group // 250}.{group % 250}:8000",
                [running, self.rng.randrange(8), SLOTS, 10_000, 120],
                100,
            )
            self.state.publish(message, time.monotonic())

    def renew(self) -> None:
        """Publish a renewed lease of every held domain."""
        for domain in self.domains:
            name = f"fab{domain}"
            version = self.versions.get(name, 10) + 37
            self.versions[name] = version
            value = domain_value(self.settings.id, version)
            update = types.DomainUpdate(name, version, value)
            self.state.publish(update, time.monotonic())


def domain_value(holder: str, version: int) -> dict:
    """Return a domain object with four groups of eight members."""
    members = [f"engine-{i:04d}" for i in range(MEMBERS)]
    group = {
        "deployment": "rental-model",
        "generation": 3,
        "members": members,
        "incarnations": ["1"] * MEMBERS,
        "model": "rental",
        "version": "1",
    }
    return {
        "lease": {
            "holder": holder,
            "epoch": 4,
            "duration_ms": 6000,
            "renewal": version,
            "operation_id": f"{version:032x}-abcd",
        },
        "groups": {f"g{i}": group for i in range(4)},
        "draining": {},
        "next_group": 9,
    }


def build(
    raw: dict, shared: memory_store.Store, metric: metrics.Metrics
) -> Node:
    """Return a node, not yet started."""
    settings = schema.NodeSettings(**raw | {"peers": tuple(raw["peers"])})
    clock = clocks.SystemClock()
    rng = random.Random(settings.id)
    state = fleet.FleetState(settings.site)
    store = memory_store.Client(shared)
    node = Node(
        settings,
        state,
        peers.Peers(settings, state, clock, rng, metric),
        watchers.Watchers(settings, state, store, clock, rng),
        store,
        rng,
    )
    state.subscribe(node.on_news)
    return node


def count_types(found: collections.Counter) -> None:
    """Count the bytes of every sent frame under its message type."""
    send_frames = connection.Link.send_frames

    def counted(link, frames: list[bytes], now_s: float) -> None:
        for frame in frames:
            tag = msgpack.unpackb(frame[codec.LENGTH_BYTES :])[0]
            found[types.TYPES[tag].__name__] += len(frame)
        send_frames(link, frames, now_s)

    connection.Link.send_frames = counted


class Worker:
    """All nodes of this process, driven by the commands."""

    def __init__(self, spec: dict) -> None:
        self.spec = spec
        self.shared = memory_store.Store(spec["instances"])
        # Metrics are shared, since their memory is not the subject here.
        self.metric = metric = metrics.create()
        self.nodes = [build(n, self.shared, metric) for n in spec["nodes"]]
        self.tasks: list[asyncio.Task] = []
        self.before: dict = {}
        self.types: collections.Counter = collections.Counter()
        if spec["by_type"]:
            count_types(self.types)

    async def start(self) -> None:
        """Start the nodes and their duties."""
        spec = self.spec
        # Takes a second in all, which must not look like a pause of a node.
        for node in self.nodes:
            node.assign(spec["names"], spec["groups"], spec["domains"])
        for node in self.nodes:
            node.peers.start()
            node.watchers.start()
            self.tasks.append(asyncio.create_task(self._duties(node)))

    async def _duties(self, node: Node) -> None:
        await asyncio.sleep(node.rng.uniform(0, RENEW_S))
        ticks = 0
        while True:
            node.report()
            if ticks % 2 == 0:
                node.renew()
            ticks += 1
            await asyncio.sleep(REPORT_S)

    def run(self, command: str) -> dict:
        """Carry out a command and return its result."""
        name, *args = command.split()
        return getattr(self, f"do_{name}")(*args)

    def do_view(self) -> dict:
        """Return how many live nodes each node sees."""
        return {n.settings.id: len(n.state.live_nodes()) for n in self.nodes}

    def do_configure(self, revision: str, size: str) -> dict:
        """Accept a configuration in the store of this process."""
        self.shared.configure(int(revision), int(size))
        return {"at_s": time.monotonic()}

    def do_in_force(self, revision: str) -> dict:
        """Return when a revision came into force at each node."""
        return {
            n.settings.id: n.in_force_s.get(int(revision)) for n in self.nodes
        }

    def do_begin(self) -> dict:
        """Start a measurement."""
        self.before = self._counters()
        self.types.clear()
        return {}

    def do_end(self) -> dict:
        """Return rates since the start of the measurement."""
        after, before = self._counters(), self.before
        elapsed_s = after["at_s"] - before["at_s"]
        rates = {
            node_id: [
                (new - old) / elapsed_s
                for new, old in zip(
                    values, before["nodes"][node_id], strict=True
                )
            ]
            for node_id, values in after["nodes"].items()
        }
        return {
            "cpu": (after["cpu_s"] - before["cpu_s"]) / elapsed_s,
            "rss_kb": resident_kb(),
            "rates": rates,
            "types": {
                name: count / elapsed_s for name, count in self.types.items()
            },
            "protocol_errors": {
                sample.labels["reason"]: sample.value
                for family in self.metric.protocol_errors.collect()
                for sample in family.samples
                if sample.name.endswith("_total")
            },
            "links": max(len(n.peers.links.open) for n in self.nodes),
            "fresh_reports": min(
                len(n.peers.broadcast.unexpired_keys()) for n in self.nodes
            ),
        }

    def do_stop(self) -> dict:
        """Stop every node."""
        for node in self.nodes:
            node.peers.stop()
        return {}

    def _counters(self) -> dict:
        return {
            "at_s": time.monotonic(),
            "cpu_s": time.process_time(),
            "nodes": {
                n.settings.id: [
                    *n.peers.links.peer_bytes,
                    n.store.calls,
                    n.store.received_bytes,
                ]
                for n in self.nodes
            },
        }


def resident_kb() -> int:
    """Return the resident memory of this process."""
    status = pathlib.Path("/proc/self/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1])


async def main() -> None:
    """Serve the commands."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=2**24)
    protocol = asyncio.StreamReaderProtocol(reader)
    await loop.connect_read_pipe(lambda: protocol, sys.stdin)
    worker = Worker(json.loads(await reader.readline()))
    await worker.start()
    while line := (await reader.readline()).decode().strip():
        print(json.dumps(worker.run(line)), flush=True)
        if line == "stop":
            return


if __name__ == "__main__":
    asyncio.run(main())
