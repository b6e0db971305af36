"""Guards the datagrams between nodes against loss and damage."""

import msgpack
import pytest

from balsamlug import clock as clocks
from balsamlug import plain
from balsamlug import state
from balsamlug import tables
from balsamlug.gateway import datagrams
from balsamlug.gateway import exchange
from balsamlug.gateway import hubs
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
        name, 1, fleet, loads.Loads(), clock, returns.RecentRefusals(clock)
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
    two.on_unresponsive = silent.append
    one._loads.record_start("g")
    one._recent_refusals.record("fp")
    one.report_unresponsive("i-9")
    _pass_on(one, two)
    assert two._loads.total("g", clock.monotonic()) == 1
    clock.advance(0.5)
    assert two._recent_refusals.waited_s("fp") == 0.5
    assert silent == ["i-9"]


def test_an_unlisted_engine_is_told_with_its_group():
    one, two, _ = _pair()
    told = tables.Announcement(
        tables.Membership("d-1", 4, 1, tables.MemberState.READY, "m"), ("m",)
    )
    kept = []
    two.on_unlisted = lambda instance, what: kept.append((instance, what))
    one.collect_unlisted = lambda: {"i-1": plain.announcement_to_dict(told)}
    one.tick()
    _pass_on(one, two)
    assert kept == [("i-1", told)]


def test_an_unchanged_state_is_told_seldom():
    one, _, clock = _pair()
    for _ in range(20):
        one.tick()
        clock.advance(0.05)
    assert len(one._transport.sent) <= 2
    one._loads.record_start("g")
    clock.advance(loads.MIN_REPORT_INTERVAL_S)
    one.tick()
    assert len(one._transport.sent) <= 3


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff" * 40,
        msgpack.packb({"a": 1}),
        msgpack.packb(["n1", 1, 1, 0, {}, [], []]),
        msgpack.packb(["n1", "x", 1, 0, {}, [], [], {}]),
        msgpack.packb(["n1", 1, 1, "all", {}, [], [], {}]),
        msgpack.packb(["n1", 1, 1, 0, {"g": "many"}, [], [], {}]),
        msgpack.packb(["n1", 1, 1, 0, {}, [3], [], {}]),
        msgpack.packb(["n1", 1, 1, 0, {}, [], [], {"i": {"orders": -1}}]),
        b"x" * (datagrams.MAX_DATAGRAM_BYTES + 1),
    ],
)
def test_a_damaged_datagram_changes_nothing(data):
    _, two, clock = _pair()
    two.datagram_received(data, ("127.0.0.1", 1))
    assert two._loads.total("g", clock.monotonic()) == 0


LARGE = 60


class _LargeFleet:
    """Exchanges of a fleet that is too large for a mesh."""

    def __init__(self) -> None:
        self.clock = clocks.ManualClock(now_s=10.0)
        self.nodes = {
            f"127.0.0.1:{n}": _node(f"n{n}", self.clock) for n in range(LARGE)
        }
        self.sent = 0
        members = {
            f"n{n}": tables.Node(
                f"n{n}", 1, "", f"fd-{n % 3}", f"127.0.0.1:{n}"
            )
            for n in range(LARGE)
        }
        for node in self.nodes.values():
            node._fleet.nodes = dict(members)
        self.hubs = [h.id for h in hubs.choose(list(members.values()))]

    def node(self, name: str) -> exchange.Exchange:
        return self.nodes["127.0.0.1:" + name[1:]]

    def plain(self) -> list[str]:
        """Return the nodes that are no hubs."""
        names = (f"n{n}" for n in range(LARGE))
        return [name for name in names if name not in self.hubs]

    def deliver(self, lost: tuple[str, ...] = ()) -> None:
        """Pass on what was sent, but for datagrams to and from lost nodes."""
        for sender, node in self.nodes.items():
            sent, node._transport.sent = node._transport.sent, []
            self.sent += len(sent)
            for data, (host, port) in sent:
                receiver = f"{host}:{port}"
                if f"n{port}" not in lost and node._node not in lost:
                    self.nodes[receiver].datagram_received(
                        data, (sender.partition(":")[0], 1)
                    )

    def run(self, seconds: float, lost: tuple[str, ...] = ()) -> None:
        """Let all nodes tick and pass on what they send."""
        for _ in range(round(seconds / 0.05)):
            for node in self.nodes.values():
                node.tick()
            self.deliver(lost)
            self.clock.advance(0.05)


def test_every_node_of_a_large_fleet_learns_the_load_of_all():
    fleet = _LargeFleet()
    for node in fleet.nodes.values():
        node._loads.record_start("g")
    fleet.run(0.5)
    totals = {
        node._loads.total("g", fleet.clock.monotonic())
        for node in fleet.nodes.values()
    }
    assert totals == {LARGE}


def test_an_own_change_is_not_counted_twice():
    fleet = _LargeFleet()
    node = fleet.node(fleet.plain()[0])
    node._loads.record_start("g")
    fleet.run(0.5)
    node._loads.record_end("g")
    assert node._loads.total("g", fleet.clock.monotonic()) == 0


def test_messages_of_a_large_fleet_grow_with_its_size_only():
    fleet = _LargeFleet()
    for _ in range(10):
        for node in fleet.nodes.values():
            node._loads.record_start("g")
        fleet.run(0.1)
    rounds = 1.0 / loads.report_interval_s(LARGE) + 1
    assert fleet.sent <= rounds * 2 * hubs.HUBS * LARGE


def test_a_change_of_hubs_is_logged_once(monkeypatch):
    fleet = _LargeFleet()
    lines = []
    monkeypatch.setattr(
        exchange.eliot, "log_message", lambda name, **_: lines.append(name)
    )
    fleet.run(1.0)
    assert lines.count("hubs_chosen") == LARGE


def test_a_lost_hub_leaves_the_loads_known():
    fleet = _LargeFleet()
    lost = tuple(fleet.hubs[:1])
    fleet.run(0.5)
    fleet.run(1.5, lost)
    one, two = fleet.plain()[:2]
    fleet.node(one)._loads.record_start("g")
    fleet.run(0.5, lost)
    now_s = fleet.clock.monotonic()
    assert fleet.node(two)._loads.total("g", now_s) == 1


def test_a_silent_engine_is_passed_on_at_once():
    fleet = _LargeFleet()
    fleet.run(0.5)
    heard = set()
    for name in fleet.plain():
        fleet.node(name).on_unresponsive = lambda _, name=name: heard.add(name)
    fleet.node(fleet.plain()[0]).report_unresponsive("i-9")
    fleet.deliver()
    fleet.deliver()
    assert heard == set(fleet.plain())


def test_refusals_reach_every_node_of_a_large_fleet():
    fleet = _LargeFleet()
    one, two = fleet.plain()[:2]
    fleet.node(one)._recent_refusals.record("fp")
    fleet.run(0.5)
    assert fleet.node(two)._recent_refusals.waited_s("fp") > 0


def test_hubs_are_in_different_failure_domains():
    nodes = [
        tables.Node(f"n{n}", 1, "", f"fd-{n % 3}", f"127.0.0.1:{n}")
        for n in range(LARGE)
    ]
    chosen = hubs.choose(nodes)
    assert len({node.failure_domain for node in chosen}) == hubs.HUBS
    assert hubs.choose(nodes[: hubs.MESH_NODES]) == []


def test_the_work_of_a_hub_grows_with_the_number_of_datagrams(monkeypatch):
    """Guards hubs that add up all states for every datagram they receive."""
    fleet = _LargeFleet()
    fleet.run(0.5)
    sums = []
    total = hubs.CollectedStates.total

    def counted(self, own):
        sums.append(own)
        return total(self, own)

    monkeypatch.setattr(hubs.CollectedStates, "total", counted)
    for node in fleet.nodes.values():
        node._loads.record_start("g")
    fleet.run(1.0)
    rounds = 1.0 / loads.report_interval_s(LARGE) + 1
    assert len(sums) <= 2 * rounds * hubs.HUBS
