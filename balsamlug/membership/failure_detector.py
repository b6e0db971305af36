"""Decide which neighbours are silent, with care against false claims."""

from collections.abc import Collection
from collections.abc import Mapping

import attrs

from balsamlug import clock as clocks
from balsamlug.membership import connection

SILENCE_S = 2.0
# A gap between two checks that is longer than this is a pause of this
# process. What others sent meanwhile is still unread.
OWN_PAUSE_S = 1.0
# A node that hears nobody at all is more likely cut off itself.
ISOLATED_FACTOR = 5
# A neighbour that refutes a claim is reachable for others. Each time doubles
# the time-out for it, so that a broken path between two nodes does not
# rebuild the trees every few seconds.
MAX_TIMEOUT_S = 64.0
REFUTATION_LIFETIME_S = 120.0
# Nodes that are overloaded, and not dead, are called silent by one neighbour
# after the other, and each rebuild of the trees adds to the load. Everyone
# therefore waits longer for a node that refuted a claim of anyone.
MAX_COMMON_S = 8.0


@attrs.define
class _Refutations:
    """How often a neighbour refuted that it is silent, and when last."""

    count: int
    last_s: float


@attrs.define
class FailureDetector:
    """Track when each neighbour was last heard."""

    clock: clocks.Clock
    _heard_s: dict[str, float] = attrs.field(factory=dict)
    _own: dict[str, _Refutations] = attrs.field(factory=dict)
    _all: dict[str, _Refutations] = attrs.field(factory=dict)
    _checked_s: float | None = None

    def remember(self, peer: str, heard_s: float) -> None:
        """Keep when a closed link was last heard."""
        if peer in self._heard_s:
            self._heard_s[peer] = max(self._heard_s[peer], heard_s)

    def silent(
        self, wanted: Collection[str], open_links: Mapping[str, connection.Link]
    ) -> list[str]:
        """Return the neighbours to be called down; call at every tick."""
        now_s = self.clock.monotonic()
        self._discount_own_pause(now_s, open_links)
        # The time-out for a new neighbour starts when it becomes one.
        self._heard_s = {
            peer: self._last_heard_s(peer, now_s, open_links) for peer in wanted
        }
        factor = ISOLATED_FACTOR if self._isolated(now_s, open_links) else 1
        return [
            peer
            for peer, heard_s in self._heard_s.items()
            if now_s - heard_s > factor * self._timeout_s(peer, now_s)
        ]

    def _last_heard_s(
        self, peer: str, now_s: float, open_links: Mapping[str, connection.Link]
    ) -> float:
        before_s = self._heard_s.get(peer, now_s)
        link = open_links.get(peer)
        return before_s if link is None else max(before_s, link.heard_s)

    def _discount_own_pause(
        self, now_s: float, open_links: Mapping[str, connection.Link]
    ) -> None:
        gap_s = now_s - (self._checked_s if self._checked_s else now_s)
        self._checked_s = now_s
        if gap_s <= OWN_PAUSE_S:
            return
        for peer in self._heard_s:
            self._heard_s[peer] = min(now_s, self._heard_s[peer] + gap_s)
        for link in open_links.values():
            link.heard_s = min(now_s, link.heard_s + gap_s)

    def _isolated(
        self, now_s: float, open_links: Mapping[str, connection.Link]
    ) -> bool:
        return all(
            now_s - link.heard_s > SILENCE_S for link in open_links.values()
        )

    def _timeout_s(self, peer: str, now_s: float) -> float:
        own_s = SILENCE_S * 2.0 ** _recent(self._own, peer, now_s)
        all_s = SILENCE_S * 2.0 ** _recent(self._all, peer, now_s)
        return max(min(MAX_TIMEOUT_S, own_s), min(MAX_COMMON_S, all_s))

    def refuted(self, peer: str, own: bool) -> None:
        """Note that a node called silent was reachable for others.

        Args:
          own: whether this node had called it silent.
        """
        now_s = self.clock.monotonic()
        for table in (self._all, self._own) if own else (self._all,):
            count = _recent(table, peer, now_s) + 1
            table[peer] = _Refutations(count, now_s)


def _recent(table: dict[str, _Refutations], peer: str, now_s: float) -> int:
    """Return how often a peer refuted; forgets what is long ago."""
    known = table.get(peer)
    if known is None:
        return 0
    if now_s - known.last_s > REFUTATION_LIFETIME_S:
        del table[peer]
        return 0
    return known.count
