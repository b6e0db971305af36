"""Measured error of the predicted time to the first event, by model.

The prediction leaves out what the configuration does not state, such as fixed
times of an engine and of the network, and requests of other nodes that are not
known yet. Without a correction, a request that is predicted to be on time may
be late, and takes the place of one that could be on time.
"""

import collections
import statistics

import attrs

from balsamlug import clock as clocks

# The median of this many requests changes within seconds under load, and a few
# requests at a failing group do not change it.
MAX_SAMPLES = 15
MIN_SAMPLES = 5
# Older errors are from another load.
LIFETIME_S = 10.0


@attrs.frozen
class _Sample:
    error_ms: float
    measured_s: float


@attrs.define
class PredictionErrors:
    """Recent differences between the measured and the predicted time."""

    _clock: clocks.Clock
    _samples: dict[str, collections.deque[_Sample]] = attrs.field(factory=dict)

    def record(
        self, model: str, predicted_ms: float, measured_ms: float
    ) -> None:
        """Record the time to the first event of an attempt."""
        samples = self._samples.setdefault(
            model, collections.deque(maxlen=MAX_SAMPLES)
        )
        error_ms = measured_ms - predicted_ms
        samples.append(_Sample(error_ms, self._clock.monotonic()))

    def correction_ms(self, model: str) -> float:
        """Return what to add to a prediction, 0 while too little is known."""
        oldest_s = self._clock.monotonic() - LIFETIME_S
        recent = [
            sample.error_ms
            for sample in self._samples.get(model, ())
            if sample.measured_s >= oldest_s
        ]
        if len(recent) < MIN_SAMPLES:
            return 0.0
        return max(0.0, statistics.median(recent))
