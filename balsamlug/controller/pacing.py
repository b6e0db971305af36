"""Rate limit and backoff for the calls of a node to the object API."""

import random

import attrs

from balsamlug import clock as clocks


@attrs.define
class TokenBucket:
    """Allow a burst of calls, then a steady rate.

    Attributes:
      rate: calls per second.
      burst: calls that may be made at once.
    """

    clock: clocks.Clock
    rate: float
    burst: float
    _tokens: float = attrs.field(init=False)
    _updated_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.burst
        self._updated_s = self.clock.monotonic()

    def reserve(self) -> float:
        """Take a token and return the seconds to wait before the call."""
        now_s = self.clock.monotonic()
        refilled = (now_s - self._updated_s) * self.rate
        self._tokens = min(self.burst, self._tokens + refilled) - 1
        self._updated_s = now_s
        return max(0.0, -self._tokens / self.rate)


@attrs.define
class Backoff:
    """Double the delay after each failure, with jitter.

    Attributes:
      first_s: upper bound of the first delay.
      maximum_s: upper bound of every delay.
    """

    rng: random.Random
    first_s: float
    maximum_s: float
    failures: int = 0

    def next_delay(self, minimum_s: float = 0.0) -> float:
        """Return the seconds to wait after one more failure."""
        bound_s = min(self.maximum_s, self.first_s * 2.0**self.failures)
        self.failures = min(self.failures + 1, 16)
        return minimum_s + self.rng.uniform(bound_s / 2, bound_s)

    def reset(self) -> None:
        """Restart from the first delay."""
        self.failures = 0
