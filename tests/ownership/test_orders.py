"""Guards which orders are sent, and that loads stay within their limit."""

import asyncio
import copy

import attrs

from balsamlug import tables
from balsamlug.config import schema
from balsamlug.health import observations as obs
from balsamlug.messages import types
from balsamlug.ownership import orders
from tests.ownership import harness

NOW_S = 10.0
GROUPS = {
    "g1": tables.Group("g1", "low", 5, ("a", "b"), "m", "1"),
    "g2": tables.Group("g2", "high", 6, ("c", "d"), "n", "1"),
}
IDLE = obs.EngineStatus(
    "", "1", obs.EngineState.IDLE, "", 0, 0, (), "", "", obs.Load(), 0
)


def snapshot(max_loads=10, **changed):
    observations = {
        i: obs.Observation(IDLE, NOW_S - 0.1) for i in "abcde"
    } | changed
    return orders.DomainSnapshot(
        GROUPS,
        observations,
        {i: i for i in "abcde"},
        3,
        6,
        max_loads,
        {"low": 5},
    )


def sent_to(inputs):
    return [o.instance for o in orders.due(inputs, NOW_S)]


def test_join_carries_fencing_rank_members_and_addresses():
    inputs = attrs.evolve(snapshot(), priorities={"low": 1, "high": 2})
    join = orders.due(inputs, NOW_S)[1]
    assert join.instance == "b"
    assert join.body["fencing"] == 3 * 2**32 + 5
    assert (join.body["rank"], join.body["members"]) == (1, ["a", "b"])
    assert join.body["addresses"] == ["a", "b"]


def test_loads_go_to_the_urgent_group_within_the_limit():
    inputs = attrs.evolve(snapshot(3), priorities={"low": 5, "high": 1})
    assert sent_to(inputs) == ["c", "d", "a"]


def test_no_load_starts_while_a_member_is_unresponsive():
    silent = obs.Observation(IDLE, NOW_S - 5)
    assert sent_to(snapshot(a=silent)) == ["c", "d"]


def test_instance_without_group_leaves_with_the_latest_fencing_number():
    other = attrs.evolve(IDLE, group="old", generation=2)
    inputs = snapshot(0, e=obs.Observation(other, NOW_S))
    (leave,) = orders.due(inputs, NOW_S)
    assert (leave.instance, leave.body["kind"]) == ("e", "leave")
    assert leave.body["group"] == "old"
    assert leave.body["fencing"] == 3 * 2**32 + 6


def test_order_is_repeated_after_its_interval_and_a_new_one_at_once():
    dispatcher = orders.Dispatcher(None, None)
    due_orders = orders.due(snapshot(), NOW_S)
    assert dispatcher.select(due_orders, NOW_S) == due_orders
    assert dispatcher.select(due_orders, NOW_S + 1) == []
    later_s = NOW_S + orders.REPEAT_INTERVAL_S
    assert dispatcher.select(due_orders, later_s) == due_orders
    changed = attrs.evolve(due_orders[0], body={"fencing": 9})
    assert dispatcher.select([changed], later_s) == [changed]


def test_instance_gets_one_order_at_a_time():
    """Guards against joins of two generations that are sent at once."""

    async def main():
        answer = asyncio.get_running_loop().create_future()

        async def send(order):
            return await answer

        dispatcher = orders.Dispatcher(send, None)
        first = orders.due(snapshot(), NOW_S)[0]
        second = attrs.evolve(first, body={"fencing": 9})
        delivery = asyncio.create_task(dispatcher.deliver(first, lambda: True))
        await asyncio.sleep(0)
        assert dispatcher.select([second], NOW_S) == []
        answer.set_result((200, {}))
        await delivery
        assert dispatcher.select([second], NOW_S) == [second]

    asyncio.run(main())


def test_order_of_a_former_generation_is_not_sent():
    """Guards against orders that a repair has overtaken."""

    async def main():
        fleet = harness.Fleet(nodes=1)
        (node,) = fleet.nodes.values()
        sent = []

        async def send(order):
            sent.append(order)
            raise OSError("no answer")

        node.tasks.manager._send = send
        while not sent:
            await fleet.run(harness.STEP_S)
        (order, *_) = sent
        assert order.permitted()
        current = node.state.domains["d1"]
        groups = copy.deepcopy(current.value["groups"])
        groups[order.body["group"]]["generation"] += 1
        update = types.DomainUpdate(
            "d1", current.version + 1, current.value | {"groups": groups}
        )
        node.state.publish(update, fleet.clock.now_s)
        assert not order.permitted()

    asyncio.run(main())


def test_domain_uses_the_full_limit_when_no_other_domain_loads():
    async def run():
        fleet = harness.Fleet(domains={"d1": 8, "d2": 8})
        limits = schema.Limits(max_loads=6)
        for node in fleet.nodes.values():
            node.state.settings = attrs.evolve(fleet.settings, limits=limits)
        assert await max_loading(fleet, 20) <= 6
        assert len(fleet.ready()) == 8
        for engine in list(fleet.engines.values())[:8]:
            engine.restart()
        assert await max_loading(fleet, 20) in (5, 6)
        assert len(fleet.ready()) == 8

    asyncio.run(run())


async def max_loading(fleet, seconds):
    maximum = 0
    for _ in range(int(seconds / harness.STEP_S)):
        await fleet.run(harness.STEP_S)
        states = [e.status()["state"] for e in fleet.engines.values()]
        maximum = max(maximum, states.count("loading"))
    return maximum
