"""Upper estimates of how long requests take, from those of the last minutes."""

import math

import attrs

from balsamlug import clock as clocks

# The estimate rests on this period and the one before it.
PERIOD_S = 60.0
MIN_SAMPLES = 5
# Part of the range of the samples that the next one may exceed them by.
RANGE_MARGIN = 0.5
MARGIN = 0.1
# More routes and services than a configuration has.
MAX_KEYS = 4096


@attrs.define
class _Sample:
    """Number and bounds of the durations of one period."""

    since_s: float
    count: int = 0
    least: float = math.inf
    most: float = 0.0

    def add(self, value: float) -> None:
        self.count += 1
        self.least = min(self.least, value)
        self.most = max(self.most, value)


@attrs.define
class Durations:
    """Durations of recent requests by key, in any unit."""

    _clock: clocks.Clock
    _current: dict[str, _Sample] = attrs.field(factory=dict)
    _previous: dict[str, _Sample] = attrs.field(factory=dict)

    def record(self, key: str, value: float) -> None:
        """Record how long a request took."""
        now_s = self._clock.monotonic()
        sample = self._current.get(key)
        if sample is None or now_s - sample.since_s >= PERIOD_S:
            if sample is not None:
                self._previous[key] = sample
            elif len(self._current) >= MAX_KEYS:
                self._forget_oldest()
            # The order of the dictionary is the order of the last periods.
            self._current.pop(key, None)
            sample = self._current[key] = _Sample(now_s)
        sample.add(value)

    def upper(self, key: str) -> float | None:
        """Return the longest duration to expect, None if it is unknown."""
        samples = self._samples(key)
        if sum(sample.count for sample in samples) < MIN_SAMPLES:
            return None
        most = max(sample.most for sample in samples)
        least = min(sample.least for sample in samples)
        return most + RANGE_MARGIN * (most - least) + MARGIN

    def _samples(self, key: str) -> list[_Sample]:
        now_s = self._clock.monotonic()
        found = (self._current.get(key), self._previous.get(key))
        return [
            sample
            for sample in found
            if sample is not None and now_s - sample.since_s < 2 * PERIOD_S
        ]

    def _forget_oldest(self) -> None:
        oldest = next(iter(self._current))
        del self._current[oldest]
        self._previous.pop(oldest, None)
