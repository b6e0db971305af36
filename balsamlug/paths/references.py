"""Upstreams whose reachability is compared with that of another one."""

from collections.abc import Sequence
import random

import attrs

from balsamlug import state as fleet
from balsamlug import tables

# One of them may be out of service for a reason of its own.
MAX_REFERENCES = 3


@attrs.frozen
class References:
    """Choose live upstreams that do not fail together with another one."""

    _fleet: fleet.FleetState
    _rng: random.Random

    def choose(self, address: str) -> Sequence[str]:
        """Return addresses in other domains first, one of each domain."""
        by_domain: dict[str, list[str]] = {}
        own_domain = ""
        for instance in self._fleet.instances.values():
            if instance.address == address:
                own_domain = _domain(instance)
            elif instance.state is tables.InstanceState.LIVE:
                by_domain.setdefault(_domain(instance), []).append(
                    instance.address
                )
        others = [domain for domain in by_domain if domain != own_domain]
        self._rng.shuffle(others)
        chosen = [
            self._rng.choice(by_domain[domain])
            for domain in others[:MAX_REFERENCES]
        ]
        rest = [
            candidate
            for candidates in by_domain.values()
            for candidate in candidates
            if candidate not in chosen
        ]
        missing = min(MAX_REFERENCES - len(chosen), len(rest))
        return chosen + self._rng.sample(rest, missing)


def _domain(instance: tables.Instance) -> str:
    return instance.fabric_domain or instance.failure_domain
