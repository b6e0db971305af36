"""Demand patterns of the simulated users, generated from a seed."""

import random

import attrs

PEAK_START_S = 10.0
RISE_S = 3.0
PEAK_S = 30.0
HORIZON_S = 75.0
WAVE_START_S = 6.0
WAVE_S = 6.0
CUSTOMERS = 10
# Shares of the demand of ten customers of unequal size, and their weights.
DEMAND_SHARES = (0.30, 0.20, 0.14, 0.10, 0.08, 0.06, 0.05, 0.04, 0.02, 0.01)
WEIGHTS = (4, 4, 2, 2, 2, 1, 1, 1, 1, 1)
# Relative load of each router. It is uneven, since load balancers reuse
# connections.
ROUTER_LOADS = (4, 3, 2, 2, 1, 1, 1, 1, 1, 1, 1, 1)
# Short requests per second outside the peak.
BASE_RATE = 6.0


@attrs.frozen
class Kind:
    """One kind of request.

    Attributes:
      part: share of the arrivals of its class (short or long).
      tokens: mean length of the answer.
      max_tokens: limit that the caller sets, often far above the length.
      prompt_tokens: mean length of the prompt.
      deadline_s: time from the arrival until the first token is due.
    """

    name: str
    part: float
    tokens: int
    max_tokens: int
    prompt_tokens: int
    deadline_s: float
    priority: int


@attrs.frozen
class Shape:
    """One pattern of demand.

    Attributes:
      peak: factor of the rate of short requests during the peak.
      long_rate: long requests per second outside the peak.
      long_peak: factor of the rate of long requests during the peak.
      wave: additional long requests that arrive shortly before and at the
        start of the peak.
      report_lag_s: delay of a load report on its way to the routers.
      lost_at_s: when a group is lost, None for never.
    """

    name: str
    short: tuple[Kind, ...]
    long: tuple[Kind, ...]
    peak: float
    long_rate: float = 0.8
    long_peak: float = 1.5
    wave: int = 0
    report_lag_s: float = 0.5
    lost_at_s: float | None = None
    groups: int = 16
    slots: int = 16


@attrs.define(eq=False)
class Request:
    """One request and its outcome.

    Attributes:
      slot_s: time at which the attempt that generated the first token got a
        slot.
      delivered: tokens of the answer so far.
      refusal: code of the refusal, empty without one.
      preempted_s: time of a preemption, until the answer continues.
      stall_s: longest pause of the answer after a preemption.
    """

    id: str
    kind: Kind
    is_long: bool
    customer: str
    weight: float
    arrival_s: float
    router: int
    tokens: int
    prompt_tokens: int
    prefix_hash: str
    slot_s: float | None = None
    first_token_s: float | None = None
    done_s: float | None = None
    delivered: int = 0
    refusal: str = ""
    attempts: int = 0
    preempted_s: float | None = None
    stall_s: float = 0.0

    @property
    def deadline_s(self) -> float:
        """Return the time at which the first token is due."""
        return self.arrival_s + self.kind.deadline_s


USHER = Kind("usher", 0.6, 70, 256, 500, 2.5, 1)
CLERK = Kind("clerk", 0.25, 120, 512, 800, 5.0, 4)
CONDITION_NOTE = Kind("condition_note", 0.15, 150, 512, 1500, 10.0, 6)
ALLOCATION = Kind("allocation", 1.0, 2000, 4096, 2000, 30.0, 5)
WEEK_PLAN = Kind("week_plan", 1.0, 2500, 4096, 1500, 60.0, 6)
STUDENT = Kind("student", 0.7, 80, 2048, 400, 3.0, 2)
COACH = Kind("coach", 0.3, 180, 512, 2500, 10.0, 5)
LESSON_PLAN = Kind("lesson_plan", 1.0, 2500, 4096, 1500, 30.0, 6)

VEDRINA = ((USHER, CLERK, CONDITION_NOTE), (ALLOCATION,))
TEWODROS = ((STUDENT, COACH), (LESSON_PLAN,))

SHAPES = (
    Shape("ushers_before_film", *VEDRINA, peak=14.0),
    Shape("students_before_tide", *TEWODROS, peak=12.0),
    Shape("peak_within_capacity", *VEDRINA, peak=10.0, long_rate=0.5),
    Shape(
        "long_wave",
        (STUDENT, COACH),
        (WEEK_PLAN,),
        peak=10.0,
        long_rate=0.4,
        wave=160,
    ),
    Shape(
        "long_wave_medium_load",
        (STUDENT, COACH),
        (WEEK_PLAN,),
        peak=7.0,
        long_rate=0.4,
        wave=160,
    ),
    Shape("peak_old_reports", *VEDRINA, peak=14.0, report_lag_s=2.0),
    Shape("peak_group_lost", *TEWODROS, peak=12.0, lost_at_s=20.0),
)


def without_long(shape: Shape) -> Shape:
    """Return the same shape without long requests."""
    return attrs.evolve(shape, long_rate=0.0, wave=0)


def _peak_factor(time_s: float, peak: float) -> float:
    if not PEAK_START_S <= time_s < PEAK_START_S + PEAK_S:
        return 1.0
    rise = min(1.0, (time_s - PEAK_START_S) / RISE_S)
    return 1.0 + rise * (peak - 1.0)


def _arrivals(rng: random.Random, rate: float, peak: float) -> list[float]:
    """Generate a Poisson process of varying rate by thinning."""
    times: list[float] = []
    highest_rate = rate * max(1.0, peak)
    time_s = 0.0
    while highest_rate > 0:
        time_s += rng.expovariate(highest_rate)
        if time_s >= HORIZON_S:
            break
        if rng.random() * highest_rate < rate * _peak_factor(time_s, peak):
            times.append(time_s)
    return times


def _request(
    rng: random.Random, name: str, kinds: tuple[Kind, ...], time_s: float
) -> Request:
    kind = rng.choices(kinds, [k.part for k in kinds])[0]
    customer = rng.choices(range(CUSTOMERS), DEMAND_SHARES)[0]
    tokens = int(kind.tokens * rng.gammavariate(4, 0.25))
    prompt = int(kind.prompt_tokens * rng.uniform(0.5, 1.5))
    return Request(
        id=name,
        kind=kind,
        is_long=kind.tokens >= 1000,
        customer=f"customer{customer}",
        weight=WEIGHTS[customer],
        arrival_s=time_s,
        router=rng.choices(range(len(ROUTER_LOADS)), ROUTER_LOADS)[0],
        tokens=min(max(tokens, 2), kind.max_tokens),
        prompt_tokens=prompt,
        prefix_hash=f"{kind.name}/{customer}",
    )


def generate(shape: Shape, seed: int) -> list[Request]:
    """Generate the requests of a shape.

    Short and long requests use separate random generators, so that the short
    ones are the same with and without long ones.
    """
    short_rng = random.Random(f"{shape.short[0].name}-{seed}-short")
    long_rng = random.Random(f"{shape.short[0].name}-{seed}-long")
    requests = [
        _request(short_rng, f"s{i}", shape.short, t)
        for i, t in enumerate(_arrivals(short_rng, BASE_RATE, shape.peak))
    ]
    long_times = _arrivals(long_rng, shape.long_rate, shape.long_peak)
    long_times += [
        WAVE_START_S + WAVE_S * long_rng.random() for _ in range(shape.wave)
    ]
    requests += [
        _request(long_rng, f"l{i}", shape.long, t)
        for i, t in enumerate(long_times)
    ]
    return sorted(requests, key=lambda r: r.arrival_s)
