"""Compares repair rules on a seeded schedule of failures.

The planner runs on a model of a site (`bench.site_model`). Prints the downtime
of groups and the time of accelerators in no serving group. Start it with
`python -m bench.repair`.
"""

import random
from typing import Annotated

import typer

from balsamlug.config import schema
from balsamlug.ownership import draft as drafts
from balsamlug.ownership import planner
from bench import site_model

DAY_S = 86_400.0
WARM_UP_S = 3600.0
DOMAIN_COUNT = 18
# Failures and restarts of single instances, per 600 instances of the site.
FAILURES_PER_DAY = 10
RESTARTS_PER_DAY = 190
# Outages of a switch or a whole rack. Instances lose their weights when a rack
# fails and keep them when a switch fails.
RACK_OUTAGES_PER_DAY = 1 / 45
RACK_DOWN_S = 1800.0
FAILED_DOWN_S = 6 * 3600.0
RESTART_DOWN_S = 90.0


def first_come(draft: drafts.Draft) -> None:
    """Assign spares to the oldest broken group, even when too few remain."""
    for group, health in sorted(
        planner.broken_groups(draft), key=lambda pair: pair[0].generation
    ):
        lost = list(health.lost)[: len(draft.spares)]
        if lost or health.restarted:
            draft.replace_members(group, lost, "first come")


RETIREMENT_STEPS = tuple(
    step
    for step in planner.STEPS
    if step not in (planner.repair, planner.form, planner.dissolve)
)
RULES: dict[str, tuple[tuple[planner.Step, ...], bool]] = {
    "planner": (planner.STEPS, False),
    "no dissolving": ((*RETIREMENT_STEPS, planner.repair, planner.form), False),
    "form new first": (
        (*RETIREMENT_STEPS, planner.form, planner.repair, planner.dissolve),
        False,
    ),
    "first come": ((*RETIREMENT_STEPS, first_come, planner.form), True),
}


def build(
    servers: int, size: int, rule: str, max_loads: int
) -> site_model.Site:
    """Return a site with two deployments.

    "chat" is urgent, "plans" is less urgent and has groups of half the size.
    """
    deployments = {
        "chat": schema.Deployment("chat", "a", size, min_groups=3, priority=1),
        "plans": schema.Deployment(
            "plans", "b", size // 2, min_groups=3, priority=5
        ),
    }
    site = site_model.Site(schema.Settings(deployments=deployments), max_loads)
    steps, oldest_first = RULES[rule]
    for number in range(DOMAIN_COUNT):
        names = [f"e{n:04}" for n in range(number, servers, DOMAIN_COUNT)]
        name = f"d{number:02}"
        site.domains[name] = site_model.Domain(
            site,
            name,
            {n: site_model.Machine(n) for n in names},
            steps,
            oldest_first,
        )
    return site


def schedule(site: site_model.Site, days: float, rng: random.Random) -> None:
    """Schedule instance failures, restarts and rack and switch outages."""
    domains = list(site.domains.values())
    machines = [(d, name) for d in domains for name in d.machines]

    def random_time_s() -> float:
        return WARM_UP_S + rng.random() * days * DAY_S

    for per_day, down_s in (
        (FAILURES_PER_DAY, FAILED_DOWN_S),
        (RESTARTS_PER_DAY, RESTART_DOWN_S),
    ):
        for _ in range(round(days * per_day * len(machines) / 600)):
            domain, name = rng.choice(machines)
            domain.at(random_time_s(), domain.fail, name, down_s, False)
    for number in range(max(1, round(days * RACK_OUTAGES_PER_DAY))):
        domain, when_s = rng.choice(domains), random_time_s()
        for name in domain.machines:
            keeps_weights = number % 2 == 1
            domain.at(when_s, domain.fail, name, RACK_DOWN_S, keeps_weights)


def measure(
    servers: int, size: int, rule: str, days: float, seed: int, loads: int
) -> tuple[float, float, float, int]:
    """Return the measures of a rule per day.

    They are the group-hours of downtime of "chat" and of "plans", the
    accelerator-hours in no serving group and the number of weight loads.
    """
    site = build(servers, size, rule, loads)
    site.update_quotas()
    site.run(WARM_UP_S)
    site.downtime_s.clear()
    site.stranded_s, site.loads = 0.0, 0
    schedule(site, days, random.Random(seed))
    site.run(WARM_UP_S + days * DAY_S)
    per_day = 3600 * days
    return (
        site.downtime_s["chat"] / per_day,
        site.downtime_s["plans"] / per_day,
        site.stranded_s / per_day,
        round(site.loads / days),
    )


def main(
    days: Annotated[float, typer.Option()] = 30.0,
    seed: Annotated[int, typer.Option()] = 1,
    servers: Annotated[int, typer.Option()] = 600,
    max_loads: Annotated[int, typer.Option()] = 64,
    sizes: Annotated[str, typer.Option()] = "4,8,32",
    rules: Annotated[str, typer.Option()] = ",".join(RULES),
) -> None:
    """Print a line for each group size and repair rule."""
    typer.echo(f"servers {servers}, {days:g} days, seed {seed}")
    typer.echo(
        "size  rule            chat group-h plans group-h  accelerator-h  loads"
    )
    for size in map(int, sizes.split(",")):
        for rule in rules.split(","):
            chat, plans, stranded, loads = measure(
                servers, size, rule, days, seed, max_loads
            )
            typer.echo(
                f"{size:4}  {rule:14}  {chat:12.2f} {plans:13.2f}"
                f"  {stranded:13.1f}  {loads:5}"
            )


if __name__ == "__main__":
    typer.run(main)
