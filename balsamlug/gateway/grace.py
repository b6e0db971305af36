"""Admission of requests while the process stops.

The platform kills a stopping process at the end of its grace period. Until
then the process takes each request whose deadline lies before that. Shortly
after the signal it also takes requests that usually end in time: callers are
told that these may be cut. An estimate is no bound, as a sound upstream may be
silent for a while, so later requests are left to other nodes.
"""

from collections.abc import Callable
import math

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions

# The last part of the grace period, in which the process answers what still
# runs and exits. A short grace period is shared out.
EXIT_MARGIN_S = 1.0
EXIT_MARGIN_SHARE = 0.25
# Requests that the platform sends up to 3 s after the signal may be cut at the
# end of the grace period. A busy process learns of the signal late.
ESTIMATES_S = 2.75
# Other nodes take a refused request at once.
RETRY_AFTER_MS = 50


@attrs.define
class Grace:
    """How much of the grace period is left for requests.

    Attributes:
      has_successor: returns whether another node takes requests.
    """

    _clock: clocks.Clock
    has_successor: Callable[[], bool] = lambda: True
    _estimates_until_s: float = math.inf
    _end_s: float = math.inf
    _kill_s: float = math.inf

    def begin(self, signalled_s: float, grace_s: float) -> None:
        """Start the grace period at the time of the signal."""
        margin_s = min(EXIT_MARGIN_S, EXIT_MARGIN_SHARE * grace_s)
        self._estimates_until_s = signalled_s + ESTIMATES_S
        self._kill_s = signalled_s + grace_s
        self._end_s = self._kill_s - margin_s

    def close(self) -> None:
        """End the time for requests."""
        self._end_s = min(self._end_s, self._clock.monotonic())

    @property
    def rest_s(self) -> float:
        """Return the time left for requests, infinite before a stop."""
        return self._end_s - self._clock.monotonic()

    def admits(
        self, accepted_s: float, deadline_s: float, work_s: float | None
    ) -> bool:
        """Return whether an attempt that starts now may end in time.

        Args:
          accepted_s: when the complete request had been received.
          deadline_s: when the request is answered at the latest.
          work_s: estimate of the longest time that it takes, None if unknown.
        """
        if deadline_s <= self._end_s:
            return True
        if work_s is None or accepted_s > self._estimates_until_s:
            return False
        return work_s <= self.rest_s

    def refusal(self, detail: str) -> exceptions.NodeStopping:
        """Return the refusal of a request that has not run."""
        retry_after_ms = RETRY_AFTER_MS
        if not self.has_successor():
            rest_s = max(0.0, self._kill_s - self._clock.monotonic())
            retry_after_ms += int(rest_s * clocks.MS_PER_S)
        return exceptions.NodeStopping(detail, retry_after_ms)
