"""Guards groups that have just started against floods and against idle slots.

The load is that of many nodes that see new groups idle at the same moment
while the established ones are in use.
"""

import random
import types

import pytest

from balsamlug import catalogue as catalogues
from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import state
from balsamlug.gateway import group_choice
from balsamlug.gateway import loads
from balsamlug.gateway import overload
from balsamlug.gateway import placement
from balsamlug.gateway import ramp
from balsamlug.gateway import warmup
from balsamlug.observability import metrics as metric
from bench import cold_starts
from bench import ramping

SLOTS = ramping.SLOTS
SEEDS = range(3)
OLD, NEW, LOAD = 20, 2, 0.7
FIRST_S = 0.4
KEY = ("g", 1)


def _played(ramps_type: type[ramp.Ramps], prefill_slowness: float):
    """Return sums over the seeds, and the most requests of a new group."""
    scenario = ramping.Scenario(OLD, NEW, LOAD, 1.0, prefill_slowness)
    total, most = ramping.Result(), 0
    for seed in SEEDS:
        played = scenario.play(ramps_type, seed)
        for field in ("on_time", "late", "refused", "idle_s"):
            added = getattr(total, field) + getattr(played.result, field)
            setattr(total, field, added)
        until_s = ramping.STARTED_S + FIRST_S
        first = (
            sum(at_s < until_s for at_s in group.arrivals)
            for group in played.groups[OLD:]
        )
        most = max(most, *first)
    return total, most


def test_group_that_is_slower_than_predicted_makes_fewer_answers_late():
    without, flood = _played(ramp.Ramps, 5.0)
    with_ramps, most = _played(ramp.AdaptiveRamps, 5.0)
    assert with_ramps.late <= 0.6 * without.late
    assert with_ramps.refused == 0
    assert most < 0.7 * flood


def test_group_that_answers_as_predicted_costs_callers_little():
    without, _ = _played(ramp.Ramps, 1.0)
    with_ramps, _ = _played(ramp.AdaptiveRamps, 1.0)
    assert with_ramps.value >= without.value - 0.01
    slots_s = len(SEEDS) * NEW * SLOTS * ramping.COLD_S
    assert with_ramps.idle_s - without.idle_s <= 0.25 * slots_s


def test_limit_grows_with_first_events_on_time():
    limited = ramp.Ramp(0.0)
    limited.update(ramp.Evidence(3, 0), 1.0)
    assert limited.limit == ramp.START_LIMIT + 3
    limited.update(ramp.Evidence(3, 0), 2.0)
    assert limited.limit == ramp.START_LIMIT + 3


def test_limit_shrinks_once_for_late_events_of_the_same_time():
    limited = ramp.Ramp(0.0, 8.0)
    limited.update(ramp.Evidence(4, 1), 1.0)
    limited.update(ramp.Evidence(4, 2), 1.1)
    assert limited.limit == 4.0
    limited.update(ramp.Evidence(4, 9), 2.0)
    limited.update(ramp.Evidence(4, 10), 3.0)
    assert limited.limit == ramp.MIN_LIMIT


def test_counts_that_expire_and_return_do_not_grow_the_limit_again():
    limited = ramp.Ramp(0.0)
    for on_time in (3, 0, 3):
        limited.update(ramp.Evidence(on_time, 0), 1.0)
    assert limited.limit == ramp.START_LIMIT + 3


def test_ramp_ends_with_the_slots_in_use_by_others_or_with_its_time():
    assert ramp.Ramp(0.0, SLOTS).end_cause(SLOTS, 0, 1.0) == "slots"
    assert ramp.Ramp(0.0).end_cause(SLOTS, SLOTS, 1.0) == "in_use"
    assert ramp.Ramp(0.0).end_cause(SLOTS, 0, ramp.MAX_RAMP_S) == "time"
    counted = ramp.Ramp(0.0, seen=ramp.Evidence(1, 0))
    assert not counted.end_cause(SLOTS, SLOTS, 1.0)


@pytest.mark.parametrize(
    ("limit", "in_flight", "expected", "share"),
    [(4, 0, 0.1, 1.0), (4, 0, 8, 0.5), (4, 3, 4, 0.25), (4, 4, 0.1, 0.0)],
)
def test_nodes_share_the_room_that_all_of_them_see(
    limit, in_flight, expected, share
):
    assert ramp.probability(limit, in_flight, expected) == share


class _Node:
    def __init__(self) -> None:
        self.clock, self.loads = clocks.ManualClock(100.0), loads.Loads()
        fleet = state.FleetState("r")
        fleet.publish(cold_starts.node_update("a"), 0.0)
        self.cold: set[bytes] = set()
        self.ramps = ramp.AdaptiveRamps(
            fleet,
            self.loads,
            self.clock,
            random.Random(1),
            metric.GatewayMetrics(),
            lambda: 0.2,
            self.cold.__contains__,
        )

    def candidates(self) -> list[placement.Candidate]:
        """Return a group in use and one that starts."""
        return [
            placement.Candidate(
                name,
                1,
                name,
                "",
                ramping.MODEL,
                self.loads.total(name, self.clock.now_s),
                limit_key=name.encode(),
            )
            for name in ("old", "g")
        ]

    def accepted(self, resumed: bool = False) -> list[str]:
        """Return the names of the accepted groups."""
        chosen = self.ramps.accepting(self.candidates(), "m", resumed)
        return [c.group for c in chosen]

    def fill(self) -> None:
        """Make one group known as established and the other one full."""
        self.ramps._groups["old", 1] = ramp._Group(100.0, None)
        for _ in range(int(ramp.START_LIMIT)):
            self.loads.record_start("g")


def test_group_at_its_limit_is_excluded_while_others_have_free_slots():
    node = _Node()
    node.fill()
    assert node.accepted() == ["old"]
    assert node.accepted(resumed=True) == ["old", "g"]
    for _ in range(SLOTS):
        node.loads.record_start("old")
    assert node.accepted() == ["old", "g"]


def test_group_whose_declared_rate_limits_it_has_no_ramp():
    node = _Node()
    node.cold.add(b"g")
    node.fill()
    assert node.accepted() == ["old", "g"]


def test_counts_of_other_nodes_end_the_ramp():
    node = _Node()
    node.fill()
    counts = {loads.on_time_key(*KEY): SLOTS}
    node.loads.update_peer("b", loads.PeerCounts(1, 1, 100.0, counts))
    assert node.accepted() == ["old", "g"]


def test_group_that_recovers_starts_again():
    node = _Node()
    node.fill()
    node.ramps._groups[KEY] = ramp._Group(100.0, None)
    assert node.accepted() == ["old", "g"]
    for _ in range(2):
        node.clock.advance(1.0)
        node.ramps.observe(lambda: [("old", 1)])
    assert node.accepted() == ["old"]


def _ramped(node: _Node) -> set[str]:
    groups = node.ramps._groups.items()
    return {key[0] for key, group in groups if group.ramp is not None}


def test_node_that_starts_or_returns_takes_the_groups_as_established():
    """Guards against 2,000 false ramps when many nodes start or are cut off."""
    node = _Node()
    groups = [(f"g{n}", 1) for n in range(10)]
    for present in (groups[:6], groups, [], [], groups[:7], groups):
        node.clock.advance(1.0)
        node.ramps.observe(lambda: present)  # noqa: B023
        assert not _ramped(node)


def test_new_group_has_a_ramp_at_a_node_that_knows_most_groups():
    node = _Node()
    groups = [(f"g{n}", 1) for n in range(4)]
    node.ramps.observe(lambda: groups[:3])
    node.clock.advance(ramp.SETTLE_S)
    node.ramps.observe(lambda: groups)
    assert _ramped(node) == {"g3"}


def test_first_events_are_counted_by_how_late_they_are():
    node = _Node()
    node.fill()
    node.accepted()
    for took_ms, target_ms in ((90, 400), (350, 400), (350, 100), (900, 400)):
        node.ramps.record_first_event(KEY, took_ms, 100.0, target_ms)
    node.ramps.record_refused(KEY)
    assert node.loads.local[loads.on_time_key(*KEY)] == 2
    assert node.loads.local[loads.late_key(*KEY)] == 3


def test_defect_serves_as_without_the_part(monkeypatch):
    node = _Node()
    node.fill()
    monkeypatch.setattr(ramp, "probability", None)
    assert node.accepted() == ["old", "g"]


def test_models_that_no_group_serves_are_not_kept():
    """Guards the memory against callers that state ever new models."""
    node = _Node()
    for number in range(20):
        assert node.ramps.accepting([], f"unknown-{number}", False) == []
    assert not node.ramps._offered


class _RateLimits:
    """Permits only the group that starts."""

    def accepting(self, candidates, *args):
        permitted = [c for c in candidates if c.group == "g"]
        if not permitted:
            raise exceptions.RateLimited("all at their limits", 100)
        return permitted


def test_ramp_leaves_groups_that_have_not_reached_a_rate_limit():
    """Guards against refusals while only a group with a ramp is permitted."""
    node = _Node()
    node.fill()
    candidates = node.candidates()
    ctx = types.SimpleNamespace(
        groups=types.SimpleNamespace(
            candidates=lambda service, model, exclude: candidates,
            unreported_requests=lambda candidates: 0.0,
        ),
        notices=types.SimpleNamespace(accepting=lambda cs, key_of: cs),
        warmup=warmup.Permits(),
        ramps=node.ramps,
        rate_limits=_RateLimits(),
        admission=overload.PlainChoice(),
        clock=node.clock,
        rng=random.Random(1),
        fleet=types.SimpleNamespace(catalogue=catalogues.Catalogue()),
    )
    metadata = types.SimpleNamespace(
        model="m", prompt_tokens=100, request_id="q"
    )
    request = group_choice.PlacedRequest(
        ctx=ctx,
        req=types.SimpleNamespace(metadata=metadata, received_s=100.0),
        responder=types.SimpleNamespace(headers_sent=False),
        route=types.SimpleNamespace(name="r", target_ms=400, max_attempts=1),
        service="llm",
        budget=None,
        customer="c",
        accepted_s=100.0,
        deadline_s=106.0,
        evidence=None,
        priority=0,
        waited_ms=0.0,
    )
    assert request._find_group(frozenset()).candidate.group == "g"
