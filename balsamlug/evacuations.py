"""Failure domains that operators have evacuated, and what this excludes.

From a bound after the store has acknowledged an evacuation until its deletion,
no request may be sent to an instance of the failure domain.
"""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from balsamlug import tables
from balsamlug.store import positions

# A store that was restored from an older copy may lack an evacuation. Operators
# write it again within this time.
RETENTION_S = 4.0
# Bounds the size of a message. Sites have a few failure domains.
MAX_DOMAINS = 64


@attrs.define
class Evacuations:
    """Evacuated failure domains as of a position of the store.

    Attributes:
      position: at which `stored` was read, 0 before the first.
      stored: failure domains that the store names.
      _retained_until_s: failure domains that a restored store lacks, with the
        monotonic time until which they still count.
    """

    position: int = 0
    stored: frozenset[str] = frozenset()
    _retained_until_s: dict[str, float] = attrs.field(factory=dict)

    def update(
        self, position: int, domains: Iterable[str], now_s: float
    ) -> bool:
        """Apply what the store held; return whether others may lack it.

        A newer position with the same failure domains is not passed on: nodes
        that start read the store at positions of their own.
        """
        if position <= self.position:
            return False
        former, stored = self.stored, frozenset(domains)
        is_first = not self.position
        is_restored = self.is_other_era(position)
        self.position, self.stored = position, stored
        if is_restored:
            until_s = now_s + RETENTION_S
            missing = dict.fromkeys(former - stored, until_s)
            self._retained_until_s = missing | self._retained_until_s
        for domain in stored:
            self._retained_until_s.pop(domain, None)
        return is_first or is_restored or stored != former

    def is_other_era(self, position: int) -> bool:
        """Return whether the store was restored between known positions."""
        era = positions.era_of(self.position)
        return bool(self.position) and positions.era_of(position) != era

    def current(self, now_s: float) -> frozenset[str]:
        """Return the failure domains that get no requests now."""
        if not self._retained_until_s:
            return self.stored
        return self.stored | self.retained(now_s)

    def retained(self, now_s: float) -> frozenset[str]:
        """Return those that count although the restored store lacks them."""
        return frozenset(
            domain
            for domain, until_s in self._retained_until_s.items()
            if now_s < until_s
        )


@attrs.define
class Exclusion:
    """Decides which instances and groups get no requests.

    Attributes:
      current: returns the failure domains that are evacuated now.
      _find: returns an instance by its id, None if it is not known.
    """

    current: Callable[[], frozenset[str]] = frozenset
    _find: Callable[[str], tables.Instance | None] = lambda name: None

    def excludes(self, instance: tables.Instance) -> bool:
        """Return whether an instance gets no requests."""
        return instance.failure_domain in self.current()

    def excludes_group(self, group: tables.Group) -> bool:
        """Return whether any member of a group is in an evacuated domain."""
        domains = self.current()
        if not domains:
            return False
        found = (self._find(name) for name in group.members)
        return any(
            instance is not None and instance.failure_domain in domains
            for instance in found
        )
