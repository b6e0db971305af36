"""Rank the live nodes as candidates for a lease or for probing a group.

Every node computes the same order from the table of live nodes.
"""

from collections.abc import Iterable

from balsamlug import hashing
from balsamlug import state as fleet
from balsamlug import tables


def rank_nodes(
    key: str, nodes: Iterable[tables.Node], region: str
) -> list[str]:
    """Return the node ids in order of preference for a key.

    Nodes of the given region come first: when the network between regions
    fails, nodes of other regions could neither probe nor send orders.
    """
    ranked = sorted(nodes, key=lambda node: _position(node, key, region))
    return [node.id for node in ranked]


class Ranking:
    """Ranks of this node among the live nodes.

    A node that joins or leaves shifts each rank by at most one, so a change of
    the node table costs one comparison for each key and changed node.
    """

    def __init__(self, node: str, state: fleet.FleetState) -> None:
        self._node = node
        self._state = state
        self._live: dict[str, tables.Node] = {}
        self._ranks: dict[tuple[str, str], int] = {}

    def refresh(self) -> None:
        """Apply changes of the node table; call this once per tick."""
        live = {node.id: node for node in self._state.live_nodes()}
        if live == self._live:
            return
        previous, self._live = self._live, live
        own = live.get(self._node)
        if own is None or previous.get(self._node) != own:
            self._ranks.clear()
            return
        joined = [n for n in live.values() if previous.get(n.id) != n]
        left = [n for n in previous.values() if live.get(n.id) != n]
        for (key, region), rank in self._ranks.items():
            shift = _count_before(own, joined, key, region)
            shift -= _count_before(own, left, key, region)
            self._ranks[key, region] = rank + shift

    def rank(self, key: str, region: str) -> int:
        """Return the position of this node for a key, 0 for the first.

        A node that is not in the table of live nodes ranks after all others.
        """
        own = self._live.get(self._node)
        if own is None:
            return len(self._live)
        if (key, region) not in self._ranks:
            others = self._live.values()
            self._ranks[key, region] = _count_before(own, others, key, region)
        return self._ranks[key, region]


def _count_before(
    own: tables.Node, others: Iterable[tables.Node], key: str, region: str
) -> int:
    """Return how many nodes precede a node in the order of `rank_nodes`."""
    position = _position(own, key, region)
    return sum(_position(node, key, region) < position for node in others)


def _position(
    node: tables.Node, key: str, region: str
) -> tuple[bool, int, str]:
    return node.region != region, hashing.score(key, node.id), node.id
