"""Measures of finished runs."""

import collections
import math
import statistics

from bench import engine
from bench import shapes
from bench import simulation

# Measures of which a smaller value is better.
SMALLER = frozenset(
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
    """Return a percentile, 0 without values."""
    if len(values) < 2:
        return values[0] if values else 0.0
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]


def _at_peak(request: shapes.Request) -> bool:
    end_s = shapes.PEAK_START_S + shapes.PEAK_S
    return shapes.PEAK_START_S <= request.arrival_s < end_s


def _in_time(request: shapes.Request) -> bool:
    first_s = request.first_token_s
    return first_s is not None and first_s <= request.deadline_s


def _due(request: shapes.Request) -> bool:
    return request.deadline_s <= shapes.HORIZON_S


def _late(request: shapes.Request) -> bool:
    return not request.refusal and _due(request) and not _in_time(request)


def entitlements(
    asked: dict[str, float], weights: dict[str, float], total: float
) -> dict[str, float]:
    """Divide a total by weight, nobody getting more than asked."""
    result: dict[str, float] = {}
    open_names = sorted(asked, key=lambda name: asked[name] / weights[name])
    while open_names:
        name = open_names.pop(0)
        rest = sum(weights[n] for n in open_names) + weights[name]
        result[name] = min(asked[name], total * weights[name] / rest)
        total -= result[name]
    return result


def jain(values: list[float]) -> float:
    """Return Jain's index, 1 when all values are equal."""
    squares = sum(v * v for v in values)
    if not squares:
        return 1.0
    return sum(values) ** 2 / (len(values) * squares)


def fairness(requests: list[shapes.Request]) -> dict[str, float]:
    """Compare what customers got in time with what they asked for."""
    asked: dict[str, float] = collections.defaultdict(float)
    served: dict[str, float] = collections.defaultdict(float)
    weights: dict[str, float] = {}
    for request in requests:
        cost = request.tokens + engine.PREFILL_COST * request.prompt_tokens
        asked[request.customer] += cost
        served[request.customer] += cost * _in_time(request)
        weights[request.customer] = request.weight
    due = entitlements(asked, weights, sum(served.values()))
    return {
        "jain": jain([served[c] / asked[c] for c in asked]),
        "jain_weighted": jain([served[c] / max(due[c], 1e-9) for c in asked]),
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
    """Average runs of several seeds; a missing measure counts as 0."""
    names = dict.fromkeys(name for result in results for name in result)
    return {
        name: statistics.fmean(result.get(name, 0.0) for result in results)
        for name in names
    }


def best(name: str, baselines: list[dict[str, float]]) -> float:
    """Return the best value any baseline reaches."""
    values = [b.get(name, 0.0) for b in baselines]
    return min(values) if name in SMALLER else max(values)


def ratio(value: float, reference: float) -> float:
    """Divide, with 1 for 0/0."""
    if reference:
        return value / reference
    return 1.0 if not value else math.inf
