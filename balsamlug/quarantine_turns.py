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


def delay_s(
    state: fleet.FleetState, subject: str, crashes: int, node: str
) -> float:
    """Return the time from the first turn to the turn of a node."""
    nodes = _ranked(state, f"{subject} {crashes}")
    if node not in nodes:
        return 0.0
    spread_s = max(MIN_SPREAD_S, SPREAD_PER_NODE_S * len(nodes))
    return spread_s * nodes.index(node) / len(nodes)


def is_responsible(state: fleet.FleetState, subject: str, node: str) -> bool:
    """Return whether the late tests of a subject are up to a node."""
    nodes = _ranked(state, subject)
    return not nodes or nodes[0] == node


def _ranked(state: fleet.FleetState, key: str) -> list[str]:
    return hashing.rank(key, [node.id for node in state.live_nodes()])
