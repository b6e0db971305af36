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
    by_id = {node.id: node for node in nodes}
    ranked = hashing.rank(key, by_id)
    return sorted(ranked, key=lambda node: by_id[node].region != region)


class Ranking:
    """Ranks of this node, cached until the live nodes change."""

    def __init__(self, node: str, state: fleet.FleetState) -> None:
        self._node = node
        self._state = state
        self._live: list[tables.Node] = []
        self._ranks: dict[tuple[str, str], int] = {}

    def refresh(self) -> None:
        """Apply changes of the node table; call this once per tick."""
        live = self._state.live_nodes()
        if live != self._live:
            self._live = live
            self._ranks.clear()

    def rank(self, key: str, region: str) -> int:
        """Return the position of this node for a key, 0 for the first.

        A node that is not in the table of live nodes ranks after all others.
        """
        if (key, region) not in self._ranks:
            ordered = rank_nodes(key, self._live, region)
            self._ranks[key, region] = (
                ordered.index(self._node)
                if self._node in ordered
                else len(ordered)
            )
        return self._ranks[key, region]
