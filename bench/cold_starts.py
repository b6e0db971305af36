"""Measures how many permitted requests reach a cold instance.

Nodes with views of their own send to it without a network.
"""

import collections
from collections.abc import Sequence
import random
from typing import Annotated

import typer

from balsamlug import catalogue as catalogues
from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import limit_table
from balsamlug import plain
from balsamlug import state
from balsamlug import tables
from balsamlug.gateway import warmup
from balsamlug.gateway import warmup_permits
from balsamlug.messages import types
from balsamlug.observability import metrics as metric

PER_S = 17.0
BOUND = warmup.Bound(1.5, 5)
WARMUP_MS = 20_000
STEP_S = 0.01
# All nodes have then waited for the interval after their start.
STARTED_S = 10.0


def node_update(name: str, node_state: str = "up") -> types.NodeUpdate:
    """Return the message that states the state of a node."""
    return types.NodeUpdate(name, 1, node_state, "r", "z", "127.0.0.1:1")


def entry(left_ms: int = WARMUP_MS, name: str = "i") -> tables.Instance:
    """Return the list entry of an instance."""
    return tables.Instance(
        name,
        "1",
        tables.InstanceKind.SERVICE,
        "127.0.0.1:1",
        "",
        "z",
        "",
        service="s",
        warmup_left_ms=left_ms,
    )


class Node:
    """Permits of one node with its own view of the fleet."""

    def __init__(
        self,
        name: str,
        live: Sequence[str],
        clock: clocks.ManualClock,
        seeds: int = 0,
    ) -> None:
        self.name, self.clock = name, clock
        self.fleet = state.FleetState("r")
        self.fleet.catalogue = catalogues.Catalogue(
            1, services=(catalogues.Service("s", warmup_per_s=PER_S),)
        )
        self.permits = warmup_permits.WarmupPermits(
            name,
            BOUND,
            self.fleet,
            clock,
            random.Random(name),
            metric.GatewayMetrics(),
            seeds,
        )
        self.fleet.subscribe(self.permits.on_update)
        for other in live:
            self.fleet.publish(node_update(other), 0.0)

    def list(self, *entries: tables.Instance) -> None:
        """Receive a complete list."""
        raw = [plain.instance_to_dict(e) for e in entries]
        revision = self.fleet.instances_revision + state.LIST_REVISION_STEP
        self.fleet.publish(types.InstanceUpdate(revision, raw), 0.0)

    def change(self, changed: tables.Instance) -> None:
        """Receive the change of an entry."""
        base = self.fleet.instances_revision
        raw = [plain.instance_to_dict(changed)]
        self.fleet.publish(types.InstanceDelta(base, base + 2, raw, []), 0.0)

    def send(self, name: str = "i", counts: bool = True) -> bool:
        """Send a request if there is a permit; return whether it was sent."""
        key = limit_table.instance_key(self.fleet.instances[name])
        try:
            chosen = self.permits.accepting([key], lambda k: k)
        except exceptions.WarmingUp:
            return False
        self.permits.settle(self.permits.take(chosen[0]), counts)
        return counts


def fleet_of(
    count: int,
    views: int = 1,
    clock: clocks.ManualClock | None = None,
    known: bool = False,
) -> list[Node]:
    """Return nodes in disjoint views.

    Args:
      known: whether the nodes knew the other views before they lost them.
    """
    clock = clock or clocks.ManualClock(100.0)
    names = [f"n-{number}" for number in range(count)]
    nodes = []
    for view in range(views):
        live = names[view::views]
        nodes += [Node(name, names if known else live, clock) for name in live]
        if not known:
            continue
        for node in nodes[-len(live) :]:
            for lost in set(names) - set(live):
                node.fleet.publish(node_update(lost, "down"), 0.0)
    return nodes


def run(
    nodes: Sequence[Node], demand: Sequence[float], seconds: float, seed: int
) -> list[float]:
    """Return when requests were sent under demand per second of each node."""
    rng = random.Random(seed)
    clock, sent = nodes[0].clock, []
    for _ in range(round(seconds / STEP_S)):
        clock.advance(STEP_S)
        for node, per_s in zip(nodes, demand, strict=True):
            if rng.random() < per_s * STEP_S and node.send():
                sent.append(clock.now_s)
    return sent


def largest_second(sent_s: Sequence[float]) -> int:
    """Return the most requests in any second."""
    window, largest = collections.deque(), 0
    for at_s in sent_s:
        window.append(at_s)
        while at_s - window[0] >= 1 - STEP_S / 2:
            window.popleft()
        largest = max(largest, len(window))
    return largest


def main(
    seconds: Annotated[float, typer.Option()] = 10.0,
    seed: Annotated[int, typer.Option()] = 1,
) -> None:
    """Print the requests per second sent, and the most in one second."""
    for count in (1, 2, 8, 15, 40, 93):
        for total in (50, 200, 2000):
            nodes = fleet_of(count)
            nodes[0].clock.advance(STARTED_S)
            for node in nodes:
                node.list(entry())
            sent = run(nodes, [total / count] * count, seconds, seed)
            typer.echo(
                f"{count} nodes, {total}/s: {len(sent) / seconds:.1f},"
                f" at most {largest_second(sent)}"
            )


if __name__ == "__main__":
    typer.run(main)
