"""Budget that bounds the share of retries among all attempts."""

import collections

import attrs

from balsamlug import clock as clocks

WINDOW_S = 30.0
SHARE = 0.1
# A crash of one group interrupts all its streams at once, also on a router
# with little traffic; the constant covers the slots of such a group.
CONSTANT = 20


@attrs.define
class RetryBudget:
    """Allow retries up to a share of recent first attempts.

    Attributes:
      constant: retries in a window that are allowed whatever the traffic.
    """

    _clock: clocks.Clock
    share: float = SHARE
    constant: float = CONSTANT
    window_s: float = WINDOW_S
    _firsts: collections.deque[float] = attrs.field(factory=collections.deque)
    _retries: collections.deque[float] = attrs.field(factory=collections.deque)

    def first_attempt(self) -> None:
        """Note a first attempt."""
        self._firsts.append(self._clock.monotonic())
        self._drop_old()

    def spend(self) -> bool:
        """Take one retry and return whether the budget allowed it."""
        self._drop_old()
        allowed = self.share * len(self._firsts) + self.constant
        if len(self._retries) >= allowed:
            return False
        self._retries.append(self._clock.monotonic())
        return True

    def _drop_old(self) -> None:
        oldest_s = self._clock.monotonic() - self.window_s
        for times in (self._firsts, self._retries):
            while times and times[0] < oldest_s:
                times.popleft()
