"""Requests in flight at each upstream, own ones and those of other nodes."""

import collections
from collections.abc import Mapping
from typing import Protocol

import attrs

# A change of counts is told after at least this time.
INTERVAL_S = 0.1
# Datagrams that a node may receive in a second, as the fleet grows.
RECEIVED_PER_S = 520
# Counts of another node are forgotten after this time without news.
PEER_LIFETIME_S = 2.0
# Hubs tell sums at least this often.
SUM_LIFETIME_S = 1.0


def interval_s(nodes: int) -> float:
    """Return how long counts of another node stay untold."""
    return max(INTERVAL_S, nodes / RECEIVED_PER_S)


@attrs.frozen
class PeerCounts:
    """Counts that another node told.

    Attributes:
      sequence: raised by every message of one incarnation.
      covers: number of nodes whose requests are counted.
    """

    incarnation: int
    sequence: int
    received_s: float
    counts: Mapping[str, int]
    covers: int = 1


class Numbered(Protocol):
    """A message with its place among those of its sender."""

    incarnation: int
    sequence: int


def is_newer(told: Numbered, known: Numbered) -> bool:
    """Return whether a message was sent after another one."""
    after = (told.incarnation, told.sequence)
    return after > (known.incarnation, known.sequence)


def waiting(group: str) -> str:
    """Return the key of requests that wait behind all others in a group."""
    return f"{group}/waiting"


@attrs.define
class Loads:
    """In-flight counts, keyed by group or instance id, or by `waiting`."""

    own: collections.Counter = attrs.field(factory=collections.Counter)
    _peers: dict[str, PeerCounts] = attrs.field(factory=dict)
    _sums: dict[str, PeerCounts] = attrs.field(factory=dict)

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
        _keep_newest(self._peers, node, told)

    def summed(self, hub: str, told: PeerCounts) -> None:
        """Take the counts of all other nodes, as a hub adds them up."""
        _keep_newest(self._sums, hub, told)

    def total(self, upstream: str, now_s: float) -> int:
        """Return all requests in flight at an upstream, as far as known."""
        sums = [
            (told.covers, told.received_s, told.counts.get(upstream, 0))
            for told in self._sums.values()
            if now_s - told.received_s <= SUM_LIFETIME_S
        ]
        if sums:
            return self.own[upstream] + max(sums)[-1]
        return self.own[upstream] + sum(
            peer.counts.get(upstream, 0)
            for peer in self._peers.values()
            if now_s - peer.received_s <= PEER_LIFETIME_S
        )


def _keep_newest(
    table: dict[str, PeerCounts], sender: str, told: PeerCounts
) -> None:
    known = table.get(sender)
    if known is None or is_newer(told, known):
        table[sender] = told
