"""Measures the cost of ownership and health checks per node.

Prints the CPU time of a tick, the bytes of domain objects and the store calls.
Start it with `python -m bench.ownership`. The clock is injected. Engines and
store are in memory, so the figures do not include the cost of HTTP.
"""

import asyncio
import json
import statistics
import time
from typing import Annotated

import attrs
import typer

from balsamlug.config import schema
from balsamlug.messages import codec
from balsamlug.messages import types
from tests.ownership import harness

WARM_UP_S = 30
MEASURED_S = 10
TICK_S = 0.5


@attrs.define
class Cost:
    """Measures of one size.

    Attributes:
      tick_ms: mean CPU time of a tick, for each node.
      worst_ms: CPU time of the longest tick.
      object_bytes: size of the largest domain object as JSON.
      update_bytes: size of the message with this object.
    """

    tick_ms: list[float]
    worst_ms: float
    object_bytes: int
    update_bytes: int
    calls_per_s: float
    groups: int


def measure_ticks(
    fleet: harness.Fleet, tick_times_ms: dict[str, list[float]]
) -> None:
    """Wrap the ticks of all nodes to record their CPU time.

    The harness delivers messages to the other nodes within a tick. This time
    is subtracted.
    """
    for node in fleet.nodes.values():
        tick = node.tasks.tick

        def measured_tick(tick=tick, name=node.id):
            started_s = time.process_time()
            fleet.delivery_s = 0.0
            probes = tick()
            cpu_s = time.process_time() - started_s - fleet.delivery_s
            tick_times_ms.setdefault(name, []).append(cpu_s * 1000)
            return probes

        node.tasks.tick = measured_tick


async def measure(servers: int, domains: int, nodes: int, size: int) -> Cost:
    """Return the cost at one size, measured after the groups have formed."""
    sizes = {
        f"d{d:02}": servers // domains + (d < servers % domains)
        for d in range(domains)
    }
    deployments = [schema.Deployment("chat", "m", size)]
    fleet = harness.Fleet(nodes, sizes, deployments)
    await fleet.run(WARM_UP_S, TICK_S)
    tick_times_ms: dict[str, list[float]] = {}
    measure_ticks(fleet, tick_times_ms)
    fleet.store.calls.clear()
    await fleet.run(MEASURED_S, TICK_S)
    objects = {d: fleet.store.value(d) for d in sizes}
    largest = max(objects, key=lambda d: len(json.dumps(objects[d])))
    update = types.DomainUpdate(largest, 1, objects[largest])
    return Cost(
        [statistics.fmean(s) for s in tick_times_ms.values()],
        max(max(s) for s in tick_times_ms.values()),
        len(json.dumps(objects[largest])),
        len(codec.encode(update)),
        len(fleet.store.calls) / MEASURED_S,
        sum(len(v["groups"]) for v in objects.values()),
    )


# Servers, fabric domains and nodes. The first row is the present size of the
# system and the last one the size that it is designed for.
SIZES = ((70, 3, 12), (150, 5, 12), (300, 9, 60), (600, 18, 360))


def main(
    largest: Annotated[int, typer.Option(help="most servers")] = 600,
) -> None:
    """Print a line for each size."""
    typer.echo(
        "servers domains nodes size groups  tick ms mean/busiest/worst"
        "  object B  update B  store calls/s"
    )
    for servers, domains, nodes in SIZES:
        if servers > largest:
            continue
        for size in (4, 8, 32):
            cost = asyncio.run(measure(servers, domains, nodes, size))
            typer.echo(
                f"{servers:7} {domains:7} {nodes:5} {size:4} {cost.groups:6}"
                f"  {statistics.fmean(cost.tick_ms):7.2f}"
                f" {max(cost.tick_ms):7.2f} {cost.worst_ms:7.2f}"
                f"  {cost.object_bytes:13} {cost.update_bytes:9}"
                f"  {cost.calls_per_s:13.1f}"
            )


if __name__ == "__main__":
    typer.run(main)
