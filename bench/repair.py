"""Compare repair rules over a seeded failure schedule, decisions only.

Prints group downtime and stranded accelerator time. Run it as
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
FAILURES_PER_DAY = 10
RESTARTS_PER_DAY = 190
# A switch or a rack fails about this often; a rack loses its weights.
RACK_PER_DAY = 1 / 45
RACK_DOWN_S = 1800.0
FAILED_DOWN_S = 6 * 3600.0
RESTART_DOWN_S = 90.0


def first_come(draft: drafts.Draft) -> None:
    """Give spares to the oldest broken group, also if they do not suffice."""
    for group, found in sorted(
        planner.broken_groups(draft), key=lambda pair: pair[0].generation
    ):
        lost = list(found.lost)[: len(draft.spares)]
        if lost or found.restarted:
            draft.replace_members(group, lost, "first come")


RETIRE = tuple(
    step
    for step in planner.STEPS
    if step not in (planner.repair, planner.form, planner.dissolve)
)
RULES: dict[str, tuple[tuple[planner.Step, ...], bool]] = {
    "planner": (planner.STEPS, False),
    "no dissolving": ((*RETIRE, planner.repair, planner.form), False),
    "form new first": (
        (*RETIRE, planner.form, planner.repair, planner.dissolve),
        False,
    ),
    "first come": ((*RETIRE, first_come, planner.form), True),
}


def build(
    servers: int, size: int, rule: str, max_loads: int
) -> site_model.Site:
    """Return a site with an urgent and a less urgent, smaller deployment."""
    deployments = {
        "chat": schema.Deployment("chat", "a", size, min_groups=3, priority=1),
        "plans": schema.Deployment(
            "plans", "b", size // 2, min_groups=3, priority=5
        ),
    }
    site = site_model.Site(schema.Settings(deployments=deployments), max_loads)
    steps, first = RULES[rule]
    for number in range(DOMAIN_COUNT):
        names = [f"e{n:04}" for n in range(number, servers, DOMAIN_COUNT)]
        name = f"d{number:02}"
        site.domains[name] = site_model.Domain(
            site, name, {n: site_model.Machine(n) for n in names}, steps, first
        )
    return site


def schedule(site: site_model.Site, days: float, rng: random.Random) -> None:
    """Schedule failures, restarts and outages of racks and switches."""
    domains = list(site.domains.values())
    machines = [(d, name) for d in domains for name in d.machines]

    def moment() -> float:
        return WARM_UP_S + rng.random() * days * DAY_S

    for per_day, down_s in (
        (FAILURES_PER_DAY, FAILED_DOWN_S),
        (RESTARTS_PER_DAY, RESTART_DOWN_S),
    ):
        for _ in range(round(days * per_day * len(machines) / 600)):
            domain, name = rng.choice(machines)
            domain.at(moment(), domain.fail, name, down_s, False)
    for number in range(max(1, round(days * RACK_PER_DAY))):
        domain, when_s = rng.choice(domains), moment()
        for name in domain.machines:
            keeps = number % 2 == 1
            domain.at(when_s, domain.fail, name, RACK_DOWN_S, keeps)


def measure(
    servers: int, size: int, rule: str, days: float, seed: int, loads: int
) -> tuple[float, float, float, int]:
    """Return group hours down, accelerator hours stranded and loads, a day."""
    site = build(servers, size, rule, loads)
    site.list_changed()
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
    """Print a line for each group size and rule."""
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
