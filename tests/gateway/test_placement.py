"""Guards the placement of requests on groups under load, and its refusals."""

import random

import attrs
import pytest

from balsamlug import exceptions
from balsamlug.gateway import placement
from bench import placing_fleet

ENGINE = placing_fleet.ENGINE
MODEL = placing_fleet.MODEL
WORK = placement.Work("m", 1000, target_left_ms=400, deadline_left_ms=6000)


def _candidate(name: str, in_flight: int) -> placement.Candidate:
    return placement.Candidate(name, 1, f"i-{name}", "a:1", MODEL, in_flight)


def _choose(work: placement.Work, *in_flight: int) -> placement.Placement:
    candidates = [_candidate(f"g{i}", n) for i, n in enumerate(in_flight)]
    return placement.choose(work, candidates, random.Random(1))


def test_least_loaded_group_is_chosen():
    assert _choose(WORK, 9, 3, 12).candidate.group == "g1"


def test_equal_groups_are_chosen_evenly():
    rng = random.Random(2)
    candidates = [_candidate(f"g{i}", 4) for i in range(4)]
    chosen = [
        placement.choose(WORK, candidates, rng).candidate.group
        for _ in range(400)
    ]
    assert all(chosen.count(f"g{i}") > 60 for i in range(4))


def test_refusal_without_groups_has_a_retry_time():
    with pytest.raises(exceptions.NoReadyGroup) as refusal:
        _choose(WORK)
    assert refusal.value.outcome == exceptions.NOT_RUN
    assert refusal.value.retry_after_ms > 0


def test_free_slot_is_never_refused():
    late = attrs.evolve(WORK, target_left_ms=-500.0)
    assert _choose(late, 12).candidate.group == "g0"


def test_request_that_would_miss_its_target_is_refused():
    with pytest.raises(exceptions.QueueFull):
        _choose(WORK, 20, 20)


def test_retried_request_may_wait_in_the_engine_with_low_urgency():
    retried = attrs.evolve(WORK, retried=True, target_left_ms=-800.0)
    placed = _choose(retried, 16, 18)
    assert placed.urgency > _choose(WORK, 1).urgency


def test_resumed_stream_is_most_urgent_and_never_refused():
    resumed = attrs.evolve(WORK, resumed=True)
    placed = _choose(resumed, 30)
    assert placed.urgency == placement.URGENCY_RESUMED


def test_retry_times_have_jitter():
    rng = random.Random(3)
    times = set()
    for _ in range(50):
        with pytest.raises(exceptions.QueueFull) as refusal:
            placement.choose(WORK, [_candidate("g", 22)], rng)
        times.add(refusal.value.retry_after_ms)
    assert max(times) - min(times) > 500


def test_overload_serves_full_batches_on_time():
    """Offers three times the capacity of a group for ten seconds."""
    rng = random.Random(4)
    now_ms, in_flight, ends = 0.0, 0, []
    late, served = 0, 0
    gap_ms = MODEL.request_ms() / ENGINE.slots / 3
    while now_ms < 10_000:
        now_ms += rng.expovariate(1 / gap_ms)
        in_flight -= sum(end <= now_ms for end in ends)
        ends = [end for end in ends if end > now_ms]
        try:
            placed = placement.choose(WORK, [_candidate("g", in_flight)], rng)
        except exceptions.QueueFull:
            continue
        served += 1
        late += placed.wait_ms > WORK.target_left_ms
        in_flight += 1
        ends.append(
            now_ms + MODEL.slot_wait_ms(in_flight - 1) + MODEL.request_ms()
        )
    assert late == 0
    assert served >= 0.9 * 10_000 / MODEL.request_ms() * ENGINE.slots


GROUPS = 12
NODES = 100


def _share_that_waits(interval_s: float, uses_unreported: bool) -> float:
    """Simulates nodes that receive each other's counts only at intervals.

    The load is seven tenths of the capacity of the groups.

    Returns:
      share of requests that found no free slot.
    """
    rng = random.Random(5)
    request_s = MODEL.request_ms() / 1000
    rate = 0.7 * GROUPS * ENGINE.slots / request_s
    unreported = rate * interval_s if uses_unreported else 0.0
    ends = [[] for _ in range(GROUPS)]
    reported_counts = [0] * GROUPS
    now_s, reported_s, waiting, count = 0.0, 0.0, 0, 0
    local_counts = {}
    while now_s < 30 * request_s:
        now_s += rng.expovariate(rate)
        ends = [[end for end in group if end > now_s] for group in ends]
        if now_s - reported_s >= interval_s:
            reported_counts, reported_s, local_counts = (
                [len(group) for group in ends],
                now_s,
                {},
            )
        node_counts = local_counts.setdefault(
            rng.randrange(NODES), [0] * GROUPS
        )
        candidates = [
            _candidate(f"g{n}", reported_counts[n] + node_counts[n])
            for n in range(GROUPS)
        ]
        try:
            placed = placement.choose(WORK, candidates, rng, unreported)
        except exceptions.QueueFull:
            waiting, count = waiting + 1, count + 1
            continue
        number = int(placed.candidate.group[1:])
        node_counts[number] += 1
        waiting += len(ends[number]) >= ENGINE.slots
        count += 1
        ends[number].append(now_s + rng.uniform(0.5, 1.5) * request_s)
    return waiting / count


@pytest.mark.parametrize("interval_s", [0.2, 0.8])
def test_nodes_with_outdated_counts_choose_different_groups(interval_s):
    """Guards against queueing in some groups while others have free slots."""
    least_loaded = _share_that_waits(interval_s, uses_unreported=False)
    assert (
        _share_that_waits(interval_s, uses_unreported=True) < least_loaded / 2
    )


def test_group_with_a_free_slot_is_chosen_despite_unreported_load():
    candidates = [_candidate("g0", 40), _candidate("g1", 12)]
    for seed in range(20):
        placed = placement.choose(WORK, candidates, random.Random(seed), 30.0)
        assert placed.candidate.in_flight < 40


def test_new_requests_overtake_low_urgency_requests():
    candidates = [attrs.evolve(_candidate("g0", 20), waiting=8)]
    placed = placement.choose(WORK, candidates, random.Random(1))
    assert placed.urgency == placement.URGENCY_NEW
    retried = attrs.evolve(WORK, retried=True, target_left_ms=-500.0)
    with pytest.raises(exceptions.QueueFull):
        placement.choose(retried, candidates, random.Random(1))


def test_queue_of_an_engine_is_never_exceeded():
    full = attrs.evolve(_candidate("g0", 2 * ENGINE.slots), waiting=13)
    with pytest.raises(exceptions.QueueFull):
        placement.choose(WORK, [full], random.Random(1))
