"""A small fleet in which each failure domain has a group and two nodes."""

import contextlib

from balsamlug_standins import members
from balsamlug_standins import site
from tests.entry import fleet as fleets

KIND = "evacuations"
EVACUATE_MS = 5000
DOMAINS = 2


def _member(name: str, api, **more) -> members.Member:
    number = int(name.partition("-")[2]) // site.GROUP_SIZE + 1
    return members.Member(
        name, api, domain=f"d{number}", zone=f"z{number}", **more
    )


@contextlib.asynccontextmanager
async def running(nodes: int = 2, evacuate_ms: int = EVACUATE_MS):
    """Yield a fleet in which each failure domain has a group that serves."""
    async with fleets.running(
        DOMAINS * site.GROUP_SIZE,
        nodes,
        create_member=_member,
        evacuate_ms=evacuate_ms,
    ) as fleet:
        await fleet.until(
            lambda: all(len(domains(n)) == DOMAINS for n in fleet.nodes)
        )
        yield fleet


def domains(node) -> set[str]:
    """Return the failure domains of the groups that a node may send to."""
    candidates = node.groups.candidates(fleets.MODEL, frozenset())
    instances = node.state.instances
    return {instances[c.head].failure_domain for c in candidates}


def all_use(fleet: fleets.Fleet, expected: set[str]) -> bool:
    """Return whether every node may send to just these failure domains."""
    return all(domains(node) == expected for node in fleet.nodes)


def arrivals(fleet: fleets.Fleet, zone: str) -> int:
    """Return the number of requests that reached a failure domain."""
    return sum(
        len(s.arrivals) for s in fleet.servers.values() if s.zone == zone
    )
