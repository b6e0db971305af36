"""Limit how often a node requests newer values of a kind."""

from collections.abc import Sequence

import attrs

from balsamlug.membership import reconcile

# Kinds that consist of one large value.
LARGE_KINDS = (reconcile.CONFIG, reconcile.INSTANCES)
# Large kinds of which nodes also send every change.
DELTA_KINDS = frozenset({reconcile.INSTANCES})
# A large value is not requested again while an answer may be in transit.
LARGE_VALUE_INTERVAL_S = 1.0
# A fourth of the 4 KB/s that a node may send to its peers. Tables of
# suspicions at their limit may differ for an hour.
VERSIONS_BYTES_PER_S = 1_024


@attrs.define
class Requests:
    """Times from which the next request of each kind may be sent."""

    _next_s: dict[str, float] = attrs.field(factory=dict)

    def is_due(self, kind: str, now_s: float) -> bool:
        """Return whether a kind may be requested now."""
        return now_s >= self._next_s.get(kind, float("-inf"))

    def record(
        self,
        kind: str,
        frames: Sequence[bytes],
        now_s: float,
        is_limited: bool,
    ) -> None:
        """Record that a request was sent.

        Args:
          is_limited: whether suspicions were dropped. Only then do the tables
            of nodes keep differing.
        """
        pause_s = LARGE_VALUE_INTERVAL_S if is_large(kind) else 0.0
        if kind == reconcile.SUSPICIONS and is_limited:
            pause_s = sum(map(len, frames)) / VERSIONS_BYTES_PER_S
        self._next_s[kind] = now_s + pause_s

    def clear(self, kind: str) -> None:
        """Permit the next request of a kind at once."""
        self._next_s.pop(kind, None)


def is_large(kind: str) -> bool:
    """Return whether a kind consists of one large value."""
    return kind in LARGE_KINDS
