"""Compute the orders that form groups step by step: leave, join, open, stage.

An engine executes each order without checking the other members. Therefore a
member joins only when no head of its former group can still serve, and a head
is opened only when every member is ready.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping

import attrs

from balsamlug import announcements
from balsamlug import tables
from balsamlug.health import listed as listing
from balsamlug.ownership import commands
from balsamlug.ownership import orders
from balsamlug.ownership import staging

# A head in one of these states runs requests or may still run some.
SERVING_STATES = frozenset(
    {tables.MemberState.OPEN, tables.MemberState.CLOSING}
)


@attrs.define
class Formation:
    """Computes the due orders of a domain from the engines' announcements."""

    _listed: listing.Listed

    def due(
        self, snapshot: orders.DomainSnapshot, now_s: float
    ) -> list[orders.Order]:
        """Return the orders that are due now."""
        del now_s
        responding = {
            instance: current
            for instance in snapshot.addresses
            if (current := self._listed.current(instance)) is not None
            and current.announcement is not None
            and not self._listed.is_suspect(instance)
        }
        due_orders = _DueOrders(snapshot, responding, self._listed.has_size)
        return [
            *due_orders.leave_orders(),
            *due_orders.open_orders(),
            *due_orders.load_orders(),
        ]


@attrs.define
class _DueOrders:
    """Due orders of a domain at one tick.

    Attributes:
      responding: instances that answer, with their announcements.
      has_size: returns whether a group has the size of its model.
    """

    snapshot: orders.DomainSnapshot
    responding: Mapping[str, tables.Instance]
    has_size: Callable[[tables.Group], bool]

    def leave_orders(self) -> Iterator[orders.Order]:
        """Yield orders for engines in a former group or generation."""
        for instance, current in self.responding.items():
            member = announcements.membership_of(current)
            if member is None or self._may_stay(instance, member):
                continue
            command = commands.Leave(
                self.snapshot.epoch, member.group, member.generation
            )
            yield self._order(instance, command)

    def open_orders(self) -> Iterator[orders.Order]:
        """Yield orders for heads of groups whose members are all ready."""
        for group in self._complete_groups():
            head = announcements.membership_of(
                self.responding[group.members[0]]
            )
            if head.state is tables.MemberState.READY:
                command = commands.Open(
                    self.snapshot.epoch, group.id, group.generation
                )
                yield self._order(group.members[0], command)

    def load_orders(self) -> list[orders.Order]:
        """Return join, then stage orders, within the limit on loads."""
        free_loads = self.snapshot.max_loads - self._count_loading()
        selected = []
        for order in [*self._join_orders(), *self._stage_orders()]:
            if order.loads and free_loads <= 0:
                continue
            free_loads -= order.loads
            selected.append(order)
        return selected

    def _may_stay(self, instance: str, member: tables.Membership) -> bool:
        group = self.snapshot.groups.get(member.group)
        if group is None or not announcements.is_member(
            member, group, instance
        ):
            return False
        # A broken head no longer serves; it leaves and joins again at the same
        # generation.
        return member.state is not tables.MemberState.BROKEN

    def _join_orders(self) -> Iterator[orders.Order]:
        for group in self._groups_by_urgency():
            is_whole = all(m in self.responding for m in group.members)
            if not is_whole or self.snapshot.is_mixed(group):
                continue
            for member in group.members:
                current = self.responding[member]
                if announcements.membership_of(current) is None:
                    yield self._join_order(group, current)

    def _join_order(
        self, group: tables.Group, current: tables.Instance
    ) -> orders.Order:
        command = commands.Join(
            self.snapshot.epoch,
            group.id,
            group.generation,
            group.model,
            group.members,
        )
        loads = group.model not in current.announcement.staged
        return self._order(current.id, command, loads)

    def _groups_by_urgency(self) -> list[tables.Group]:
        """Return groups by priority, then by the number of loads needed."""
        return sorted(
            (g for g in self.snapshot.groups.values() if not g.retiring),
            key=lambda g: (
                self.snapshot.priorities.get(g.deployment, 0),
                self._count_missing_weights(g),
                g.id,
            ),
        )

    def _count_missing_weights(self, group: tables.Group) -> int:
        return sum(
            group.model not in self.responding[m].announcement.staged
            for m in group.members
            if m in self.responding
        )

    def _stage_orders(self) -> Iterator[orders.Order]:
        assigned = {m for g in self.snapshot.groups.values() for m in g.members}
        spares = [
            current
            for instance, current in self.responding.items()
            if instance not in assigned
            and current.state is tables.InstanceState.LIVE
        ]
        by_service: dict[str, list[tables.Instance]] = {}
        for spare in spares:
            service = self.snapshot.services.get(spare.id, "")
            by_service.setdefault(service, []).append(spare)
        for service in sorted(by_service):
            for spare, model in self._models_to_stage(
                service, by_service[service]
            ):
                if not spare.announcement.busy:
                    command = commands.Stage(self.snapshot.epoch, model)
                    yield self._order(spare.id, command, loads=True)

    def _models_to_stage(
        self, service: str, spares: list[tables.Instance]
    ) -> Iterator[tuple[tables.Instance, str]]:
        """Yield the spares of a service that should stage another model."""
        groups = [
            group
            for group in self.snapshot.groups.values()
            if self.snapshot.group_services.get(group.id, "") == service
        ]
        unformed = self.snapshot.unformed.get(service, collections.Counter())
        return staging.assign_models(
            spares,
            staging.count_members(groups) + unformed,
            self._count_unresponsive_members(groups) + unformed,
        )

    def _count_unresponsive_members(
        self, groups: list[tables.Group]
    ) -> collections.Counter[str]:
        """Return the number of members of each model that do not answer."""
        return collections.Counter(
            group.model
            for group in groups
            for member in group.members
            if not group.retiring and member not in self.responding
        )

    def _complete_groups(self) -> list[tables.Group]:
        return [
            group
            for group in self.snapshot.groups.values()
            if not group.retiring
            and not self.snapshot.is_mixed(group)
            and self.has_size(group)
            and all(self._is_ready(group, m) for m in group.members)
        ]

    def _is_ready(self, group: tables.Group, instance: str) -> bool:
        current = self.responding.get(instance)
        if current is None:
            return False
        member = announcements.membership_of(current)
        if not announcements.is_member(member, group, instance):
            return False
        return member.state in SERVING_STATES | {tables.MemberState.READY}

    def _count_loading(self) -> int:
        """Return how many engines are loading weights from the store."""
        return sum(self._is_loading(c) for c in self.responding.values())

    def _is_loading(self, current: tables.Instance) -> bool:
        member = announcements.membership_of(current)
        if member is None:
            return current.announcement.busy
        joining = member.state is tables.MemberState.JOINING
        group = self.snapshot.groups.get(member.group)
        model = group.model if group is not None else ""
        return joining and model not in current.announcement.staged

    def _order(
        self, instance: str, command: commands.Command, loads: bool = False
    ) -> orders.Order:
        address = self.snapshot.addresses.get(instance, "")
        return orders.Order(instance, address, command, loads)
