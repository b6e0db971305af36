"""Convert the groups of a domain object between tables and JSON."""

import attrs

from balsamlug import state as fleet
from balsamlug import tables

GENERATION_BITS = 32


Groups = dict[str, tables.Group]


class Cache:
    """Cache of the groups that are parsed from each domain object version."""

    def __init__(self, state: fleet.FleetState) -> None:
        self._state = state
        self._parsed: dict[str, tuple[int, Groups]] = {}

    def of(self, domain: str) -> Groups:
        """Return the groups of a domain, none if it has no object."""
        obj = self._state.domains.get(domain)
        if obj is None:
            return {}
        version, parsed = self._parsed.get(domain, (0, {}))
        if version != obj.version:
            parsed = from_value(obj.value)
            self._parsed[domain] = obj.version, parsed
        return parsed

    def find(self, group_id: str) -> tables.Group | None:
        """Return the group with an id, or None."""
        for domain in self._state.domains:
            group = self.of(domain).get(group_id)
            if group is not None:
                return group
        return None

    def assignment(self, domain: str, instance: str) -> tuple[str, int] | None:
        """Return group and generation of an instance, None for a spare."""
        for group in self.of(domain).values():
            if instance in group.members:
                return group.id, group.generation
        return None

    def all(self) -> list[tuple[str, tables.Group]]:
        """Return all groups as pairs of domain and group."""
        return [
            (domain, group)
            for domain in sorted(self._state.domains)
            for group in self.of(domain).values()
        ]


def from_value(value: dict) -> Groups:
    """Return the groups from the value of a domain object."""
    return {
        group_id: _group(group_id, raw)
        for group_id, raw in value.get("groups", {}).items()
    }


def to_value(group: tables.Group) -> dict:
    """Return a group as it is stored under its id."""
    raw = attrs.asdict(group)
    del raw["id"]
    if not group.retiring:
        del raw["retiring"]
    return raw | {
        "members": list(group.members),
        "incarnations": list(group.incarnations),
    }


def fencing(epoch: int, generation: int) -> int:
    """Return the fencing number of an order."""
    highest = (1 << GENERATION_BITS) - 1
    return (epoch << GENERATION_BITS) + min(generation, highest)


def epoch_of(fencing_number: int) -> int:
    """Return the epoch of a fencing number."""
    return fencing_number >> GENERATION_BITS


def _group(group_id: str, raw: dict) -> tables.Group:
    return tables.Group(
        id=group_id,
        deployment=raw["deployment"],
        generation=raw["generation"],
        members=tuple(raw["members"]),
        model=raw["model"],
        version=raw["version"],
        incarnations=tuple(raw.get("incarnations", ())),
        retiring=raw.get("retiring", ""),
    )
