"""Counts store calls during an outage of the object API and after it.

Start it with `python -m bench.outage`. Clock, store and engines are in memory.
During the outage every store call fails immediately, which is the worst case
for the number of calls.
"""

import asyncio
import collections
from typing import Annotated

import typer

from balsamlug.config import schema
from tests.ownership import harness

WARM_UP_S = 15


async def measure(
    nodes: int, domains: int, outage_s: int, after_s: int, seed: int
) -> tuple[list[int], list[int], int, int]:
    """Return the store calls of each second of the outage and after it.

    The other two values are the number of domains with the same lease holder
    as before the outage, and the seconds until every domain had a holder.
    """
    sizes = {f"d{d:02}": 1 for d in range(domains)}
    fleet = harness.Fleet(nodes, sizes, [schema.Deployment("c", "m", 2)], seed)
    await fleet.run(WARM_UP_S, 1)
    before = holders(fleet)
    fleet.store.calls.clear()
    fleet.store.down = True
    await fleet.run(outage_s, 1)
    during = take_calls_per_second(fleet)
    fleet.store.down = False
    recovery_s = 0
    while len(holders(fleet)) < domains and recovery_s < after_s:
        await fleet.run(1, 1)
        recovery_s += 1
    await fleet.run(after_s - recovery_s, 1)
    retained = sum(before[d] == n for d, n in holders(fleet).items())
    return during, take_calls_per_second(fleet), retained, recovery_s


def holders(fleet: harness.Fleet) -> dict[str, str]:
    """Return the node that acts as the lease holder of each domain."""
    return {
        record.domain: node.id
        for node in fleet.nodes.values()
        for record in node.tasks.manager.held_domains(fleet.clock.now_s)
    }


def take_calls_per_second(fleet: harness.Fleet) -> list[int]:
    """Return the calls of each second since the last reset and reset them."""
    count = collections.Counter(int(at_s) for at_s, _ in fleet.store.calls)
    fleet.store.calls.clear()
    return [count[s] for s in range(min(count), max(count) + 1)]


def main(
    nodes: Annotated[int, typer.Option()] = 360,
    domains: Annotated[int, typer.Option()] = 18,
    outage_s: Annotated[int, typer.Option()] = 300,
    after_s: Annotated[int, typer.Option()] = 30,
    seed: Annotated[int, typer.Option()] = 1,
) -> None:
    """Print the store calls during and after an outage."""
    during, after, retained, recovery_s = asyncio.run(
        measure(nodes, domains, outage_s, after_s, seed)
    )
    typer.echo(f"nodes {nodes}, domains {domains}, seed {seed}")
    typer.echo(
        f"during: {sum(during) / len(during):.1f} calls/s, most {max(during)},"
        f" last minute {sum(during[-60:]) / 60:.1f}"
    )
    typer.echo(f"after: {after}")
    typer.echo(f"all held after {recovery_s} s, {retained} by their old holder")


if __name__ == "__main__":
    typer.run(main)
