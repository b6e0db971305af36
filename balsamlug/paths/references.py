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
        """Return the addresses to compare one with.

        A path may be lost to one service only, so upstreams of the same service
        come first.
        """
        failed = next(
            (i for i in self._fleet.instances.values() if i.address == address),
            None,
        )
        same, others = [], []
        for instance in self._fleet.instances.values():
            is_same = failed is not None and instance.service == failed.service
            if instance.address != address and _is_live(instance):
                (same if is_same else others).append(instance)
        own_domain = _domain(failed) if failed is not None else ""
        chosen = self._spread(same, own_domain, MAX_REFERENCES)
        missing = MAX_REFERENCES - len(chosen)
        return chosen + self._spread(others, own_domain, missing)

    def _spread(
        self, instances: list[tables.Instance], own_domain: str, count: int
    ) -> list[str]:
        """Return addresses in other domains first, one of each domain."""
        by_domain: dict[str, list[str]] = {}
        for instance in instances:
            by_domain.setdefault(_domain(instance), []).append(instance.address)
        others = [domain for domain in by_domain if domain != own_domain]
        self._rng.shuffle(others)
        chosen = [
            self._rng.choice(by_domain[domain]) for domain in others[:count]
        ]
        rest = [
            candidate
            for candidates in by_domain.values()
            for candidate in candidates
            if candidate not in chosen
        ]
        missing = min(count - len(chosen), len(rest))
        return chosen + self._rng.sample(rest, missing)


def _is_live(instance: tables.Instance) -> bool:
    return instance.state is tables.InstanceState.LIVE


def _domain(instance: tables.Instance) -> str:
    return instance.fabric_domain or instance.failure_domain
