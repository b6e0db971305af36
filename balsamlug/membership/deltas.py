"""Turn new versions of large values into what changed since the last one."""

import attrs

from balsamlug import plain
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.membership import reconcile
from balsamlug.messages import renewal
from balsamlug.messages import types


@attrs.define
class Deltas:
    """Values as they were last sent, by reference and not by copy."""

    state: fleet.FleetState
    _domains: dict[str, fleet.DomainObject] = attrs.field(factory=dict)
    _instances: dict[str, tables.Instance] = attrs.field(factory=dict)
    _revision: int = 0

    def is_renewal(self, name: str) -> bool:
        """Return whether only the lease was renewed since the last message.

        A renewal needs no delta; it is noted as sent here.
        """
        before, current = self._domains.get(name), self.state.domains[name]
        if before is None or before.key != current.key:
            return False
        self._domains[name] = current
        return True

    def domain(self, name: str) -> types.Message:
        """Return the message that brings neighbours to the current object."""
        current = self.state.domains[name]
        before = self._domains.get(name)
        self._domains[name] = current
        if before is None or set(before.value) - set(current.value):
            return reconcile.domain_message(self.state, name)
        changed = {
            key: value
            for key, value in current.value.items()
            if key == "lease" or before.value.get(key) != value
        }
        base = renewal.content_key(name, before.value)
        return types.DomainDelta(name, base, current.version, changed)

    def instances(self) -> types.Message:
        """Return the message that brings neighbours to the current list."""
        before, base = self._instances, self._revision
        current = self.state.instances
        self._instances, self._revision = current, self.state.instances_revision
        if not base:
            # The list is long; neighbours that lack it ask one node for it.
            return reconcile.versions(self.state, reconcile.INSTANCES)
        changed = [
            plain.instance_to_dict(item)
            for name, item in current.items()
            if before.get(name) != item
        ]
        removed = [name for name in before if name not in current]
        return types.InstanceDelta(base, self._revision, changed, removed)
