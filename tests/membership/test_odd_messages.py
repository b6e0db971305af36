"""Guards what nodes exchange against one message or entry at fault."""

import asyncio
import json

import eliot
import pytest

from balsamlug.messages import codec
from balsamlug.messages import types
from balsamlug.platform import listing
from tests import cluster as clusters
from tests.platform import samples

SPREAD_S = 5.0


def _nested(depth: int) -> list:
    value: list = []
    for _ in range(depth):
        value = [value]
    return value


UNENCODABLE = {
    "nested 5000 deep": _nested(5000),
    "integer beyond 64 bits": 2**70,
    "integer of 5000 digits": 10**5000,
    "lone surrogate": "\ud800",
    "object": object(),
}
# msgpack accepts deeper values than functions that walk them recursively.
ODD_VALUES = UNENCODABLE | {
    "nested 100 deep": _nested(100),
    "nested 600 deep": _nested(600),
}


def _is_linked(node) -> bool:
    """Return whether a node has a link that no other dial may replace.

    Both nodes dial each other at the start.
    """
    links = node.peers.links
    return bool(links.open) and not links._dials and not links._pending


def _run(scenario) -> None:
    async def run() -> None:
        cluster = clusters.Cluster(2)
        cluster.store.configure(1)
        cluster.store.list_instances(_entry("i-1"))
        lines: list[dict] = []
        errors: list[dict] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        eliot.add_destinations(lines.append)
        lines.clear()
        await cluster.start()
        try:
            await clusters.until(cluster.agreed, SPREAD_S)
            nodes = [cluster.nodes[name] for name in sorted(cluster.nodes)]
            await clusters.until(
                lambda: all(_is_linked(node) for node in nodes), SPREAD_S
            )
            await scenario(cluster, *nodes)
            failed = {"task_failed", "eliot:traceback"}
            assert not [ln for ln in lines if ln["message_type"] in failed]
            assert not errors
        finally:
            eliot.remove_destination(lines.append)
            await cluster.stop()

    asyncio.run(run())


def _entry(name: str, **fields: object) -> dict:
    raw = listing.instance(name, samples.ENTRY) | fields
    return json.loads(json.dumps(raw))


def _publish(node, message: types.Message) -> None:
    node.state.publish(message, node.clock.monotonic())


async def _suspicion_arrives(sender, receiver, name: str) -> None:
    _publish(sender, types.SuspicionUpdate(name, 1, 0))
    await clusters.until(lambda: name in receiver.state.suspicions, SPREAD_S)


@pytest.mark.parametrize("name", UNENCODABLE)
def test_message_that_cannot_be_encoded_leaves_the_others_of_its_batch(name):
    async def scenario(cluster, first, second):
        del cluster
        update = types.DomainUpdate("odd", 1, {"next": UNENCODABLE[name]})
        first.peers.broadcast.enqueue(("domains", "odd"), lambda: update)
        await _suspicion_arrives(first, second, "beside")
        await _suspicion_arrives(first, second, "later")

    _run(scenario)


def test_message_that_cannot_be_built_leaves_the_others_of_its_batch():
    async def scenario(cluster, first, second):
        del cluster
        first.peers.broadcast.enqueue(
            ("domains", "gone"), lambda: first.state.domains["gone"]
        )
        await _suspicion_arrives(first, second, "beside")
        await _suspicion_arrives(first, second, "later")

    _run(scenario)


@pytest.mark.parametrize("name", ODD_VALUES)
def test_odd_domain_object_leaves_the_others(name):
    async def scenario(cluster, first, second):
        good = {"next_group": 2, "groups": {}}
        cluster.store.write("domain", "before", good)
        cluster.store.write("domain", "odd", {"odd": ODD_VALUES[name]})
        cluster.store.write("domain", "after", good)
        await clusters.until(
            lambda: all(
                {"before", "after"} <= node.state.domains.keys()
                for node in (first, second)
            ),
            SPREAD_S,
        )
        await _suspicion_arrives(first, second, "later")
        cluster.store.write("domain", "odd", good)
        await clusters.until(
            lambda: all(
                "odd" in node.state.domains for node in (first, second)
            ),
            SPREAD_S,
        )

    _run(scenario)


@pytest.mark.parametrize(
    "fields",
    [
        {"address": "127.0.0.1:80\r\n"},
        {"address": "127.0.0.1:70000"},
        {"service": "s" * 1_000},
        {"kind": ["engine"]},
        {"state": {}},
        {"slots": -1},
        {"announcement": {"orders": -1}},
        {"announcement": {"membership": {"state": "open"}}},
    ],
)
@pytest.mark.parametrize("delta", [False, True])
def test_odd_entry_in_a_message_of_a_peer_leaves_the_others(fields, delta):
    async def scenario(cluster, first, second):
        first_list = first.state.instances_revision
        revision = first_list + 100
        raw = [_entry("i-2"), _entry("i-1", **fields), _entry("i-3")]
        message: types.Message = (
            types.InstanceDelta(first_list, revision, raw, [])
            if delta
            else types.InstanceUpdate(revision, raw)
        )
        link = first.peers.links.open[second.settings.id]
        link.conn.send_frames([codec.encode(message)])
        await clusters.until(
            lambda: second.state.instances.keys() == {"i-2", "i-3"}, SPREAD_S
        )
        assert cluster.protocol_errors() == []
        assert first.peers.links.open[second.settings.id] is link

    _run(scenario)
