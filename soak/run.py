"""One run of the soak with a seed."""

import asyncio
import collections
import pathlib
import time

import attrs

from soak import clients
from soak import faults
from soak import plan
from soak import promises
from soak import world as worlds

# Checks of revoked keys follow each other after this time.
CHECK_S = 0.5


@attrs.frozen
class Outcome:
    """What a run found.

    Attributes:
      broken: promises that did not hold, empty if all did.
      answers: number of answers by kind, status and wholeness.
      recovered_s: time from the last fault until everything served.
    """

    seed: int
    broken: list[str]
    answers: collections.Counter
    recovered_s: float


async def play(seed: int, series: int, directory: pathlib.Path) -> Outcome:
    """Run the series of faults of a seed under load."""
    recovered_s = 0.0
    async with worlds.running(directory) as world:
        stop = asyncio.Event()
        load = _load(world, stop)
        listed = plan.drawn(seed, series, worlds.NODES, len(world.members))
        await asyncio.gather(*(faults.play(world, fault) for fault in listed))
        ended_s = time.monotonic()
        try:
            await world.until(world.serves, "recovery", worlds.RECOVER_S)
        except worlds.NotRecovered as exc:
            world.record.violations.append(str(exc))
        recovered_s = time.monotonic() - ended_s
        stop.set()
        await asyncio.gather(*load)
        broken = world.judge.finish()
    return Outcome(seed, broken, world.judge.seen, recovered_s)


def _load(world: worlds.World, stop: asyncio.Event) -> list[asyncio.Task]:
    kinds = [promises.STREAM] * worlds.STREAMS_PER_NODE
    kinds += [promises.BOOKING] * worlds.BOOKINGS_PER_NODE
    callers = [
        clients.caller(
            kind,
            node.callers.port,
            node.number,
            worlds.KEY,
            world.judge.answered,
            stop,
        )
        for node in world.nodes
        for kind in kinds
    ]
    callers += [_keys(world, node, stop) for node in world.nodes]
    return [asyncio.create_task(each) for each in callers]


async def _keys(
    world: worlds.World, node: worlds.Node, stop: asyncio.Event
) -> None:
    """Ask with every revoked key now and then."""
    while not stop.is_set():
        await asyncio.sleep(CHECK_S)
        for key in list(world.revoked):
            conn = clients.Connection(node.callers.port, node.number)
            name = clients.fresh_id(promises.STREAM, node.number)
            answer = await conn.ask(promises.STREAM, name, key)
            conn.close()
            world.judge.asked_with(key, answer)
