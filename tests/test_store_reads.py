"""Guards the choice of the nodes that read the object API for all others."""

import random

from balsamlug import store_reads
from balsamlug.messages import types

READER = b"reader"
OTHER = b"other-"


def _read(
    tier: int, tick: int, age_ms: int = 0, reader: bytes = READER
) -> types.StoreRead:
    return types.StoreRead(reader, tier, tick, age_ms)


def test_tiers_double_in_size():
    tiers = [store_reads.tier(rank) for rank in range(17)]
    assert tiers == [0] * 2 + [1] * 2 + [2] * 4 + [3] * 8 + [4]


def test_first_tier_always_reads_and_others_only_after_silence():
    reads = store_reads.StoreReads(started_s=0.0)
    reads.record(_read(0, 1), now_s=10.0)
    silent_s = 10.0 + store_reads.SILENCE_S
    assert [reads.is_due(n, silent_s - 0.01) for n in range(4)] == [
        *(True, False, False, False)
    ]
    assert [reads.is_due(n, silent_s) for n in range(4)] == [
        *(True, True, False, False)
    ]
    late_s = silent_s + 2 * store_reads.STEP_S
    assert all(reads.is_due(n, late_s) for n in range(4))


def test_node_that_starts_waits_for_statements_first():
    reads = store_reads.StoreReads(started_s=100.0)
    assert not reads.is_due(1, 100.0 + store_reads.SILENCE_S - 0.01)
    assert reads.is_due(1, 100.0 + store_reads.SILENCE_S)


def test_nodes_that_took_over_continue_until_an_earlier_tier_reads():
    reads = store_reads.StoreReads(started_s=0.0)
    reads.record(_read(0, 1), now_s=0.0)
    reads.record(_read(1, 1, reader=OTHER), now_s=9.0)
    assert reads.is_due(1, 10.0)
    assert not reads.is_due(2, 10.0)
    reads.record(_read(0, 2), now_s=10.0)
    assert not reads.is_due(1, 10.0)


def test_next_tier_reads_in_time_when_those_that_took_over_are_refused_too():
    reads = store_reads.StoreReads(started_s=0.0)
    reads.record(_read(0, 1), now_s=0.0)
    reads.record(_read(1, 1, reader=OTHER), now_s=9.0)
    due_s = next(s / 100 for s in range(900, 2000) if reads.is_due(2, s / 100))
    assert due_s - 9.0 <= store_reads.SILENCE_S + store_reads.STEP_S


def test_statement_that_a_paused_node_passes_on_late_is_not_new():
    # The time that it spent at the paused node is no part of its age.
    reads = store_reads.StoreReads(started_s=0.0)
    assert reads.record(_read(0, 7), now_s=1.0)
    assert not reads.record(_read(0, 7, age_ms=100), now_s=5.0)
    assert reads.is_due(1, 1.0 + store_reads.SILENCE_S)


def test_statements_within_an_interval_are_not_passed_on():
    reads = store_reads.StoreReads(started_s=0.0)
    assert reads.record(_read(0, 1), now_s=1.0)
    assert not reads.record(_read(0, 1, reader=OTHER), now_s=1.9)
    assert reads.record(_read(0, 2, reader=OTHER), now_s=2.0)


def test_message_states_the_age_of_the_newest_read():
    reads = store_reads.StoreReads()
    assert reads.message(0, 5.0) is None
    reads.record(_read(0, 3, age_ms=500), now_s=5.0)
    assert reads.message(0, 5.25) == _read(0, 3, age_ms=750)
    assert reads.message(0, 5.0 + store_reads.MAX_AGE_S) is None


def test_processes_that_have_ended_are_forgotten():
    reads = store_reads.StoreReads()
    rng = random.Random(1)
    for second in range(300):
        reader = store_reads.new_reader(rng)
        reads.record(_read(0, 1, reader=reader), now_s=float(second))
        reads.expire(float(second))
    assert len(reads._heard) <= store_reads.MAX_AGE_S
