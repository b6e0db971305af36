"""Targets of the design page, section 6.3, checked on measured shapes."""

import math

import attrs

from bench import measures

# Late short answers: the best baseline has at least this many times more.
LATE_FACTOR = 5.0
# Tokens per second at the peak, against the best baseline.
THROUGHPUT_SHARE = 0.98
# 99th percentile wait of short work, against the same without long work.
LONG_WAIT_FACTOR = 2.0
# Waits below a decoding step are equal for a caller (76 ms between tokens).
WAIT_FLOOR_S = 0.076


@attrs.frozen
class Outcome:
    """How a policy does against the targets on one shape.

    Attributes:
      late_factor: late short answers of the best baseline over its own.
      unserved_factor: the same for late and refused together.
      throughput_share: tokens at the peak over those of the best baseline.
      long_wait_factor: 99th percentile wait over that without long work.
    """

    late_factor: float
    unserved_factor: float
    throughput_share: float
    long_wait_factor: float

    def met(self) -> dict[str, bool]:
        """Return for each target whether it is met."""
        return {
            "late": self.late_factor >= LATE_FACTOR,
            "throughput": self.throughput_share >= THROUGHPUT_SHARE,
            "long_wait": self.long_wait_factor <= LONG_WAIT_FACTOR,
        }


def evaluate(
    own: dict[str, float], baselines: list[dict[str, float]]
) -> Outcome:
    """Compare one policy with the best baseline of each measure."""

    def times_fewer(name: str) -> float:
        least = measures.best(name, baselines)
        if not own[name]:
            return math.inf
        return least / own[name]

    reference_s = max(own["nolong_p99_s"], WAIT_FLOOR_S)
    throughput = measures.best("peak_tokens_per_s", baselines)
    return Outcome(
        late_factor=times_fewer("late_short"),
        unserved_factor=times_fewer("unserved_short"),
        throughput_share=own["peak_tokens_per_s"] / throughput,
        long_wait_factor=own["wait_p99_s"] / reference_s,
    )


def lines(outcomes: dict[str, Outcome]) -> list[str]:
    """Return the table of the targets."""
    header = "".join(
        f"{name:>16}"
        for name in (
            "late x fewer",
            "unserved x",
            "throughput",
            "p99 / no long",
        )
    )
    result = [f"{'':24}{header}  missed"]
    for shape, outcome in outcomes.items():
        cells = "".join(f"{v:>16.3f}" for v in attrs.astuple(outcome))
        missed = [name for name, met in outcome.met().items() if not met]
        result.append(f"{shape:24}{cells}  {', '.join(missed) or '-'}")
    return result
