"""Compares the scheduler with simple policies on the same seeds."""

import json
import time
from typing import Annotated

import attrs
import typer

from balsamlug.router import scheduler
from bench import baselines
from bench import cost
from bench import measures
from bench import shapes
from bench import simulation
from bench import targets

OWN = "balsamlug"
POLICIES = {OWN: scheduler.Scheduler} | baselines.BASELINES
DEFAULT_SEEDS = (1, 2)
QUICK_SHAPES = ("ushers_before_film", "long_wave")
QUICK_HELP = f"Run {' and '.join(QUICK_SHAPES)} on one seed."
SHOWN = (
    "in_time",
    "late_short",
    "refused_short",
    "unserved_short",
    "late_long",
    "refused_long",
    "long_done",
    "long_stall_max_s",
    "wait_p95_s",
    "wait_p99_s",
    "nolong_p95_s",
    "nolong_p99_s",
    "nolong_in_time",
    "peak_tokens_per_s",
    "peak_work_per_s",
    "total_tokens",
    "jain",
    "jain_weighted",
    "preemptions",
    "wasted_tokens",
    "repeated_prefill",
    "cached_share",
    "idle_waiting_s",
    "broken",
    "downtime_s",
    "stranded_accelerator_s",
)

Results = dict[str, dict[str, dict[str, float]]]


def run_policy(
    shape: shapes.Shape, policy: str, seeds: tuple[int, ...]
) -> dict[str, float]:
    """Run a policy with and without long requests, averaged over seeds."""
    make = POLICIES[policy]
    runs = [
        measures.measure(simulation.Simulation(shape, make, seed).run())
        for seed in seeds
    ]
    bare = shapes.without_long(shape)
    bare_runs = [
        measures.measure(simulation.Simulation(bare, make, seed).run())
        for seed in seeds
    ]
    result, reference = measures.mean(runs), measures.mean(bare_runs)
    result["nolong_p95_s"] = reference["wait_p95_s"]
    result["nolong_p99_s"] = reference["wait_p99_s"]
    result["nolong_in_time"] = reference["in_time"]
    return result


def select(names: list[str] | None) -> tuple[shapes.Shape, ...]:
    """Return the shapes with these names, all without names."""
    return tuple(s for s in shapes.SHAPES if not names or s.name in names)


def run_all(
    selected: tuple[shapes.Shape, ...], seeds: tuple[int, ...]
) -> Results:
    """Run every policy on every shape."""
    return {
        shape.name: {
            policy: run_policy(shape, policy, seeds) for policy in POLICIES
        }
        for shape in selected
    }


def outcomes(results: Results) -> dict[str, targets.Outcome]:
    """Compare the project's policy with the baselines on each shape."""
    return {
        shape: targets.evaluate(
            by_policy[OWN], [r for p, r in by_policy.items() if p != OWN]
        )
        for shape, by_policy in results.items()
    }


def print_shape(name: str, results: dict[str, dict[str, float]]) -> None:
    """Print one table: a row for each measure, the ratio to the best."""
    typer.echo(f"\n{name}")
    header = "".join(f"{policy:>17}" for policy in results)
    typer.echo(f"{'':24}{header}{'ratio to best':>15}")
    reasons = sorted(
        {m for r in results.values() for m in r if m.startswith("refused/")}
    )
    others = [r for policy, r in results.items() if policy != OWN]
    for measure in (*SHOWN, *reasons):
        values = [r.get(measure, 0.0) for r in results.values()]
        cells = "".join(f"{value:>17.3f}" for value in values)
        ratio = measures.ratio(values[0], measures.best(measure, others))
        typer.echo(f"{measure:24}{cells}{ratio:>15.2f}")


def main(
    seeds: Annotated[list[int] | None, typer.Option("--seed")] = None,
    shape: Annotated[list[str] | None, typer.Option()] = None,
    quick: Annotated[bool, typer.Option(help=QUICK_HELP)] = False,
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Run the benchmark and print a table for each shape."""
    if quick:
        shape, seeds = list(QUICK_SHAPES), DEFAULT_SEEDS[:1]
    seeds = tuple(seeds or DEFAULT_SEEDS)
    selected = select(shape)
    started_s = time.process_time()
    results = run_all(selected, seeds)
    costs = cost.measure_all()
    elapsed_s = time.process_time() - started_s
    if as_json:
        described = [attrs.asdict(s) for s in selected]
        document = {
            "seeds": seeds,
            "shapes": described,
            "results": results,
            "cost": [attrs.asdict(size) | row for size, row in costs.items()],
        }
        typer.echo(json.dumps(document, indent=1))
        return
    for name, by_policy in results.items():
        print_shape(name, by_policy)
    typer.echo("\ntargets")
    typer.echo("\n".join(targets.lines(outcomes(results))))
    typer.echo("\ncost of a decision, microseconds")
    typer.echo("\n".join(cost.report(costs)))
    typer.echo(f"\nseeds {seeds}, {elapsed_s:.1f} s of processor time")


if __name__ == "__main__":
    typer.run(main)
