"""Count engines that were lost a short time ago as capacity of their domain.

The load that this answers: members of large groups crash and return within
seconds, while another model's weights take longer to load. If the quotas
followed each loss at once, the other members of a broken large group would load
the weights of small groups, and those of the large group again when the lost
members return.
"""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import TypeVar

import attrs

from balsamlug import catalogue as catalogues
from balsamlug import tables

_K = TypeVar("_K", bound=Hashable)
# A configuration may state any time. Groups that serve may be retired for one
# that is missing for longer (`views.REBALANCE_AFTER_S`).
MAX_HOLD_S = 60.0
# Fabric domain and service.
DomainService = tuple[str, str]
# Listed engines by id, of each fabric domain or of each service in a domain.
Engines = Mapping[_K, Mapping[str, tables.Instance]]


@attrs.define
class _Domain:
    """Engines of one service in one domain.

    Attributes:
      live: ids of the live engines at the last update.
      lost_s: time at which each lost engine was missed first.
    """

    live: frozenset[str] = frozenset()
    lost_s: dict[str, float] = attrs.field(factory=dict)

    def update(
        self, engines: Mapping[str, tables.Instance], now_s: float
    ) -> None:
        """Record losses and returns.

        An engine that leaves as planned is not lost. A new engine takes the
        place of the one that was lost first.
        """
        live = frozenset(
            name
            for name, engine in engines.items()
            if engine.state is tables.InstanceState.LIVE
        )
        for name in sorted(live - self.live):
            if name not in self.lost_s and self.lost_s:
                del self.lost_s[next(iter(self.lost_s))]
            self.lost_s.pop(name, None)
        for name in sorted(self.live - live - engines.keys()):
            self.lost_s[name] = now_s
        self.live = live

    def count(self, hold_s: float, now_s: float) -> int:
        """Return the live engines and those lost within `hold_s` seconds."""
        self.lost_s = {
            name: since_s
            for name, since_s in self.lost_s.items()
            if now_s - since_s < hold_s
        }
        # Where most engines are lost, the whole domain has failed. Other
        # domains must form its groups at once.
        if len(self.lost_s) >= len(self.live):
            return len(self.live)
        return len(self.live) + len(self.lost_s)


@attrs.define
class HeldCapacity:
    """Engines of each service in a domain that its quotas are computed from.

    Attributes:
      hold_s: time for which a lost engine counts, 0 to count live ones only.
    """

    hold_s: float = 0.0
    _domains: dict[DomainService, _Domain] = attrs.field(factory=dict)

    def update(
        self, engines: Engines[DomainService], now_s: float
    ) -> dict[DomainService, int]:
        """Return the numbers of engines, in order of domain and service."""
        domains = {}
        for name in sorted(engines):
            domain = self._domains.get(name) or _Domain()
            domain.update(engines[name], now_s)
            domains[name] = domain
        self._domains = domains
        return self.counts(now_s)

    def counts(self, now_s: float) -> dict[DomainService, int]:
        """Return the numbers without a new list of engines."""
        return {
            name: domain.count(self.hold_s, now_s)
            for name, domain in self._domains.items()
        }

    def changes_with_time(self) -> bool:
        """Return whether an engine counts that was lost."""
        return any(domain.lost_s for domain in self._domains.values())

    def has_lost_engines(self, key: DomainService) -> bool:
        """Return whether an engine of a service counts that was lost."""
        known = self._domains.get(key)
        return known is not None and bool(known.lost_s)


def engines_by(
    key: Callable[[tables.Instance], _K], instances: Iterable[tables.Instance]
) -> Engines[_K]:
    """Return the engines by id, under a key such as their fabric domain."""
    engines: dict[_K, dict[str, tables.Instance]] = {}
    for instance in instances:
        if instance.kind is tables.InstanceKind.ENGINE:
            engines.setdefault(key(instance), {})[instance.id] = instance
    return engines


def hold_s(catalogue: catalogues.Catalogue) -> float:
    """Return the time in which the weights of any model load, in bounds.

    It is 0 if no model states it.
    """
    models = [model for _, model in catalogue.models.values()]
    longest_s = max((model.load_s for model in models), default=0.0)
    return min(MAX_HOLD_S, longest_s)
