"""Counts of requests in flight at each upstream, over all nodes.

The counts of other nodes arrive in datagrams (`exchange`); placement and the
choice of a plain instance read the totals.
"""

import collections
from collections.abc import Mapping
import hashlib
from typing import Protocol

import attrs

# Minimum time between two reports of changed counts.
MIN_REPORT_INTERVAL_S = 0.1
# Limit on the datagrams that a node receives per second in a large fleet.
RECEIVED_DATAGRAMS_PER_S = 520
# Counts of another node expire after this time without a datagram.
PEER_LIFETIME_S = 2.0
# Sums from a hub expire after this time; hubs send them more often.
SUM_LIFETIME_S = 1.0
# Two of a thousand names have the same digest once in 8,600 configurations.
NAME_DIGEST_BYTES = 4


def report_interval_s(nodes: int) -> float:
    """Return the time between two reports of changed counts."""
    return max(MIN_REPORT_INTERVAL_S, nodes / RECEIVED_DATAGRAMS_PER_S)


@attrs.frozen
class PeerCounts:
    """Counts that another node reported.

    Attributes:
      sequence: increases with every message of one incarnation.
      covers: number of nodes whose requests are counted.
    """

    incarnation: int
    sequence: int
    received_s: float
    counts: Mapping[str, int]
    covers: int = 1


class Sequenced(Protocol):
    """A message with its position among the messages of its sender."""

    incarnation: int
    sequence: int


def is_newer(report: Sequenced, stored: Sequenced) -> bool:
    """Return whether a report was sent after the stored one."""
    after = (report.incarnation, report.sequence)
    return after > (stored.incarnation, stored.sequence)


def waiting_key(group: str) -> str:
    """Return the key for low-urgency requests, which wait behind others."""
    return f"{group}/waiting"


def bound_key(group: str) -> str:
    """Return the key for requests that cannot go on in another group."""
    return f"{group}/bound"


def on_time_key(group: str, generation: int) -> str:
    """Return the key for first events on time of a group that has started."""
    return f"{group}/{generation}/on_time"


def late_key(group: str, generation: int) -> str:
    """Return the key for late first events of a group that has started."""
    return f"{group}/{generation}/late"


def offered_key(model: str) -> str:
    """Return the prefix of the keys for recent new requests of a model."""
    return f"new/{name_digest(model)}/"


def name_digest(name: str) -> str:
    """Return a short key for a name, which may be long or not encodable.

    A single name that cannot be encoded, or a few hundred long ones, would keep
    the datagrams with all counts from being sent.
    """
    data = name.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=NAME_DIGEST_BYTES).hexdigest()


@attrs.define
class Loads:
    """In-flight counts by group id, instance id, `waiting_key`, `bound_key`.

    First events of groups that have started are counted, too (`ramp`).
    """

    local: collections.Counter = attrs.field(factory=collections.Counter)
    _peers: dict[str, PeerCounts] = attrs.field(factory=dict)
    _sums: dict[str, PeerCounts] = attrs.field(factory=dict)

    def record_start(self, upstream: str) -> None:
        """Count a local request at an upstream."""
        self.local[upstream] += 1

    def record_end(self, upstream: str) -> None:
        """Stop counting a local request at an upstream."""
        self.local[upstream] -= 1
        if not self.local[upstream]:
            del self.local[upstream]

    def update_peer(self, node: str, report: PeerCounts) -> None:
        """Store the counts of another node unless newer ones are stored."""
        _store_if_newer(self._peers, node, report)

    def update_sum(self, hub: str, report: PeerCounts) -> None:
        """Store the counts of all other nodes that a hub has summed."""
        _store_if_newer(self._sums, hub, report)

    def total(self, upstream: str, now_s: float) -> int:
        """Return the known number of requests in flight at an upstream."""
        sums = [
            (report.covers, report.received_s, report.counts.get(upstream, 0))
            for report in self._sums.values()
            if now_s - report.received_s <= SUM_LIFETIME_S
        ]
        if sums:
            return self.local[upstream] + max(sums)[-1]
        return self.local[upstream] + sum(
            peer.counts.get(upstream, 0)
            for peer in self._peers.values()
            if now_s - peer.received_s <= PEER_LIFETIME_S
        )

    def totals(self, prefix: str, now_s: float) -> dict[str, int]:
        """Return the known totals of all keys with a prefix."""
        reports = (*self._sums.values(), *self._peers.values())
        known = [self.local, *(report.counts for report in reports)]
        keys = {k for counts in known for k in counts if k.startswith(prefix)}
        return {key: self.total(key, now_s) for key in keys}


def _store_if_newer(
    table: dict[str, PeerCounts], sender: str, report: PeerCounts
) -> None:
    stored = table.get(sender)
    if stored is None or is_newer(report, stored):
        table[sender] = report
