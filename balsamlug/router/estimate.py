"""Estimates of lengths and rates from the history of finished work."""

import collections
import math
import statistics

import attrs

from balsamlug.router import work as work_lib

# Prefill handles a prompt token this much faster than decoding makes one.
PREFILL_COST = 0.02
# Weight of the newest sample in moving averages: about 20 samples of memory.
GAIN = 0.05
# Work this many times longer than the median counts as long.
LONG_FACTOR = 6.0
# Work below this length is never long, whatever the median is.
LONG_MINIMUM_TOKENS = 256.0
HISTORY = 256
# Finished lengths the median needs before it replaces the expectation.
MEDIAN_SAMPLES = 8
# Expectations before the first sample: an answer uses half of max_tokens, the
# median answer has 100 tokens, a slot decodes 25 tokens/s, and prefill takes
# 0.3 s.
DEFAULT_FRACTION = 0.5
DEFAULT_MEDIAN_TOKENS = 100.0
DEFAULT_SLOT_RATE = 25.0
DEFAULT_FIRST_TOKEN_S = 0.3
FIRST_TOKEN_MEMORY_S = 5.0


def _moved(average: float, sample: float) -> float:
    return average + GAIN * (sample - average)


@attrs.define
class DeploymentRates:
    """Moving averages of one deployment.

    Attributes:
      slot_rate: cost one running request works off, in tokens/s.
      first_token_s: time from a start to the first token.
      first_token_at_s: monotonic time of the last sample of the same.
    """

    slot_rate: float = DEFAULT_SLOT_RATE
    first_token_s: float = DEFAULT_FIRST_TOKEN_S
    first_token_at_s: float = float("-inf")
    lengths: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=HISTORY)
    )
    median_tokens: float = DEFAULT_MEDIAN_TOKENS
    _until_median: int = MEDIAN_SAMPLES

    def note_length(self, tokens: float) -> None:
        """Record a finished length; the median follows now and then."""
        self.lengths.append(tokens)
        self._until_median -= 1
        if self._until_median <= 0:
            self.median_tokens = statistics.median(self.lengths)
            self._until_median = min(len(self.lengths), HISTORY // 8)

    def note_first_token(self, elapsed_s: float, now_s: float) -> None:
        """Record the time from a start to the first token."""
        self.first_token_s = _moved(self.first_token_s, elapsed_s)
        self.first_token_at_s = now_s

    def expected_first_token_s(self, now_s: float) -> float:
        """Return the expected time from a start to the first token.

        The expectation fades without new samples. Otherwise a slow spell
        could refuse all work, and no sample would ever correct it.
        """
        age_s = now_s - self.first_token_at_s
        return self.first_token_s * math.exp(-age_s / FIRST_TOKEN_MEMORY_S)


@attrs.define
class Estimator:
    """Learns lengths by customer, deployment and size of `max_tokens`."""

    rates: dict[str, DeploymentRates] = attrs.field(factory=dict)
    _fractions: dict[tuple[str, str, int], float] = attrs.field(factory=dict)

    def rates_of(self, deployment: str) -> DeploymentRates:
        """Return the averages of a deployment."""
        found = self.rates.get(deployment)
        if found is None:
            found = self.rates[deployment] = DeploymentRates()
        return found

    def tokens(self, work: work_lib.Work) -> float:
        """Estimate how many tokens are still to be generated."""
        expected = self._fraction(work) * work.max_tokens
        return max(1.0, expected - work.resume_from)

    def _fraction(self, work: work_lib.Work) -> float:
        """Use the customer's history, else that of all customers."""
        for key in _keys(work):
            if key in self._fractions:
                return self._fractions[key]
        return DEFAULT_FRACTION

    def cost(self, work: work_lib.Work) -> float:
        """Estimate the slot time in tokens, prefill included."""
        prefill = work.prompt_tokens + work.resume_from
        return self.tokens(work) + PREFILL_COST * prefill

    def is_long(self, work: work_lib.Work) -> bool:
        """Tell whether work is many times longer than the usual."""
        return self.tokens(work) > self.long_tokens(work.deployment)

    def long_tokens(self, deployment: str) -> float:
        """Return the length from which work counts as long."""
        median = self.rates_of(deployment).median_tokens
        return max(LONG_MINIMUM_TOKENS, LONG_FACTOR * median)

    def first_token(self, entry: work_lib.Entry) -> None:
        """Learn the time to the first token."""
        rates = self.rates_of(entry.work.deployment)
        elapsed_s = entry.first_token_s - entry.started_s
        rates.note_first_token(elapsed_s, entry.first_token_s)

    def completed(self, entry: work_lib.Entry, now_s: float) -> None:
        """Learn the length and the rate of work that ran to its end."""
        work = entry.work
        length = work.resume_from + entry.tokens
        if not length:
            return
        fraction = min(1.0, length / max(1, work.max_tokens))
        for key in _keys(work):
            average = self._fractions.get(key, fraction)
            self._fractions[key] = _moved(average, fraction)
        elapsed_s = max(now_s - entry.started_s, 1e-3)
        cost = entry.tokens + PREFILL_COST * work.prompt_tokens
        rates = self.rates_of(work.deployment)
        rates.note_length(length)
        rates.slot_rate = _moved(rates.slot_rate, cost / elapsed_s)


def _keys(work: work_lib.Work) -> tuple[tuple[str, str, int], ...]:
    size = work.max_tokens.bit_length()
    return (
        (work.customer, work.deployment, size),
        ("", work.deployment, size),
    )
