"""Turns in which nodes may send a request with a quarantined subject.

Nodes that test a subject at the same time would exceed the bounds of the
quarantine together.
"""

from balsamlug import hashing
from balsamlug import state as fleet

# The nodes may send the next test one after the other, at this interval at
# least. The announcement of a test takes about 0.2 s.
MIN_SPREAD_S = 1.0
SPREAD_PER_NODE_S = 0.5
# A node of a large fleet seldom gets a request with a subject, so one more node
# may send the late tests at this interval, which exceeds the time in which
# nodes hear of each other's tests.
WIDENING_S = 2.0


def delay_s(
    state: fleet.FleetState, subject: str, crashes: int, node: str
) -> float:
    """Return the time from the first turn to the turn of a node."""
    nodes = _ranked(state, f"{subject} {crashes}")
    if node not in nodes:
        return 0.0
    spread_s = max(MIN_SPREAD_S, SPREAD_PER_NODE_S * len(nodes))
    return spread_s * nodes.index(node) / len(nodes)


def is_responsible(
    state: fleet.FleetState, subject: str, node: str, waited_s: float = 0.0
) -> bool:
    """Return whether a node may send the late tests of a subject.

    Args:
      waited_s: time since a test has been due.
    """
    nodes = _ranked(state, subject)
    count = 1 + max(0, int(waited_s / WIDENING_S))
    return not nodes or node in nodes[:count]


def _ranked(state: fleet.FleetState, key: str) -> list[str]:
    return hashing.rank(key, [node.id for node in state.live_nodes()])
