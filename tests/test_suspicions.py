"""Guards the limit of the suspicions that a process keeps."""

import collections
import random

import pytest

from balsamlug import clock as clocks
from balsamlug import quarantine
from balsamlug import retention
from balsamlug import snapshots
from balsamlug import state as fleet
from balsamlug import validation
from balsamlug.membership import links
from balsamlug.messages import codec
from balsamlug.messages import types

LIMIT = retention.MAX_SUSPICIONS
START_S = 100.0
PART = "part:5c1e07a2"


def _publish(state, name: str, now_s: float, crashes=1, age_s=0.0) -> bool:
    update = types.SuspicionUpdate(name, crashes, int(age_s * 1000))
    return state.publish(update, now_s)


def _storm(state, count: int, crashes: int = 1, prefix: str = "") -> float:
    """Publish suspicions 10 ms apart, each of another subject."""
    now_s = START_S
    for i in range(count):
        now_s = START_S + i / 100
        assert _publish(state, f"{prefix}{i}@g:{i}", now_s, crashes)
        assert len(state.suspicions) <= LIMIT
    return now_s


def test_number_of_suspicions_is_limited_and_the_newest_are_kept():
    state = fleet.FleetState("s")
    _storm(state, 3 * LIMIT)
    kept = sorted(int(name.split("@")[0]) for name in state.suspicions)
    assert len(kept) >= LIMIT - retention.DROP_BATCH
    assert kept == list(range(3 * LIMIT - len(kept), 3 * LIMIT))


def test_cleared_suspicions_are_dropped_before_older_ones():
    state = fleet.FleetState("s")
    old = [f"old{i}@g:{i}" for i in range(100)]
    assert all(_publish(state, name, START_S - 1) for name in old)
    _storm(state, 2 * LIMIT, crashes=2)
    assert set(old) <= state.suspicions.keys()


@pytest.mark.parametrize("count", [LIMIT + 1, 3 * LIMIT, 12 * LIMIT])
def test_dropped_suspicions_do_not_return_from_a_peer(count):
    state, received = fleet.FleetState("s"), []
    now_s = _storm(state, count)
    state.subscribe(received.append)
    for i in range(count):
        # A copy excludes the time in transit from its age.
        age_s = max(0.0, now_s - START_S - i / 100 - 1.0)
        assert not _publish(state, f"{i}@g:{i}", now_s, age_s=age_s)
    assert not received


def test_storm_does_not_release_a_part_in_quarantine_for_a_new_node():
    clock = clocks.ManualClock(START_S - 1)
    state = fleet.FleetState("s")
    table = quarantine.Quarantine(state, clock)
    for crash in range(5):
        table.record_crash([PART], "g", crash)
    for i in range(2):
        assert _publish(state, f"{PART}?{i}", START_S - 1)
    now_s = _storm(state, 20 * LIMIT)
    clock.advance(now_s - clock.monotonic())
    joined = fleet.FleetState("s")
    joined_table = quarantine.Quarantine(joined, clock)
    for message in snapshots.messages(state, now_s):
        joined.publish(message, now_s)
    assert table.crashes(PART) == joined_table.crashes(PART) == 5
    assert sum("?" in name for name in joined.suspicions) == 2


def test_parts_in_quarantine_are_dropped_as_a_whole_and_oldest_first():
    state = fleet.FleetState("s")
    crashes = [
        (i + 10 * n, f"part:{i}@g:{n}") for i in range(LIMIT) for n in range(5)
    ]
    for crashed_s, name in sorted(crashes):
        assert _publish(state, name, START_S + crashed_s)
        assert len(state.suspicions) <= LIMIT
    names = (name.partition("@")[0] for name in state.suspicions)
    counts = collections.Counter(names)
    parts = sorted(int(name.removeprefix("part:")) for name in counts)
    assert parts == list(range(LIMIT - len(parts), LIMIT))
    # A batch may end within the crashes of the oldest part.
    assert all(counts[f"part:{i}"] == 5 for i in parts[1:])


def test_clear_of_a_dropped_suspicion_is_applied():
    state = fleet.FleetState("s")
    now_s = _storm(state, 2 * LIMIT)
    assert "0@g:0" not in state.suspicions
    assert _publish(state, "0@g:0", now_s, crashes=2)
    assert not _publish(state, "0@g:0", now_s, crashes=1)


def test_all_suspicions_fit_in_the_write_buffer_of_a_link():
    state, rng = fleet.FleetState("s"), random.Random(1)
    for _ in range(LIMIT):
        text = f"{rng.getrandbits(64):x}@"
        name = text.rjust(validation.MAX_NAME_LENGTH, "\U0001f9e8")
        assert _publish(state, name, START_S)
    messages = snapshots.messages(state, START_S + fleet.SUSPICION_LIFETIME_S)
    size = sum(len(codec.encode(message)) for message in messages)
    assert len(messages) == LIMIT
    assert size <= links.MAX_WRITE_BUFFER_BYTES
