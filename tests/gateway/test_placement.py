"""Plays loads on groups and checks who is served and what refusals say."""

import random

import attrs
import pytest

from balsamlug import exceptions
from balsamlug.gateway import placement
from bench import placing

ENGINE = placing.ENGINE
MODEL = placing.MODEL
WORK = placement.Work("m", 1000, target_left_ms=400, deadline_left_ms=6000)


def _candidate(name: str, present: int) -> placement.Candidate:
    return placement.Candidate(name, 1, f"i-{name}", "a:1", MODEL, present)


def _choose(work: placement.Work, *present: int) -> placement.Placed:
    candidates = [_candidate(f"g{i}", n) for i, n in enumerate(present)]
    return placement.choose(work, candidates, random.Random(1))


def test_the_least_loaded_group_is_chosen():
    assert _choose(WORK, 9, 3, 12).candidate.group == "g1"


def test_equal_groups_are_chosen_evenly():
    rng = random.Random(2)
    candidates = [_candidate(f"g{i}", 4) for i in range(4)]
    chosen = [
        placement.choose(WORK, candidates, rng).candidate.group
        for _ in range(400)
    ]
    assert all(chosen.count(f"g{i}") > 60 for i in range(4))


def test_no_whole_group_is_a_refusal_that_names_a_time():
    with pytest.raises(exceptions.NoReadyGroup) as refusal:
        _choose(WORK)
    assert refusal.value.outcome == exceptions.NOT_RUN
    assert refusal.value.retry_after_ms > 0


def test_a_free_slot_is_never_refused():
    late = attrs.evolve(WORK, target_left_ms=-500.0)
    assert _choose(late, 12).candidate.group == "g0"


def test_a_request_that_would_be_late_leaves_the_slot_to_others():
    with pytest.raises(exceptions.QueueFull):
        _choose(WORK, 20, 20)


def test_a_returned_request_may_wait_in_the_engine_behind_others():
    returned = attrs.evolve(WORK, returned=True, target_left_ms=-800.0)
    placed = _choose(returned, 16, 18)
    assert placed.urgency > _choose(WORK, 1).urgency


def test_a_resumed_stream_goes_first_and_is_not_refused():
    resumed = attrs.evolve(WORK, resumed=True)
    placed = _choose(resumed, 30)
    assert placed.urgency == placement.URGENCY_RESUMED


def test_times_to_come_back_are_spread():
    rng = random.Random(3)
    times = set()
    for _ in range(50):
        with pytest.raises(exceptions.QueueFull) as refusal:
            placement.choose(WORK, [_candidate("g", 22)], rng)
        times.add(refusal.value.retry_after_ms)
    assert max(times) - min(times) > 500


def test_an_overload_serves_a_full_batch_on_time():
    """Offers three times what a group can run, for ten seconds."""
    rng = random.Random(4)
    now_ms, present, ends = 0.0, 0, []
    late, served = 0, 0
    gap_ms = MODEL.request_ms() / ENGINE.slots / 3
    while now_ms < 10_000:
        now_ms += rng.expovariate(1 / gap_ms)
        present -= sum(end <= now_ms for end in ends)
        ends = [end for end in ends if end > now_ms]
        try:
            placed = placement.choose(WORK, [_candidate("g", present)], rng)
        except exceptions.QueueFull:
            continue
        served += 1
        late += placed.wait_ms > WORK.target_left_ms
        present += 1
        ends.append(
            now_ms + MODEL.slot_wait_ms(present - 1) + MODEL.request_ms()
        )
    assert late == 0
    assert served >= 0.9 * 10_000 / MODEL.request_ms() * ENGINE.slots


GROUPS = 12
NODES = 100


def _share_that_waits(interval_s: float, uses_unseen: bool) -> float:
    """Plays nodes that hear of each other's requests at intervals only.

    The load is seven tenths of what the groups can run at once.

    Returns:
      share of requests that found no free slot.
    """
    rng = random.Random(5)
    request_s = MODEL.request_ms() / 1000
    rate = 0.7 * GROUPS * ENGINE.slots / request_s
    unseen = rate * interval_s if uses_unseen else 0.0
    ends = [[] for _ in range(GROUPS)]
    told = [0] * GROUPS
    now_s, told_s, waiting, count = 0.0, 0.0, 0, 0
    own = {}
    while now_s < 30 * request_s:
        now_s += rng.expovariate(rate)
        ends = [[end for end in group if end > now_s] for group in ends]
        if now_s - told_s >= interval_s:
            told, told_s, own = [len(group) for group in ends], now_s, {}
        mine = own.setdefault(rng.randrange(NODES), [0] * GROUPS)
        candidates = [
            _candidate(f"g{n}", told[n] + mine[n]) for n in range(GROUPS)
        ]
        try:
            placed = placement.choose(WORK, candidates, rng, unseen)
        except exceptions.QueueFull:
            waiting, count = waiting + 1, count + 1
            continue
        number = int(placed.candidate.group[1:])
        mine[number] += 1
        waiting += len(ends[number]) >= ENGINE.slots
        count += 1
        ends[number].append(now_s + rng.uniform(0.5, 1.5) * request_s)
    return waiting / count


@pytest.mark.parametrize("interval_s", [0.2, 0.8])
def test_nodes_with_old_news_do_not_all_choose_the_same_group(interval_s):
    """Guards against full groups beside groups with free slots."""
    least_loaded = _share_that_waits(interval_s, uses_unseen=False)
    assert _share_that_waits(interval_s, uses_unseen=True) < least_loaded / 2


def test_a_group_with_a_free_slot_is_found_whatever_is_unseen():
    candidates = [_candidate("g0", 40), _candidate("g1", 12)]
    for seed in range(20):
        placed = placement.choose(WORK, candidates, random.Random(seed), 30.0)
        assert placed.candidate.present < 40


def test_fresh_requests_pass_those_that_wait_behind_them():
    fresh = [attrs.evolve(_candidate("g0", 20), waiting=8)]
    placed = placement.choose(WORK, fresh, random.Random(1))
    assert placed.urgency == placement.URGENCY_NEW
    returned = attrs.evolve(WORK, returned=True, target_left_ms=-500.0)
    with pytest.raises(exceptions.QueueFull):
        placement.choose(returned, fresh, random.Random(1))


def test_a_full_queue_of_an_engine_is_never_exceeded():
    full = attrs.evolve(_candidate("g0", 2 * ENGINE.slots), waiting=13)
    with pytest.raises(exceptions.QueueFull):
        placement.choose(WORK, [full], random.Random(1))
