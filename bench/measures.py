"""Measures of finished simulation runs and their comparison."""

import collections
import math
import statistics

from bench import engine
from bench import shapes
from bench import simulation

# Measures for which a lower value is better; for the others a higher one is.
LOWER_IS_BETTER = frozenset(
    {
        "late_short",
        "refused_short",
        "unserved_short",
        "late_long",
        "refused_long",
        "wait_p95_s",
        "wait_p99_s",
        "wasted_tokens",
        "repeated_prefill",
        "idle_waiting_s",
        "broken",
        "long_stall_max_s",
    }
)


def percentile(values: list[float], percent: int) -> float:
    """Return a percentile of the values, 0 when there are none."""
    if len(values) < 2:
        return values[0] if values else 0.0
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]


def _at_peak(request: shapes.Request) -> bool:
    end_s = shapes.PEAK_START_S + shapes.PEAK_S
    return shapes.PEAK_START_S <= request.arrival_s < end_s


def _in_time(request: shapes.Request) -> bool:
    first_s = request.first_token_s
    return first_s is not None and first_s <= request.deadline_s


def _due_in_run(request: shapes.Request) -> bool:
    return request.deadline_s <= shapes.HORIZON_S


def _late(request: shapes.Request) -> bool:
    return (
        not request.refusal and _due_in_run(request) and not _in_time(request)
    )


def fair_shares(
    demanded: dict[str, float], weights: dict[str, float], total: float
) -> dict[str, float]:
    """Divide a total by weight, limited by the demand of each customer.

    Shares that exceed the demand are divided among the other customers.
    """
    result: dict[str, float] = {}
    remaining_names = sorted(
        demanded, key=lambda name: demanded[name] / weights[name]
    )
    while remaining_names:
        name = remaining_names.pop(0)
        remaining_weight = (
            sum(weights[n] for n in remaining_names) + weights[name]
        )
        result[name] = min(
            demanded[name], total * weights[name] / remaining_weight
        )
        total -= result[name]
    return result


def jain(values: list[float]) -> float:
    """Return Jain's fairness index, 1 when all values are equal."""
    squares = sum(v * v for v in values)
    if not squares:
        return 1.0
    return sum(values) ** 2 / (len(values) * squares)


def fairness(requests: list[shapes.Request]) -> dict[str, float]:
    """Return fairness indices of the work served in time per demand.

    "jain" compares with the demand of each customer, "jain_weighted" with its
    share of the served work by weight.
    """
    demanded: dict[str, float] = collections.defaultdict(float)
    served: dict[str, float] = collections.defaultdict(float)
    weights: dict[str, float] = {}
    for request in requests:
        cost = request.tokens + engine.PREFILL_COST * request.prompt_tokens
        demanded[request.customer] += cost
        served[request.customer] += cost * _in_time(request)
        weights[request.customer] = request.weight
    entitled = fair_shares(demanded, weights, sum(served.values()))
    return {
        "jain": jain([served[c] / demanded[c] for c in demanded]),
        "jain_weighted": jain(
            [served[c] / max(entitled[c], 1e-9) for c in demanded]
        ),
    }


def measure(run: simulation.Simulation) -> dict[str, float]:
    """Return the measures of one run by name."""
    requests = list(run.requests.values())
    peak = [r for r in requests if _at_peak(r)]
    short = [r for r in peak if not r.is_long]
    long = [r for r in requests if r.is_long]
    waits = [r.slot_s - r.arrival_s for r in short if r.slot_s is not None]
    late = sum(_late(r) for r in short)
    refused = sum(bool(r.refusal) for r in short)
    totals = run.totals
    result = {
        "asked_short": len(short),
        "in_time": sum(map(_in_time, short)) / max(1, len(short)),
        "late_short": late,
        "refused_short": refused,
        "unserved_short": late + refused,
        "late_long": sum(map(_late, long)),
        "refused_long": sum(bool(r.refusal) for r in long),
        "asked_long": len(long),
        "long_done": sum(r.done_s is not None for r in long)
        / max(1, len(long)),
        "long_stall_max_s": max((r.stall_s for r in long), default=0.0),
        "peak_work_per_s": totals.peak_work / shapes.PEAK_S,
        "wait_p95_s": percentile(waits, 95),
        "wait_p99_s": percentile(waits, 99),
        "peak_tokens_per_s": totals.peak_tokens / shapes.PEAK_S,
        "total_tokens": totals.tokens,
        "preemptions": totals.preemptions,
        "wasted_tokens": totals.wasted_tokens,
        "repeated_prefill": totals.repeated_prefill,
        "idle_waiting_s": totals.idle_waiting_s,
        "cached_share": totals.cached_prompts / max(1, totals.prompts),
        "broken": totals.broken,
        "downtime_s": totals.downtime_s,
        "stranded_accelerator_s": totals.downtime_s * simulation.ACCELERATORS,
    }
    reasons = collections.Counter(r.refusal for r in requests if r.refusal)
    result |= {f"refused/{code}": n for code, n in sorted(reasons.items())}
    return result | fairness(peak)


def mean(results: list[dict[str, float]]) -> dict[str, float]:
    """Return the means over several seeds; a missing measure counts as 0."""
    names = dict.fromkeys(name for result in results for name in result)
    return {
        name: statistics.fmean(result.get(name, 0.0) for result in results)
        for name in names
    }


def best(name: str, baselines: list[dict[str, float]]) -> float:
    """Return the best value of any baseline."""
    values = [b.get(name, 0.0) for b in baselines]
    return min(values) if name in LOWER_IS_BETTER else max(values)


def ratio(value: float, reference: float) -> float:
    """Return the quotient, 1 for 0/0 and infinity for other n/0."""
    if reference:
        return value / reference
    return 1.0 if not value else math.inf
