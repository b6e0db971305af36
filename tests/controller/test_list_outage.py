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
    """Returns scripted lists and failures in order."""

    def __init__(self, *answers) -> None:
        self.answers = list(answers)

    async def instances(self, since=None, timeout_ms=0, grace_s=0.0):
        answer = self.answers.pop(0)
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
