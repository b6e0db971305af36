"""Guards against nodes that together repeat a crashing call too often.

Nodes, instances and calls are played on a manual clock. All calls are the same
request, which ends each instance that runs it.
"""

from collections.abc import Callable
import functools
import heapq
import itertools
import random

import attrs
import pytest

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import quarantine
from balsamlug import state
from balsamlug import suspicions
from balsamlug.gateway import evidence
from balsamlug.messages import types

INSTANCES = 3
MAX_ATTEMPTS = 2
MESSAGE_DELAY_S = (0.05, 0.25)
CRASH_S = (0.05, 0.12)
# Bounds of the platform.
STABLE_S = 3.0
ALLOWED_CRASHES = 3
ALLOWED_LATE_ARRIVALS = 3
END_S = 40.0


@attrs.define(eq=False)
class _Call:
    node: int
    attempts: int = 0
    pending: set[str] = attrs.field(factory=set)


class _Repeats:
    """Play of one call that callers repeat at any node.

    Args:
      rate: calls per second.
      down_s: time from a crash to the restart of the instance.
      confirm_s: range of the time from a crash to its detection.
    """

    def __init__(
        self,
        seed: int,
        nodes: int,
        rate: float,
        down_s: float,
        confirm_s: tuple[float, float],
    ) -> None:
        self.clock = clocks.ManualClock()
        self.rng = random.Random(seed)
        self.rate, self.down_s, self.confirm_s = rate, down_s, confirm_s
        self.crashes: list[float] = []
        self.arrivals: list[float] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._forwarding = False
        self._lives = [1] * INSTANCES
        self._up_s = [0.0] * INSTANCES
        self.fleets = [state.FleetState("s") for _ in range(nodes)]
        self.tables = [
            quarantine.Quarantine(
                fleet,
                self.clock,
                f"node-{number}",
                rng=random.Random(self.rng.random()),
            )
            for number, fleet in enumerate(self.fleets)
        ]
        for number, fleet in enumerate(self.fleets):
            for other in range(nodes):
                node = types.NodeUpdate(
                    f"node-{other}", 1, "up", "r", "d", "127.0.0.1:1"
                )
                fleet.publish(node, 0.0)
            fleet.subscribe(functools.partial(self._forward, number))

    def run(self) -> None:
        self._arrive()
        while self._events and self._events[0][0] < END_S:
            when_s, _, action = heapq.heappop(self._events)
            self.clock.advance(when_s - self.clock.monotonic())
            action()

    def late_arrivals(self) -> int:
        since_s = self.crashes[ALLOWED_CRASHES - 1] + STABLE_S
        return sum(arrived_s > since_s for arrived_s in self.arrivals)

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        when_s = self.clock.monotonic() + delay_s
        heapq.heappush(self._events, (when_s, next(self._order), action))

    def _forward(self, source: int, message: types.Message) -> None:
        if self._forwarding:
            return
        for number in range(len(self.fleets)):
            if number != source:
                receive = functools.partial(self._receive, number, message)
                self._after(self.rng.uniform(*MESSAGE_DELAY_S), receive)

    def _receive(self, node: int, message: types.Message) -> None:
        self._forwarding = True
        self.fleets[node].publish(message, self.clock.monotonic())
        self._forwarding = False

    def _arrive(self) -> None:
        self._after(self.rng.expovariate(self.rate), self._arrive)
        self._send(_Call(self.rng.randrange(len(self.fleets))))

    def _send(self, call: _Call) -> None:
        now_s = self.clock.monotonic()
        up = [n for n in range(INSTANCES) if self._up_s[n] <= now_s]
        if not up or call.attempts >= MAX_ATTEMPTS:
            return
        try:
            self.tables[call.node].admit(["fp"], call.pending)
        except exceptions.SuspectedRequest:
            return
        call.attempts += 1
        self.arrivals.append(now_s)
        instance = self.rng.choice(up)
        ended = functools.partial(
            self._end, call, instance, self._lives[instance]
        )
        self._after(self.rng.uniform(*CRASH_S), ended)

    def _end(
        self,
        call: _Call,
        instance: int,
        life: int,
    ) -> None:
        now_s = self.clock.monotonic()
        if self._lives[instance] == life:
            self.crashes.append(now_s)
            self._lives[instance] += 1
            self._up_s[instance] = now_s + self.down_s
        loss = suspicions.crash_id(str(instance), life)
        call.pending.add(loss)
        confirm_s = self.rng.uniform(*self.confirm_s)
        if confirm_s > evidence.CHECK_ANNOUNCED_S:
            self._after(
                evidence.CHECK_ANNOUNCED_S,
                functools.partial(
                    self.tables[call.node].open_check, ["fp"], loss, now_s
                ),
            )
        self._after(
            confirm_s,
            functools.partial(self._record, call.node, instance, life, now_s),
        )
        if not self.tables[call.node].is_quarantined("fp", call.pending):
            self._send(call)

    def _record(
        self,
        node: int,
        instance: int,
        life: int,
        crashed_s: float,
    ) -> None:
        table = self.tables[node]
        table.record_crash(["fp"], str(instance), life, crashed_s)


@pytest.mark.parametrize("nodes", [2, 13, 40])
@pytest.mark.parametrize("rate", [1.0, 6.0, 20.0])
@pytest.mark.parametrize(
    ("down_s", "confirm_s"),
    [
        (0.02, (0.3, 1.5)),
        (0.3, (0.1, 0.12)),
        (1.2, (0.1, 0.12)),
        (3.0, (0.1, 0.4)),
        (0.3, (0.4, 0.8)),
        (2.0, (0.5, 2.0)),
        (3.0, (4.0, 5.0)),
    ],
)
def test_nodes_together_stay_within_the_allowed_repeats(
    nodes, rate, down_s, confirm_s
):
    for seed in range(10):
        play = _Repeats(seed, nodes, rate, down_s, confirm_s)
        play.run()
        late = play.late_arrivals()
        seen = f"seed {seed}: {len(play.crashes)} crashes, {late} late"
        assert late <= ALLOWED_LATE_ARRIVALS, seen
