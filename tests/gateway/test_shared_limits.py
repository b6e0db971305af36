"""Guards limited servers against what many nodes send together.

Nodes with the real exchange and the real datagrams are played on a manual
clock. Each node sees a part of the requests and of the answers.
"""

import collections
import heapq
import itertools
import random

import attrs
import pytest

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import limit_table
from balsamlug import rate_limits
from balsamlug import state
from balsamlug import tables
from balsamlug.gateway import exchange
from balsamlug.gateway import hubs
from balsamlug.gateway import limit_entries
from balsamlug.gateway import loads
from balsamlug.gateway import recent_refusals

TICK_S = 0.05
ANSWER_S = (0.05, 0.3)
TRANSIT_S = 0.005
# Bounds of the platform.
STABLE_S = 3.0
WINDOW_S = 4.0
EXCESS_FACTOR, EXCESS_REQUESTS = 1.5, 5
# Share of the permitted requests that are sent when there are more.
USED_SHARE = 0.8
CONTROL_BYTES_PER_S = 4000.0


@attrs.define(eq=False)
class _Server:
    name: str
    limit: float | None
    arrivals: list[float] = attrs.field(factory=list)

    @property
    def key(self) -> bytes:
        return limit_table.server_key(self.name, "1")


@attrs.define(eq=False)
class _Node:
    """A node and the datagrams that it sends."""

    exchange: exchange.Exchange
    limits: rate_limits.RateLimits
    sent: list[tuple[bytes, tuple]] = attrs.field(factory=list)
    received_bytes: int = 0
    is_cut: bool = False

    def sendto(self, data: bytes, address: tuple) -> None:
        self.sent.append((data, address))


class _Play:
    """Play of a fleet whose callers send requests to any node."""

    def __init__(
        self, nodes: int, servers: list[_Server], rate: float, seed: int = 1
    ) -> None:
        self.clock = clocks.ManualClock(now_s=100.0)
        self.rng = random.Random(seed)
        self.servers, self.rate = servers, rate
        self.members = {
            f"n{n}": tables.Node(
                f"n{n}", 1, "", f"z{n % 3}", f"127.0.0.1:{n + 1}"
            )
            for n in range(nodes)
        }
        self.nodes = [self.start(n) for n in range(nodes)]
        self.refused: list[tuple[float, float]] = []
        self.requests = 0
        self._events: list = []
        self._order = itertools.count()

    def start(self, number: int) -> _Node:
        """Return a node that knows nothing."""
        fleet = state.FleetState("s")
        fleet.nodes = dict(self.members)
        table = limit_table.LimitTable(self.clock)
        limits = rate_limits.RateLimits(
            table,
            self.clock,
            random.Random(self.rng.random()),
            lambda: len(fleet.live_nodes()),
        )
        node_exchange = exchange.Exchange(
            f"n{number}",
            int(self.clock.monotonic() * 1000),
            fleet,
            loads.Loads(),
            self.clock,
            recent_refusals.RecentRefusals(self.clock),
            table,
        )
        table.lag_s = node_exchange.lag_s
        node = _Node(node_exchange, limits)
        node_exchange.connection_made(node)
        return node

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self._tick()
            self._send_requests()
            until_s = self.clock.monotonic() + TICK_S
            while self._events and self._events[0][0] <= until_s:
                when_s, _, action, *args = heapq.heappop(self._events)
                self.clock.advance(max(0, when_s - self.clock.monotonic()))
                action(*args)
            self.clock.advance(until_s - self.clock.monotonic())

    def _after(self, delay_s: float, action, *args) -> None:
        when_s = self.clock.monotonic() + delay_s
        heapq.heappush(self._events, (when_s, next(self._order), action, *args))

    def _tick(self) -> None:
        for node in self.nodes:
            node.exchange.tick()
            node.limits.table.expire()
            sent, node.sent[:] = list(node.sent), []
            for data, (_, port) in sent:
                self._after(TRANSIT_S, self._deliver, node, port - 1, data)

    def _deliver(self, sender: _Node, number: int, data: bytes) -> None:
        receiver = self.nodes[number]
        if not sender.is_cut and not receiver.is_cut:
            receiver.received_bytes += len(data)
            receiver.exchange.datagram_received(data, ("127.0.0.1", 1))

    def _send_requests(self) -> None:
        expected = self.rate * TICK_S
        number = int(expected) + (self.rng.random() < expected % 1)
        for _ in range(number):
            self._after(self.rng.uniform(0, TICK_S), self._request)

    def _request(self) -> None:
        self.requests += 1
        node = self.rng.choice(self.nodes)
        try:
            accepting = node.limits.accepting(self.servers, lambda s: s.key)
        except exceptions.RateLimited as exc:
            now_s = self.clock.monotonic()
            self.refused.append((now_s, exc.retry_after_ms / 1000))
            return
        server = self.rng.choice(accepting)
        node.limits.table.record_sent(server.key)
        server.arrivals.append(self.clock.monotonic())
        self._after(
            self.rng.uniform(*ANSWER_S),
            node.limits.table.observe,
            server.key,
            server.limit,
        )

    def check(self, since_s: float, limit: float) -> None:
        """Check the bound of every server, from a time on."""
        allowed = EXCESS_FACTOR * limit * WINDOW_S + EXCESS_REQUESTS
        for server in self.servers:
            times = [t for t in server.arrivals if t >= since_s]
            window: collections.deque[float] = collections.deque()
            for time_s in times:
                window.append(time_s)
                while window[0] <= time_s - WINDOW_S:
                    window.popleft()
                assert len(window) <= allowed, (server.name, time_s)

    def used_share(self, since_s: float, limit: float) -> float:
        """Return the share of the permitted requests that was sent."""
        permitted = limit * (self.clock.monotonic() - since_s)
        sent = sum(t >= since_s for s in self.servers for t in s.arrivals)
        return sent / permitted / len(self.servers)


def _alone(clock: clocks.Clock) -> rate_limits.RateLimits:
    table = limit_table.LimitTable(clock)
    return rate_limits.RateLimits(table, clock, random.Random(1), lambda: 1)


def _servers(number: int, limit: float | None) -> list[_Server]:
    return [_Server(f"i-{n}", limit) for n in range(number)]


SIZES = [
    (1, 1, 4.0),
    (2, 2, 1.0),
    (13, 12, 3.7),
    (13, 1, 0.5),
    (13, 1, 30.0),
    (30, 10, 4.0),
    (60, 10, 4.0),
    (80, 20, 2.0),
]


@pytest.mark.parametrize(("nodes", "servers", "limit"), SIZES)
@pytest.mark.parametrize("load", [1.0, 2.0, 6.0])
def test_all_nodes_together_keep_to_the_limit_and_use_it(
    nodes, servers, limit, load
):
    play = _Play(nodes, _servers(servers, limit), load * limit * servers)
    began_s = play.clock.monotonic()
    play.run(14.0)
    since_s = began_s + STABLE_S
    play.check(since_s, limit)
    if load > 1:
        assert play.used_share(since_s, limit) >= USED_SHARE


def test_limits_of_the_largest_fleet_fit_into_its_control_budget():
    play = _Play(360, _servers(100, 4.0), 800.0)
    began_s = play.clock.monotonic()
    play.run(12.0)
    play.check(began_s + STABLE_S, 4.0)
    assert play.used_share(began_s + STABLE_S, 4.0) >= USED_SHARE
    members = list(play.members.values())
    hub_names = {node.id for node in hubs.choose(members)}
    plain = [
        node
        for name, node in zip(play.members, play.nodes, strict=True)
        if name not in hub_names
    ]
    worst = max(node.received_bytes for node in plain) / 12.0
    assert worst <= CONTROL_BYTES_PER_S


def test_limits_beyond_the_control_budget_are_sent_in_turn():
    rotation = limit_entries.Rotation()
    entries = {
        bytes([n, 0, 0, 0, 0, 0]): limit_table.Entry(b"", 1.0, 0.0, 0)
        for n in range(200)
    }
    interval_s = loads.report_interval_s(360)
    sent = [rotation.take(entries, interval_s, hubs.HUBS) for _ in range(10)]
    assert {key for keys in sent for key in keys} == entries.keys()
    most = max(len(keys) for keys in sent)
    per_s = hubs.HUBS / interval_s
    assert most * limit_entries.ENTRY_BYTES * per_s <= CONTROL_BYTES_PER_S


def test_work_goes_to_a_server_without_a_limit_before_any_is_refused():
    play = _Play(13, [*_servers(3, 2.0), _Server("free", None)], 60.0)
    play.run(15.0)
    assert not play.refused


def test_limit_that_is_lowered_raised_and_ended_is_followed():
    play = _Play(13, _servers(4, 8.0), 100.0)
    play.run(8.0)
    for limit in (2.0, 8.0):
        for server in play.servers:
            server.limit = limit
        changed_s = play.clock.monotonic()
        play.run(12.0)
        play.check(changed_s + WINDOW_S + STABLE_S, limit)
        since_s = changed_s + STABLE_S
        assert play.used_share(since_s, limit) >= USED_SHARE
    for server in play.servers:
        server.limit = None
    play.run(2.0)
    play.refused.clear()
    play.run(2.0)
    assert not play.refused


def test_node_that_starts_knows_the_limits_from_the_others():
    play = _Play(13, _servers(4, 3.0), 60.0)
    began_s = play.clock.monotonic()
    for number in range(13):
        play.run(2.0)
        play.nodes[number] = play.start(number)
    play.check(began_s + STABLE_S, 3.0)


def test_nodes_that_hear_from_none_keep_to_their_equal_shares():
    play = _Play(13, _servers(4, 13.0), 150.0)
    play.run(5.0)
    for node in play.nodes:
        node.is_cut = True
    play.run(limit_table.COUNT_LIFETIME_S)
    since_s = play.clock.monotonic()
    play.run(15.0)
    play.check(since_s, 13.0)
    assert play.used_share(since_s, 13.0) >= 0.5


def test_successor_at_an_address_has_no_limit_of_its_predecessor():
    clock = clocks.ManualClock(now_s=10.0)
    limits = _alone(clock)
    first, second = (limit_table.server_key("i-1", n) for n in ("1", "2"))
    limits.table.observe(first, 0.0)
    for _ in range(20):
        limits.table.record_sent(second)
    assert limits.accepting([second], lambda key: key) == [second]
    limits.table.record_sent(first)
    with pytest.raises(exceptions.RateLimited):
        limits.accepting([first], lambda key: key)


def test_refused_requests_are_served_when_they_come_back_in_time():
    clock = clocks.ManualClock(now_s=10.0)
    limits = _alone(clock)
    key = limit_table.server_key("i-1", "1")
    limits.table.observe(key, 2.0)
    returns = [(10.0 + n * 0.01, 0) for n in range(12)]
    heapq.heapify(returns)
    tries = []
    while returns:
        when_s, tried = heapq.heappop(returns)
        clock.advance(max(0.0, when_s - clock.monotonic()))
        try:
            limits.accepting([key], lambda k: k)
        except exceptions.RateLimited as exc:
            assert exc.retry_after_ms <= rate_limits.MAX_WAIT_S * 1000
            again_s = clock.monotonic() + exc.retry_after_ms / 1000
            heapq.heappush(returns, (again_s, tried + 1))
            continue
        limits.table.record_sent(key)
        tries.append(tried)
    assert sum(tries) / len(tries) <= 3


def test_more_urgent_requests_are_served_first():
    clock = clocks.ManualClock(now_s=10.0)
    rng = random.Random(1)
    limits = _alone(clock)
    key = limit_table.server_key("i-1", "1")
    limits.table.observe(key, 10.0)
    served = collections.Counter()
    for _ in range(2000):
        clock.advance(0.02)
        urgency = rng.choice((0, 9))
        try:
            limits.accepting([key], lambda k: k, urgency=urgency)
        except exceptions.RateLimited:
            continue
        limits.table.record_sent(key)
        served[urgency] += 1
    assert served[0] >= 2 * served[9]


def test_names_of_unknown_models_are_not_kept():
    """Guards against a table that grows with each name a caller makes up."""
    limits = _alone(clocks.ManualClock(now_s=10.0))
    for number in range(100):
        assert limits.accepting([], str, f"unknown-{number}") == []
    assert not limits._offered
    limits.accepting([b"server"], bytes, "known")
    # A model of which no group is left is counted as before.
    limits.accepting([], bytes, "known")
    assert limits._offered.keys() == {"known"}
    assert limits._offered["known"].value == 2


def test_resumed_stream_is_sent_though_the_server_has_no_room():
    clock = clocks.ManualClock(now_s=10.0)
    limits = _alone(clock)
    key = limit_table.server_key("i-1", "1")
    limits.table.observe(key, 8.0)
    with pytest.raises(exceptions.RateLimited):
        for _ in range(20):
            limits.accepting([key], lambda k: k)
            limits.table.record_sent(key)
    assert limits.accepting([key], lambda k: k, resumed=True) == [key]


@pytest.mark.parametrize(
    "raw", ["", "x", "-1", "nan", "inf", "1e300", "1,5", "4 a second"]
)
def test_malformed_limit_is_no_limit(raw):
    assert limit_table.parse(raw) is None


@pytest.mark.parametrize(("raw", "rate"), [("0", 0.0), ("3.7", 3.7)])
def test_limit_is_a_decimal_number(raw, rate):
    assert limit_table.parse(raw) == rate
