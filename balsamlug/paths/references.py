"""Upstreams whose reachability is compared with that of another one."""

from collections.abc import Sequence
import itertools
import random

import attrs

from balsamlug import state as fleet
from balsamlug import tables

# Some of them may be out of service for reasons of their own.
MAX_REFERENCES = 6


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
        """Return addresses of other domains in turns, then of the own one."""
        by_domain: dict[str, list[str]] = {}
        for instance in instances:
            by_domain.setdefault(_domain(instance), []).append(instance.address)
        own = by_domain.pop(own_domain, [])
        others = list(by_domain.values())
        for addresses in (*others, own):
            self._rng.shuffle(addresses)
        self._rng.shuffle(others)
        turns = itertools.chain(*itertools.zip_longest(*others))
        return [a for a in (*turns, *own) if a is not None][:count]


def _is_live(instance: tables.Instance) -> bool:
    return instance.state is tables.InstanceState.LIVE


def _domain(instance: tables.Instance) -> str:
    return instance.fabric_domain or instance.failure_domain
