"""Turn new versions of large values into what changed since the last one."""

import attrs

from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.membership import reconcile
from balsamlug.messages import types


@attrs.define
class Deltas:
    """Values as they were last sent, by reference and not by copy."""

    state: fleet.FleetState
    _domains: dict[str, fleet.DomainObject] = attrs.field(factory=dict)
    _instances: dict[str, tables.Instance] = attrs.field(factory=dict)
    _revision: int = 0

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
            if before.value.get(key) != value
        }
        return types.DomainDelta(name, before.version, current.version, changed)

    def instances(self) -> types.Message:
        """Return the message that brings neighbours to the current list."""
        before, base = self._instances, self._revision
        current = self.state.instances
        self._instances, self._revision = current, self.state.instances_revision
        if not base:
            return fleet.instance_message(self.state)
        changed = [
            fleet.instance_to_dict(item)
            for name, item in current.items()
            if before.get(name) != item
        ]
        removed = [name for name in before if name not in current]
        return types.InstanceDelta(base, self._revision, changed, removed)
