"""Order of the live nodes for a duty, the same at every node."""

from collections.abc import Iterable

from balsamlug import hashing
from balsamlug import state as fleet
from balsamlug import tables


def order(key: str, nodes: Iterable[tables.Node], region: str) -> list[str]:
    """Return node ids for a duty, the best first.

    Nodes of the region of the duty go first: when regions lose contact with
    each other, the others could neither probe nor send orders.
    """
    by_id = {node.id: node for node in nodes}
    ranked = hashing.rank(key, by_id)
    return sorted(ranked, key=lambda node: by_id[node].region != region)


class Ranking:
    """Rank of this node for duties, cached while the live nodes stay."""

    def __init__(self, node: str, state: fleet.FleetState) -> None:
        self._node = node
        self._state = state
        self._live: list[tables.Node] = []
        self._ranks: dict[tuple[str, str], int] = {}

    def refresh(self) -> None:
        """Take over changes of the node table; call this once a tick."""
        live = self._state.live_nodes()
        if live != self._live:
            self._live = live
            self._ranks.clear()

    def rank(self, key: str, region: str) -> int:
        """Return this node's position, 0 for the first.

        A node that is not in the table of live nodes ranks after all others.
        """
        if (key, region) not in self._ranks:
            ordered = order(key, self._live, region)
            self._ranks[key, region] = (
                ordered.index(self._node)
                if self._node in ordered
                else len(ordered)
            )
        return self._ranks[key, region]
