"""Groups, nodes and callers that `bench.placing` compares policies with.

Many nodes place requests and receive the loads of the groups at intervals
only. Groups run a fixed number of requests concurrently and queue the others.
A refused caller retries once.
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import heapq
import itertools
import random

import attrs

from balsamlug import catalogue
from balsamlug import exceptions
from balsamlug.gateway import engine_model
from balsamlug.gateway import placement

ENGINE = catalogue.Engine(
    slots=13,
    kv_tokens=1_235_000,
    steps_per_pass=6,
    step_ms=6.45,
    request_ms=0.1934,
    context_ms_per_k=0.00586,
    prefill_tokens_per_ms=56.1,
    pairs_ms_per_m=0.309,
    loads_per_s=5.5,
    loads_at_once=8,
    form_ms=300,
    usual_prompt_tokens=1115,
    usual_answer_tokens=152,
)
MODEL = engine_model.EngineModel(ENGINE)
REQUEST_MS = MODEL.request_ms()
PROMPT_TOKENS = int(ENGINE.usual_prompt_tokens)
TARGET_MS = 400.0
DEADLINE_MS = 6000.0
# The users' sheets value a late answer at a quarter of one on time. A caller
# that is refused twice costs 0.3 of the value.
LATE_VALUE = 0.25
REFUSED_TWICE_VALUE = -0.3
# A caller gives up without a first event after this time or four targets.
GIVE_UP_MS = 2000.0
GIVE_UP_TARGETS = 4.0
# A caller waits for at most this share of its remaining time before a retry.
RETRY_WAIT_SHARE = 1 / 3
DURATION_MS = 60_000.0
# The demand rises and falls linearly around its mean: the period, and the
# amplitude as a share of the mean.
DEMAND_PERIOD_MS = 13_000.0
DEMAND_SWING = 0.55


# Windows in which the gateway counts the demand of a model and the requests of
# each customer.
DEMAND_WINDOW_MS = 1000.0
CUSTOMERS_WINDOW_MS = 8000.0


@attrs.frozen
class Shape:
    """Size and load of a fleet.

    Attributes:
      load: mean demand as a share of the capacity of all slots.
      report_interval_ms: time between two reports of the loads.
      reports_in_transit: reports that have been sent and have not arrived.
      swing: amplitude of the demand as a share of its mean.
      kinds: share of the calls, target in ms and priority of each kind; each
        one has a route of its own.
      customers: share of the calls of each customer.
    """

    name: str
    groups: int
    nodes: int
    load: float
    report_interval_ms: float
    slots: int = ENGINE.slots
    reports_in_transit: int = 0
    swing: float = DEMAND_SWING
    kinds: tuple[tuple[float, float, int], ...] = ((1.0, TARGET_MS, 0),)
    customers: tuple[float, ...] = (1.0,)

    @property
    def model(self) -> engine_model.EngineModel:
        """Return the latencies of a group."""
        return engine_model.EngineModel(attrs.evolve(ENGINE, slots=self.slots))


# Kinds of the streams of a heavy day of deployment A.
MIXED_KINDS = ((0.35, 200.0, 0), (0.4, 400.0, 1), (0.25, 807.0, 2))
SHAPES = (
    Shape("usual", 12, 13, 0.6, 100.0),
    Shape("peaks above the slots", 12, 13, 0.85, 100.0),
    Shape("overload", 12, 13, 1.3, 100.0),
    Shape("103 nodes", 18, 103, 0.7, 200.0),
    Shape("103 nodes, old news", 18, 103, 0.7, 800.0),
)
# Loads above the slots, with reports that are 0.15 s to 0.3 s old.
HEAVY_SHAPES = (
    Shape("heavy day", 18, 78, 1.5, 150.0, 24, 1, 0.2),
    Shape("heavy day, kinds", 18, 78, 1.5, 150.0, 24, 1, 0.2, MIXED_KINDS),
    Shape("twice the slots", 18, 78, 2.0, 150.0, 24, 1, 0.0, MIXED_KINDS),
)


@attrs.define
class Call:
    """One request and its outcome.

    Attributes:
      at_ms: time of the first arrival.
      first_ms: time of the first token, infinity without one.
      retried: whether the caller was refused and retries.
      refused_finally: whether it was refused twice.
      sent_ms: time at which it was last sent to a group.
    """

    at_ms: float
    node: int
    target_ms: float = TARGET_MS
    priority: int = 0
    route: str = ""
    customer: str = ""
    first_ms: float = float("inf")
    retried: bool = False
    refused_finally: bool = False
    sent_ms: float = 0.0

    def value(self) -> float:
        """Return the value for the caller, 1 for an answer on time."""
        took_ms = self.first_ms - self.at_ms
        if took_ms <= self.target_ms:
            return 1.0
        return LATE_VALUE if took_ms <= DEADLINE_MS else 0.0

    def has_given_up(self, now_ms: float) -> bool:
        """Return whether the caller has waited too long for a first event."""
        patience_ms = max(GIVE_UP_MS, GIVE_UP_TARGETS * self.target_ms)
        waited_ms = now_ms - self.sent_ms
        return waited_ms > patience_ms or now_ms > self.at_ms + DEADLINE_MS


@attrs.define
class Group:
    """The running and queued requests of one group.

    Attributes:
      running: end times, as a heap.
      queue: urgency, sequence number and call, as a heap.
    """

    model: engine_model.EngineModel
    running: list[float] = attrs.field(factory=list)
    queue: list[tuple] = attrs.field(factory=list)

    def request_count(self) -> int:
        """Return the number of running and queued requests."""
        return len(self.running) + len(self.queue)

    def waiting(self) -> int:
        """Return the number of queued requests that rank below all new ones."""
        return sum(u >= placement.URGENCY_RETRIED for u, _, _ in self.queue)


# Returns the index of a group and the urgency, or raises QueueFull.
Policy = Callable[["Fleet", Call], placement.Placement | int]


@attrs.define
class Fleet:
    """Simulated groups and nodes under one policy.

    Attributes:
      reported: requests of each group in the last report.
      reported_waiting: `Group.waiting` of each group in the last report.
      placed_since_report: requests that each node placed at each group since
        the last report, by node.
    """

    shape: Shape
    policy: Policy
    rng: random.Random
    groups: list[Group] = attrs.field(init=False)
    now_ms: float = 0.0
    reported_at_ms: float = 0.0
    reported: list[int] = attrs.field(init=False)
    reported_waiting: list[int] = attrs.field(init=False)
    placed_since_report: dict[int, list[int]] = attrs.field(factory=dict)
    _in_transit: collections.deque = attrs.field(factory=collections.deque)
    _order: itertools.count = attrs.field(factory=itertools.count)
    _retries: list[tuple] = attrs.field(factory=list)
    _arrived: collections.deque = attrs.field(factory=collections.deque)

    def __attrs_post_init__(self) -> None:
        model = self.shape.model
        self.groups = [Group(model) for _ in range(self.shape.groups)]
        self.reported = [0] * self.shape.groups
        self.reported_waiting = [0] * self.shape.groups

    def known_loads(self, node: int) -> list[int]:
        """Return the loads of the groups that a node assumes.

        They are the last reported loads plus its own requests since then.
        """
        known = list(self.reported)
        recent = [placed for _, _, placed in self._in_transit]
        for placed in (*recent, self.placed_since_report):
            for number, count in enumerate(placed.get(node, ())):
                known[number] += count
        return known

    def known_demand(self) -> dict[tuple[int, str], float]:
        """Return the new calls per second by kind, as last reported."""
        until_ms = self.reported_at_ms - (
            self.shape.reports_in_transit * self.shape.report_interval_ms
        )
        return collections.Counter(
            (call.priority, call.route)
            for call in self._arrived
            if until_ms - DEMAND_WINDOW_MS < call.at_ms <= until_ms
        )

    def customers(self, node: int) -> collections.Counter:
        """Return the recent new calls of each customer at a node."""
        return collections.Counter(
            call.customer for call in self._arrived if call.node == node
        )

    def simulate(self) -> list[Call]:
        """Run the simulation and return all calls."""
        calls = []
        for call in _generate_calls(self.shape, self.rng):
            while self._retries and self._retries[0][0] <= call.at_ms:
                at_ms, _, refused_call = heapq.heappop(self._retries)
                self._arrive(refused_call, at_ms)
            calls.append(call)
            self._arrived.append(call)
            while call.at_ms - self._arrived[0].at_ms > CUSTOMERS_WINDOW_MS:
                self._arrived.popleft()
            self._arrive(call, call.at_ms)
        while self._retries:
            at_ms, _, refused_call = heapq.heappop(self._retries)
            self._arrive(refused_call, at_ms)
        self._advance(DURATION_MS + DEADLINE_MS)
        return calls

    def _arrive(self, call: Call, now_ms: float) -> None:
        self._advance(now_ms)
        try:
            placed = self.policy(self, call)
        except exceptions.QueueFull as exc:
            self._refuse(call, exc.retry_after_ms)
            return
        number, urgency = placed
        group = self.groups[number]
        if len(group.queue) >= group.model.slots:
            # Engines refuse requests that exceed their queue limit.
            self._refuse(call, TARGET_MS)
            return
        local_counts = self.placed_since_report.setdefault(
            call.node, [0] * self.shape.groups
        )
        local_counts[number] += 1
        call.sent_ms = now_ms
        heapq.heappush(group.queue, (urgency, next(self._order), call))
        _start_queued(group, now_ms)

    def _refuse(self, call: Call, after_ms: float) -> None:
        if call.retried:
            call.refused_finally = True
            return
        call.retried = True
        rest_ms = call.at_ms + DEADLINE_MS - self.now_ms
        after_ms = min(after_ms, RETRY_WAIT_SHARE * rest_ms)
        retry = (self.now_ms + after_ms, next(self._order), call)
        heapq.heappush(self._retries, retry)

    def _advance(self, now_ms: float) -> None:
        self.now_ms = now_ms
        for group in self.groups:
            while group.running and group.running[0] <= now_ms:
                ended_ms = heapq.heappop(group.running)
                _start_queued(group, ended_ms)
        if now_ms - self.reported_at_ms >= self.shape.report_interval_ms:
            for group in self.groups:
                _drop_given_up(group, now_ms)
            counts = [group.request_count() for group in self.groups]
            waiting = [group.waiting() for group in self.groups]
            self._in_transit.append((counts, waiting, self.placed_since_report))
            self.placed_since_report = {}
            self.reported_at_ms = now_ms
            if len(self._in_transit) > self.shape.reports_in_transit:
                self.reported, self.reported_waiting, _ = (
                    self._in_transit.popleft()
                )


def _start_queued(group: Group, now_ms: float) -> None:
    """Start queued requests while slots are free."""
    while group.queue and len(group.running) < group.model.slots:
        _, _, call = heapq.heappop(group.queue)
        if call.has_given_up(now_ms):
            continue
        running = len(group.running) + 1
        prefill_ms = group.model.prefill_ms(PROMPT_TOKENS)
        pass_ms = group.model.pass_ms(running)
        passes = ENGINE.usual_answer_tokens / ENGINE.steps_per_pass
        call.first_ms = now_ms + 1.5 * pass_ms + prefill_ms
        heapq.heappush(group.running, now_ms + prefill_ms + passes * pass_ms)


def _drop_given_up(group: Group, now_ms: float) -> None:
    """Remove queued requests whose callers have given up."""
    kept = [item for item in group.queue if not item[2].has_given_up(now_ms)]
    if len(kept) < len(group.queue):
        heapq.heapify(kept)
        group.queue = kept


def _generate_calls(shape: Shape, rng: random.Random) -> list[Call]:
    request_ms = shape.model.request_ms()
    mean_per_ms = shape.load * shape.groups * shape.slots / request_ms
    weights = [share for share, _, _ in shape.kinds]
    calls, now_ms = [], 0.0
    while True:
        now_ms += rng.expovariate(mean_per_ms * (1 + shape.swing))
        if now_ms > DURATION_MS:
            return calls
        phase = now_ms % DEMAND_PERIOD_MS / DEMAND_PERIOD_MS
        rate = 1 + shape.swing * (1 - abs(2 * phase - 1) * 2)
        if rng.random() < rate / (1 + shape.swing):
            node = rng.randrange(shape.nodes)
            route = _draw(weights, rng)
            _, target_ms, priority = shape.kinds[route]
            customer = _draw(shape.customers, rng)
            calls.append(
                Call(
                    now_ms,
                    node,
                    target_ms,
                    priority,
                    str(route),
                    str(customer),
                )
            )


def _draw(weights: Sequence[float], rng: random.Random) -> int:
    """Return a random index; a single one takes no random number."""
    if len(weights) == 1:
        return 0
    return rng.choices(range(len(weights)), weights)[0]
