"""Requests in flight at each upstream, own ones and those of other nodes."""

import collections
from collections.abc import Mapping

import attrs

# Counts of another node are forgotten after this time without news.
PEER_LIFETIME_S = 2.0


@attrs.frozen
class PeerCounts:
    """Counts that another node told.

    Attributes:
      sequence: raised by every message of one incarnation.
    """

    incarnation: int
    sequence: int
    received_s: float
    counts: Mapping[str, int]


@attrs.define
class Loads:
    """In-flight counts, keyed by group or instance id."""

    own: collections.Counter = attrs.field(factory=collections.Counter)
    _peers: dict[str, PeerCounts] = attrs.field(factory=dict)

    def started(self, upstream: str) -> None:
        """Count an own request."""
        self.own[upstream] += 1

    def ended(self, upstream: str) -> None:
        """Count an own request no more."""
        self.own[upstream] -= 1
        if not self.own[upstream]:
            del self.own[upstream]

    def heard(self, node: str, told: PeerCounts) -> None:
        """Take the counts of another node, unless newer ones are known."""
        known = self._peers.get(node)
        if known is not None:
            before = (known.incarnation, known.sequence)
            if (told.incarnation, told.sequence) <= before:
                return
        self._peers[node] = told

    def total(self, upstream: str, now_s: float) -> int:
        """Return all requests in flight at an upstream, as far as known."""
        return self.own[upstream] + sum(
            peer.counts.get(upstream, 0)
            for peer in self._peers.values()
            if now_s - peer.received_s <= PEER_LIFETIME_S
        )
