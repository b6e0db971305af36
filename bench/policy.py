"""Compares the scheduler with simple policies in simulations.

Every policy gets the same requests, generated from the same seeds. Start it
with `python -m bench.policy`.
"""

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

PROJECT_POLICY = "balsamlug"
POLICIES = {PROJECT_POLICY: scheduler.Scheduler} | baselines.BASELINES
DEFAULT_SEEDS = (1, 2)
QUICK_SHAPES = ("ushers_before_film", "long_wave")
QUICK_HELP = f"Run {' and '.join(QUICK_SHAPES)} on one seed."
PRINTED_MEASURES = (
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
    """Return the mean measures of a policy over the seeds.

    Measures with the prefix `nolong_` come from runs without long requests.
    """
    policy_class = POLICIES[policy]
    runs = [
        measures.measure(simulation.Simulation(shape, policy_class, seed).run())
        for seed in seeds
    ]
    short_only = shapes.without_long(shape)
    short_only_runs = [
        measures.measure(
            simulation.Simulation(short_only, policy_class, seed).run()
        )
        for seed in seeds
    ]
    result, reference = measures.mean(runs), measures.mean(short_only_runs)
    result["nolong_p95_s"] = reference["wait_p95_s"]
    result["nolong_p99_s"] = reference["wait_p99_s"]
    result["nolong_in_time"] = reference["in_time"]
    return result


def select(names: list[str] | None) -> tuple[shapes.Shape, ...]:
    """Return the shapes with these names, or all when none are given."""
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
    """Compare the scheduler with the baselines on each shape."""
    return {
        shape: targets.evaluate(
            by_policy[PROJECT_POLICY],
            [r for p, r in by_policy.items() if p != PROJECT_POLICY],
        )
        for shape, by_policy in results.items()
    }


def print_shape(name: str, results: dict[str, dict[str, float]]) -> None:
    """Print a table of measures with the ratio to the best baseline."""
    typer.echo(f"\n{name}")
    header = "".join(f"{policy:>17}" for policy in results)
    typer.echo(f"{'':24}{header}{'ratio to best':>15}")
    reasons = sorted(
        {m for r in results.values() for m in r if m.startswith("refused/")}
    )
    others = [r for policy, r in results.items() if policy != PROJECT_POLICY]
    for measure in (*PRINTED_MEASURES, *reasons):
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
        shape_rows = [attrs.asdict(s) for s in selected]
        document = {
            "seeds": seeds,
            "shapes": shape_rows,
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
