"""Command that runs the soak for a number of seeds and prints the results."""

import asyncio
import pathlib
import random
import sys
import tempfile
from typing import Annotated

import typer

from soak import run
from soak import run_options

MAX_SEED = 1_000_000
MAX_PRINTED = 10


def main(
    seeds: Annotated[int, typer.Option(help="Number of runs.")] = 10,
    first: Annotated[
        int, typer.Option(help="First seed; 0 draws fresh ones.")
    ] = 0,
    series: Annotated[int, typer.Option(help="Series of faults a run.")] = 3,
    crashing_part: Annotated[
        bool, typer.Option(help="Send requests with a crashing part.")
    ] = True,
    unframed: Annotated[
        bool, typer.Option(help="Include answers without length or chunks.")
    ] = True,
    restored: Annotated[
        bool, typer.Option(help="Let the store return from older copies.")
    ] = True,
    silent: Annotated[
        bool, typer.Option(help="Let sound servers be silent for a while.")
    ] = True,
    planned_stops: Annotated[
        bool, typer.Option(help="Only stop nodes while heads are silent.")
    ] = False,
    slow_spares: Annotated[
        bool, typer.Option(help="With planned stops, let spares join late.")
    ] = True,
    large_steps: Annotated[
        bool, typer.Option(help="Let versions rise by large steps.")
    ] = True,
    lost_generations: Annotated[
        bool, typer.Option(help="Let the store lose generations of groups.")
    ] = True,
    versions: Annotated[
        bool, typer.Option(help="Write versions in quick series.")
    ] = False,
    evacuations: Annotated[
        bool, typer.Option(help="Evacuate each failure domain for a while.")
    ] = False,
    silent_connections: Annotated[
        bool,
        typer.Option(help="Only let connections go silent and servers leave."),
    ] = False,
    cold: Annotated[
        bool, typer.Option(help="Let servers be cold after restarts.")
    ] = False,
    refused_readers: Annotated[
        bool, typer.Option(help="Only turn readers of the store away.")
    ] = False,
    customers: Annotated[
        bool, typer.Option(help="Only remove the customer for a while.")
    ] = False,
    two_services: Annotated[
        bool, typer.Option(help="Add a second service with model servers.")
    ] = False,
    long_prompts: Annotated[
        bool, typer.Option(help="Let prompts share hundreds of parts.")
    ] = False,
    production: Annotated[
        str, typer.Option(help="Commit whose build the nodes run first.")
    ] = "",
    logs: Annotated[
        pathlib.Path | None, typer.Option(help="Where logs are kept.")
    ] = None,
) -> None:
    """Play seeds one after the other."""
    has_other_faults = not (
        planned_stops or silent_connections or refused_readers or customers
    )
    options = run_options.Options(
        crashing_part=crashing_part and has_other_faults,
        unframed=unframed and has_other_faults,
        restored=restored,
        silent=silent,
        planned_stops=planned_stops,
        slow_spares=slow_spares and planned_stops,
        large_steps=large_steps,
        lost_generations=lost_generations,
        production=production,
        versions=versions,
        evacuations=evacuations and (has_other_faults or planned_stops),
        silent_connections=silent_connections,
        cold=cold and has_other_faults,
        refused_readers=refused_readers,
        customers=customers,
        two_services=two_services,
        long_prompts=long_prompts,
    )
    rng = random.SystemRandom()
    directory = logs or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    failed = 0
    for number in range(seeds):
        seed = first + number if first else rng.randrange(1, MAX_SEED)
        seed_logs = directory / str(seed)
        seed_logs.mkdir(parents=True, exist_ok=True)
        outcome = asyncio.run(run.run_seed(seed, series, seed_logs, options))
        failed += bool(outcome.broken)
        _print_outcome(outcome, series, options)
    print(f"{seeds} seeds, {failed} with broken promises, logs in {directory}")
    sys.exit(bool(failed))


def _print_outcome(
    outcome: run.Outcome, series: int, options: run_options.Options
) -> None:
    answers = ", ".join(
        f"{kind} {status}{'' if complete else ' cut'}: {count}"
        for (kind, status, complete), count in sorted(outcome.answers.items())
    )
    print(
        f"seed {outcome.seed}: {len(outcome.broken)} broken, served again"
        f" after {outcome.recovered_s:.1f} s; {answers}",
        flush=True,
    )
    if outcome.crashing_part:
        print(f"  {outcome.crashing_part}")
    for line in outcome.observed:
        print(f"  {line}")
    if not outcome.broken:
        return
    for problem in outcome.broken[:MAX_PRINTED]:
        print(f"  {problem}")
    for fault in run.planned_faults(outcome.seed, series, options):
        print(f"  {fault}")


if __name__ == "__main__":
    typer.run(main)
