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
    """Values as they were last sent, held by reference and not copied."""

    state: fleet.FleetState
    _domains: dict[str, fleet.DomainObject] = attrs.field(factory=dict)
    _instances: dict[str, tables.Instance] = attrs.field(factory=dict)
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

    def instances(self) -> types.Message:
        """Return the message that updates neighbours to the current list."""
        previous, base = self._instances, self._revision
        current = self.state.instances
        self._instances, self._revision = current, self.state.instances_revision
        if not base:
            # The list is long; neighbours that lack it request it from one
            # node.
            return reconcile.versions(self.state, reconcile.INSTANCES)
        changed = [
            plain.instance_to_dict(item)
            for name, item in current.items()
            if previous.get(name) != item
        ]
        removed = [name for name in previous if name not in current]
        return types.InstanceDelta(base, self._revision, changed, removed)
