"""Measures the CPU time of scheduling operations at several sizes.

`bench.policy` prints the results.
"""

from collections.abc import Callable
import itertools
import random
import time

import attrs

from balsamlug import clock as clock_lib
from balsamlug import tables
from balsamlug.config import schema
from balsamlug.router import scheduler

DEPLOYMENT = "model"
SLOTS = 16
# Requests of the measured router at each group. It is one of 12 routers, and
# the load reports show the requests of all.
REQUESTS_PER_GROUP = 1
ROUNDS = 300
# The rounds are split into this many series; the fastest series counts.
REPEATS = 5
US_PER_S = 1e6
LIMITS = schema.Limits(max_queue=100_000)
FAR_DEADLINE_S = 1e6


@attrs.frozen
class Size:
    """Number of groups, customers and queued requests."""

    groups: int
    customers: int
    queued: int


SIZES = (
    Size(groups=75, customers=10, queued=0),
    Size(groups=75, customers=10, queued=200),
    Size(groups=75, customers=10, queued=800),
    Size(groups=75, customers=100, queued=200),
    Size(groups=75, customers=100, queued=800),
    Size(groups=18, customers=10, queued=200),
    Size(groups=150, customers=10, queued=200),
)


@attrs.define(slots=False)
class Load:
    """A scheduler under peak load.

    Every group is full, so queued work starts only when running work ends.
    """

    size: Size
    clock: clock_lib.ManualClock = attrs.field(factory=clock_lib.ManualClock)
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    running: list[str] = attrs.field(factory=list)
    waiting: list[str] = attrs.field(factory=list)
    sequence: itertools.count = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        self.scheduler = scheduler.Scheduler(self.clock, self.rng, LIMITS)
        self.slots = {DEPLOYMENT: SLOTS}
        self.report(SLOTS // 2)
        self.fill()

    def fill(self) -> None:
        """Start work on every group, fill all slots and queue more work."""
        for _ in range(REQUESTS_PER_GROUP * self.size.groups):
            self.submit()
        self.tick()
        self.report(SLOTS)
        for _ in range(self.size.queued):
            self.submit()
        self.tick()

    def report(self, running: int) -> None:
        """Replace the load reports of all groups."""
        self.clock.advance(0.5)
        load = tables.LoadReport(running, 2, SLOTS)
        self.statuses = [
            tables.GroupStatus(
                f"g{i}", DEPLOYMENT, 1, True, "", "h", load, self.clock.now_s
            )
            for i in range(self.size.groups)
        ]
        self.update()

    def update(self) -> None:
        """Pass the current statuses to the scheduler, as before every tick."""
        self.scheduler.update_groups(self.statuses, self.slots)

    def submit(self) -> None:
        """Submit one request."""
        number = next(self.sequence)
        work = scheduler.Work(
            id=f"w{number}",
            customer=f"c{number % self.size.customers}",
            deployment=DEPLOYMENT,
            priority=number % 3,
            weight=1.0 + number % 2,
            deadline_s=FAR_DEADLINE_S,
            prompt_tokens=500,
            max_tokens=256,
            prefix_hash=f"p{number % 40}",
        )
        self.scheduler.submit(work)
        self.waiting.append(work.id)

    def tick(self) -> None:
        """Run one scheduler tick and record the started work."""
        for decision in self.scheduler.tick():
            if isinstance(decision, scheduler.Start):
                self.running.append(decision.work_id)

    def finish_one(self) -> None:
        """Complete the oldest running request, which frees a slot."""
        self.clock.advance(0.01)
        work_id = self.running.pop(0)
        self.scheduler.progress(work_id, 100)
        self.scheduler.finished(work_id, scheduler.COMPLETED)

    def schedule_request(self) -> None:
        """Run every scheduler call that one request causes."""
        self.submit()
        self.tick()
        self.finish_one()
        self.tick()


def _time_us(action: Callable[[], None]) -> float:
    best_s = float("inf")
    for _ in range(REPEATS):
        started_s = time.perf_counter()
        for _ in range(ROUNDS // REPEATS):
            action()
        elapsed_s = time.perf_counter() - started_s
        best_s = min(best_s, elapsed_s)
    return best_s / (ROUNDS // REPEATS) * US_PER_S


def measure(size: Size) -> dict[str, float]:
    """Return the microseconds of each operation at one size."""
    result = {}
    load = Load(size)
    result["submit_us"] = _time_us(load.submit)
    load = Load(size)
    result["idle_tick_us"] = _time_us(load.tick)
    result["update_us"] = _time_us(load.update)
    result["report_us"] = _time_us(lambda: load.report(SLOTS))
    load = Load(size)
    result["request_us"] = _time_us(load.schedule_request)
    return result


def slope(name: str, small: Size, large: Size, results: dict) -> float:
    """Return the added microseconds for each added group, customer or entry.

    The two sizes differ in exactly one field.
    """
    (field,) = [
        f.name
        for f in attrs.fields(Size)
        if getattr(small, f.name) != getattr(large, f.name)
    ]
    rows = getattr(large, field) - getattr(small, field)
    return (results[large][name] - results[small][name]) / rows


def measure_all() -> dict[Size, dict[str, float]]:
    """Measure every size."""
    return {size: measure(size) for size in SIZES}


def report(results: dict[Size, dict[str, float]]) -> list[str]:
    """Return the lines of the table and of the slopes."""
    names = list(next(iter(results.values())))
    lines = [f"{'groups customers queued':28}" + _cells(names)]
    for size, row in results.items():
        label = f"{size.groups:>6}{size.customers:>10}{size.queued:>7}"
        lines.append(f"{label:28}" + _cells(f"{v:.1f}" for v in row.values()))
    pairs = {
        "per queued entry": (SIZES[1], SIZES[2]),
        "per customer": (SIZES[1], SIZES[3]),
        "per group": (SIZES[5], SIZES[6]),
    }
    for label, (small, large) in pairs.items():
        slopes = (f"{slope(n, small, large, results):.4f}" for n in names)
        lines.append(f"{label:28}" + _cells(slopes))
    return lines


def _cells(values) -> str:
    return "".join(f"{value:>14}" for value in values)
