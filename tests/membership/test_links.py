"""Guards a controller against peers that violate the protocol.

A message that cannot be used is dropped. A link is closed only if its frames
cannot be read. The state does not change.
"""

import asyncio
import struct
import time

import msgpack
import pytest
from tornado import iostream
from tornado import tcpclient

from balsamlug.membership import connection
from balsamlug.membership import links
from balsamlug.messages import codec
from balsamlug.messages import stream as streams
from balsamlug.messages import types
from tests import cluster as clusters

HELLO = codec.encode(types.Hello("stranger", 1, "controller"))
IMPLAUSIBLE = 2**62
LOAD = [0, 0, 8, 0, 0]


def _frame(*parts) -> bytes:
    body = msgpack.packb(list(parts))
    return struct.pack(">I", len(body)) + body


def _node(state: str, incarnation: int) -> bytes:
    update = types.NodeUpdate("x", incarnation, state, "r", "fd", "127.0.0.1:1")
    return codec.encode(update)


def _config(revision: int, stated: int | None = None) -> bytes:
    value = {"revision": revision, "base": ""}
    if stated is not None:
        revision = stated
    return codec.encode(types.ConfigUpdate(revision, value))


FAULTY_FRAMES = {
    "no_hello": codec.encode(types.Heartbeat("stranger", 1)),
    "oversized": HELLO + struct.pack(">I", 2**31),
    "oversized_small_type": HELLO + _frame(2, 1, "x" * 70_000, 1),
    "truncated": HELLO + struct.pack(">I", 3) + b"\x93\x01\xc1",
    "malformed": HELLO + _frame(1),
}
# Whole frames with a message that this build does not know or that no peer may
# send.
REJECTED_FRAMES = {
    "unknown_type": _frame(99, 1, "a"),
    "unknown_version": _frame(2, 9, "a", 1),
    "bad_fields": _frame(2, 1, "a", "b"),
    "missing_fields": _frame(3, 1, "a"),
    "unexpected_type": HELLO,
    "router_message": codec.encode(types.RouterStats(1, 1, {}, False)),
    "bad_value": _node("asleep", 1),
    "negative": _node("up", -1),
    "incarnation": _node("up", IMPLAUSIBLE),
    "instance": codec.encode(types.InstanceUpdate(1, [{"id": "i"}])),
    "age": codec.encode(
        types.GroupReport("g", "p", "d", 1, True, False, "", "", LOAD, -5, 1)
    ),
    "revision": _config(0),
    "two_revisions": _config(2, stated=IMPLAUSIBLE),
    "implausible_version": codec.encode(types.InstanceUpdate(10**8, [])),
    "domain": codec.encode(types.DomainUpdate("d", 2**63, {})),
}
EXPECTED_REASONS = {
    "oversized_small_type": "oversized",
    "missing_fields": "bad_fields",
    "router_message": "unexpected_type",
} | dict.fromkeys(
    (
        "negative",
        "incarnation",
        "instance",
        "age",
        "revision",
        "two_revisions",
        "domain",
    ),
    "bad_value",
)


async def _connect_unknown_peer(node):
    settings = node.settings
    return await tcpclient.TCPClient().connect(
        settings.address, settings.peer_port
    )


def _errors(node, reason: str) -> float:
    counter = node.metrics.protocol_errors.labels("peer", reason)
    return counter._value.get()


@pytest.fixture(scope="module")
def loop():
    loop = asyncio.new_event_loop()
    yield loop
    loop.close()


async def _links_settled(cluster) -> None:
    """Wait until no second connection can replace the link of the two nodes.

    Both nodes dial, and the link that one of them closes is missing until the
    other one is adopted.
    """
    settle_s = links.SECOND_DIALER_DELAY_S + links.REDIAL_S * 1.5
    opened, since_s = [], time.monotonic()

    def settled() -> bool:
        nonlocal opened, since_s
        current = [
            link for n in cluster.nodes.values() for link in open_links(n)
        ]
        if len(current) != len(cluster.nodes) or current != opened:
            opened, since_s = current, time.monotonic()
        return time.monotonic() - since_s > settle_s

    await clusters.until(settled, 10)


def _list_revisions(cluster) -> set[int]:
    return {n.state.instances_revision for n in cluster.nodes.values()}


def open_links(node) -> list:
    return list(node.peers.links.open.values())


@pytest.fixture(scope="module")
def pair(loop):
    """Two connected controllers with revision 1."""
    cluster = clusters.Cluster(2)
    cluster.store.configure(1)
    cluster.store.list_instances()

    async def start():
        await cluster.start()
        await clusters.until(cluster.agreed, 5)
        await clusters.until(lambda: cluster.revisions() == {1}, 5)
        await clusters.until(lambda: _list_revisions(cluster) == {3}, 5)
        await _links_settled(cluster)

    loop.run_until_complete(start())
    yield cluster
    loop.run_until_complete(cluster.stop())


@pytest.mark.parametrize("name", FAULTY_FRAMES)
def test_protocol_error_is_counted_and_closes_only_the_faulty_peer(
    name, loop, pair
):
    async def run():
        node = pair.nodes["node-0"]
        reason = EXPECTED_REASONS.get(name, name)
        before = _errors(node, reason)
        other = node.peers.links.open["node-1"]
        stream = await _connect_unknown_peer(node)
        await stream.write(FAULTY_FRAMES[name])
        with pytest.raises(iostream.StreamClosedError):
            await asyncio.wait_for(stream.read_bytes(2**20), 5)
        assert _errors(node, reason) == before + 1
        assert node.peers.links.open["node-1"] is other
        assert pair.revisions() == {1}
        assert not other.conn.closed()

    loop.run_until_complete(run())


@pytest.mark.parametrize("name", REJECTED_FRAMES)
def test_unusable_message_does_not_close_the_link_of_another_build(
    name, loop, pair
):
    async def run():
        node = pair.nodes["node-0"]
        reason = EXPECTED_REASONS.get(name, name)
        before = _errors(node, reason)
        known = dict(node.state.nodes)
        stream = await _connect_unknown_peer(node)
        await stream.write(HELLO + 2 * REJECTED_FRAMES[name])
        await clusters.until(lambda: _errors(node, reason) == before + 2, 2)
        assert node.state.nodes == known
        assert pair.revisions() == {1}
        assert _list_revisions(pair) == {3}
        later = types.NodeUpdate(name, 1, "down", "r", "fd", "127.0.0.1:1")
        await stream.write(codec.encode(later))
        await clusters.until(lambda: name in node.state.nodes, 2)
        assert "stranger" in node.peers.links.open
        stream.close()

    loop.run_until_complete(run())


def test_fields_that_a_newer_build_adds_are_ignored(loop, pair):
    async def run():
        node = pair.nodes["node-0"]
        stream = await _connect_unknown_peer(node)
        known = ("newer", 1, "down", "r", "fd", "127.0.0.1:1", 361)
        fields = (*known, "added", 7)
        await stream.write(_frame(1, 1, "stranger", 1, "controller", {"a": 1}))
        await stream.write(_frame(3, 1, *fields))
        await clusters.until(lambda: "newer" in node.state.nodes, 2)
        stream.close()

    loop.run_until_complete(run())


def test_unknown_peer_may_not_send_a_large_first_frame(loop, pair):
    async def run():
        node = pair.nodes["node-0"]
        before = _errors(node, "oversized")
        stream = await _connect_unknown_peer(node)
        length = connection.MAX_FIRST_FRAME_BYTES + 1
        await stream.write(struct.pack(">I", length) + b"x" * 1000)
        with pytest.raises(iostream.StreamClosedError):
            await asyncio.wait_for(stream.read_bytes(1), 1)
        assert _errors(node, "oversized") == before + 1

    loop.run_until_complete(run())


def test_peer_that_sends_no_hello_is_closed(loop, pair):
    async def run():
        node = pair.nodes["node-0"]
        before = _errors(node, "no_hello")
        stream = await _connect_unknown_peer(node)
        with pytest.raises(iostream.StreamClosedError):
            await asyncio.wait_for(stream.read_bytes(1), 5)
        assert _errors(node, "no_hello") == before + 1

    loop.run_until_complete(run())


def test_replayed_frames_do_not_change_state(loop, pair):
    async def run():
        node = pair.nodes["node-0"]
        stream = await _connect_unknown_peer(node)
        await stream.write(HELLO + 50 * _config(1) + _node("down", 3))
        await clusters.until(lambda: "x" in node.state.nodes, 2)
        await stream.write(_node("up", 3) + _node("leaving", 2))
        await asyncio.sleep(0.2)
        assert node.state.nodes["x"].state == "down"
        assert node.state.config_revision == 1
        stream.close()

    loop.run_until_complete(run())


def test_peer_that_does_not_read_is_dropped_with_bounded_memory(loop, pair):
    async def run():
        node = pair.nodes["node-0"]
        stream = await _connect_unknown_peer(node)
        await stream.write(HELLO)
        await clusters.until(lambda: "stranger" in node.peers.links.open, 2)
        link = node.peers.links.open["stranger"]
        update = types.DomainUpdate("d", 1, {"note": "x" * 10**6})
        for _ in range(40):
            link.send([update], 0.0)
        assert link.conn.closed()
        await clusters.until(lambda: "stranger" not in node.peers.links.open, 2)
        assert "node-1" in node.peers.links.open

    loop.run_until_complete(run())


def test_false_claim_is_refuted_with_a_higher_incarnation(loop, pair):
    async def run():
        node = pair.nodes["node-0"]
        incarnation = node.peers.table.incarnation
        stream = await _connect_unknown_peer(node)
        conn = streams.MessageStream(stream)
        claim = types.NodeUpdate(
            "node-0", incarnation, "down", "r", "fd", "127.0.0.1:1"
        )
        await stream.write(HELLO)
        conn.send(claim)
        await clusters.until(
            lambda: node.peers.table.incarnation > incarnation, 2
        )
        await clusters.until(pair.agreed, 2)
        stream.close()

    loop.run_until_complete(run())


def test_seed_makes_room_for_new_nodes_when_all_nodes_start(loop, pair):
    async def run():
        node = pair.nodes["node-0"]
        opened = []
        for number in range(links.MAX_LINKS + 5):
            if number == links.MAX_LINKS - 1:
                await asyncio.sleep(links.TEMPORARY_LINK_MIN_S + 0.1)
            stream = await _connect_unknown_peer(node)
            hello = types.Hello(f"guest-{number}", 1, "controller")
            await stream.write(codec.encode(hello))
            opened.append(stream)
        last = f"guest-{links.MAX_LINKS + 4}"
        await clusters.until(lambda: last in node.peers.links.open, 2)
        assert len(node.peers.links.open) <= links.MAX_LINKS
        assert "node-1" in node.peers.links.open
        for stream in opened:
            stream.close()
        await clusters.until(lambda: len(node.peers.links.open) == 1, 5)

    loop.run_until_complete(run())


def test_many_connections_without_hello_are_bounded(loop, pair):
    async def run():
        node = pair.nodes["node-0"]
        opened = [
            await _connect_unknown_peer(node)
            for _ in range(links.MAX_LINKS + 10)
        ]
        await asyncio.sleep(0.1)
        assert len(node.peers.links._pending) <= links.MAX_LINKS
        assert "node-1" in node.peers.links.open
        for stream in opened:
            stream.close()

    loop.run_until_complete(run())
