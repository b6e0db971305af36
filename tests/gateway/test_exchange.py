"""Guards the state of nodes against lost and malformed datagrams."""

import attrs
import msgpack
import pytest

from balsamlug import clock as clocks
from balsamlug import limit_table
from balsamlug import plain
from balsamlug import state
from balsamlug import tables
from balsamlug.gateway import datagrams
from balsamlug.gateway import exchange
from balsamlug.gateway import hubs
from balsamlug.gateway import limit_entries
from balsamlug.gateway import loads
from balsamlug.gateway import recent_refusals
from balsamlug.messages import types


class _Wire:
    """Records sent datagrams."""

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
    node_exchange = exchange.Exchange(
        name,
        1,
        fleet,
        loads.Loads(),
        clock,
        recent_refusals.RecentRefusals(clock),
        limit_table.LimitTable(clock),
    )
    node_exchange.connection_made(_Wire())
    return node_exchange


def _pair():
    clock = clocks.ManualClock(now_s=10.0)
    return _node("n1", clock), _node("n2", clock), clock


def _deliver(sender: exchange.Exchange, receiver: exchange.Exchange) -> None:
    for data, _ in sender._transport.sent:
        receiver.datagram_received(data, ("127.0.0.1", 1))


def test_state_reaches_another_node():
    one, two, clock = _pair()
    unresponsive = []
    two.on_unresponsive = unresponsive.append
    one._loads.record_start("g")
    one._recent_refusals.record("fp")
    one.report_unresponsive("i-9")
    _deliver(one, two)
    assert two._loads.total("g", clock.monotonic()) == 1
    clock.advance(0.5)
    assert two._recent_refusals.waited_s("fp") == 0.5
    assert unresponsive == ["i-9"]


def test_unlisted_engine_is_reported_with_its_group():
    one, two, _ = _pair()
    announcement = tables.Announcement(
        tables.Membership("d-1", 4, 1, tables.MemberState.READY, "m"), ("m",)
    )
    received = []
    two.on_unlisted = lambda instance, announced: received.append(
        (instance, announced)
    )
    one.collect_unlisted = lambda: {
        "i-1": plain.announcement_to_dict(announcement)
    }
    one.tick()
    _deliver(one, two)
    assert received == [("i-1", announcement)]


def _announcement(**fields: object) -> dict:
    return plain.announcement_to_dict(tables.Announcement()) | fields


@pytest.mark.parametrize(
    "odd",
    [
        {"orders": 2**70},
        {"orders": -1},
        {"staged": ["\ud800"]},
        {"staged": ["m" * 200] * 400},
    ],
)
def test_announcement_that_cannot_be_sent_leaves_the_rest_of_the_state(odd):
    one, two, clock = _pair()
    one.collect_unlisted = lambda: {"i-1": _announcement(**odd)}
    one._loads.record_start("g")
    one.tick()
    _deliver(one, two)
    assert two._loads.total("g", clock.monotonic()) == 1


def test_sum_of_counts_beyond_64_bits_is_not_sent():
    one, two, clock = _pair()
    datagram = datagrams.Datagram("n3", 1, 1, 0, {"g": 2**63}, [], [], {}, [])
    for _ in range(2):
        two.datagram_received(datagrams.encode(datagram), ("127.0.0.1", 1))
    assert two._loads.total("g", clock.monotonic()) == 0


def _oversized(sequence: int = 0) -> datagrams.Datagram:
    many = range(3_000)
    return datagrams.Datagram(
        *("n1", 1, sequence, 0),
        {f"group-{number}": number + 1 for number in many},
        ["i-1", "i-2"],
        [f"{number:016x}" for number in many],
        {f"e-{number}": _announcement() for number in many},
        [limit_table.Entry(b"%06d" % n, 1.0, 0.0, n) for n in many[:200]],
    )


def test_oversized_state_is_sent_without_its_least_important_entries():
    """Guards against states that receivers ignore, or that cannot be sent."""
    datagram = _oversized()
    fitted, left_out = datagrams.fit(datagram)
    data = datagrams.encode(fitted)
    assert len(data) <= datagrams.MAX_DATAGRAM_BYTES
    assert datagrams.decode(data).counts == datagram.counts
    assert fitted.unresponsive == datagram.unresponsive
    assert len(fitted.limits) == len(datagram.limits)
    # The newest refusals are the last ones.
    kept = len(fitted.refused)
    assert fitted.refused == datagram.refused[-kept:]
    assert left_out == {
        "refused": len(datagram.refused) - kept,
        "unlisted": len(datagram.unlisted) - len(fitted.unlisted),
    }
    assert datagrams.fit(fitted) == (fitted, {})


def test_all_announcements_have_a_turn_in_oversized_datagrams():
    """Guards against engines that no node ever hears of."""
    heard = set()
    for sequence in range(0, 200, 2):
        datagram = attrs.evolve(_oversized(sequence), refused=[], counts={})
        heard.update(datagrams.fit(datagram)[0].unlisted)
    assert heard == datagram.unlisted.keys()


def test_state_that_does_not_fit_reaches_the_other_nodes():
    """Guards against a node whose counts nobody hears while it has many."""
    one, two, clock = _pair()
    for number in range(5_000):
        one._loads.record_start(f"group-{number:050d}")
    one._loads.record_start(f"group-{4_999:050d}")
    one.tick()
    _deliver(one, two)
    assert two._loads.total(f"group-{4_999:050d}", clock.monotonic()) == 2


def test_unchanged_state_is_sent_less_often():
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
        msgpack.packb(["n1", 1, 1, 0, {"g": 1}, [], []]),
        msgpack.packb(["n1", "x", 1, 0, {"g": 1}, [], [], {}, b""]),
        msgpack.packb(["n1", 1, 1, "all", {"g": 1}, [], [], {}, b""]),
        msgpack.packb(["n1", 1, 1, 0, {"g": "many"}, [], [], {}, b""]),
        msgpack.packb(["n1", 1, 1, 0, {"g": 1}, [3], [], {}, b""]),
        msgpack.packb(["n1", 1, 1, 0, {"g": 1}, [], [], {3: {}}, b""]),
        msgpack.packb(["n1", 1, 1, 0, {"g": 1}, [], [], ["i"], b""]),
        msgpack.packb(["n1", 1, 1, 0, {"g": 1}, [], [], {}, b"x"]),
        msgpack.packb(["n1", 1, 1, 0, {"g": 1}, [], [], {}, b"\xff" * 16]),
        msgpack.packb(["n1", 1, 1, 0, {"g": 1}, [], [], {}, "x"]),
        b"x" * (datagrams.MAX_DATAGRAM_BYTES + 1),
    ],
)
def test_malformed_datagram_is_ignored(data):
    _, two, clock = _pair()
    two.datagram_received(data, ("127.0.0.1", 1))
    assert two._loads.total("g", clock.monotonic()) == 0


LARGE = 60


class _LargeFleet:
    """Exchanges of a fleet that is too large for a full mesh."""

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
        """Return the nodes that are not hubs."""
        names = (f"n{n}" for n in range(LARGE))
        return [name for name in names if name not in self.hubs]

    def deliver(self, lost: tuple[str, ...] = ()) -> None:
        """Deliver sent datagrams, except those to or from lost nodes."""
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
        """Let all nodes tick and deliver the datagrams that they send."""
        for _ in range(round(seconds / 0.05)):
            for node in self.nodes.values():
                node.tick()
            self.deliver(lost)
            self.clock.advance(0.05)


def test_every_node_of_a_large_fleet_receives_all_loads():
    fleet = _LargeFleet()
    for node in fleet.nodes.values():
        node._loads.record_start("g")
    fleet.run(0.5)
    totals = {
        node._loads.total("g", fleet.clock.monotonic())
        for node in fleet.nodes.values()
    }
    assert totals == {LARGE}


def test_sum_that_does_not_fit_still_carries_the_loads():
    """Guards against hubs that nobody hears while many engines are unlisted."""
    fleet = _LargeFleet()
    staged = [f"m{number}" for number in range(20)]
    for name in fleet.plain()[:8]:
        node = fleet.node(name)
        node._loads.record_start("g")
        engines = [f"{name}-{number}" for number in range(100)]
        node.collect_unlisted = lambda engines=engines: dict.fromkeys(
            engines, _announcement(staged=staged)
        )
    fleet.run(0.5)
    node = fleet.node(fleet.plain()[-1])
    assert node._loads.total("g", fleet.clock.monotonic()) == 8


def test_local_change_is_not_counted_twice():
    fleet = _LargeFleet()
    node = fleet.node(fleet.plain()[0])
    node._loads.record_start("g")
    fleet.run(0.5)
    node._loads.record_end("g")
    assert node._loads.total("g", fleet.clock.monotonic()) == 0


def test_messages_grow_linearly_with_a_large_fleet():
    fleet = _LargeFleet()
    for _ in range(10):
        for node in fleet.nodes.values():
            node._loads.record_start("g")
        fleet.run(0.1)
    rounds = 1.0 / loads.report_interval_s(LARGE) + 1
    assert fleet.sent <= rounds * 2 * hubs.HUBS * LARGE


def test_change_of_hubs_is_logged_once(monkeypatch):
    fleet = _LargeFleet()
    lines = []
    monkeypatch.setattr(
        exchange.eliot, "log_message", lambda name, **_: lines.append(name)
    )
    fleet.run(1.0)
    assert lines.count("hubs_chosen") == LARGE


def test_loads_are_received_after_the_loss_of_a_hub():
    fleet = _LargeFleet()
    lost = tuple(fleet.hubs[:1])
    fleet.run(0.5)
    fleet.run(1.5, lost)
    one, two = fleet.plain()[:2]
    fleet.node(one)._loads.record_start("g")
    fleet.run(0.5, lost)
    now_s = fleet.clock.monotonic()
    assert fleet.node(two)._loads.total("g", now_s) == 1


def test_unresponsive_engine_is_relayed_at_once():
    fleet = _LargeFleet()
    fleet.run(0.5)
    notified = set()
    for name in fleet.plain():
        fleet.node(name).on_unresponsive = lambda _, name=name: notified.add(
            name
        )
    fleet.node(fleet.plain()[0]).report_unresponsive("i-9")
    fleet.deliver()
    fleet.deliver()
    assert notified == set(fleet.plain())


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


def test_hubs_are_the_nodes_that_may_use_most_of_the_processor():
    """Guards against sums on the weakest machines, which then come late."""
    strong = {"n7": 2150, "n20": 2150, "n21": 2150}
    nodes = [
        tables.Node(
            f"n{n}",
            1,
            "",
            f"fd-{n % 3}",
            f"127.0.0.1:{n}",
            cpu_milli=strong.get(f"n{n}", 361),
        )
        for n in range(LARGE)
    ]
    chosen = hubs.choose(nodes)
    assert {node.id for node in chosen} <= strong.keys()
    assert len({node.failure_domain for node in chosen}) == hubs.HUBS


def test_node_that_an_earlier_build_passed_on_gets_its_processor_time():
    """Guards against nodes that choose other hubs until they restart."""
    fleet = state.FleetState("r")
    fields = ("n", 1, "up", "r", "fd", "127.0.0.1:1")
    for update in (fields, (*fields, 2150), fields):
        fleet.publish(types.NodeUpdate(*update), 0.0)
    assert fleet.nodes["n"].cpu_milli == 2150


def test_hub_does_not_sum_states_for_every_datagram(monkeypatch):
    """Guards against hubs that sum all states for every received datagram."""
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


ANNOUNCEMENT = {
    "orders": 1,
    "active": 0,
    "queued": 0,
    "staged": [],
    "membership": None,
}
LIMIT = limit_table.Entry(b"k" * limit_table.KEY_BYTES, 2.0, 0.5, 3.0)


def _fields_of_another_build(
    unlisted: dict, limits: tuple = (), added: tuple = ()
) -> bytes:
    required = ["n1", 1, 1, 0, {"g": 3}, ["i-1"], ["fp"], unlisted]
    return msgpack.packb([*required, *limits, *added])


@pytest.mark.parametrize(
    ("limits", "added"),
    [
        ((), ()),
        ((limit_entries.pack([LIMIT]),), ()),
        ((limit_entries.pack([LIMIT]),), ({"newer": 1}, 7)),
    ],
    ids=["earlier build", "this build", "newer build"],
)
def test_fields_that_builds_added_do_not_hide_the_others(limits, added):
    data = _fields_of_another_build({"i-2": ANNOUNCEMENT}, limits, added)
    datagram = datagrams.decode(data)
    assert datagram.counts == {"g": 3}
    assert datagram.unlisted == {"i-2": ANNOUNCEMENT}
    assert datagram.limits == ([LIMIT] if limits else [])


def test_unknown_announcement_does_not_hide_the_rest_of_a_datagram():
    member = {"state": "newer", "generation": 1, "rank": 0}
    unlisted = {
        "i-2": ANNOUNCEMENT,
        "i-3": ANNOUNCEMENT | {"membership": member},
        "i-4": ANNOUNCEMENT | {"added": 1},
        "i-5": {"orders": -1},
        "i-6": 7,
    }
    one, two, _ = _pair()
    received = {}
    two.on_unlisted = received.__setitem__
    data = _fields_of_another_build(unlisted, (b"",))
    two.datagram_received(data, ("127.0.0.1", 1))
    assert received.keys() == {"i-2", "i-4"}
    assert two._loads.total("g", 10.0) == 3
