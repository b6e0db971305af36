"""Orders that form groups step by step: leave, join, open and stage.

An engine carries out each order as it is given and checks no other member.
So a member joins only when no head of its former group can still serve, and
a head is opened only when every member is ready.
"""

import collections
from collections.abc import Iterator
from collections.abc import Mapping

import attrs

from balsamlug import tables
from balsamlug.health import listed as listing
from balsamlug.ownership import commands
from balsamlug.ownership import orders
from balsamlug.ownership import staging

# A head in one of these states runs requests or may still do so.
SERVING = frozenset({tables.MemberState.OPEN, tables.MemberState.CLOSING})


@attrs.define
class Formation:
    """Orders that are due for a domain; decides by what engines announce."""

    _listed: listing.Listed

    def due(
        self, situation: orders.Situation, now_s: float
    ) -> list[orders.Order]:
        """Return the orders that are needed now."""
        del now_s
        present = {
            instance: current
            for instance in situation.addresses
            if (current := self._listed.current(instance)) is not None
            and current.announcement is not None
            and not self._listed.is_suspect(instance)
        }
        step = _Step(situation, present)
        return [*step.leaves(), *step.opens(), *step.loads()]


@attrs.define
class _Step:
    """One look at a domain.

    Attributes:
      present: instances that answer, with what they announce.
    """

    situation: orders.Situation
    present: Mapping[str, tables.Instance]

    def leaves(self) -> Iterator[orders.Order]:
        """Yield orders for engines in a group or generation that is over."""
        for instance, current in self.present.items():
            member = listing.membership_of(current)
            if member is None or self._may_stay(instance, member):
                continue
            command = commands.Leave(
                self.situation.epoch, member.group, member.generation
            )
            yield self._order(instance, command)

    def opens(self) -> Iterator[orders.Order]:
        """Yield orders for heads whose members are all ready."""
        for group in self._whole_groups():
            head = listing.membership_of(self.present[group.members[0]])
            if head.state is tables.MemberState.READY:
                command = commands.Open(
                    self.situation.epoch, group.id, group.generation
                )
                yield self._order(group.members[0], command)

    def loads(self) -> list[orders.Order]:
        """Return joins, then stagings, within the limit on loads."""
        room = self.situation.max_loads - self._loading()
        chosen = []
        for order in [*self._joins(), *self._stagings()]:
            if order.loads and room <= 0:
                continue
            room -= order.loads
            chosen.append(order)
        return chosen

    def _may_stay(self, instance: str, member: tables.Membership) -> bool:
        group = self.situation.groups.get(member.group)
        if group is None or not listing.is_member(member, group):
            return False
        # A broken head serves no more; it joins the same generation again.
        return (
            instance in group.members
            and member.state is not tables.MemberState.BROKEN
        )

    def _joins(self) -> Iterator[orders.Order]:
        for group in self._groups_in_order():
            if any(m not in self.present for m in group.members):
                continue
            for member in group.members:
                current = self.present[member]
                if listing.membership_of(current) is None:
                    yield self._join(group, current)

    def _join(
        self, group: tables.Group, current: tables.Instance
    ) -> orders.Order:
        command = commands.Join(
            self.situation.epoch,
            group.id,
            group.generation,
            group.model,
            group.members,
        )
        loads = group.model not in current.announcement.staged
        return self._order(current.id, command, loads)

    def _groups_in_order(self) -> list[tables.Group]:
        """Return groups, the urgent ones that need the fewest loads first."""
        return sorted(
            (g for g in self.situation.groups.values() if not g.retiring),
            key=lambda g: (
                self.situation.priorities.get(g.deployment, 0),
                self._missing_weights(g),
                g.id,
            ),
        )

    def _missing_weights(self, group: tables.Group) -> int:
        return sum(
            group.model not in self.present[m].announcement.staged
            for m in group.members
            if m in self.present
        )

    def _stagings(self) -> Iterator[orders.Order]:
        assigned = {
            m for g in self.situation.groups.values() for m in g.members
        }
        spares = [
            current
            for instance, current in self.present.items()
            if instance not in assigned
            and current.state is tables.InstanceState.LIVE
        ]
        groups = self.situation.groups.values()
        needs = staging.needs(groups)
        for spare, model in staging.assign(spares, needs, self._missing()):
            if not spare.announcement.busy:
                command = commands.Stage(self.situation.epoch, model)
                yield self._order(spare.id, command, loads=True)

    def _missing(self) -> collections.Counter[str]:
        """Return the members of each model that do not answer."""
        return collections.Counter(
            group.model
            for group in self.situation.groups.values()
            for member in group.members
            if not group.retiring and member not in self.present
        )

    def _whole_groups(self) -> list[tables.Group]:
        return [
            group
            for group in self.situation.groups.values()
            if not group.retiring
            and all(self._is_ready(group, m) for m in group.members)
        ]

    def _is_ready(self, group: tables.Group, instance: str) -> bool:
        current = self.present.get(instance)
        if current is None:
            return False
        member = listing.membership_of(current)
        if not listing.is_member(member, group):
            return False
        return member.state in SERVING | {tables.MemberState.READY}

    def _loading(self) -> int:
        """Return how many engines load weights from the store now."""
        return sum(self._is_loading(c) for c in self.present.values())

    def _is_loading(self, current: tables.Instance) -> bool:
        member = listing.membership_of(current)
        if member is None:
            return current.announcement.busy
        joining = member.state is tables.MemberState.JOINING
        group = self.situation.groups.get(member.group)
        model = group.model if group is not None else ""
        return joining and model not in current.announcement.staged

    def _order(
        self, instance: str, command: commands.Command, loads: bool = False
    ) -> orders.Order:
        address = self.situation.addresses.get(instance, "")
        return orders.Order(instance, address, command, loads)
