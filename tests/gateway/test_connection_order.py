"""Guards the choice of the connection that gives way to a new one."""

import asyncio
import socket

import attrs
import pytest

from balsamlug import clock as clocks
from balsamlug.gateway import caller_streams
from balsamlug.gateway import connection_order
from balsamlug.gateway import receive_budget


@attrs.define(eq=False)
class _Connection:
    name: str = ""
    discards: bool = False
    awaited: bool = True
    held_bytes: int = 0
    requests: int = 0
    unread: bool = False
    examined: int = 0

    def has_unread(self) -> bool:
        self.examined += 1
        return self.unread


def _ordered(*connections: _Connection) -> connection_order.ConnectionOrder:
    order = connection_order.ConnectionOrder()
    for conn in connections:
        order.update(conn)
    return order


def test_connections_give_way_in_the_order_of_their_use():
    """Guards against closing a used connection before an unused one."""
    serving = _Connection("serving", awaited=False, requests=1)
    expected = [
        _Connection("refused", discards=True),
        _Connection("new"),
        _Connection("newer"),
        _Connection("idle", requests=1),
        _Connection("incomplete", held_bytes=1),
    ]
    new, newer = expected[1:3]
    order = _ordered(serving, new, newer, *expected[3:], expected[0])
    found = []
    while (conn := order.least_needed()) is not None:
        found.append(conn)
        order.remove(conn)
    assert found == expected


def test_connection_is_found_where_it_belongs_after_a_change():
    """Guards against closing a connection that has begun to serve."""
    first, second = _Connection(requests=1), _Connection(requests=1)
    order = _ordered(first, second)
    first.awaited = False
    order.update(first)
    assert order.least_needed() is second
    first.awaited = True
    order.update(first)
    # It has been used after the other one.
    assert order.least_needed() is second
    order.remove(second)
    assert order.least_needed() is first


@pytest.mark.parametrize("requests", [0, 1])
def test_work_for_a_new_connection_does_not_grow_with_the_open_ones(requests):
    """Guards against a look at all connections for each new one."""
    connections = [
        _Connection(requests=requests, unread=True) for _ in range(5_000)
    ]
    order = _ordered(*connections)
    assert order.least_needed() is None
    examined = sum(conn.examined for conn in connections)
    assert 0 < examined <= 2 * connection_order.MAX_EXAMINED
    # One that is idle is found, as those with unread bytes go to the end.
    connections[1_000].unread = False
    found = [order.least_needed() for _ in range(100)]
    assert connections[1_000] in found
    assert max(conn.examined for conn in connections[:1_000]) == 1


def test_node_at_its_limit_asks_few_connections_for_unread_bytes(monkeypatch):
    """Guards against system calls on all connections for each new one."""
    asked = []

    def has_unread(stream):
        asked.append(stream)
        return True

    monkeypatch.setattr(caller_streams.CallerStream, "has_unread", has_unread)

    async def main() -> None:
        limits = receive_budget.ReceiveLimits(connections=100)
        connections = caller_streams.Connections(
            clocks.SystemClock(), limits, lambda reason: None
        )
        pairs = [socket.socketpair() for _ in range(limits.connections)]
        streams = [connections.open(sock) for sock, _ in pairs]
        assert not connections.make_room()
        assert len(asked) <= 2 * connection_order.MAX_EXAMINED
        monkeypatch.undo()
        assert connections.make_room()
        assert sum(stream.closed() for stream in streams) == 1
        for stream, (_, other) in zip(streams, pairs, strict=True):
            stream.close()
            other.close()

    asyncio.run(main())
