"""Estimates of answer lengths and rates from completed work.

The scheduler queues, classifies and admits requests by these estimates.
"""

import collections
import math
import statistics

import attrs

from balsamlug.router import work as work_lib

# Cost of the prefill of a prompt token, relative to decoding one token.
PREFILL_COST = 0.02
# Weight of the newest sample in the exponential moving averages, which cover
# about 20 samples.
AVERAGE_GAIN = 0.05
# Work counts as long when it is this many times longer than the median.
LONG_FACTOR = 6.0
# Work up to this length is never long, even when the median is low.
MIN_LONG_TOKENS = 256.0
# Completed lengths from which the median is computed.
MAX_LENGTH_SAMPLES = 256
# Completed lengths required before the median replaces its default.
MIN_MEDIAN_SAMPLES = 8
# Values used before the first sample: an answer uses half of max_tokens, the
# median answer has 100 tokens, a slot decodes 25 tokens/s, and prefill takes
# 0.3 s.
DEFAULT_FRACTION = 0.5
DEFAULT_MEDIAN_TOKENS = 100.0
DEFAULT_TOKENS_PER_S = 25.0
DEFAULT_FIRST_TOKEN_S = 0.3
# Time constant with which the estimate of the first-token time decays.
FIRST_TOKEN_DECAY_S = 5.0


def _update_average(average: float, sample: float) -> float:
    return average + AVERAGE_GAIN * (sample - average)


@attrs.define
class DeploymentRates:
    """Moving averages of one deployment.

    Attributes:
      slot_rate: cost that one running request completes, in tokens/s.
      first_token_s: time from a start to the first token.
      first_token_at_s: monotonic time of the last first_token_s sample.
      lengths: answer lengths of the most recently completed work.
      median_tokens: median of the lengths when it was last computed.
    """

    slot_rate: float = DEFAULT_TOKENS_PER_S
    first_token_s: float = DEFAULT_FIRST_TOKEN_S
    first_token_at_s: float = float("-inf")
    lengths: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_LENGTH_SAMPLES)
    )
    median_tokens: float = DEFAULT_MEDIAN_TOKENS
    _lengths_until_median: int = MIN_MEDIAN_SAMPLES

    def add_length(self, tokens: float) -> None:
        """Record a completed length.

        The median is recomputed once for several lengths, to save the sort.
        """
        self.lengths.append(tokens)
        self._lengths_until_median -= 1
        if self._lengths_until_median <= 0:
            self.median_tokens = statistics.median(self.lengths)
            self._lengths_until_median = min(
                len(self.lengths), MAX_LENGTH_SAMPLES // 8
            )

    def add_first_token_sample(self, elapsed_s: float, now_s: float) -> None:
        """Record the time from a start to the first token."""
        self.first_token_s = _update_average(self.first_token_s, elapsed_s)
        self.first_token_at_s = now_s

    def expected_first_token_s(self, now_s: float) -> float:
        """Return the expected time from a start to the first token.

        The estimate decays while there are no new samples. Otherwise a slow
        period could cause all work to be refused, and without running work
        there would be no sample to correct the estimate.
        """
        age_s = now_s - self.first_token_at_s
        return self.first_token_s * math.exp(-age_s / FIRST_TOKEN_DECAY_S)


@attrs.define
class Estimator:
    """Learn answer lengths by customer, deployment and size of `max_tokens`."""

    rates: dict[str, DeploymentRates] = attrs.field(factory=dict)
    _fractions: dict[tuple[str, str, int], float] = attrs.field(factory=dict)

    def rates_of(self, deployment: str) -> DeploymentRates:
        """Return the moving averages of a deployment."""
        rates = self.rates.get(deployment)
        if rates is None:
            rates = self.rates[deployment] = DeploymentRates()
        return rates

    def remaining_tokens(self, work: work_lib.Work) -> float:
        """Estimate how many tokens are still to be generated."""
        expected = self._fraction(work) * work.max_tokens
        return max(1.0, expected - work.resume_from)

    def _fraction(self, work: work_lib.Work) -> float:
        """Return the part of max_tokens that the answer is expected to use.

        It comes from the customer's history, or else from that of all
        customers.
        """
        for key in _keys(work):
            if key in self._fractions:
                return self._fractions[key]
        return DEFAULT_FRACTION

    def cost(self, work: work_lib.Work) -> float:
        """Estimate the slot time in decoded tokens, prefill included."""
        prefill = work.prompt_tokens + work.resume_from
        return self.remaining_tokens(work) + PREFILL_COST * prefill

    def is_long(self, work: work_lib.Work) -> bool:
        """Return whether work is many times longer than the median."""
        return self.remaining_tokens(work) > self.long_tokens(work.deployment)

    def long_tokens(self, deployment: str) -> float:
        """Return the length above which work counts as long."""
        median = self.rates_of(deployment).median_tokens
        return max(MIN_LONG_TOKENS, LONG_FACTOR * median)

    def record_first_token(self, entry: work_lib.Entry) -> None:
        """Record the time from the start of work to its first token."""
        rates = self.rates_of(entry.work.deployment)
        elapsed_s = entry.first_token_s - entry.started_s
        rates.add_first_token_sample(elapsed_s, entry.first_token_s)

    def record_completion(self, entry: work_lib.Entry, now_s: float) -> None:
        """Record the length and the rate of completed work."""
        work = entry.work
        length = work.resume_from + entry.tokens
        if not length:
            return
        fraction = min(1.0, length / max(1, work.max_tokens))
        for key in _keys(work):
            average = self._fractions.get(key, fraction)
            self._fractions[key] = _update_average(average, fraction)
        elapsed_s = max(now_s - entry.started_s, 1e-3)
        cost = entry.tokens + PREFILL_COST * work.prompt_tokens
        rates = self.rates_of(work.deployment)
        rates.add_length(length)
        rates.slot_rate = _update_average(rates.slot_rate, cost / elapsed_s)


def _keys(work: work_lib.Work) -> tuple[tuple[str, str, int], ...]:
    """Return the keys of the histories to consult, the most specific first."""
    size = work.max_tokens.bit_length()
    return (
        (work.customer, work.deployment, size),
        ("", work.deployment, size),
    )
