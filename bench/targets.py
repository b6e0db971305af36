"""Checks measured shapes against the targets of the scheduler.

The targets are those of the design page, section 6.3.
"""

import math

import attrs

from bench import measures

# Minimum ratio of late short answers of the best baseline to those of the
# scheduler.
LATE_FACTOR = 5.0
# Minimum tokens per second at the peak, as a share of the best baseline.
THROUGHPUT_SHARE = 0.98
# Maximum ratio of the 99th percentile wait of short work to the same wait
# without long work.
LONG_WAIT_FACTOR = 2.0
# Shorter waits count as this one: callers do not notice waits below the time
# between two tokens (76 ms).
WAIT_FLOOR_S = 0.076


@attrs.frozen
class Outcome:
    """Ratios of a policy to the best baseline on one shape.

    Attributes:
      late_factor: late short answers of the baseline per one of the policy.
      unserved_factor: the same for late and refused requests together.
      throughput_share: tokens at the peak relative to the baseline.
      long_wait_factor: 99th percentile wait relative to the same policy
        without long work.
    """

    late_factor: float
    unserved_factor: float
    throughput_share: float
    long_wait_factor: float

    def met(self) -> dict[str, bool]:
        """Return whether each target is met, by target name."""
        return {
            "late": self.late_factor >= LATE_FACTOR,
            "throughput": self.throughput_share >= THROUGHPUT_SHARE,
            "long_wait": self.long_wait_factor <= LONG_WAIT_FACTOR,
        }


def evaluate(
    policy: dict[str, float], baselines: list[dict[str, float]]
) -> Outcome:
    """Compare one policy with the best baseline of each measure."""

    def reduction_factor(name: str) -> float:
        lowest = measures.best(name, baselines)
        if not policy[name]:
            return math.inf
        return lowest / policy[name]

    reference_s = max(policy["nolong_p99_s"], WAIT_FLOOR_S)
    throughput = measures.best("peak_tokens_per_s", baselines)
    return Outcome(
        late_factor=reduction_factor("late_short"),
        unserved_factor=reduction_factor("unserved_short"),
        throughput_share=policy["peak_tokens_per_s"] / throughput,
        long_wait_factor=policy["wait_p99_s"] / reference_s,
    )


def lines(outcomes: dict[str, Outcome]) -> list[str]:
    """Return the lines of the table of targets."""
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
