"""Worker process of the control plane benchmark, which runs several nodes.

Reads a JSON description of the nodes and then commands, one per line, from
standard input. Writes one JSON line for each command.
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
REPORT_INTERVAL_S = 1.0
LEASE_INTERVAL_S = 2.0
MEMBERS_PER_GROUP = 8
SLOTS_PER_GROUP = 64


@attrs.define
class Node:
    """The parts of a controller that exchange messages with peers.

    Probes and leases are synthetic: the node publishes generated messages.

    Attributes:
      config_received_s: time at which each configuration revision was received.
      groups: groups that this node publishes load reports on.
      domains: fabric domains whose leases this node holds.
      versions: last published version of each domain object.
    """

    settings: schema.NodeSettings
    state: fleet.FleetState
    peers: peers.Peers
    watchers: watchers.Watchers
    store: memory_store.Client
    rng: random.Random
    config_received_s: dict[int, float] = attrs.field(factory=dict)
    groups: list[int] = attrs.field(factory=list)
    domains: list[int] = attrs.field(factory=list)
    versions: dict[str, int] = attrs.field(factory=dict)

    def on_update(self, message: types.Message) -> None:
        """Record when a configuration revision is received."""
        if isinstance(message, types.ConfigUpdate):
            self.config_received_s.setdefault(
                message.revision, time.monotonic()
            )

    def assign(self, names: list[str], groups: int, domains: int) -> None:
        """Choose the groups to report on and the leases to hold."""
        local_id = self.settings.id
        self.groups = [
            g
            for g in range(groups)
            if local_id in hashing.rank(f"probe:g{g}", names)[:PROBERS]
        ]
        self.domains = [
            d
            for d in range(domains)
            if local_id == hashing.rank(f"domain:fab{d}", names)[0]
        ]

    def publish_reports(self) -> None:
        """Publish a load report of every assigned group."""
        for group in self.groups:
            running = self.rng.randrange(SLOTS_PER_GROUP)
            message = types.GroupReport(
                f"fab{group % 20}-g{group}",
                self.settings.id,
                "rental-model",
                3,
                True,
                True,
                "",
                f"10.1.{group // 250}.{group % 250}:8000",
                [running, self.rng.randrange(8), SLOTS_PER_GROUP, 10_000, 120],
                100,
            )
            self.state.publish(message, time.monotonic())

    def publish_leases(self) -> None:
        """Publish a renewed lease of every assigned domain."""
        for domain in self.domains:
            name = f"fab{domain}"
            version = self.versions.get(name, 10) + 37
            self.versions[name] = version
            value = domain_value(self.settings.id, version)
            update = types.DomainUpdate(name, version, value)
            self.state.publish(update, time.monotonic())


def domain_value(holder: str, version: int) -> dict:
    """Return a domain object with four groups of eight members."""
    members = [f"engine-{i:04d}" for i in range(MEMBERS_PER_GROUP)]
    group = {
        "deployment": "rental-model",
        "generation": 3,
        "members": members,
        "incarnations": ["1"] * MEMBERS_PER_GROUP,
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
    """Return a node that is not started yet."""
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
    state.subscribe(node.on_update)
    return node


def count_types(bytes_by_type: collections.Counter) -> None:
    """Patch the peer links to count the sent bytes of each message type."""
    send_frames = connection.Link.send_frames

    def send_and_count(link, frames: list[bytes], now_s: float) -> None:
        for frame in frames:
            tag = msgpack.unpackb(frame[codec.LENGTH_BYTES :])[0]
            bytes_by_type[types.TYPES[tag].__name__] += len(frame)
        send_frames(link, frames, now_s)

    connection.Link.send_frames = send_and_count


class Worker:
    """Runs the nodes of this process and executes the commands."""

    def __init__(self, spec: dict) -> None:
        self.spec = spec
        self.shared = memory_store.Store(spec["instances"])
        # The nodes share one set of metrics, since the memory that metrics use
        # is not measured here.
        self.metric = metric = metrics.create()
        self.nodes = [build(n, self.shared, metric) for n in spec["nodes"]]
        self.tasks: list[asyncio.Task] = []
        self.before: dict = {}
        self.types: collections.Counter = collections.Counter()
        if spec["by_type"]:
            count_types(self.types)

    async def start(self) -> None:
        """Start the nodes and the publishing of their messages."""
        spec = self.spec
        # Assigning takes a second in total. It comes before the start of the
        # nodes, which would otherwise be suspected for the pause.
        for node in self.nodes:
            node.assign(spec["names"], spec["groups"], spec["domains"])
        for node in self.nodes:
            node.peers.start()
            node.watchers.start()
            self.tasks.append(
                asyncio.create_task(self._publish_periodically(node))
            )

    async def _publish_periodically(self, node: Node) -> None:
        await asyncio.sleep(node.rng.uniform(0, LEASE_INTERVAL_S))
        ticks = 0
        while True:
            node.publish_reports()
            if ticks % 2 == 0:
                node.publish_leases()
            ticks += 1
            await asyncio.sleep(REPORT_INTERVAL_S)

    def run(self, command: str) -> dict:
        """Execute a command and return its result."""
        name, *args = command.split()
        return getattr(self, f"do_{name}")(*args)

    def do_view(self) -> dict:
        """Return the number of live nodes in the view of each node."""
        return {n.settings.id: len(n.state.live_nodes()) for n in self.nodes}

    def do_configure(self, revision: str, size: str) -> dict:
        """Write a configuration to the store of this process."""
        self.shared.configure(int(revision), int(size))
        return {"at_s": time.monotonic()}

    def do_in_force(self, revision: str) -> dict:
        """Return when each node received a revision, None for not yet."""
        return {
            n.settings.id: n.config_received_s.get(int(revision))
            for n in self.nodes
        }

    def do_refuse(self, whom: str) -> dict:
        """Have the store turn away the nodes that read it, or all nodes."""
        for node in self.nodes:
            is_reader = node.watchers.is_watcher()
            node.store.is_refused = whom == "all" or is_reader
        return {}

    def do_begin(self) -> dict:
        """Start a measurement."""
        self.before = self._counters()
        self.types.clear()
        return {}

    def do_end(self) -> dict:
        """End the measurement and return the rates since its start."""
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
    """Return the resident memory of this process in kilobytes."""
    status = pathlib.Path("/proc/self/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1])


async def main() -> None:
    """Read commands and print their results until the stop command."""
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
