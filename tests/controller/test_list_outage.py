"""Guards instances against removal after an outage of the store.

Heartbeats do not reach the store in an outage, so entries expire although the
instances run.
"""

import asyncio
import random

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import state
from balsamlug.config import schema
from balsamlug.controller import watchers
from balsamlug.store import objects

NODE = schema.NodeSettings(
    "n", "s", "r", "z", "127.0.0.1", 1, 2, 3, 4, "http://127.0.0.1:5"
)


def _entry(name: str) -> dict:
    return {
        "id": name,
        "incarnation": "1",
        "kind": "engine",
        "address": "127.0.0.1:9",
    }


class _Store:
    """Returns scripted lists and failures in order.

    Attributes:
      is_down: whether reads of other kinds fail.
      play: plays the steps that pass while a read of the list hangs.
    """

    def __init__(self, *answers) -> None:
        self.answers = list(answers)
        self.is_down = False
        self.play = None

    async def list(self, kind):
        del kind
        if self.is_down:
            raise exceptions.StoreOutage("down")
        return objects.Changes((), (), 1)

    async def watch(self, kind, *args):
        del args
        return await self.list(kind)

    async def instances(self, since=None, timeout_ms=0, grace_s=0.0):
        answer = self.answers.pop(0)
        if isinstance(answer, _Hang):
            await self.play(answer.steps)
            raise exceptions.StoreOutage("timeout")
        if isinstance(answer, Exception):
            raise answer
        revision, names = answer
        entries = tuple(_entry(n) for n in names)
        return objects.InstanceList(entries, revision)


def _instances_after_reads(clock_steps, *answers) -> list[set[str]]:
    clock = clocks.ManualClock()
    fleet = state.FleetState("s")
    watcher = watchers.Watchers(
        NODE, fleet, _Store(*answers), clock, random.Random(1)
    )
    source = watcher._sources[-1]
    seen = []

    async def main() -> None:
        for step_s in clock_steps:
            clock.advance(step_s)
            await watcher._read(source)
            seen.append(set(fleet.instances))

    asyncio.run(main())
    return seen


def test_entries_that_expired_during_an_outage_are_retained_for_a_grace_time():
    outage = exceptions.StoreOutage("down")
    seen = _instances_after_reads(
        [0, 0.1, 5.0, 1.0, 2.0],
        (5, ("a", "b")),
        outage,
        (9, ("a",)),
        (9, ("a",)),
        (9, ("a",)),
    )
    assert seen[2] == {"a", "b"}
    assert seen[3] == {"a", "b"}
    assert seen[4] == {"a"}


def test_entry_that_reappears_within_the_grace_time_is_never_removed():
    outage = exceptions.StoreOutage("down")
    seen = _instances_after_reads(
        [0, 0.1, 5.0, 1.0, 2.0],
        (5, ("a", "b")),
        outage,
        (9, ("a",)),
        (10, ("a", "b")),
        (10, ("a", "b")),
    )
    assert all(names == {"a", "b"} for names in seen)


def test_removed_entry_is_dropped_at_once_without_an_outage():
    seen = _instances_after_reads([0, 0.5], (5, ("a", "b")), (6, ("a",)))
    assert seen[1] == {"a"}


class _Hang:
    """Read of the list that fails after other steps."""

    def __init__(self, *steps) -> None:
        self.steps = steps


def _reads_beside_others(*steps) -> list[set[str]]:
    """Return the known instances after each read of the list that ends.

    Args:
      steps: seconds before the step, and the answer to a read of the list, or
        whether a read of the domain objects is answered.
    """
    clock = clocks.ManualClock()
    fleet = state.FleetState("s")
    store = _Store()
    watcher = watchers.Watchers(NODE, fleet, store, clock, random.Random(1))
    domains, listed = watcher._sources[-2:]
    seen = []

    async def play(steps) -> None:
        for step_s, what in steps:
            clock.advance(step_s)
            if isinstance(what, bool):
                store.is_down = not what
                await watcher._read(domains)
                continue
            store.answers.append(what)
            await watcher._read(listed)
            seen.append(set(fleet.instances))

    store.play = play
    asyncio.run(play(steps))
    return seen


def test_entry_removed_while_only_the_watch_of_the_list_hung_is_dropped():
    seen = _reads_beside_others(
        (0, (5, ("a", "b"))),
        (0.2, _Hang((1.2, True), (1.2, True), (0.1, True))),
        (0.1, (9, ("a",))),
    )
    assert seen[-1] == {"a"}


def test_entries_are_retained_after_an_outage_that_another_read_saw_end():
    seen = _reads_beside_others(
        (0, (5, ("a", "b"))),
        (0.2, _Hang((1.2, False), (1.2, False))),
        (0.5, True),
        (0.1, (9, ("a",))),
        (2.6, (9, ("a",))),
    )
    assert seen[-2] == {"a", "b"}
    assert seen[-1] == {"a"}


def test_entry_removed_after_connections_were_silent_twice_is_dropped():
    seen = _reads_beside_others(
        (0, (5, ("a", "b"))),
        (0.2, _Hang((1.5, False), (0.1, True), (0.9, True))),
        (0.1, _Hang((1.5, False), (0.1, True), (0.9, True))),
        (0.1, (9, ("a",))),
    )
    assert seen[-1] == {"a"}
