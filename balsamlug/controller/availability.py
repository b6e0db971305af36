"""Distinguish outages of the object API from connections that went silent."""

import attrs

from balsamlug import clock as clocks

# If the object API was away for this time, entries may have expired in it: an
# entry is removed after three heartbeats, 3.6 s.
EXPIRY_DETECTION_S = 2.0


@attrs.define
class Availability:
    """When the object API answered the reads of a node.

    A connection that has gone silent fails one read, and the others are
    answered, or the next one on a new connection. In an outage all reads fail.

    Attributes:
      returned_s: when the last outage ended as far as this node has observed.
    """

    clock: clocks.Clock
    returned_s: float = float("-inf")
    _answered_s: float = attrs.field(init=False)
    _has_failed: bool = False

    def __attrs_post_init__(self) -> None:
        self._answered_s = self.clock.monotonic()

    def record_failure(self) -> None:
        """Record a read that failed or brought no answer in time."""
        self._has_failed = True

    def record_answer(self) -> None:
        """Record an answer to any read."""
        now_s = self.clock.monotonic()
        away_s = now_s - self._answered_s
        if self._has_failed and away_s >= EXPIRY_DETECTION_S:
            self.returned_s = now_s
        self._answered_s, self._has_failed = now_s, False
