"""Guards the links between nodes while many servers crash."""

import asyncio
import random

import pytest

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import quarantine
from balsamlug import retention
from balsamlug import state
from balsamlug import validation
from balsamlug.membership import reconcile
from balsamlug.messages import codec
from balsamlug.messages import types
from tests import cluster as clusters

CRASHES = 100
# Requests that a server runs when it crashes.
REQUESTS = 32
# Their versions exceed a frame.
SUSPICIONS = 1000
# Neighbours compare digests every 4 s, and the nodes connect within 1 s.
EXCHANGED_S = 10.0


def _can_be_sent(message) -> bool:
    try:
        codec.encode(message)
    except exceptions.ProtocolError:
        return False
    return True


def _suspect(fleet, count: int, length: int, now_s: float = 100.0) -> None:
    for i in range(count):
        update = types.SuspicionUpdate(f"{i}@".rjust(length, "ю"), 1, 0)
        assert fleet.publish(update, now_s)


def test_versions_of_many_suspicions_can_be_sent():
    fleet, rng = state.FleetState("s"), random.Random(1)
    table = quarantine.Quarantine(fleet, clocks.ManualClock(100.0))
    for crash in range(CRASHES):
        for _ in range(REQUESTS):
            subjects = f"{rng.getrandbits(64):x}", "part:5c1e07a2"
            table.record_crash(subjects, f"krovni-{crash}", crash)
    messages = reconcile.versions(fleet, reconcile.SUSPICIONS)
    assert all(map(_can_be_sent, messages)), f"{len(fleet.suspicions)} kept"
    sent = [name for message in messages for name in message.versions]
    assert sorted(sent) == sorted(fleet.suspicions)


@pytest.mark.parametrize("length", [1, 20, validation.MAX_NAME_LENGTH])
def test_answers_to_split_versions_contain_each_missing_value_once(length):
    local, peer = state.FleetState("s"), state.FleetState("s")
    _suspect(local, 2000, max(length, 5))
    names = list(local.suspicions)
    _suspect(peer, 1000, max(length, 5))
    requests = reconcile.versions(peer, reconcile.SUSPICIONS)
    assert all(map(_can_be_sent, requests))
    for request in requests:
        validation.check(request)
        assert codec.decode_body(codec.encode_body(request)) == request
    answers = [
        answer.fingerprint
        for request in requests
        for answer in reconcile.newer_messages(local, request, 100.0)
    ]
    assert sorted(answers) == sorted(names[1000:])


def test_versions_of_many_nodes_and_domains_can_be_sent():
    fleet = state.FleetState("s")
    for i in range(3000):
        name = f"{i}".rjust(validation.MAX_NAME_LENGTH, "ю")
        address = "127.0.0.1:1"
        fleet.publish(types.NodeUpdate(name, 1, "up", "r", "f", address), 0.0)
        fleet.publish(types.DomainUpdate(name, 1, {}), 0.0)
    for kind in (reconcile.NODES, reconcile.DOMAINS):
        messages = reconcile.versions(fleet, kind)
        assert all(map(_can_be_sent, messages))
        assert sum(len(message.versions) for message in messages) == 3000


def test_nodes_with_many_suspicions_keep_their_link_and_exchange_all():
    async def run():
        cluster = clusters.Cluster(2)
        cluster.store.configure(1)
        await cluster.start("node-0")
        first = cluster.nodes["node-0"]
        now_s = first.clock.monotonic()
        _suspect(first.state, SUSPICIONS, validation.MAX_NAME_LENGTH, now_s)
        await cluster.start("node-1")
        states = [node.state for node in cluster.nodes.values()]
        later = types.SuspicionUpdate("later@1", 1, 0)
        try:
            await clusters.until(
                lambda: len(states[1].suspicions) == SUSPICIONS, EXCHANGED_S
            )
            # Both nodes hold many suspicions when their digests differ again.
            now_s = cluster.nodes["node-1"].clock.monotonic()
            state.apply(later, states[1], now_s)
            await clusters.until(
                lambda: "later@1" in states[0].suspicions, EXCHANGED_S
            )
            assert not cluster.protocol_errors()
        finally:
            await cluster.stop()

    asyncio.run(run())


def test_suspicions_over_the_limit_in_one_batch_are_sent():
    async def run():
        cluster = clusters.Cluster(2)
        cluster.store.configure(1)
        await cluster.start()
        first, second = cluster.nodes.values()
        received = set()
        second.state.subscribe(
            lambda message: received.add(getattr(message, "fingerprint", ""))
        )
        count = 3 * retention.MAX_SUSPICIONS
        try:
            await clusters.until(cluster.agreed, EXCHANGED_S)
            _suspect(first.state, count, 20, first.clock.monotonic())
            await clusters.until(
                lambda: len(received - {""}) == count, EXCHANGED_S
            )
            assert len(second.state.suspicions) <= retention.MAX_SUSPICIONS
            assert not cluster.protocol_errors()
        finally:
            await cluster.stop()

    asyncio.run(run())


def test_new_link_of_a_node_at_the_limit_is_compared_at_once():
    async def run():
        cluster = clusters.Cluster(2)
        cluster.store.configure(1)
        await cluster.start("node-0")
        first = cluster.nodes["node-0"]
        now_s = first.clock.monotonic()
        _suspect(first.state, 3 * retention.MAX_SUSPICIONS, 20, now_s)
        first.peers._requests.record(
            reconcile.SUSPICIONS, [bytes(10**6)], now_s, True
        )
        await cluster.start("node-1")
        second = cluster.nodes["node-1"]
        later = types.SuspicionUpdate("later@1", 1, 0)
        state.apply(later, second.state, second.clock.monotonic())
        try:
            await clusters.until(
                lambda: "later@1" in first.state.suspicions, EXCHANGED_S
            )
            assert not cluster.protocol_errors()
        finally:
            await cluster.stop()

    asyncio.run(run())
