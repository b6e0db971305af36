"""Nodes that gather the states of all others in a large fleet.

With a message from each node to each other one, the messages grow with the
square of the fleet. From a certain size on, nodes tell only a few hubs, and
these tell everyone the sum.
"""

import collections
from collections.abc import Sequence
import hashlib

import attrs

from balsamlug import tables
from balsamlug.gateway import datagrams
from balsamlug.gateway import loads
from balsamlug.gateway import returns

# Largest fleet in which each node tells every other one.
MESH_NODES = 48
# The loss of one leaves the others.
HUBS = 2


def chosen(nodes: Sequence[tables.Node]) -> list[tables.Node]:
    """Return the hubs, or none for a small fleet.

    They are in different failure domains where there are several.
    """
    if len(nodes) <= MESH_NODES:
        return []
    ranked = sorted(nodes, key=_rank)
    first: dict[str, tables.Node] = {}
    for node in ranked:
        first.setdefault(node.failure_domain, node)
    spread = list(first.values())[:HUBS]
    others = [node for node in ranked if node not in spread]
    return (spread + others)[:HUBS]


def _rank(node: tables.Node) -> bytes:
    return hashlib.blake2b(node.id.encode(), digest_size=8).digest()


@attrs.define
class Gathered:
    """Latest states of other nodes, as a hub heard them."""

    _states: dict[str, tuple[float, datagrams.Datagram]] = attrs.field(
        factory=dict
    )

    def heard(self, told: datagrams.Datagram, now_s: float) -> None:
        """Take the state of a node, unless a newer one is known."""
        known = self._states.get(told.node)
        if known is None or loads.is_newer(told, known[1]):
            self._states[told.node] = (now_s, told)

    def drop_old(self, now_s: float) -> None:
        """Forget nodes that have told nothing for some time."""
        self._states = {
            node: state
            for node, state in self._states.items()
            if now_s - state[0] <= loads.PEER_LIFETIME_S
        }

    def total(self, own: datagrams.Datagram) -> datagrams.Datagram:
        """Return the sum of an own state and all that were heard."""
        states = [own, *(told for _, told in self._states.values())]
        counts: collections.Counter = collections.Counter()
        kept: dict[str, dict] = {}
        for told in states:
            counts.update(told.counts)
            kept |= told.kept
        refused = [fp for told in states for fp in told.refused]
        return attrs.evolve(
            own,
            covers=len(states),
            counts=dict(counts),
            silent=sorted({name for told in states for name in told.silent}),
            refused=list(dict.fromkeys(refused))[-returns.MAX_TOLD :],
            kept=kept,
        )

    def without(self, node: str, total: datagrams.Datagram) -> dict[str, int]:
        """Return the counts of a sum without those of one node."""
        known = self._states.get(node)
        if known is None:
            return total.counts
        left = collections.Counter(total.counts)
        left.subtract(known[1].counts)
        return {upstream: n for upstream, n in left.items() if n > 0}
