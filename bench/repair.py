"""Compare repair rules over a seeded failure schedule, decisions only.

Prints group downtime and stranded accelerator time. Run it as
`python -m bench.repair`.
"""

from collections.abc import Callable
import heapq
import random
from typing import Annotated

import attrs
import typer

from balsamlug import tables
from balsamlug.config import schema
from balsamlug.ownership import draft as drafts
from balsamlug.ownership import planner
from balsamlug.ownership import reasons
from balsamlug.ownership import split

DAY_S = 86_400.0
DOMAIN_COUNT = 18
ACCELERATORS = 8
FAILURES_PER_DAY = 10
RESTARTS_PER_DAY = 190
# A switch of one domain fails about this often in the whole site.
SWITCH_PER_DAY = 1 / 45
SWITCH_DOWN_S = 1800.0
FAILED_DOWN_S = 6 * 3600.0
RESTART_DOWN_S = 90.0
# From the failure until the holder replaces the instance, and until a
# restarted process is seen.
REPLACE_S = 3.5
NOTICE_S = 0.5
LOAD_S = 60.0


@attrs.define
class Machine:
    """One instance of the model."""

    name: str
    up: bool = True
    # Count changes of power and loads; events of earlier ones are void.
    change: int = 0
    load: int = 0
    incarnation: int = 1
    missing: bool = False
    weights: tuple | None = None
    loading: tuple | None = None


@attrs.define
class Domain:
    """One fabric domain with its plan and its measures."""

    name: str
    machines: dict[str, Machine]
    deployments: dict[str, schema.Deployment]
    quotas: split.Quotas
    steps: tuple[planner.Step, ...]
    first_broken_first: bool
    max_loads: int
    groups: dict[str, tables.Group] = attrs.field(factory=dict)
    next_group: int = 1
    events: list = attrs.field(factory=list)
    now_s: float = 0.0
    sequence: int = 0
    downtime_s: float = 0.0
    stranded_s: float = 0.0
    loads: int = 0

    def at(self, when_s: float, action: Callable, *args) -> None:
        """Schedule an action."""
        self.sequence += 1
        heapq.heappush(self.events, (when_s, self.sequence, action, args))

    def run(self, until_s: float) -> None:
        """Process events and integrate the measures."""
        while self.events and self.events[0][0] <= until_s:
            when_s, _, action, args = heapq.heappop(self.events)
            self._pass_time(when_s)
            action(*args)
            self._decide()
        self._pass_time(until_s)

    def fail(self, name: str, down_s: float, keeps_weights: bool) -> None:
        """Take an instance down for a time."""
        machine = self.machines[name]
        if not machine.up:
            return
        machine.up, machine.loading = False, None
        machine.change += 1
        machine.load += 1
        if not keeps_weights:
            machine.weights = None
        change = machine.change
        self.at(self.now_s + REPLACE_S, self._miss, machine, change)
        back = self.now_s + down_s
        self.at(back, self._return, machine, change, keeps_weights)

    def _miss(self, machine: Machine, change: int) -> None:
        if machine.change == change:
            machine.missing = True

    def _return(self, machine: Machine, change: int, same: bool) -> None:
        if machine.change == change:
            machine.up = True
            machine.change += 1
            machine.incarnation += not same
            seen_s = self.now_s + NOTICE_S
            self.at(seen_s, self._notice, machine, machine.change)

    def _notice(self, machine: Machine, change: int) -> None:
        if machine.change == change:
            machine.missing = False

    def _decide(self) -> None:
        for _ in range(8):
            found = planner.plan(self._view(), self.steps)
            self.groups, self.next_group = found.groups, found.next_group
            if not found.actions:
                break
        self._start_loads()

    def _view(self) -> planner.View:
        conditions = {
            m.name: self._condition(m) for m in self.machines.values()
        }
        return planner.View(
            self.name,
            self.deployments,
            self.quotas,
            self.groups,
            self.next_group,
            conditions,
            quiet=frozenset(self.groups),
        )

    def _condition(self, machine: Machine) -> reasons.Condition:
        reason = None
        if machine.missing:
            reason = reasons.Reason.MISSING
        elif not machine.up:
            reason = reasons.Reason.SILENT
        return reasons.Condition(
            machine.name, reason, str(machine.incarnation), machine.weights
        )

    def _start_loads(self) -> None:
        wanted = {
            member: (group.model, group.version, rank, len(group.members))
            for group in self.groups.values()
            for rank, member in enumerate(group.members)
        }
        for machine in self.machines.values():
            if machine.loading not in (None, wanted.get(machine.name)):
                machine.loading = None
                machine.load += 1
        room = self.max_loads - sum(
            m.loading is not None for m in self.machines.values()
        )
        for group in sorted(self.groups.values(), key=self._load_key):
            for member in group.members:
                room -= self._load(member, wanted[member], room, group)

    def _load(
        self, name: str, wanted: tuple, room: int, group: tables.Group
    ) -> bool:
        machine = self.machines[name]
        busy = machine.loading is not None or machine.weights == wanted
        alive = all(self.machines[m].up for m in group.members)
        if room <= 0 or busy or not machine.up:
            return False
        if not alive and not self.first_broken_first:
            return False
        machine.loading, machine.weights = wanted, None
        machine.load += 1
        self.loads += 1
        self.at(self.now_s + LOAD_S, self._loaded, machine, machine.load)
        return True

    def _loaded(self, machine: Machine, load: int) -> None:
        if machine.load == load:
            machine.weights, machine.loading = machine.loading, None

    def _load_key(self, group: tables.Group) -> tuple:
        if self.first_broken_first:
            return (group.generation,)
        missing = sum(
            self.machines[m].weights
            != (group.model, group.version, rank, len(group.members))
            for rank, m in enumerate(group.members)
        )
        priority = self.deployments[group.deployment].priority
        return priority, missing / len(group.members), group.id

    def _pass_time(self, now_s: float) -> None:
        passed_s = now_s - self.now_s
        self.now_s = now_s
        serving = [g for g in self.groups.values() if self._serves(g)]
        wanted = sum(q.maximum for q in self.quotas.values())
        self.downtime_s += passed_s * max(0, wanted - len(serving))
        busy = sum(len(g.members) for g in serving)
        up = sum(m.up for m in self.machines.values())
        self.stranded_s += passed_s * max(0, up - busy) * ACCELERATORS

    def _serves(self, group: tables.Group) -> bool:
        return all(
            self.machines[m].up
            and group.incarnations[rank] == str(self.machines[m].incarnation)
            and self.machines[m].weights
            == (group.model, group.version, rank, len(group.members))
            for rank, m in enumerate(group.members)
        )


def first_come(draft: drafts.Draft) -> None:
    """Give spares to the oldest broken group, also if they do not suffice."""
    for group, found in sorted(
        planner.broken(draft), key=lambda pair: pair[0].generation
    ):
        lost = list(found.lost)[: len(draft.free)]
        if lost or found.restarted:
            draft.replace(group, lost, "first come")


RULES: dict[str, tuple[tuple[planner.Step, ...], bool]] = {
    "planner": (planner.STEPS, False),
    "no dissolving": ((planner.repair, planner.form), False),
    "form new first": (
        (planner.form, planner.repair, planner.dissolve),
        False,
    ),
    "first come": ((first_come, planner.form), True),
}


def site(servers: int, size: int, rule: str, max_loads: int) -> list[Domain]:
    """Return the domains of a site with one deployment per priority."""
    instances = [
        tables.Instance(
            f"e{n:04}",
            "1",
            tables.InstanceKind.ENGINE,
            "",
            f"d{n % DOMAIN_COUNT:02}",
            "",
            "",
        )
        for n in range(servers)
    ]
    deployments = {
        name: schema.Deployment(name, name, size, min_groups=3, priority=p)
        for name, p in (("chat", 1), ("plans", 5))
    }
    quotas = split.split(instances, schema.Settings(deployments=deployments))
    steps, first = RULES[rule]
    return [
        Domain(
            name,
            {i.id: Machine(i.id) for i in instances if i.fabric_domain == name},
            deployments,
            quotas[name],
            steps,
            first,
            max(1, max_loads // DOMAIN_COUNT),
        )
        for name in sorted(quotas)
    ]


def schedule(domains: list[Domain], days: float, rng: random.Random) -> None:
    """Schedule failures, restarts and switch outages."""
    machines = [(d, name) for d in domains for name in d.machines]
    share = len(machines) / 600
    for per_day, down_s in (
        (FAILURES_PER_DAY, FAILED_DOWN_S),
        (RESTARTS_PER_DAY, RESTART_DOWN_S),
    ):
        for _ in range(int(days * per_day * share)):
            domain, name = rng.choice(machines)
            when_s = DAY_S / 24 + rng.random() * days * DAY_S
            domain.at(when_s, domain.fail, name, down_s, False)
    for _ in range(max(1, round(days * SWITCH_PER_DAY))):
        domain = rng.choice(domains)
        when_s = DAY_S / 24 + rng.random() * days * DAY_S
        for name in domain.machines:
            domain.at(when_s, domain.fail, name, SWITCH_DOWN_S, True)


def measure(
    servers: int, size: int, rule: str, days: float, seed: int, loads: int
) -> tuple[float, float, int]:
    """Return group hours down, accelerator hours stranded and loads, a day."""
    domains = site(servers, size, rule, loads)
    for domain in domains:
        domain.at(0.0, lambda: None)
        domain.run(DAY_S / 24)
        domain.downtime_s = domain.stranded_s = 0.0
        domain.loads = 0
    schedule(domains, days, random.Random(seed))
    for domain in domains:
        domain.run(DAY_S / 24 + days * DAY_S)
    per_day = 3600 * days
    return (
        sum(d.downtime_s for d in domains) / per_day,
        sum(d.stranded_s for d in domains) / per_day,
        round(sum(d.loads for d in domains) / days),
    )


def main(
    days: Annotated[float, typer.Option()] = 30.0,
    seed: Annotated[int, typer.Option()] = 1,
    servers: Annotated[int, typer.Option()] = 600,
    max_loads: Annotated[int, typer.Option()] = 64,
) -> None:
    """Print a line for each group size and rule."""
    typer.echo(f"servers {servers}, {days:g} days, seed {seed}")
    typer.echo(
        "size  rule            group-h/day  accelerator-h/day  loads/day"
    )
    for size in (4, 8, 32):
        for rule in RULES:
            down, stranded, loads = measure(
                servers, size, rule, days, seed, max_loads
            )
            typer.echo(
                f"{size:4}  {rule:14}  {down:11.2f}  {stranded:17.1f}"
                f"  {loads:5}"
            )


if __name__ == "__main__":
    typer.run(main)
