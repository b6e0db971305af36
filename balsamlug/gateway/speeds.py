"""Measured slowdown of groups, from the pauses between events.

One slow member can slow down its entire group many times over, while the head
reports nothing unusual. Placement multiplies the expected latencies of a slow
group by the measured factor.
"""

import attrs

from balsamlug import clock as clocks

# Weight of a new sample in the exponential moving average.
SMOOTHING_FACTOR = 0.2
# A group counts as slow from this factor on. Prefill of other prompts makes
# single passes of a healthy group up to half as long again.
SLOW_FACTOR = 1.8
MAX_FACTOR = 30.0
# Without new samples a group is no longer considered slow after this time, so
# that requests are placed on it again.
LIFETIME_S = 2.0

# Group id and generation.
GroupKey = tuple[str, int]


@attrs.frozen
class _Speed:
    factor: float
    measured_s: float


@attrs.define
class Speeds:
    """Ratio of measured to expected pass time, by group."""

    _clock: clocks.Clock
    _speeds: dict[GroupKey, _Speed] = attrs.field(factory=dict)

    def record(
        self, key: GroupKey, pause_ms: float, expected_ms: float
    ) -> None:
        """Record the pause between two events of one stream."""
        if expected_ms <= 0:
            return
        sample = min(MAX_FACTOR, pause_ms / expected_ms)
        current = self._current(key)
        previous = current.factor if current is not None else 1.0
        factor = previous + SMOOTHING_FACTOR * (sample - previous)
        self._speeds[key] = _Speed(factor, self._clock.monotonic())

    def factor(self, key: GroupKey) -> float:
        """Return the factor by which a group is slower than expected, or 1."""
        current = self._current(key)
        if current is None or current.factor < SLOW_FACTOR:
            return 1.0
        return current.factor

    def _current(self, key: GroupKey) -> _Speed | None:
        current = self._speeds.get(key)
        if current is None:
            return None
        if self._clock.monotonic() - current.measured_s > LIFETIME_S:
            del self._speeds[key]
            return None
        return current
