"""A store that turns away the nodes that read it and serves the others.

Keys are revoked meanwhile. Nothing else disturbs the nodes, so that the bound
of a revocation can be checked at the nodes that the store serves.
"""

from collections.abc import Collection
from collections.abc import Iterable
import random

import attrs

from soak import clients
from soak import plan
from soak import promises

# ConfigApplyMs and MaxStretchMs of the smallest deployments, in s: an unstable
# store stretches the bound of a version.
BOUND_S = 2.0 + 5.0
# A node that read the store within this time reads it for others.
READER_S = 5.0
# Nodes that the store serves at all times, so that the bound can be checked.
SERVED = 2
RESET, SILENCE = "reset", "silence"
WAYS = ("503", "429", RESET, SILENCE)
# Includes the time after the refusals in which all nodes are served again.
SERIES_S = 16.0
MAX_CALM_S = 1.5
REFUSALS_S = (9.0, 12.0)
# From the start of a refusal.
REVOCATIONS_S = (-0.5, 4.0)
REVOCATIONS_PER_SERIES = 4


def draw(seed: int, series: int) -> tuple[plan.Fault, ...]:
    """Return the refusals and revocations of a run."""
    rng = random.Random(f"{plan.READERS_REFUSED}-{seed}")
    faults = []
    for number in range(series):
        at_s = number * SERIES_S + rng.uniform(0.5, MAX_CALM_S)
        faults.append(
            plan.Fault(
                plan.READERS_REFUSED,
                at_s,
                rng.uniform(*REFUSALS_S),
                way=rng.choice(WAYS),
                next_readers=rng.choice(plan.NEXT_READERS),
            )
        )
        faults += [
            plan.Fault("revoke", at_s + rng.uniform(*REVOCATIONS_S), 0.0)
            for _ in range(REVOCATIONS_PER_SERIES)
        ]
    return tuple(faults)


@attrs.frozen
class Refusal:
    """Time in which the store turned a node away."""

    node: int
    start_s: float
    end_s: float


def late_keys(
    answers: Iterable[tuple[str, clients.Answer]],
    revoked_s: dict[str, float],
    refusals: Collection[Refusal],
) -> list[str]:
    """Return the revoked keys that nodes which the store serves took too late.

    Args:
      answers: with the key of each request.
      revoked_s: when the store had accepted the revocation of each key.
    """

    def was_refused(key: str, answer: clients.Answer) -> bool:
        return any(
            refusal.node == answer.node
            and refusal.start_s < answer.sent_s
            and refusal.end_s > revoked_s[key]
            for refusal in refusals
        )

    return promises.late_keys(answers, revoked_s, BOUND_S, was_refused)
