"""Guards against cold instances that get more requests than they accept.

The load is that of an idle cold instance that all nodes prefer.
"""

import functools
import random
import types
from unittest import mock

import attrs
import pytest

from balsamlug import exceptions
from balsamlug import limit_table
from balsamlug.entry import warming
from balsamlug.gateway import calls
from balsamlug.gateway import group_choice
from balsamlug.gateway import warmup
from balsamlug.gateway import warmup_permits
from bench import cold_starts

BOUND = cold_starts.BOUND.requests(cold_starts.PER_S)
PERMITTED = warmup.VIEW_SHARE * BOUND
KEY = limit_table.instance_key(cold_starts.entry())


def _cold(nodes):
    for node in nodes:
        node.list(cold_starts.entry())
    # Nodes that have just started wait for an interval.
    nodes[0].clock.advance(1.0)
    return nodes


@pytest.mark.parametrize("count", [1, 2, 5, 8, 14, 15, 16, 40, 93])
def test_no_second_exceeds_the_bound_and_the_permits_are_used(count):
    nodes = _cold(cold_starts.fleet_of(count))
    sent = cold_starts.run(nodes, [50.0] * count, 6.0, count)
    assert cold_starts.largest_second(sent) <= PERMITTED
    assert len(sent) / 6.0 >= 0.8 * int(PERMITTED)


@pytest.mark.parametrize("known", [False, True])
@pytest.mark.parametrize("count", [2, 16, 93])
def test_two_views_of_the_fleet_stay_within_the_bound(count, known):
    nodes = _cold(cold_starts.fleet_of(count, 2, known=known))
    sent = cold_starts.run(nodes, [50.0] * count, 5.0, count)
    assert cold_starts.largest_second(sent) <= BOUND


def test_three_views_that_knew_each_other_stay_within_the_bound():
    nodes = _cold(cold_starts.fleet_of(93, 3, known=True))
    sent = cold_starts.run(nodes, [50.0] * 93, 5.0, 1)
    assert cold_starts.largest_second(sent) <= BOUND
    assert sent


def test_nodes_that_are_all_alone_stay_within_the_bound():
    nodes = cold_starts.fleet_of(93, 93, known=True)
    nodes[0].clock.advance(10.0)
    for node in nodes:
        node.list(cold_starts.entry())
    sent = cold_starts.run(nodes, [50.0] * 93, 19.0, 1)
    assert cold_starts.largest_second(sent) <= BOUND
    assert sent


@pytest.mark.parametrize("incarnation", ["1", "2"])
def test_lone_nodes_do_not_send_at_once_after_a_restart_or_new_coldness(
    incarnation,
):
    nodes = cold_starts.fleet_of(93, 93, known=True)
    for node in nodes:
        node.list(cold_starts.entry(0))
    nodes[0].clock.advance(10.0)
    cold = attrs.evolve(cold_starts.entry(), incarnation=incarnation)
    for node in nodes:
        node.list(cold)
    sent = cold_starts.run(nodes, [50.0] * 93, 19.0, 1)
    assert cold_starts.largest_second(sent) <= BOUND
    assert sent


def test_lost_nodes_are_forgotten_after_their_retention():
    node = _cold(cold_starts.fleet_of(20, 20, known=True))[0]
    node.clock.advance(warmup_permits.LOST_RETENTION_S)
    node.permits.expire()
    node.change(cold_starts.entry(19_000))
    sent = cold_starts.run([node], [200.0], 3.0, 1)
    assert len(sent) / 3.0 >= 0.8 * int(PERMITTED)


def test_node_that_starts_without_its_peers_counts_its_seeds():
    clock = cold_starts.fleet_of(1)[0].clock
    node = cold_starts.Node("a", ["a"], clock, seeds=93)
    node.list(cold_starts.entry())
    assert len(cold_starts.run([node], [100.0], 7.0, 1)) <= 2


def test_node_that_restarts_waits_for_an_interval():
    nodes = _cold(cold_starts.fleet_of(15))
    assert nodes[0].send()
    names = [node.name for node in nodes]
    again = cold_starts.Node("n-0", names, nodes[0].clock)
    again.list(cold_starts.entry())
    assert not again.send()
    again.clock.advance(1.0)
    assert again.send()


def test_permit_is_given_back_when_nothing_was_sent():
    (node,) = _cold(cold_starts.fleet_of(1))
    node.send(counts=False)
    assert node.send()
    assert not node.send()


def test_late_return_of_a_permit_does_not_allow_a_second_request():
    (node,) = _cold(cold_starts.fleet_of(1))
    first = node.permits.take(KEY)
    node.clock.advance(1.0)
    assert node.send()
    node.permits.settle(first, False)
    assert not node.send()


def test_refusal_states_when_the_next_permit_is_due():
    nodes = _cold(cold_starts.fleet_of(93))
    waits = []
    for node in nodes:
        node.send()
        with pytest.raises(exceptions.WarmingUp) as refusal:
            node.permits.accepting([KEY], lambda k: k)
        waits.append(refusal.value.retry_after_ms)
    assert min(waits) >= 1000
    assert max(waits) <= 1000 * (1 + warmup_permits.REFUSAL_SPREAD_S) + 1
    assert len(set(waits)) > 50


def test_bound_holds_when_placement_chooses_at_random():
    nodes = _cold(cold_starts.fleet_of(30))
    rng, sent = random.Random(4), {}
    entries = [cold_starts.entry(name=f"i-{n}") for n in range(20)]
    warm = cold_starts.entry(0, "warm")
    for node in nodes:
        node.list(*entries, warm)
    keys = [limit_table.instance_key(e) for e in (*entries, warm)]
    for _ in range(300):
        nodes[0].clock.advance(cold_starts.STEP_S)
        for node in nodes:
            key = rng.choice(node.permits.accepting(keys, lambda k: k))
            node.permits.settle(node.permits.take(key), True)
            sent.setdefault(key, []).append(node.clock.now_s)
    warm_sent = sent.pop(keys[-1])
    assert len(warm_sent) > 1000
    assert max(map(cold_starts.largest_second, sent.values())) <= PERMITTED


@pytest.mark.parametrize("incarnation", ["1", "2"])
def test_nodes_wait_when_a_loaded_instance_becomes_cold_or_restarts(
    incarnation,
):
    nodes = cold_starts.fleet_of(20)
    for node in nodes:
        node.list(cold_starts.entry(0))
    nodes[0].clock.advance(1.0)
    assert all(node.send() for node in nodes)
    cold = attrs.evolve(cold_starts.entry(), incarnation=incarnation)
    for node in nodes:
        node.change(cold)
    assert not any(node.send() for node in nodes)
    nodes[0].clock.advance(1.0)
    assert sum(node.send() for node in nodes) == int(PERMITTED)


def test_defect_serves_as_without_the_part(monkeypatch):
    (node,) = _cold(cold_starts.fleet_of(1))
    monkeypatch.setattr(warmup_permits.WarmupPermits, "_interval_s", None)
    assert node.permits.accepting([KEY], lambda k: k) == [KEY]
    assert node.permits.may_take(KEY)


def test_instance_of_a_service_without_a_rate_is_not_limited():
    (node,) = _cold(cold_starts.fleet_of(1))
    node.fleet.catalogue = type(node.fleet.catalogue)(1)
    assert all(node.send() for _ in range(100))


def test_without_settings_every_request_is_permitted():
    permits = warmup.Permits()
    assert permits.accepting([KEY], lambda k: k) == [KEY]
    assert permits.take(KEY) is None


@pytest.mark.parametrize("overshoot", [None, 0.0])
def test_without_an_overshoot_there_is_no_bound(overshoot):
    (node,) = cold_starts.fleet_of(1)
    settings = types.SimpleNamespace(
        id="n-0", warmup_overshoot=overshoot, warmup_slack=0.0, peers=()
    )
    permits = warming.permits(
        settings, node.fleet, node.clock, random.Random(1), None
    )
    assert type(permits) is warmup.Permits


def test_defect_does_not_end_a_request_with_a_reserved_attempt(monkeypatch):
    (node,) = _cold(cold_starts.fleet_of(1))
    monkeypatch.setattr(warmup_permits.WarmupPermits, "_interval_s", None)
    assert node.permits.may_take(KEY)


def test_restarts_that_are_received_as_changes_do_not_take_memory():
    (node,) = cold_starts.fleet_of(1)
    node.list(cold_starts.entry(0))
    for number in range(50):
        entry = attrs.evolve(cold_starts.entry(10), incarnation=f"{number}")
        node.change(entry)
        node.permits.may_take(limit_table.instance_key(entry))
        node.clock.advance(1.0)
        node.permits.expire()
    assert len(node.permits._cold._warm) <= 2
    assert len(node.permits._intervals) <= 1


def test_request_that_is_refused_before_it_is_sent_takes_no_permit():
    req = mock.MagicMock()
    req.evidence.admit.side_effect = exceptions.SuspectedRequest("suspected")
    with pytest.raises(exceptions.SuspectedRequest):
        group_choice.PlacedRequest._choose(req)
    req.ctx.warmup.take.assert_not_called()


def test_server_error_is_passed_on_when_only_cold_instances_are_left():
    call = mock.MagicMock()
    candidate = calls.CallCandidate(cold_starts.entry(), 0, True, False)
    call._candidates.return_value = [candidate]
    call._accepts = functools.partial(calls.ServiceCall._accepts, call)
    call.ctx.warmup.may_take.return_value = False
    answer = types.SimpleNamespace(status=500)
    assert not calls.ServiceCall._should_retry(call, answer)
    call.budget.spend.assert_not_called()
