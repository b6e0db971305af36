"""Compares the choice of groups by many nodes with simple policies.

Nodes hear of each other's requests at intervals only. Groups run a fixed
number of requests at once and queue the others; a refused caller comes back
once.
"""

from collections.abc import Callable
import heapq
import itertools
import json
import random
import statistics
from typing import Annotated

import attrs
import typer

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
# A late answer earns a quarter of one on time, as on the users' sheets.
LATE_WORTH = 0.25
DURATION_MS = 60_000.0
# Length of the wave of the demand and its swing around the mean.
WAVE_MS = 13_000.0
SWING = 0.55


@attrs.frozen
class Shape:
    """Size and load of a fleet.

    Attributes:
      load: mean demand as a share of what all slots can run.
      told_ms: time between two news of the loads.
    """

    name: str
    groups: int
    nodes: int
    load: float
    told_ms: float


SHAPES = (
    Shape("usual", 12, 13, 0.6, 100.0),
    Shape("peaks above the slots", 12, 13, 0.85, 100.0),
    Shape("overload", 12, 13, 1.3, 100.0),
    Shape("103 nodes", 18, 103, 0.7, 200.0),
    Shape("103 nodes, old news", 18, 103, 0.7, 800.0),
)


@attrs.define
class Call:
    """One request and what became of it."""

    at_ms: float
    node: int
    first_ms: float = float("inf")
    returned: bool = False

    def worth(self) -> float:
        """Return what the caller got, 1 for an answer on time."""
        took_ms = self.first_ms - self.at_ms
        if took_ms <= TARGET_MS:
            return 1.0
        return LATE_WORTH if took_ms <= DEADLINE_MS else 0.0


@attrs.define
class Group:
    """Requests that run and wait in one group."""

    running: list[float] = attrs.field(factory=list)
    queue: list[tuple] = attrs.field(factory=list)

    def present(self) -> int:
        """Return all requests in the group."""
        return len(self.running) + len(self.queue)

    def waiting(self) -> int:
        """Return the requests that wait behind all fresh ones."""
        return sum(u >= placement.URGENCY_RETRIED for u, _, _ in self.queue)


# Returns the number of a group, or raises QueueFull.
Policy = Callable[["Fleet", Call], placement.Placement | int]


@attrs.define
class Fleet:
    """Groups under one policy."""

    shape: Shape
    policy: Policy
    rng: random.Random
    groups: list[Group] = attrs.field(init=False)
    now_ms: float = 0.0
    told_at_ms: float = 0.0
    told: list[int] = attrs.field(init=False)
    told_waiting: list[int] = attrs.field(init=False)
    own: dict[int, list[int]] = attrs.field(factory=dict)
    refused: int = 0
    _order: itertools.count = attrs.field(factory=itertools.count)
    _returns: list[tuple] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.groups = [Group() for _ in range(self.shape.groups)]
        self.told = [0] * self.shape.groups
        self.told_waiting = [0] * self.shape.groups

    def known(self, node: int) -> list[int]:
        """Return the loads as a node knows them."""
        mine = self.own.get(node)
        if mine is None:
            return list(self.told)
        return [a + b for a, b in zip(self.told, mine, strict=True)]

    def play(self) -> list[Call]:
        """Run the demand and return all calls."""
        calls = []
        for call in _demand(self.shape, self.rng):
            while self._returns and self._returns[0][0] <= call.at_ms:
                at_ms, _, late = heapq.heappop(self._returns)
                self._arrive(late, at_ms)
            calls.append(call)
            self._arrive(call, call.at_ms)
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
        if len(group.queue) >= ENGINE.slots:
            # Engines refuse what exceeds their queue.
            self._refuse(call, TARGET_MS)
            return
        mine = self.own.setdefault(call.node, [0] * self.shape.groups)
        mine[number] += 1
        heapq.heappush(group.queue, (urgency, next(self._order), call))
        _start(group, now_ms)

    def _refuse(self, call: Call, after_ms: float) -> None:
        if call.returned:
            self.refused += 1
            return
        call.returned = True
        back = (self.now_ms + after_ms, next(self._order), call)
        heapq.heappush(self._returns, back)

    def _advance(self, now_ms: float) -> None:
        self.now_ms = now_ms
        for group in self.groups:
            while group.running and group.running[0] <= now_ms:
                ended_ms = heapq.heappop(group.running)
                _start(group, ended_ms)
        if now_ms - self.told_at_ms >= self.shape.told_ms:
            self.told = [group.present() for group in self.groups]
            self.told_waiting = [group.waiting() for group in self.groups]
            self.told_at_ms, self.own = now_ms, {}


def _start(group: Group, now_ms: float) -> None:
    """Let waiting requests run while there are slots."""
    while group.queue and len(group.running) < ENGINE.slots:
        _, _, call = heapq.heappop(group.queue)
        running = len(group.running) + 1
        reading_ms = MODEL.prefill_ms(PROMPT_TOKENS)
        pass_ms = MODEL.pass_ms(running)
        passes = ENGINE.usual_answer_tokens / ENGINE.steps_per_pass
        call.first_ms = now_ms + 1.5 * pass_ms + reading_ms
        heapq.heappush(group.running, now_ms + reading_ms + passes * pass_ms)


def _demand(shape: Shape, rng: random.Random) -> list[Call]:
    mean_per_ms = shape.load * shape.groups * ENGINE.slots / REQUEST_MS
    calls, now_ms = [], 0.0
    while True:
        now_ms += rng.expovariate(mean_per_ms * (1 + SWING))
        if now_ms > DURATION_MS:
            return calls
        phase = now_ms % WAVE_MS / WAVE_MS
        rate = 1 + SWING * (1 - abs(2 * phase - 1) * 2)
        if rng.random() < rate / (1 + SWING):
            calls.append(Call(now_ms, rng.randrange(shape.nodes)))


def own_policy(fleet: Fleet, call: Call) -> tuple[int, int]:
    """Choose as the gateway does."""
    known = fleet.known(call.node)
    spent_ms = fleet.now_ms - call.at_ms
    work = placement.Work(
        "m",
        PROMPT_TOKENS,
        TARGET_MS - spent_ms,
        DEADLINE_MS - spent_ms,
        retried=call.returned,
    )
    candidates = [
        placement.Candidate(str(n), 1, str(n), "", MODEL, present, waiting)
        for n, (present, waiting) in enumerate(
            zip(known, fleet.told_waiting, strict=True)
        )
    ]
    nodes = fleet.shape.nodes
    placed_per_ms = sum(known) / REQUEST_MS
    unseen = placed_per_ms * fleet.shape.told_ms * (nodes - 1) / nodes
    placed = placement.choose(work, candidates, fleet.rng, unseen)
    return int(placed.candidate.group), placed.urgency


def round_robin(fleet: Fleet, call: Call) -> tuple[int, int]:
    """Take the groups in turn, each node by itself."""
    mine = fleet.own.get(call.node) or [0]
    turn = int(call.at_ms) + sum(mine) + call.node
    return turn % fleet.shape.groups, 0


def least_in_flight(fleet: Fleet, call: Call) -> tuple[int, int]:
    """Take the group with the fewest known requests."""
    known = fleet.known(call.node)
    return min(range(len(known)), key=lambda n: (known[n], n)), 0


def one_queue(fleet: Fleet, call: Call) -> tuple[int, int]:
    """Serve in order of arrival with exact knowledge of all groups."""
    del call
    present = [group.present() for group in fleet.groups]
    return min(range(len(present)), key=lambda n: (present[n], n)), 0


POLICIES: dict[str, Policy] = {
    "balsamlug": own_policy,
    "round robin": round_robin,
    "least in flight": least_in_flight,
    "one queue": one_queue,
}


def run(shape: Shape, policy: str, seed: int) -> dict[str, float]:
    """Return what callers get under a policy."""
    fleet = Fleet(shape, POLICIES[policy], random.Random(seed))
    calls = fleet.play()
    worths = [call.worth() for call in calls]
    waits = sorted(call.first_ms - call.at_ms for call in calls)
    return {
        "worth": statistics.mean(worths),
        "on_time": worths.count(1.0) / len(calls),
        "late": worths.count(LATE_WORTH) / len(calls),
        "unserved": worths.count(0.0) / len(calls),
        "p95_ms": waits[int(len(waits) * 0.95)],
    }


def main(
    seed: Annotated[int, typer.Option()] = 1,
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Print what callers get under each policy, by shape of the load."""
    table = {
        shape.name: {name: run(shape, name, seed) for name in POLICIES}
        for shape in SHAPES
    }
    if as_json:
        typer.echo(json.dumps(table, indent=2))
        return
    for shape, rows in table.items():
        typer.echo(shape)
        for name, found in rows.items():
            cells = "  ".join(f"{k} {v:.3f}" for k, v in found.items())
            typer.echo(f"  {name:16} {cells}")


if __name__ == "__main__":
    typer.run(main)
