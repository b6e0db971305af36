"""Budget that bounds the share of retries among all attempts.

It is consulted before a request is sent to another upstream.
"""

import collections

import attrs

from balsamlug import clock as clocks

WINDOW_S = 30.0
RETRY_SHARE = 0.1
# Retries in a window that are allowed without any traffic. A crash of one group
# interrupts all its streams at once, even on a router with little traffic, and
# this number covers the slots of such a group.
BASE_RETRIES = 20


@attrs.define
class RetryBudget:
    """Allow retries up to a share of recent first attempts.

    Attributes:
      share: retries allowed for each first attempt in the window.
      base_retries: retries in a window that are allowed at any traffic.
      window_s: time for which attempts count.
    """

    _clock: clocks.Clock
    share: float = RETRY_SHARE
    base_retries: float = BASE_RETRIES
    window_s: float = WINDOW_S
    _first_attempts: collections.deque[float] = attrs.field(
        factory=collections.deque
    )
    _retries: collections.deque[float] = attrs.field(factory=collections.deque)

    def first_attempt(self) -> None:
        """Record a first attempt."""
        self._first_attempts.append(self._clock.monotonic())
        self._drop_expired()

    def has_left(self) -> bool:
        """Return whether a retry would be allowed now."""
        self._drop_expired()
        allowed = self.share * len(self._first_attempts) + self.base_retries
        return len(self._retries) < allowed

    def spend(self) -> bool:
        """Use one retry of the budget and return whether it was allowed."""
        if not self.has_left():
            return False
        self._retries.append(self._clock.monotonic())
        return True

    def _drop_expired(self) -> None:
        oldest_s = self._clock.monotonic() - self.window_s
        for times in (self._first_attempts, self._retries):
            while times and times[0] < oldest_s:
                times.popleft()


@attrs.define
class RetryBudgets:
    """Retry budgets by service: requests of one allow no retries at another.

    Attributes:
      share, base_retries, window_s: see `RetryBudget`; `refresh` applies
        changes.
    """

    _clock: clocks.Clock
    share: float = RETRY_SHARE
    base_retries: float = BASE_RETRIES
    window_s: float = WINDOW_S
    _budgets: dict[str, RetryBudget] = attrs.field(factory=dict)

    def of(self, service: str) -> RetryBudget:
        """Return the budget of a configured service."""
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(
                self._clock, self.share, self.base_retries, self.window_s
            )
        return self._budgets[service]

    def refresh(self) -> None:
        """Apply the current terms to all budgets."""
        for budget in self._budgets.values():
            budget.share = self.share
            budget.base_retries = self.base_retries
            budget.window_s = self.window_s
