"""Encode new versions of large values as deltas.

A delta is relative to the last version that this node sent to its neighbours.
`reconcile.apply_delta` is the receiving side.
"""

import attrs

from balsamlug import plain
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.membership import reconcile
from balsamlug.messages import renewal
from balsamlug.messages import types


@attrs.define
class Deltas:
    """What neighbours lack since the last message.

    Attributes:
      _domains: domain objects as they were last sent.
      _instances: last list, held by reference and not copied.
      _changed_instances: instances that changed or left the list since the last
        message.
      _revision: list revision that was last sent.
    """

    state: fleet.FleetState
    _domains: dict[str, fleet.DomainObject] = attrs.field(factory=dict)
    _instances: dict[str, tables.Instance] = attrs.field(factory=dict)
    _changed_instances: set[str] = attrs.field(factory=set)
    _revision: int = 0

    def is_renewal(self, name: str) -> bool:
        """Return whether only the lease was renewed since the last message.

        A renewal is sent without a delta, so this call records the current
        object as sent.
        """
        previous, current = self._domains.get(name), self.state.domains[name]
        if previous is None or previous.key != current.key:
            return False
        self._domains[name] = current
        return True

    def domain(self, name: str) -> types.Message:
        """Return the message that updates neighbours to the current object."""
        current = self.state.domains[name]
        previous = self._domains.get(name)
        self._domains[name] = current
        if previous is None or set(previous.value) - set(current.value):
            return reconcile.domain_message(self.state, name)
        changed = {
            key: value
            for key, value in current.value.items()
            if key == "lease" or previous.value.get(key) != value
        }
        base = renewal.content_key(name, previous.value)
        return types.DomainDelta(name, base, current.version, changed)

    def record_instances(
        self, message: types.InstanceUpdate | types.InstanceDelta
    ) -> None:
        """Record what an applied message has changed in the list."""
        previous, self._instances = self._instances, self.state.instances
        if isinstance(message, types.InstanceDelta):
            changed = {raw["id"] for raw in message.changed}
            self._changed_instances |= changed.union(message.removed)
            return
        names = previous.keys() | self._instances.keys()
        self._changed_instances.update(
            n for n in names if previous.get(n) != self._instances.get(n)
        )

    def instances(self) -> types.Message | None:
        """Return the message that updates neighbours to the current list.

        Nothing is sent for the first list: it is long, nearly every node reads
        it at its own start, and digests show the others that they lack it.
        """
        names, self._changed_instances = self._changed_instances, set()
        base, self._revision = self._revision, self.state.instances_revision
        if not base:
            return None
        listed = self.state.instances
        changed = [
            plain.instance_to_dict(listed[name])
            for name in names
            if name in listed
        ]
        removed = [name for name in names if name not in listed]
        return types.InstanceDelta(base, self._revision, changed, removed)
