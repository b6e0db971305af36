"""Guards the datagrams between nodes against loss and damage."""

import msgpack
import pytest

from balsamlug import clock as clocks
from balsamlug import state
from balsamlug import tables
from balsamlug.gateway import exchange
from balsamlug.gateway import loads
from balsamlug.gateway import returns


class _Wire:
    """Keeps what was sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, tuple]] = []

    def sendto(self, data: bytes, address: tuple) -> None:
        self.sent.append((data, address))


def _node(name: str, clock: clocks.ManualClock) -> exchange.Exchange:
    fleet = state.FleetState("s")
    for number, other in enumerate(("n1", "n2")):
        fleet.nodes[other] = tables.Node(
            other, 1, "", "", f"127.0.0.1:{number}"
        )
    part = exchange.Exchange(
        name, 1, fleet, loads.Loads(), clock, returns.Returns(clock)
    )
    part.connection_made(_Wire())
    return part


def _pair():
    clock = clocks.ManualClock(now_s=10.0)
    return _node("n1", clock), _node("n2", clock), clock


def _pass_on(sender: exchange.Exchange, receiver: exchange.Exchange) -> None:
    for data, _ in sender._transport.sent:
        receiver.datagram_received(data, ("127.0.0.1", 1))


def test_loads_refusals_and_silence_reach_another_node():
    one, two, clock = _pair()
    silent = []
    two.on_silent = silent.append
    one._loads.started("g")
    one._returns.refused("fp")
    one.silent("i-9")
    _pass_on(one, two)
    assert two._loads.total("g", clock.monotonic()) == 1
    clock.advance(0.5)
    assert two._returns.waited_s("fp") == 0.5
    assert silent == ["i-9"]


def test_an_unlisted_engine_is_told_with_its_group():
    one, two, _ = _pair()
    told = tables.Announcement(
        tables.Membership("d-1", 4, 1, tables.MemberState.READY, "m"), ("m",)
    )
    kept = []
    two.on_kept = lambda instance, what: kept.append((instance, what))
    one.kept = lambda: {"i-1": state.announcement_to_dict(told)}
    one.tick()
    _pass_on(one, two)
    assert kept == [("i-1", told)]


def test_an_unchanged_state_is_told_seldom():
    one, _, clock = _pair()
    for _ in range(20):
        one.tick()
        clock.advance(0.05)
    assert len(one._transport.sent) <= 2
    one._loads.started("g")
    clock.advance(exchange.INTERVAL_S)
    one.tick()
    assert len(one._transport.sent) <= 3


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff" * 40,
        msgpack.packb({"a": 1}),
        msgpack.packb(["n1", 1, 1, {}, [], []]),
        msgpack.packb(["n1", "x", 1, {}, [], [], {}]),
        msgpack.packb(["n1", 1, 1, {"g": "many"}, [], [], {}]),
        msgpack.packb(["n1", 1, 1, {}, [3], [], {}]),
        msgpack.packb(["n1", 1, 1, {}, [], [], {"i": {"orders": -1}}]),
        b"x" * (exchange.MAX_DATAGRAM_BYTES + 1),
    ],
)
def test_a_damaged_datagram_changes_nothing(data):
    _, two, clock = _pair()
    two.datagram_received(data, ("127.0.0.1", 1))
    assert two._loads.total("g", clock.monotonic()) == 0
