"""Detect neighbours that do not respond.

A wrong decision rebuilds the broadcast trees, so pauses of this process, an
isolated node and earlier refutations all delay the decision.
"""

from collections.abc import Collection
from collections.abc import Mapping

import attrs

from balsamlug import clock as clocks
from balsamlug.membership import connection

FAILURE_TIMEOUT_S = 2.0
# A longer gap between two checks means that this process was paused. Messages
# that peers sent during the pause have not been read yet.
LOCAL_PAUSE_S = 1.0
# A node that receives from no peer at all is more likely isolated itself.
ISOLATED_TIMEOUT_FACTOR = 5
# A neighbour that refutes a claim that it is down is reachable by other nodes.
# Each refutation doubles the time-out for the neighbour, so that a broken path
# between two nodes does not rebuild the trees every few seconds.
MAX_TIMEOUT_S = 64.0
REFUTATION_LIFETIME_S = 120.0
# Nodes that are overloaded but running are declared down by one neighbour after
# the other, and each rebuild of the trees adds to the load. All nodes therefore
# wait longer for a node that refuted a claim of any node.
MAX_SHARED_TIMEOUT_S = 8.0


@attrs.define
class _Refutations:
    """How often a node refuted that it is down, and when it last did."""

    count: int
    last_s: float


@attrs.define
class FailureDetector:
    """Track when a message was last received from each neighbour."""

    clock: clocks.Clock
    _last_received_s: dict[str, float] = attrs.field(factory=dict)
    # Refuted claims that this node made, and those of any node.
    _local_refutations: dict[str, _Refutations] = attrs.field(factory=dict)
    _all_refutations: dict[str, _Refutations] = attrs.field(factory=dict)
    _checked_s: float | None = None

    def record_received(self, peer: str, last_received_s: float) -> None:
        """Record when the last message arrived on a link that was closed."""
        if peer in self._last_received_s:
            self._last_received_s[peer] = max(
                self._last_received_s[peer], last_received_s
            )

    def unresponsive(
        self,
        neighbours: Collection[str],
        open_links: Mapping[str, connection.Link],
    ) -> list[str]:
        """Return the neighbours to be declared down; call at every tick."""
        now_s = self.clock.monotonic()
        self._discount_local_pause(now_s, open_links)
        # The time-out for a new neighbour starts when it becomes a neighbour.
        self._last_received_s = {
            peer: self._latest_receipt_s(peer, now_s, open_links)
            for peer in neighbours
        }
        factor = (
            ISOLATED_TIMEOUT_FACTOR
            if self._is_isolated(now_s, open_links)
            else 1
        )
        return [
            peer
            for peer, last_received_s in self._last_received_s.items()
            if now_s - last_received_s > factor * self._timeout_s(peer, now_s)
        ]

    def _latest_receipt_s(
        self, peer: str, now_s: float, open_links: Mapping[str, connection.Link]
    ) -> float:
        before_s = self._last_received_s.get(peer, now_s)
        link = open_links.get(peer)
        return before_s if link is None else max(before_s, link.last_received_s)

    def _discount_local_pause(
        self, now_s: float, open_links: Mapping[str, connection.Link]
    ) -> None:
        gap_s = now_s - (self._checked_s if self._checked_s else now_s)
        self._checked_s = now_s
        if gap_s <= LOCAL_PAUSE_S:
            return
        for peer in self._last_received_s:
            self._last_received_s[peer] = min(
                now_s, self._last_received_s[peer] + gap_s
            )
        for link in open_links.values():
            link.last_received_s = min(now_s, link.last_received_s + gap_s)

    def _is_isolated(
        self, now_s: float, open_links: Mapping[str, connection.Link]
    ) -> bool:
        return all(
            now_s - link.last_received_s > FAILURE_TIMEOUT_S
            for link in open_links.values()
        )

    def _timeout_s(self, peer: str, now_s: float) -> float:
        local_s = FAILURE_TIMEOUT_S * 2.0 ** _recent(
            self._local_refutations, peer, now_s
        )
        all_s = FAILURE_TIMEOUT_S * 2.0 ** _recent(
            self._all_refutations, peer, now_s
        )
        return max(
            min(MAX_TIMEOUT_S, local_s), min(MAX_SHARED_TIMEOUT_S, all_s)
        )

    def record_refutation(self, peer: str, local: bool) -> None:
        """Record that a node that was declared down is reachable.

        Args:
          local: whether this node had declared it down.
        """
        now_s = self.clock.monotonic()
        for table in (
            (self._all_refutations, self._local_refutations)
            if local
            else (self._all_refutations,)
        ):
            count = _recent(table, peer, now_s) + 1
            table[peer] = _Refutations(count, now_s)


def _recent(table: dict[str, _Refutations], peer: str, now_s: float) -> int:
    """Return the number of refutations of a peer; remove expired ones."""
    known = table.get(peer)
    if known is None:
        return 0
    if now_s - known.last_s > REFUTATION_LIFETIME_S:
        del table[peer]
        return 0
    return known.count
