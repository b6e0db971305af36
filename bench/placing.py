"""Compares the gateway's choice of groups with simple policies."""

import json
import random
import statistics
from typing import Annotated

import typer

from balsamlug import exceptions
from balsamlug.gateway import admission
from balsamlug.gateway import placement
from bench import placing_fleet


def _view(
    fleet: placing_fleet.Fleet, call: placing_fleet.Call
) -> tuple[placement.Work, list[placement.Candidate], float]:
    """Return what the gateway of the call's node knows when it arrives."""
    known = fleet.known_loads(call.node)
    spent_ms = fleet.now_ms - call.at_ms
    work = placement.Work(
        "m",
        placing_fleet.PROMPT_TOKENS,
        call.target_ms - spent_ms,
        placing_fleet.DEADLINE_MS - spent_ms,
        retried=call.retried,
        priority=call.priority,
    )
    model = fleet.shape.model
    candidates = [
        placement.Candidate(
            str(n), 1, str(n), "", model, request_count, waiting
        )
        for n, (request_count, waiting) in enumerate(
            zip(known, fleet.reported_waiting, strict=True)
        )
    ]
    nodes = fleet.shape.nodes
    placed_per_ms = sum(known) / model.request_ms()
    interval_ms = fleet.shape.report_interval_ms
    return work, candidates, placed_per_ms * interval_ms * (nodes - 1) / nodes


def gateway_policy(
    fleet: placing_fleet.Fleet, call: placing_fleet.Call
) -> tuple[int, int]:
    """Choose a group with the code of the gateway."""
    work, candidates, unreported = _view(fleet, call)
    placed = placement.choose(work, candidates, fleet.rng, unreported)
    return int(placed.candidate.group), placed.urgency


def overload_control(
    fleet: placing_fleet.Fleet, call: placing_fleet.Call
) -> tuple[int, int]:
    """Choose a group with the admission control of the gateway."""
    work, candidates, unreported = _view(fleet, call)
    shape = fleet.shape
    demand = admission.Demand(
        fleet.known_demand(),
        fleet.customers(call.node),
        call.route,
        call.customer,
        shape.report_interval_ms * (shape.reports_in_transit + 0.5),
    )
    decision = admission.decide(work, candidates, demand, fleet.rng, unreported)
    if decision.placement is None:
        raise exceptions.QueueFull(decision.reason, decision.retry_after_ms)
    placed = decision.placement
    return int(placed.candidate.group), placed.urgency


def round_robin(
    fleet: placing_fleet.Fleet, call: placing_fleet.Call
) -> tuple[int, int]:
    """Choose the groups in rotation, at each node independently."""
    local_counts = fleet.placed_since_report.get(call.node) or [0]
    index = int(call.at_ms) + sum(local_counts) + call.node
    return index % fleet.shape.groups, 0


def least_in_flight(
    fleet: placing_fleet.Fleet, call: placing_fleet.Call
) -> tuple[int, int]:
    """Choose the group with the fewest requests in the node's view."""
    known = fleet.known_loads(call.node)
    return min(range(len(known)), key=lambda n: (known[n], n)), 0


def one_queue(
    fleet: placing_fleet.Fleet, call: placing_fleet.Call
) -> tuple[int, int]:
    """Choose the group with the fewest requests, with exact loads.

    Requests run in the order of arrival.
    """
    del call
    request_counts = [group.request_count() for group in fleet.groups]
    return min(
        range(len(request_counts)), key=lambda n: (request_counts[n], n)
    ), 0


POLICIES: dict[str, placing_fleet.Policy] = {
    "balsamlug": gateway_policy,
    "overload control": overload_control,
    "round robin": round_robin,
    "least in flight": least_in_flight,
    "one queue": one_queue,
}


def run(shape: placing_fleet.Shape, policy: str, seed: int) -> dict[str, float]:
    """Return the mean value and the outcomes of the calls under a policy."""
    fleet = placing_fleet.Fleet(shape, POLICIES[policy], random.Random(seed))
    calls = fleet.simulate()
    values = [call.value() for call in calls]
    refused = sum(call.refused_finally for call in calls) / len(calls)
    waits = sorted(call.first_ms - call.at_ms for call in calls)
    return {
        "worth": statistics.mean(values),
        "on_time": values.count(1.0) / len(calls),
        "late": values.count(placing_fleet.LATE_VALUE) / len(calls),
        "unserved": values.count(0.0) / len(calls),
        "refused": refused,
        "net": statistics.mean(values)
        + placing_fleet.REFUSED_TWICE_VALUE * refused,
        "p95_ms": waits[int(len(waits) * 0.95)],
    }


def main(
    seed: Annotated[int, typer.Option()] = 1,
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Print the value for callers by shape of the load and policy."""
    table = {
        shape.name: {name: run(shape, name, seed) for name in POLICIES}
        for shape in (*placing_fleet.SHAPES, *placing_fleet.HEAVY_SHAPES)
    }
    if as_json:
        typer.echo(json.dumps(table, indent=2))
        return
    for shape, rows in table.items():
        typer.echo(shape)
        for name, result in rows.items():
            cells = "  ".join(f"{k} {v:.3f}" for k, v in result.items())
            typer.echo(f"  {name:16} {cells}")


if __name__ == "__main__":
    typer.run(main)
