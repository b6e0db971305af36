"""Guards invariant I8 under a thousand changes by two concurrent operators.

Nodes restart and the store loses requests and responses meanwhile. Accepted
revisions must be in force on all nodes in time and must never revert.
"""

import asyncio
import random
import time

import pytest

from balsamlug import exceptions
from balsamlug.config import revisions
from balsamlug.store import client
from tests import cluster as clusters
from tests.membership import test_dissemination

CHANGES = 1000
NODES = 12
IN_FORCE_S = 6.0
RESTART_EVERY_S = 0.8
OPERATOR_PAUSE_S = 0.02


class OperatorStore(client.ObjectStore):
    """Store client of an operator that loses requests and responses."""

    def __init__(self, shared, rng):
        self.shared = shared
        self.rng = rng
        self.written_s = {}

    async def get(self, kind, name):
        await asyncio.sleep(0)
        return self.shared.objects[kind, name]

    async def put(self, kind, name, value, expected_version):
        await asyncio.sleep(0)
        if self.rng.random() < 0.1:
            raise exceptions.StoreOutage("request lost")
        version = self.shared.objects[kind, name].version
        if version != expected_version:
            raise exceptions.StoreConflict(version)
        written = self.shared.write(kind, name, value)
        self.written_s[value["revision"]] = time.monotonic()
        if self.rng.random() < 0.1:
            raise exceptions.StoreOutage("answer lost")
        return written


class Run:
    """Runs operators, restarts and the check of every node's revision."""

    def __init__(self, scenario, seed):
        self.cluster = scenario.cluster
        self.rng = random.Random(seed)
        self.store = OperatorStore(self.cluster.store, self.rng)
        self.accepted = []
        self.conflicts = 0
        self.restarts = 0
        self.started_s = dict.fromkeys(self.cluster.nodes, time.monotonic())

    async def apply_changes(self, name):
        while len(self.accepted) < CHANGES:
            base = clusters.BASE.format(queue=100 + len(self.accepted))
            try:
                read_revision = (await revisions.read(self.store)).revision
                self.accepted.append(
                    await revisions.apply(
                        self.store, base, {}, read_revision, name
                    )
                )
            except exceptions.ConfigConflict:
                self.conflicts += 1
            except exceptions.StoreOutage:
                pass
            await asyncio.sleep(self.rng.uniform(0, OPERATOR_PAUSE_S))

    async def restart_nodes(self):
        while True:
            await asyncio.sleep(RESTART_EVERY_S)
            name = self.rng.choice(sorted(self.cluster.nodes))
            self.started_s[name] = float("inf")
            await self.cluster.crash(name)
            await self.cluster.start(name)
            self.started_s[name] = time.monotonic()
            self.restarts += 1

    async def check_revisions(self):
        while True:
            now_s = time.monotonic()
            due = max(
                (
                    revision
                    for revision, written_s in self.store.written_s.items()
                    if now_s - written_s > IN_FORCE_S
                ),
                default=0,
            )
            for name, node in self.cluster.nodes.items():
                if now_s - self.started_s[name] > IN_FORCE_S:
                    assert node.state.config_revision >= due, name
                elif not node.not_ready():
                    # A node that was just started is ready only when it is
                    # not behind the others.
                    assert node.state.config_revision >= due, name
            await asyncio.sleep(0.05)


@pytest.mark.parametrize("seed", [1])
def test_thousand_changes_are_in_force_everywhere_and_never_revert(seed):
    async def scenario():
        async with test_dissemination.Scenario(NODES) as started:
            run = Run(started, seed)
            # The revisions of the operators continue those of the scenario.
            started.cluster.store.configure(started.revision)
            restarts = asyncio.create_task(run.restart_nodes())
            checker = asyncio.create_task(run.check_revisions())
            await asyncio.gather(run.apply_changes("a"), run.apply_changes("b"))
            restarts.cancel()
            await asyncio.wait((restarts,))
            names = set(started.cluster.settings) - set(started.cluster.nodes)
            if names:
                await started.cluster.start(*names)
            last = max(run.store.written_s)
            await clusters.until(
                lambda: started.cluster.revisions() == {last}, IN_FORCE_S
            )
            checker.cancel()
            await asyncio.wait((checker,))
            if not checker.cancelled():
                checker.result()
            return run

    run = asyncio.run(scenario())
    assert len(set(run.accepted)) == len(run.accepted) >= CHANGES
    assert run.conflicts and run.restarts
