"""Guards the instance list when the store returns from an older copy.

The entries of the copy are some seconds old until they are written again.
"""

import asyncio
import random

from balsamlug import clock as clocks
from balsamlug import state
from balsamlug import tables
from balsamlug.config import schema
from balsamlug.controller import watchers
from balsamlug.store import objects
from balsamlug.store import positions

NODE = schema.NodeSettings(
    "n", "s", "r", "z", "127.0.0.1", 1, 2, 3, 4, "http://127.0.0.1:5"
)
LIVE = tables.InstanceState.LIVE
LEAVING = tables.InstanceState.LEAVING


def _entry(name, state_name="live", incarnation="1", orders=0, group=""):
    member = None
    if group:
        member = {
            "group": group,
            "generation": 1,
            "rank": 0,
            "state": "ready",
            "model": "m",
        }
    return {
        "id": name,
        "incarnation": incarnation,
        "kind": "engine",
        "address": "127.0.0.1:9",
        "state": state_name,
        "announcement": {
            "membership": member,
            "staged": [],
            "orders": orders,
            "busy": False,
            "active": 0,
            "queued": 0,
        },
    }


class _Store:
    """Returns scripted lists in order."""

    def __init__(self, answers) -> None:
        self.answers = list(answers)

    async def instances(self, since=None, timeout_ms=0, grace_s=0.0):
        era, revision, entries, written = self.answers.pop(0)
        return objects.InstanceList(
            tuple(entries),
            positions.position(era, revision),
            written=frozenset(written),
        )


def _states(*steps):
    """Return the local list after each read.

    Args:
      steps: seconds before the read, era, revision, entries and the names of
        the entries that were written since the read before.
    """
    clock = clocks.ManualClock(100.0)
    fleet = state.FleetState("s")
    store = _Store(step[1:] for step in steps)
    watcher = watchers.Watchers(NODE, fleet, store, clock, random.Random(1))
    source = watcher._sources[-1]
    seen = []

    async def main() -> None:
        for step in steps:
            clock.advance(step[0])
            if source.since is not None and step[1] > positions.era_of(
                source.since
            ):
                source.since = None
            await watcher._read(source)
            seen.append(dict(fleet.instances))

    asyncio.run(main())
    return seen


def test_instance_that_left_is_not_used_again():
    left, present = _entry("a"), _entry("b")
    seen = _states(
        (0, 1, 10, [left, present], []),
        (1, 1, 12, [present], ["a"]),
        (1, 2, 8, [left, present], []),
        (1, 2, 9, [left, present], ["b"]),
        (3, 2, 11, [present], ["a"]),
    )
    assert [set(names) for names in seen] == [{"a", "b"}] + [{"b"}] * 4


def test_instance_that_leaves_stays_so_until_it_is_written_again():
    seen = _states(
        (0, 1, 10, [_entry("a", "leaving")], []),
        (1, 2, 8, [_entry("a")], []),
        (1, 2, 9, [_entry("a", "leaving")], ["a"]),
    )
    assert [s["a"].state for s in seen] == [LEAVING] * 3


def test_entry_from_before_an_accepted_order_is_not_used():
    seen = _states(
        (0, 1, 10, [_entry("a", orders=7, group="g2")], []),
        (1, 2, 8, [_entry("a", orders=5, group="g1")], []),
        (1, 2, 9, [_entry("a", orders=8)], ["a"]),
    )
    members = [s["a"].announcement.membership for s in seen]
    assert [m.group if m else "" for m in members] == ["g2", "g2", ""]


def test_restarted_instance_is_not_replaced_by_its_former_life():
    seen = _states(
        (0, 1, 10, [_entry("a", incarnation="20")], []),
        (1, 2, 8, [_entry("a", incarnation="9", orders=5)], []),
    )
    assert [s["a"].incarnation for s in seen] == ["20", "20"]


def test_instance_that_the_copy_lacks_is_retained_for_the_grace_time():
    both = [_entry("a"), _entry("b")]
    seen = _states(
        (0, 1, 10, both, []),
        (1, 2, 8, both[:1], []),
        (1, 2, 9, both, ["b"]),
        (3, 2, 9, both, []),
    )
    assert all(set(names) == {"a", "b"} for names in seen)


def test_entries_of_the_copy_hold_when_they_would_have_been_removed():
    # The store keeps an entry only while its instance writes it.
    back = [_entry("a"), _entry("b")]
    seen = _states(
        (0, 1, 10, back, []),
        (1, 1, 12, back[1:], ["a"]),
        (1, 2, 8, back, []),
        (5, 2, 8, back, []),
    )
    assert set(seen[2]) == {"b"}
    assert set(seen[3]) == {"a", "b"}


def test_second_return_is_corrected_like_the_first():
    both = [_entry("a"), _entry("b")]
    seen = _states(
        (0, 1, 10, both, []),
        (1, 2, 8, both, []),
        (1, 2, 9, both[1:], ["a"]),
        (3, 2, 10, both[1:], []),
        (1, 3, 8, both, []),
    )
    assert set(seen[3]) == set(seen[4]) == {"b"}


def test_return_of_a_store_whose_first_era_is_zero_is_corrected():
    both = [_entry("a"), _entry("b")]
    seen = _states(
        (0, 0, 10, both, []),
        (1, 0, 12, both[1:], ["a"]),
        (1, 1, 8, both, []),
    )
    assert set(seen[2]) == {"b"}
