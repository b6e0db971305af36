"""Working state of one planning round of a fabric domain."""

import enum

import attrs

from balsamlug import tables
from balsamlug.config import schema
from balsamlug.ownership import reasons
from balsamlug.ownership import split

# Above every priority that the configuration allows.
LAST = 10


class ActionKind(enum.StrEnum):
    """What the planner does with a group."""

    FORM = "form"
    REPAIR = "repair"
    RETIRE = "retire"
    DISSOLVE = "dissolve"


@attrs.frozen
class Action:
    """One change of a group and its cause."""

    kind: ActionKind
    group_id: str
    cause: str


@attrs.frozen
class View:
    """Everything a plan depends on.

    Attributes:
      quotas: this domain's part of the split.
      next_group: counter for group ids and generations. One counter for the
        whole domain makes the fencing number of an engine increase also when
        the engine moves to another group.
      conditions: engines of the domain and members that are not listed.
      ready: groups that some prober reports as ready.
      quiet: groups known to have no work in flight.
      long_broken: groups not ready for so long that other groups are formed
        from their members.
      fleet_quota: quota of each deployment over all domains.
      elsewhere: groups of each deployment in other domains.
      ready_elsewhere: those of them that are reported as ready.
      not_our_turn: deployments that another domain is still changing.
      staged_only: groups are repaired only with spares whose host holds the
        weights. Others load them first, while the lost member may return.
    """

    domain: str
    deployments: dict[str, schema.Deployment]
    quotas: split.Quotas
    groups: dict[str, tables.Group]
    next_group: int
    conditions: dict[str, reasons.Condition]
    ready: frozenset[str] = frozenset()
    quiet: frozenset[str] = frozenset()
    long_broken: frozenset[str] = frozenset()
    fleet_quota: dict[str, int] = attrs.field(factory=dict)
    elsewhere: dict[str, int] = attrs.field(factory=dict)
    ready_elsewhere: dict[str, int] = attrs.field(factory=dict)
    not_our_turn: frozenset[str] = frozenset()
    staged_only: bool = False


@attrs.define
class Draft:
    """A plan in the making; copies are cheap and independent."""

    view: View
    groups: dict[str, tables.Group]
    next_group: int
    free: set[str]
    actions: list[Action] = attrs.field(factory=list)

    @classmethod
    def start(cls, view: View) -> "Draft":
        """Return a draft that keeps everything as it is."""
        assigned = {m for g in view.groups.values() for m in g.members}
        free = {
            c.instance
            for c in view.conditions.values()
            if c.fitness is reasons.Fitness.USABLE
            and c.instance not in assigned
        }
        return cls(view, dict(view.groups), view.next_group, free)

    def copy(self) -> "Draft":
        """Return an independent copy."""
        return Draft(
            self.view,
            dict(self.groups),
            self.next_group,
            set(self.free),
            list(self.actions),
        )

    def count(self, deployment: str) -> int:
        """Return the groups of a deployment that stay."""
        return sum(
            g.deployment == deployment and not g.retiring
            for g in self.groups.values()
        )

    def fleet_is_short(self, deployment: schema.Deployment) -> bool:
        """Return whether all domains together lack groups of a deployment."""
        name = deployment.name
        total = self.count(name) + self.view.elsewhere.get(name, 0)
        return total < self.view.fleet_quota.get(name, 0)

    def quota(self, deployment: schema.Deployment) -> split.Quota:
        """Return the quota of a deployment in this domain."""
        return self.view.quotas.get(deployment.name, split.Quota())

    def priority(self, group: tables.Group) -> int:
        """Return the priority of a group; a removed deployment goes last."""
        deployment = self.view.deployments.get(group.deployment)
        return deployment.priority if deployment is not None else LAST

    def number(self) -> int:
        """Return the next value of the domain's counter."""
        number = self.next_group
        self.next_group += 1
        return number

    def form(self, deployment: schema.Deployment, cause: str) -> None:
        """Form a group from spares; the caller checked that they suffice."""
        size = deployment.group_size
        wanted = [
            (deployment.model, deployment.version, rank, size)
            for rank in range(size)
        ]
        members = self.pick(wanted)
        number = self.number()
        group = tables.Group(
            id=f"{self.view.domain}-{number}",
            deployment=deployment.name,
            generation=number,
            members=tuple(members),
            model=deployment.model,
            version=deployment.version,
            incarnations=self.incarnations(members),
        )
        self.groups[group.id] = group
        self.actions.append(Action(ActionKind.FORM, group.id, cause))

    def replace(self, group: tables.Group, lost: list[int], cause: str) -> None:
        """Raise the generation, with spares at the given ranks."""
        size = len(group.members)
        wanted = [(group.model, group.version, rank, size) for rank in lost]
        members = list(group.members)
        for rank, spare in zip(lost, self.pick(wanted), strict=True):
            members[rank] = spare
        self.groups[group.id] = attrs.evolve(
            group,
            generation=self.number(),
            members=tuple(members),
            incarnations=self.incarnations(members),
        )
        self.actions.append(Action(ActionKind.REPAIR, group.id, cause))

    def reorder(
        self, group: tables.Group, members: list[str], cause: str
    ) -> None:
        """Raise the generation with the same members in another order."""
        self.groups[group.id] = attrs.evolve(
            group,
            generation=self.number(),
            members=tuple(members),
            incarnations=self.incarnations(members),
        )
        self.actions.append(Action(ActionKind.REPAIR, group.id, cause))

    def retire(self, group: tables.Group, cause: str) -> None:
        """Stop new work of a group; its members and generation stay.

        The counter of the domain still moves: peers compare it to find out
        whether they know the same groups.
        """
        self.number()
        self.groups[group.id] = attrs.evolve(group, retiring=cause)
        self.actions.append(Action(ActionKind.RETIRE, group.id, cause))

    def dissolve(self, group: tables.Group, cause: str) -> None:
        """Remove a group and free its usable members."""
        del self.groups[group.id]
        self.number()
        self.free |= {
            m
            for m in group.members
            if self.condition(m).fitness is reasons.Fitness.USABLE
        }
        self.actions.append(Action(ActionKind.DISSOLVE, group.id, cause))

    def pick(self, wanted: list[tuple[str, str, int, int]]) -> list[str]:
        """Take one spare for each kind of weights wanted, holders first.

        After the holders of the same part come hosts that have the model
        staged.
        """
        holders = {}
        for spare in sorted(self.free, reverse=True):
            holders[self.condition(spare).weights] = spare
        chosen = [holders.get(weights) for weights in wanted]
        self.free -= set(chosen)
        for rank, (model, *_) in enumerate(wanted):
            if chosen[rank] is None:
                chosen[rank] = self._nearest_spare(model)
                self.free.discard(chosen[rank])
        return chosen

    def _nearest_spare(self, model: str) -> str:
        return min(
            self.free, key=lambda s: (model not in self.condition(s).staged, s)
        )

    def has_spares(self, group: tables.Group, count: int) -> bool:
        """Return whether there are spares to replace members of a group."""
        if not self.view.staged_only or group.id in self.view.long_broken:
            return count <= len(self.free)
        staged = [
            s for s in self.free if group.model in self.condition(s).staged
        ]
        return count <= len(staged)

    def condition(self, instance: str) -> reasons.Condition:
        """Return the condition of an instance, also when it is not listed."""
        known = self.view.conditions.get(instance)
        if known is None:
            return reasons.Condition(instance, reasons.Reason.NOT_LISTED)
        return known

    def incarnations(self, members: list[str]) -> tuple[str, ...]:
        """Return the observed incarnations of members."""
        return tuple(self.condition(m).incarnation for m in members)


def outdated(group: tables.Group, deployment: schema.Deployment) -> bool:
    """Return whether a group was formed for another configuration."""
    current = (deployment.model, deployment.version, deployment.group_size)
    return (group.model, group.version, len(group.members)) != current
