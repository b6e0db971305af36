"""Hubs, which aggregate the states of all nodes in a large fleet.

In a full mesh the number of messages grows with the square of the fleet size.
Above `MESH_NODES` nodes send their state only to a few hubs, and the hubs send
the sum to all nodes.
"""

import collections
from collections.abc import Sequence
import hashlib

import attrs

from balsamlug import limit_table
from balsamlug import tables
from balsamlug.gateway import datagrams
from balsamlug.gateway import limit_entries
from balsamlug.gateway import loads
from balsamlug.gateway import recent_refusals

# Largest fleet in which each node sends its state to all other nodes.
MESH_NODES = 48
# Tolerates the loss of one hub.
HUBS = 2


def choose(nodes: Sequence[tables.Node]) -> list[tables.Node]:
    """Return the hubs, or an empty list for a small fleet.

    The hubs are in different failure domains if there are several. Nodes that
    may use most of the processor come first: sums for 93 nodes delayed the
    timers of a hub with 0.36 cores by 0.46 s.
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


def _rank(node: tables.Node) -> tuple[int, bytes]:
    digest = hashlib.blake2b(node.id.encode(), digest_size=8).digest()
    return -node.cpu_milli, digest


@attrs.define
class CollectedStates:
    """Latest states of other nodes that a hub has received."""

    _states: dict[str, tuple[float, datagrams.Datagram]] = attrs.field(
        factory=dict
    )

    def update(self, datagram: datagrams.Datagram, now_s: float) -> None:
        """Store the state of a node unless a newer one is stored."""
        stored = self._states.get(datagram.node)
        if stored is None or loads.is_newer(datagram, stored[1]):
            self._states[datagram.node] = (now_s, datagram)

    def drop_old(self, now_s: float) -> None:
        """Drop nodes whose last state is older than the peer lifetime."""
        self._states = {
            node: state
            for node, state in self._states.items()
            if now_s - state[0] <= loads.PEER_LIFETIME_S
        }

    def limits(
        self, local: datagrams.Datagram, now_s: float
    ) -> dict[bytes, limit_table.Entry]:
        """Return the limits and counts of the local and collected states."""
        collected = (
            limit_entries.later(datagram.limits, now_s - received_s)
            for received_s, datagram in self._states.values()
        )
        return limit_entries.add([local.limits, *collected])

    def limits_without(
        self, node: str, sums: dict[bytes, limit_table.Entry]
    ) -> dict[bytes, limit_table.Entry]:
        """Return sums of limits without the counts of one node."""
        stored = self._states.get(node)
        own = stored[1].limits if stored is not None else ()
        return limit_entries.without(sums, own)

    def total(self, local: datagrams.Datagram) -> datagrams.Datagram:
        """Return the sum of the local state and all collected states.

        Limits are added by `limits`.
        """
        states = [local, *(datagram for _, datagram in self._states.values())]
        counts: collections.Counter = collections.Counter()
        unlisted: dict[str, dict] = {}
        for datagram in states:
            counts.update(datagram.counts)
            unlisted |= datagram.unlisted
        refused = [fp for datagram in states for fp in datagram.refused]
        return attrs.evolve(
            local,
            covers=len(states),
            counts=dict(counts),
            unresponsive=sorted(
                {name for datagram in states for name in datagram.unresponsive}
            ),
            refused=list(dict.fromkeys(refused))[
                -recent_refusals.MAX_REPORTED :
            ],
            unlisted=unlisted,
        )

    def counts_without(
        self, node: str, total: datagrams.Datagram
    ) -> dict[str, int]:
        """Return the counts of a sum minus those of one node."""
        stored = self._states.get(node)
        if stored is None:
            return total.counts
        # Most counts are of other nodes, and this runs for every node.
        remaining = dict(total.counts)
        for upstream, own in stored[1].counts.items():
            others = remaining.get(upstream, 0) - own
            if others > 0:
                remaining[upstream] = others
            else:
                remaining.pop(upstream, None)
        return remaining
