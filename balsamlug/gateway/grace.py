"""Admission of requests while the process stops.

The platform kills a stopping process at the end of its grace period. Until
then the process takes each request that will surely end before.
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
    _end_s: float = math.inf
    _kill_s: float = math.inf

    def begin(self, signalled_s: float, grace_s: float) -> None:
        """Start the grace period at the time of the signal."""
        margin_s = min(EXIT_MARGIN_S, EXIT_MARGIN_SHARE * grace_s)
        self._kill_s = signalled_s + grace_s
        self._end_s = self._kill_s - margin_s

    def close(self) -> None:
        """End the time for requests."""
        self._end_s = min(self._end_s, self._clock.monotonic())

    @property
    def rest_s(self) -> float:
        """Return the time left for requests, infinite before a stop."""
        return self._end_s - self._clock.monotonic()

    def admits(self, deadline_s: float, work_s: float | None) -> bool:
        """Return whether a request that starts now ends in time.

        Args:
          deadline_s: when the request is answered at the latest.
          work_s: estimate of the longest time that it takes, None if unknown.
        """
        if deadline_s <= self._end_s:
            return True
        return work_s is not None and work_s <= self.rest_s

    def refusal(self, detail: str) -> exceptions.NodeStopping:
        """Return the refusal of a request that has not run."""
        retry_after_ms = RETRY_AFTER_MS
        if not self.has_successor():
            rest_s = max(0.0, self._kill_s - self._clock.monotonic())
            retry_after_ms += int(rest_s * clocks.MS_PER_S)
        return exceptions.NodeStopping(detail, retry_after_ms)
