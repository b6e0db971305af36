"""Input and working state of the planner for one fabric domain."""

import enum

import attrs

from balsamlug import tables
from balsamlug.config import schema
from balsamlug.ownership import reasons
from balsamlug.ownership import split

# Sorts after every priority that the configuration allows.
REMOVED_DEPLOYMENT_PRIORITY = 10


class ActionKind(enum.StrEnum):
    """Kind of change that the planner makes to a group."""

    FORM = "form"
    REPAIR = "repair"
    RETIRE = "retire"
    DISSOLVE = "dissolve"


@attrs.frozen
class Action:
    """Change of a group and its cause."""

    kind: ActionKind
    group_id: str
    cause: str


@attrs.frozen
class View:
    """Input of a plan.

    Attributes:
      quotas: quotas of the deployments in this domain.
      next_group: counter for group ids and generations. With one counter for
        the whole domain, the fencing number of an engine increases even when
        the engine moves to another group.
      conditions: conditions of the engines of the domain and of members that
        are not listed.
      ready: groups that some prober reports as ready.
      idle_groups: groups that certainly have no work in flight.
      long_broken: groups that have not been ready for so long that other
        groups are formed from their members.
      fleet_quota: quota of each deployment over all domains.
      groups_in_other_domains: number of groups of each deployment.
      ready_in_other_domains: number of those groups that are reported as ready.
      deferred_updates: deployments that another domain is still updating.
      settling: deployments that have been below their quota for a short time
        only. Quotas change with every lost or added instance.
      staged_only: whether groups are repaired only with spares whose host
        holds the weights. Other spares load the weights first, while the lost
        member may return.
      refused: group -> highest generation that an engine refused to join.
    """

    domain: str
    deployments: dict[str, schema.Deployment]
    quotas: split.Quotas
    groups: dict[str, tables.Group]
    next_group: int
    conditions: dict[str, reasons.Condition]
    ready: frozenset[str] = frozenset()
    idle_groups: frozenset[str] = frozenset()
    long_broken: frozenset[str] = frozenset()
    fleet_quota: dict[str, int] = attrs.field(factory=dict)
    groups_in_other_domains: dict[str, int] = attrs.field(factory=dict)
    ready_in_other_domains: dict[str, int] = attrs.field(factory=dict)
    deferred_updates: frozenset[str] = frozenset()
    settling: frozenset[str] = frozenset()
    staged_only: bool = False
    refused: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class Draft:
    """Plan under construction; copies are cheap and independent.

    Attributes:
      spares: usable instances that are in no group.
    """

    view: View
    groups: dict[str, tables.Group]
    next_group: int
    spares: set[str]
    actions: list[Action] = attrs.field(factory=list)

    @classmethod
    def from_view(cls, view: View) -> "Draft":
        """Return a draft without changes to the groups of a view."""
        assigned = {m for g in view.groups.values() for m in g.members}
        spares = {
            c.instance
            for c in view.conditions.values()
            if c.fitness is reasons.Fitness.USABLE
            and c.instance not in assigned
        }
        return cls(view, dict(view.groups), view.next_group, spares)

    def copy(self) -> "Draft":
        """Return an independent copy."""
        return Draft(
            self.view,
            dict(self.groups),
            self.next_group,
            set(self.spares),
            list(self.actions),
        )

    def count_groups(self, deployment: str) -> int:
        """Return the number of groups of a deployment that do not retire."""
        return sum(
            g.deployment == deployment and not g.retiring
            for g in self.groups.values()
        )

    def is_below_fleet_quota(self, deployment: schema.Deployment) -> bool:
        """Return whether a deployment is below its quota over all domains."""
        name = deployment.name
        total = self.count_groups(name) + self.view.groups_in_other_domains.get(
            name, 0
        )
        return total < self.view.fleet_quota.get(name, 0)

    def quota(self, deployment: schema.Deployment) -> split.Quota:
        """Return the quota of a deployment in this domain."""
        return self.view.quotas.get(deployment.name, split.Quota())

    def priority(self, group: tables.Group) -> int:
        """Return the priority; a group of a removed deployment sorts last."""
        deployment = self.view.deployments.get(group.deployment)
        return (
            deployment.priority
            if deployment is not None
            else REMOVED_DEPLOYMENT_PRIORITY
        )

    def next_number(self) -> int:
        """Increment the counter of the domain and return its old value."""
        number = self.next_group
        self.next_group += 1
        return number

    def form(self, deployment: schema.Deployment, cause: str) -> None:
        """Form a group from spares; the caller must check that they suffice."""
        size = deployment.group_size
        parts = [
            (deployment.model, deployment.version, rank, size)
            for rank in range(size)
        ]
        members = self.take_spares(parts)
        number = self.next_number()
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

    def replace_members(
        self, group: tables.Group, lost: list[int], cause: str
    ) -> None:
        """Replace the members at the given ranks in a new generation."""
        size = len(group.members)
        parts = [(group.model, group.version, rank, size) for rank in lost]
        members = list(group.members)
        for rank, spare in zip(lost, self.take_spares(parts), strict=True):
            members[rank] = spare
        self.groups[group.id] = attrs.evolve(
            group,
            generation=self.next_number(),
            members=tuple(members),
            incarnations=self.incarnations(members),
        )
        self.actions.append(Action(ActionKind.REPAIR, group.id, cause))

    def reorder(
        self, group: tables.Group, members: list[str], cause: str
    ) -> None:
        """Reorder the members of a group in a new generation."""
        self.groups[group.id] = attrs.evolve(
            group,
            generation=self.next_number(),
            members=tuple(members),
            incarnations=self.incarnations(members),
        )
        self.actions.append(Action(ActionKind.REPAIR, group.id, cause))

    def retire(self, group: tables.Group, cause: str) -> None:
        """Exclude a group from new work; members and generation stay.

        The counter of the domain is still incremented, because peers compare
        it to detect whether they have the same groups.
        """
        self.next_number()
        self.groups[group.id] = attrs.evolve(group, retiring=cause)
        self.actions.append(Action(ActionKind.RETIRE, group.id, cause))

    def dissolve(self, group: tables.Group, cause: str) -> None:
        """Remove a group and free its usable members."""
        del self.groups[group.id]
        self.next_number()
        self.spares |= {
            m
            for m in group.members
            if self.condition(m).fitness is reasons.Fitness.USABLE
        }
        self.actions.append(Action(ActionKind.DISSOLVE, group.id, cause))

    def take_spares(self, parts: list[tuple[str, str, int, int]]) -> list[str]:
        """Take one spare for each requested part of a model.

        Spares that hold the part are preferred, then spares whose host has
        the weights of the model staged. Requests count for the head, so a warm
        spare is preferred as the head.
        """
        spares_by_part = {}
        for spare in sorted(self.spares, reverse=True):
            spares_by_part[self.condition(spare).weights] = spare
        chosen = [spares_by_part.get(weights) for weights in parts]
        self.spares -= set(chosen)
        for index, (model, _, rank, _) in enumerate(parts):
            if chosen[index] is None:
                chosen[index] = self._nearest_spare(model, is_head=rank == 0)
                self.spares.discard(chosen[index])
        return chosen

    def _nearest_spare(self, model: str, is_head: bool) -> str:
        return min(
            self.spares,
            key=lambda s: (
                model not in self.condition(s).staged,
                is_head and self.condition(s).cold,
                s,
            ),
        )

    def has_enough_spares(self, group: tables.Group, count: int) -> bool:
        """Return whether enough spares can replace members of a group."""
        if not self.view.staged_only or group.id in self.view.long_broken:
            return count <= len(self.spares)
        staged = [
            s for s in self.spares if group.model in self.condition(s).staged
        ]
        return count <= len(staged)

    def condition(self, instance: str) -> reasons.Condition:
        """Return the condition of an instance, NOT_LISTED if it has none."""
        known = self.view.conditions.get(instance)
        if known is None:
            return reasons.Condition(instance, reasons.Reason.NOT_LISTED)
        return known

    def incarnations(self, members: list[str]) -> tuple[str, ...]:
        """Return the observed incarnations of members."""
        return tuple(self.condition(m).incarnation for m in members)


def is_outdated(group: tables.Group, deployment: schema.Deployment) -> bool:
    """Return whether a group differs from its deployment's configuration."""
    current = (deployment.model, deployment.version, deployment.group_size)
    return (group.model, group.version, len(group.members)) != current
