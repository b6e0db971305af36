"""Crashes, checks and tests of one subject of the quarantine."""

import attrs

from balsamlug import suspicions

# A check whose node has stopped counts for this time. It exceeds the duration
# of a check (`gateway.endings.LISTING_TIMEOUT_S`).
CHECK_LIFETIME_S = 8.0


@attrs.define
class Record:
    """Crashes, checks and tests of one subject.

    Attributes:
      crashes: time of each crash by its id.
      checks: time of each possible crash whose check takes long, by its id.
      tests: time of each test.
      open_tests: time of each test that is not known to have crashed nothing,
        by its id.
      was_sound: whether another node had a proof before the crashes.
    """

    crashes: dict[str, float] = attrs.field(factory=dict)
    checks: dict[str, float] = attrs.field(factory=dict)
    tests: list[float] = attrs.field(factory=list)
    open_tests: dict[str, float] = attrs.field(factory=dict)
    was_sound: bool = False

    def recent_crashes(self, now_s: float) -> dict[str, float]:
        """Return the crashes that count."""
        if len(self.crashes) > suspicions.UNTESTED:
            is_over = now_s >= self._counts_until_s()
            return {} if is_over else dict(self.crashes)
        oldest_s = now_s - suspicions.LIFETIME_S
        return {
            loss: crashed_s
            for loss, crashed_s in self.crashes.items()
            if crashed_s > oldest_s
        }

    def possible_crashes(self, now_s: float) -> dict[str, float]:
        """Return the crashes that count, and those being checked."""
        oldest_s = now_s - CHECK_LIFETIME_S
        checked = {
            loss: broken_s
            for loss, broken_s in self.checks.items()
            if broken_s > oldest_s
        }
        return checked | self.recent_crashes(now_s)

    def release_s(self, times: list[float], quarantined: int) -> float:
        """Return when the subject is no longer quarantined.

        Args:
          times: of the crashes that count, in order.
          quarantined: number of crashes from which it is.
        """
        if len(self.crashes) > suspicions.UNTESTED:
            return self._counts_until_s()
        return times[-quarantined] + suspicions.LIFETIME_S

    def _counts_until_s(self) -> float:
        latest_s = max(self.crashes.values())
        return latest_s + suspicions.lifetime_s(len(self.crashes))

    def is_recent(self, now_s: float) -> bool:
        """Return whether a crash, a check or a test is still of use."""
        oldest_s = now_s - suspicions.retention_s(len(self.crashes))
        return any(
            since_s > oldest_s
            for since_s in (
                *self.crashes.values(),
                *self.checks.values(),
                *self.tests,
            )
        )

    def start_test(self, test: str, started_s: float) -> None:
        """Record that a node sends a request with the subject as a test."""
        self.tests.append(started_s)
        self.open_tests[test] = started_s

    def end_test(self, test: str, ended_s: float) -> None:
        """Record that the outcome of a test is known.

        A node that has started since hears of the end only.
        """
        if self.open_tests.pop(test, None) is None:
            self.tests.append(ended_s)

    def open_tests_since(self, since_s: float) -> int:
        """Return the number of open tests that were sent after a time."""
        return sum(sent_s > since_s for sent_s in self.open_tests.values())

    def tests_since(self, since_s: float) -> int:
        """Return the number of tests after a time."""
        return sum(tested_s > since_s for tested_s in self.tests)
