"""Compares ways to limit what groups get that have just started.

Nodes, callers and groups of one model run without a network.

Nodes hear of each other's requests in flight late, through a hub. Groups
prefill one prompt after another, queue requests beyond their slots and refuse
them beyond twice the slots.
"""

import collections
from collections.abc import Callable
import heapq
import itertools
import random
import statistics
from typing import Annotated

import attrs
import typer

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import state
from balsamlug.gateway import loads
from balsamlug.gateway import placement
from balsamlug.gateway import ramp
from balsamlug.observability import metrics as metric
from bench import cold_starts
from bench import placing_fleet

MODEL = placing_fleet.MODEL
SLOTS = MODEL.slots
PROMPT = placing_fleet.PROMPT_TOKENS
TRANSIT_S = 0.05
RETRY_NODE_S = 0.01
# The next arrival is drawn again after this time, since demand may change.
IDLE_STEP_S = 0.5
# The established groups reach a steady load before the others start.
STARTED_S = 6.0
COLD_S = 4.0
SCHEDULE_S = 3.0


@attrs.define
class Group:
    """One group with its engine.

    Attributes:
      slowness, prefill_slowness: return the factor on all its times, and the
        additional one on its prefill, by the time.
      used_s: time that its slots were used.
      arrivals: times of the requests that reached it.
    """

    name: str
    since_s: float
    slowness: Callable[[float], float] = lambda now_s: 1.0
    prefill_slowness: Callable[[float], float] = lambda now_s: 1.0
    used_s: float = 0.0
    arrivals: list[float] = attrs.field(factory=list)
    _free_s: list[float] = attrs.field(factory=list)
    _prefilled_s: float = 0.0

    def add(self, now_s: float) -> tuple[float, float] | None:
        """Return when a request gets its first and last event."""
        self._free_s = [end_s for end_s in self._free_s if end_s > now_s]
        self.arrivals.append(now_s)
        if len(self._free_s) >= 2 * SLOTS:
            return None
        ends_s = sorted(self._free_s)
        start_s = now_s
        if len(ends_s) >= SLOTS:
            start_s = ends_s[len(ends_s) - SLOTS]
        factor = self.slowness(now_s) / 1000
        start_s = max(start_s, self._prefilled_s)
        prefill_ms = factor * MODEL.prefill_ms(PROMPT)
        self._prefilled_s = start_s + prefill_ms * self.prefill_slowness(now_s)
        pass_s = factor * MODEL.pass_ms(min(SLOTS, len(ends_s) + 1))
        first_s = self._prefilled_s + 1.5 * pass_s
        engine = MODEL.engine
        passes = engine.usual_answer_tokens / engine.steps_per_pass
        last_s = first_s + (passes - 1) * pass_s
        self.used_s += last_s - start_s
        self._free_s.append(last_s)
        return first_s, last_s


@attrs.define
class Result:
    """What callers got, and how the groups were used."""

    on_time: int = 0
    late: int = 0
    refused: int = 0
    idle_s: float = 0.0
    most_in_flight: int = 0
    full_s: float = float("inf")

    @property
    def value(self) -> float:
        """Return the earned share, with a quarter for a late answer."""
        total = self.on_time + self.late + self.refused
        return (self.on_time + placing_fleet.LATE_VALUE * self.late) / max(
            1, total
        )


@attrs.define(slots=False)
class Fleet:
    """The fleet at work; `run` returns the result of requests after the start.

    Attributes:
      ramps_type: limits groups that have just started.
      target_s: target time to the first event.
    """

    groups: list[Group]
    nodes: int = 93
    ramps_type: type[ramp.Ramps] = ramp.AdaptiveRamps
    target_s: float = 0.4
    seed: int = 1
    clock: clocks.ManualClock = attrs.field(factory=clocks.ManualClock)
    events: list = attrs.field(factory=list)
    result: Result = attrs.field(factory=Result)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        # Arrivals do not depend on what happens to requests.
        self._gaps = random.Random(self.seed + 1000)
        self._order = itertools.count()
        self._sequence = itertools.count(1)
        shared = state.FleetState("r")
        for number in range(self.nodes):
            shared.publish(cold_starts.node_update(f"n-{number}"), 0.0)
        self.interval_s = loads.report_interval_s(self.nodes)
        self.loads = [loads.Loads() for _ in range(self.nodes)]
        self.ramps = [
            ramp.Ramps()
            if self.ramps_type is ramp.Ramps
            else self.ramps_type(
                shared,
                self.loads[number],
                self.clock,
                random.Random(f"{self.seed}/{number}"),
                metric.GatewayMetrics(),
                lambda: 2 * self.interval_s,
            )
            for number in range(self.nodes)
        ]
        self._in_flight = collections.Counter()
        self._known: set[str] = set()

    def run(
        self, demand: Callable[[float], float], until_s: float, measured_s=0.0
    ) -> Result:
        """Play demand per second by the time."""
        self._measured_s = measured_s
        self._at(0.0, self._report)
        self._at(0.0, self._arrive, demand)
        while self.events and self.events[0][0] < until_s:
            at_s, _, call, args = heapq.heappop(self.events)
            self.clock.now_s = at_s
            call(*args)
        for group in self.groups:
            if group.since_s:
                passed_s = until_s - group.since_s
                used_s = group.used_s
                self.result.idle_s += max(0, SLOTS * passed_s - used_s)
        return self.result

    def _at(self, at_s: float, call: Callable, *args) -> None:
        heapq.heappush(self.events, (at_s, next(self._order), call, args))

    def _report(self) -> None:
        now_s = self.clock.now_s
        self._at(now_s + self.interval_s, self._report)
        total = collections.Counter()
        for known in self.loads:
            total.update(known.local)
        self._at(now_s + TRANSIT_S, self._deliver, total)
        own = [collections.Counter(known.local) for known in self.loads]
        self._own = own
        complete = [(g.name, 1) for g in self.groups if g.since_s <= now_s]
        for ramps in self.ramps:
            ramps.observe(lambda: complete)

    def _deliver(self, total: collections.Counter) -> None:
        sequence, now_s = next(self._sequence), self.clock.now_s
        for known, own in zip(self.loads, self._own, strict=True):
            others = {k: n - own[k] for k, n in total.items() if n > own[k]}
            known.update_sum(
                "hub",
                loads.PeerCounts(1, sequence, now_s, others, self.nodes),
            )

    def _arrive(self, demand: Callable[[float], float]) -> None:
        now_s = self.clock.now_s
        per_s = demand(now_s)
        gap_s = self._gaps.expovariate(per_s) if per_s else IDLE_STEP_S
        self._at(now_s + min(gap_s, IDLE_STEP_S), self._arrive, demand)
        if per_s and gap_s < IDLE_STEP_S:
            self._place(now_s, False)

    def _place(self, received_s: float, retried: bool) -> None:
        now_s = self.clock.now_s
        node = self._rng.randrange(self.nodes)
        known = self.loads[node]
        candidates = [
            placement.Candidate(
                g.name, 1, g.name, "", MODEL, known.total(g.name, now_s)
            )
            for g in self.groups
            if g.since_s <= now_s
        ]
        left_s = self.target_s - (now_s - received_s)
        work = placement.Work("m", PROMPT, 1000 * left_s, 5000, retried)
        unreported = sum(c.in_flight / MODEL.request_ms() for c in candidates)
        unreported *= self.interval_s * 1000
        try:
            placed = placement.choose(
                work,
                self.ramps[node].accepting(candidates, "m", False),
                self._rng,
                unreported,
            )
        except exceptions.Refusal as exc:
            self._refuse(received_s, retried, exc.retry_after_ms / 1000)
            return
        self._send(node, placed, received_s, retried)

    def _refuse(self, received_s: float, retried: bool, wait_s: float) -> None:
        if retried:
            self._count("refused", received_s)
        else:
            at_s = self.clock.now_s + wait_s + RETRY_NODE_S
            self._at(at_s, self._place, received_s, True)

    def _send(
        self,
        node: int,
        placed: placement.Placement,
        received_s: float,
        retried: bool,
    ) -> None:
        now_s, name = self.clock.now_s, placed.candidate.group
        group = next(g for g in self.groups if g.name == name)
        times = group.add(now_s)
        if times is None:
            self.ramps[node].record_refused((name, 1))
            self._refuse(received_s, retried, 0.3)
            return
        self.loads[node].record_start(name)
        self._in_flight[name] += 1
        if group.since_s:
            most = max(self.result.most_in_flight, self._in_flight[name])
            self.result.most_in_flight = most
            if self._in_flight[name] >= SLOTS:
                full_s = now_s - group.since_s
                self.result.full_s = min(self.result.full_s, full_s)
        self._at(times[0], self._first_event, node, placed, now_s, received_s)
        self._at(times[1], self._end, node, name)

    def _first_event(self, node, placed, sent_s, received_s) -> None:
        now_s = self.clock.now_s
        self.ramps[node].record_first_event(
            placed.candidate.key,
            1000 * (now_s - sent_s),
            placed.wait_ms,
            1000 * (received_s + self.target_s - sent_s),
        )
        is_late = now_s - received_s > self.target_s
        self._count("late" if is_late else "on_time", received_s)

    def _end(self, node: int, name: str) -> None:
        self.loads[node].record_end(name)
        self._in_flight[name] -= 1

    def _count(self, kind: str, received_s: float) -> None:
        if received_s >= self._measured_s:
            count = getattr(self.result, kind)
            setattr(self.result, kind, count + 1)


class ScheduledRamps(ramp.AdaptiveRamps):
    """Limits that grow with time alone."""

    def _evidence(self, key: ramp.GroupKey, now_s: float) -> ramp.Evidence:
        passed_s = now_s - self._groups[key].ramp.started_s
        return ramp.Evidence(int(passed_s / SCHEDULE_S * SLOTS))


class LonelyRamps(ramp.AdaptiveRamps):
    """Limits that follow the first events of the own node alone."""

    def _evidence(self, key: ramp.GroupKey, now_s: float) -> ramp.Evidence:
        del now_s
        counts = self._loads.local
        return ramp.Evidence(
            counts[loads.on_time_key(*key)], counts[loads.late_key(*key)]
        )


class HardRamps(ramp.AdaptiveRamps):
    """Limits that always apply."""

    headroom = 0.0


@attrs.frozen
class Scenario:
    """Established and new groups under a share of their capacity.

    Attributes:
      slowness, prefill_slowness: factors of the new groups until `COLD_S` after
        their start.
    """

    old: int
    new: int
    load: float
    slowness: float = 1.0
    prefill_slowness: float = 1.0

    def play(self, ramps_type: type[ramp.Ramps], seed: int) -> Fleet:
        """Return the fleet after the scenario, with its result."""
        groups = [Group(f"o{n}", 0.0) for n in range(self.old)] + [
            Group(
                f"n{n}",
                STARTED_S,
                lambda at_s: self.slowness if _is_cold(at_s) else 1.0,
                lambda at_s: self.prefill_slowness if _is_cold(at_s) else 1.0,
            )
            for n in range(self.new)
        ]
        played = Fleet(groups, ramps_type=ramps_type, seed=seed)
        played.run(self.demand, STARTED_S + COLD_S, STARTED_S)
        return played

    def demand(self, now_s: float) -> float:
        """Return the requests per second at a time."""
        groups = self.old + (self.new if now_s >= STARTED_S else 0)
        return self.load * groups * SLOTS / (MODEL.request_ms() / 1000)


def _is_cold(now_s: float) -> bool:
    return now_s < STARTED_S + COLD_S


POLICIES: dict[str, type[ramp.Ramps]] = {
    "without": ramp.Ramps,
    "schedule": ScheduledRamps,
    "own events": LonelyRamps,
    "events of all nodes": ramp.AdaptiveRamps,
    "always applied": HardRamps,
}
SCENARIOS = tuple(
    Scenario(*size, *slowness)
    for slowness in ((1.0, 1.0), (1.0, 5.0), (3.0, 1.0))
    for size in ((20, 2, 0.7), (20, 4, 0.75), (3, 3, 0.85))
)


def main(seeds: Annotated[int, typer.Option()] = 6) -> None:
    """Print the means of late and refused answers and of idle slot-seconds."""
    for scenario in SCENARIOS:
        typer.echo(scenario)
        for name, ramps_type in POLICIES.items():
            results = [
                scenario.play(ramps_type, seed).result for seed in range(seeds)
            ]
            means = [
                f"{field} {statistics.mean(values):.1f}"
                for field in ("late", "refused", "idle_s")
                if (values := [getattr(r, field) for r in results])
            ]
            typer.echo(f"  {name}: {', '.join(means)}")


if __name__ == "__main__":
    typer.run(main)
