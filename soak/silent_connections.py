"""Silent connections, beside leaving servers and revoked keys.

All or some open connections to the store, between nodes and to servers go
silent for good, while new ones work. Later servers leave and keys are revoked.
Nothing else disturbs the nodes, so that the bounds of both can be checked.
"""

from collections.abc import Iterable
import random

import attrs

from soak import bounds
from soak import clients
from soak import disruptions
from soak import plan
from soak import promises

# Bounds of the smallest deployments, in s: the platform's DrainMs and
# ConfigApplyMs.
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
# A leaving server serves for this time after that.
LONGER_S = 1.0
# From the end of a leaving server to its return.
ABSENCE_S = 0.5
# Includes the window in which nodes count as disturbed and a leave.
SERIES_S = 12.0
MAX_CALM_S = 1.5
SHARES = (1.0, 1.0, 0.5, 0.8)
SECOND_SILENCE_SHARE = 0.5
# Between two silences in a row.
PAUSES_S = (0.3, 2.9)
# From the last silence to the leave of a server, beginning when the store is
# stable again.
LEAVES_S = (disruptions.STABLE_WINDOW_S + 0.05, 5.0)
REVOCATIONS_S = (0.1, 5.0)
REVOCATIONS_PER_SERIES = 3


def draw(seed: int, series: int, targets: int) -> tuple[plan.Fault, ...]:
    """Return the silences, leaves and revocations of a run.

    Args:
      targets: number of servers that may leave.
    """
    rng = random.Random(f"{plan.CONNECTIONS_SILENT}-{seed}")
    faults = []
    for number in range(series):
        at_s = number * SERIES_S + rng.uniform(0, MAX_CALM_S)
        faults.append(_silence(rng, at_s))
        if rng.random() < SECOND_SILENCE_SHARE:
            at_s += rng.uniform(*PAUSES_S)
            faults.append(_silence(rng, at_s))
        leave = plan.Fault(
            plan.SERVER_LEAVES,
            at_s + rng.uniform(*LEAVES_S),
            DRAIN_S + LONGER_S,
            rng.randrange(targets),
            is_announced=rng.random() < 0.5,
        )
        faults.append(leave)
        faults += [
            plan.Fault("revoke", at_s + rng.uniform(*REVOCATIONS_S), 0.0)
            for _ in range(REVOCATIONS_PER_SERIES)
        ]
    return tuple(faults)


def _silence(rng: random.Random, at_s: float) -> plan.Fault:
    return plan.Fault(
        plan.CONNECTIONS_SILENT, at_s, 0.0, share=rng.choice(SHARES)
    )


@attrs.frozen
class Leave:
    """A server that left.

    Attributes:
      acknowledged_s: when the store had accepted that it drains or is gone.
      ended_s: when it accepted no more connections.
    """

    server: str
    acknowledged_s: float
    ended_s: float

    def late_arrivals(
        self,
        arrivals: Iterable[bounds.Arrival],
        disrupted: disruptions.Disruptions,
    ) -> list[str]:
        """Return the requests that came too late from nodes in touch."""
        limit_s = self.acknowledged_s + DRAIN_S
        return [
            f"{arrival.request_id} reached {self.server}"
            f" {arrival.time_s - self.acknowledged_s:.2f} s after it had left"
            for arrival in arrivals
            if arrival.server == self.server
            and limit_s < arrival.time_s < self.ended_s
            and disrupted.is_in_touch(arrival.node, self.acknowledged_s)
            and disrupted.is_in_touch(arrival.node, arrival.time_s)
        ]


def late_keys(
    answers: Iterable[tuple[str, clients.Answer]],
    revoked_s: dict[str, float],
    disrupted: disruptions.Disruptions,
) -> list[str]:
    """Return the revoked keys that nodes in touch took too late.

    Args:
      answers: with the key of each request.
      revoked_s: when the store had accepted the revocation of each key.
    """
    return promises.late_keys(
        answers,
        revoked_s,
        CONFIG_APPLY_S,
        lambda key, answer: (
            not disrupted.is_in_touch(answer.node, answer.sent_s)
        ),
    )
