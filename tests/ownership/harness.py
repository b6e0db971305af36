"""Simulates a fleet in memory at the interfaces of the control tasks.

The nodes run the real control tasks on a manual clock. The store, the engines
and the network between them are fakes.
"""

import asyncio
import copy
import json
import random
import time

import attrs
from tornado import httpclient

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import plain
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.config import schema
from balsamlug.controller import tasks
from balsamlug.messages import types
from balsamlug.store import client
from balsamlug.store import objects
from balsamlug.store import positions

STEP_S = 0.25
FIRST_PORT = 10_000
LOAD_S = 4.0


class FakeStore(client.ObjectStore):
    """Object API in memory; `commit` is not faked.

    Attributes:
      era: rises when the store is restored from a copy.
      lose_answers: number of writes whose response will be lost.
      before_put: called with the object's name before each write.
      calls: time and kind of each call.
    """

    def __init__(self, clock):
        self.clock = clock
        self.objects = {}
        self.version = 0
        self.down = False
        self.lose_answers = 0
        self.before_put = lambda name: None
        self.calls = []

    def _call(self, kind):
        self.calls.append((self.clock.monotonic(), kind))
        if self.down:
            raise exceptions.StoreOutage("down")

    async def get(self, kind, name):
        self._call("get")
        if name not in self.objects:
            raise exceptions.StoreNotFound
        version, raw = self.objects[name]
        position = positions.position(self.era, version)
        return objects.StoredObject(kind, name, position, json.loads(raw))

    async def put(self, kind, name, value, expected_version):
        self._call("put")
        self.before_put(name)
        version = self.objects.get(name, (0, ""))[0]
        self._check_restored(expected_version)
        if version != positions.revision_of(expected_version):
            raise exceptions.StoreConflict(version)
        self.version += 1
        self.objects[name] = self.version, json.dumps(value)
        if self.lose_answers:
            self.lose_answers -= 1
            raise exceptions.StoreOutage("answer lost")
        return positions.position(self.era, self.version)

    def copy(self):
        """Return a copy of all objects and the revision."""
        return self.version, dict(self.objects)

    def restore(self, saved):
        """Return to the objects and the revision of a copy."""
        self.era += 1
        self.version, self.objects = saved[0], dict(saved[1])

    def value(self, name):
        return json.loads(self.objects[name][1])

    def edit(self, name, **changes):
        """Change an object without a version check, as an operator's edit."""
        self.version += 1
        value = self.value(name) | changes
        self.objects[name] = self.version, json.dumps(value)


@attrs.define
class FakeEngine:
    id: str
    clock: clocks.ManualClock
    fencing: bool = True
    incarnation: str = "1"
    up: bool = True
    unresponsive: bool = False
    draining: bool = False
    running: int = 0
    highest_fencing: int = 0
    load_count: int = 0
    ready_at_s: float = 0.0
    order: dict = attrs.field(factory=dict)
    join_orders: list = attrs.field(factory=list)
    status_overrides: dict = attrs.field(factory=dict)

    def status(self):
        state = "idle"
        if self.order:
            done = self.clock.now_s >= self.ready_at_s
            state = "ready" if done else "loading"
        fields = ("group", "generation", "rank", "members", "model", "version")
        empty = {"generation": 0, "rank": 0, "members": []}
        load = {"running": self.running, "queued": 0, "capacity": 8}
        load |= {f: v for f, v in self.status_overrides.items() if f in load}
        status = {
            "instance": self.id,
            "incarnation": self.incarnation,
            "state": "draining" if self.draining else state,
            "fencing": self.fencing,
            "load": load,
            "load_age_ms": 0,
        } | {f: self.order.get(f, empty.get(f, "")) for f in fields}
        return status | {
            f: v for f, v in self.status_overrides.items() if f in status
        }

    def receive(self, body):
        if self.fencing and body["fencing"] < self.highest_fencing:
            return 409, {
                "error": "stale_fencing",
                "fencing": self.highest_fencing,
            }
        self.highest_fencing = max(self.highest_fencing, body["fencing"])
        if body["kind"] == "leave":
            self.order = {}
            return 200, {}
        if self._weights(body) != self._weights(self.order):
            self.load_count += 1
            self.ready_at_s = self.clock.now_s + LOAD_S
        self.order = body
        self.join_orders.append(body)
        return 200, {}

    def restart(self):
        self.incarnation = str(int(self.incarnation) + 1)
        self.order, self.highest_fencing, self.running = {}, 0, 0

    def _weights(self, order):
        size = len(order.get("members", ()))
        return order.get("model"), order.get("version"), order.get("rank"), size


@attrs.define
class FakeNode:
    id: str
    state: fleet.FleetState
    tasks: tasks.ControlTasks
    paused: bool = False
    isolated: bool = False
    held_orders: list | None = None
    unreachable: set = attrs.field(factory=set)


class Fleet:
    """Nodes and engines with one store and one manual clock."""

    def __init__(self, nodes=4, domains=None, deployments=None, seed=1):
        self.clock = clocks.ManualClock(100.0)
        self.store = FakeStore(self.clock)
        self.rng = random.Random(seed)
        self.engines = {}
        self.instances = {}
        # Maps addresses to engines for the probers and the orders.
        self.engine_by_address = {}
        self.revision = 0
        self._spreading = False
        self.delivery_s = 0.0
        sizes = domains if domains is not None else {"d1": 5}
        for domain, count in sizes.items():
            for number in range(count):
                self.add_instance(f"{domain}-e{number}", domain)
        deployed = deployments or [schema.Deployment("chat", "m", 2)]
        self.settings = schema.Settings(
            deployments={d.name: d for d in deployed}
        )
        self.nodes = {}
        for number in range(nodes):
            self.add_node(f"n{number}")
        self.sync_instances()

    def add_instance(self, name, domain):
        self.engines[name] = FakeEngine(name, self.clock)
        self.list_instance(name, domain)

    def list_instance(self, name, domain):
        """Add an engine to the platform's list, at a new address."""
        address = f"127.0.0.1:{FIRST_PORT + len(self.engine_by_address)}"
        self.engine_by_address[address] = name
        self.instances[name] = tables.Instance(
            name, "1", tables.InstanceKind.ENGINE, address, domain, "f", "r", 8
        )

    def add_node(self, name):
        state = fleet.FleetState("site")
        state.settings, state.config_revision = self.settings, 1
        settings = schema.NodeSettings(
            name, "site", "r", "f", "127.0.0.1", 1, 2, 3, 4, "http://x"
        )
        control = tasks.ControlTasks(
            settings,
            state,
            self.store,
            self.clock,
            random.Random(self.rng.random()),
            lambda address: self._fetch(name, self.engine_by_address[address]),
            lambda order: self._order(
                name, self.engine_by_address[order.address], order.body
            ),
        )
        node = FakeNode(name, state, control)
        self.nodes[name] = node
        state.subscribe(lambda message: self._spread(node, message))
        for other in self.nodes.values():
            for number, known in enumerate(self.nodes, start=1):
                address = f"127.0.0.1:{number}"
                update = types.NodeUpdate(known, 1, "up", "r", "f", address)
                other.state.publish(update, self.clock.now_s)
        return node

    def sync_instances(self):
        """Publish the platform's list to every node."""
        self.revision += 1
        raw = [plain.instance_to_dict(i) for i in self.instances.values()]
        message = types.InstanceUpdate(self.revision, raw)
        for node in self.nodes.values():
            node.state.publish(message, self.clock.now_s)

    def deploy(self, *deployments):
        for node in self.nodes.values():
            node.state.settings = schema.Settings(
                deployments={d.name: d for d in deployments}
            )
            node.state.config_revision += 1

    async def run(self, seconds, step_s=STEP_S):
        for _ in range(int(seconds / step_s)):
            self.clock.advance(step_s)
            for node in self.nodes.values():
                if not node.paused:
                    probes = node.tasks.tick()
                    await asyncio.gather(*probes)
                    await node.tasks.manager.wait_for_calls()
            for node in self.nodes.values():
                node.state.expire(self.clock.now_s)

    def holder(self, domain="d1"):
        """Return the node that acts as the holder; assert at most one does."""
        now = self.clock.now_s
        held = [
            n
            for n in self.nodes.values()
            if any(
                r.domain == domain for r in n.tasks.manager.held_domains(now)
            )
        ]
        assert len(held) <= 1
        return held[0] if held else None

    def groups(self, domain="d1"):
        return self.store.value(domain)["groups"]

    def ready(self, node=None):
        """Return the groups that are ready in the tables of a node."""
        state = (node or next(iter(self.nodes.values()))).state
        now = self.clock.now_s
        return sorted(
            g for g in list(state.reports) if state.group_status(g, now).ready
        )

    def live_nodes(self, *names):
        """Report all other nodes as down to every node."""
        for down in self.nodes.keys() - set(names):
            update = types.NodeUpdate(down, 1, "down", "r", "f", down)
            for node in self.nodes.values():
                node.state.publish(update, self.clock.now_s)

    def _spread(self, origin, message):
        if origin.isolated or self._spreading:
            return
        if isinstance(message, types.NodeUpdate | types.InstanceUpdate):
            return
        self._spreading = True
        started_s = time.process_time()
        received = copy.deepcopy(message)
        for node in self.nodes.values():
            if node is not origin and not node.isolated:
                node.state.publish(received, self.clock.now_s)
        self._spreading = False
        self.delivery_s += time.process_time() - started_s

    async def _fetch(self, node, name):
        engine = self.engines[name]
        if engine.unresponsive or name in self.nodes[node].unreachable:
            raise httpclient.HTTPClientError(599, "timeout")
        if not engine.up:
            raise ConnectionRefusedError
        return engine.status()

    async def _order(self, node, name, body):
        if self.nodes[node].held_orders is not None:
            self.nodes[node].held_orders.append((name, body))
            raise httpclient.HTTPClientError(599, "timeout")
        engine = self.engines[name]
        if engine.unresponsive or name in self.nodes[node].unreachable:
            raise httpclient.HTTPClientError(599, "timeout")
        if not engine.up:
            raise ConnectionRefusedError
        return engine.receive(body)
