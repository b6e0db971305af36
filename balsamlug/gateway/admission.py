"""Decide which requests run while a model has too little capacity.

Groups are kept busy with requests that can be on time: these are admitted at
the rate at which slots become free, and spread over the groups by the room that
each one will have. Late requests run behind them with the capacity that is left
over, and are refused while none is. The decision answers the load of a fleet
whose demand is 1.3 to 2 times its slots, whose nodes know the counts of each
other only after 0.1 s to 0.3 s, and whose refused callers return once.
"""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import random

import attrs

from balsamlug import clock as clocks
from balsamlug.gateway import placement
from balsamlug.gateway import recent_refusals

# Share of the difference to full slots without a queue that is corrected within
# the age of the counts. From 1.57 on, the delayed correction would oscillate
# without end. Fluctuations of the demand alone keep a short queue; a longer one
# on purpose made more requests late.
CORRECTION = 0.5
# Share of the slots that become free, by the engine model, that is counted on.
# With 0.8, a day of a fleet of 78 nodes refused 2,083 of 8,168 requests of its
# largest route; an earlier decision that counted on all refused 1,165.
SERVICE_SHARE = 1.0
# Full groups get no requests while the others have this many times the slots
# that requests which are not reported yet may take.
FREE_MARGIN = 2.0
# Share of the capacity that all priorities get in proportion to their demand.
# The rest goes to the most urgent ones first.
FLOOR_SHARE = 0.5
# A caller gives up without a first event after this time, or after four times
# its target or eight times its longest pause if that is longer. Late requests
# are admitted while they are expected to start within this share of it.
GIVE_UP_MS = 2000.0
EXPECTED_SHARE = 0.5
# A request that was not refused before gets this part of the room for late
# ones. It may return later; a second refusal is the worst outcome.
FIRST_LATE_SHARE = 0.5
# Callers wait for at most a third of their remaining time before a retry.
MAX_RETRY_SHARE = 0.33
# A caller that returns later than a refused request is recognised would count
# as new, and could be refused again.
MAX_RETRY_MS = 0.9 * recent_refusals.LIFETIME_S * clocks.MS_PER_S

ON_TIME = "on_time"
LATE = "late"
# Reasons of refusals.
NO_TIME = "no_time"
NO_SHARE = "no_share"
RETURNED = "returned"


@attrs.frozen
class Demand:
    """Requests that arrive for a model, refused callers that return excepted.

    Attributes:
      offered_per_s: requests per second by priority and route, at all nodes.
      customers: recent requests of each customer at this node.
      route: the route of the request, as it is named in `offered_per_s`.
      customer: the customer of the request, counted in `customers`; empty on
        a public route, whose callers are not told apart.
      lag_ms: mean age of the counts of other nodes.
    """

    offered_per_s: Mapping[tuple[int, str], float]
    customers: Mapping[str, float]
    route: str
    customer: str
    lag_ms: float


@attrs.frozen
class Decision:
    """Outcome of the decision on a request, with its inputs.

    Attributes:
      placement: where the request is sent to, None if it is refused.
      reason: ON_TIME or LATE, or why the request is refused.
      share: probability with which the request is admitted as on time.
      capacity_per_s: rate at which on-time requests may be admitted.
      offered_per_s: rate at which new requests arrive.
      left_per_s: rate that is left over for late requests.
      waiting: late requests that wait for a slot.
      retry_after_ms: delay of a refusal, None if it is final.
    """

    placement: placement.Placement | None
    reason: str
    share: float
    capacity_per_s: float
    offered_per_s: float
    left_per_s: float
    waiting: int
    retry_after_ms: int | None = None


def decide(
    work: placement.Work,
    candidates: Sequence[placement.Candidate],
    demand: Demand,
    rng: random.Random,
    unreported: float = 0.0,
) -> Decision:
    """Return whether and where a request runs.

    Args:
      unreported: see `placement.choose`.

    Raises:
      NoReadyGroup: no group of the model is ready.
    """
    if work.resumed or not candidates:
        placed = placement.choose(work, candidates, rng, unreported)
        return Decision(placed, ON_TIME, 1.0, 0.0, 0.0, 0.0, 0)
    rooms = [_room(candidate, demand.lag_ms) for candidate in candidates]
    capacity_per_s = sum(rooms) / demand.lag_ms * clocks.MS_PER_S
    offered_per_s = sum(demand.offered_per_s.values())
    share = _share(work.priority, demand, capacity_per_s)
    left_per_s = max(0.0, capacity_per_s - offered_per_s)
    waiting = sum(candidate.waiting for candidate in candidates)
    figures = (share, capacity_per_s, offered_per_s, left_per_s, waiting)
    reason = RETURNED
    if not work.retried:
        reason = NO_TIME
        if may_be_on_time(work, candidates):
            reason = NO_SHARE
            if rng.random() < share:
                placed = _on_time(work, candidates, rooms, rng, unreported)
                if placed is not None:
                    return Decision(placed, ON_TIME, *figures)
    late = _late(work, candidates, left_per_s, waiting, rng)
    if late is not None:
        return Decision(late, LATE, *figures)
    retry_after_ms = (
        None
        if work.retried
        else _retry_after_ms(work, left_per_s, waiting, rng)
    )
    return Decision(None, reason, *figures, retry_after_ms)


def may_be_on_time(
    work: placement.Work, candidates: Sequence[placement.Candidate]
) -> bool:
    """Return whether a request is on time if it gets the next free slot."""
    best = min(candidates, key=lambda c: c.ahead_of(work))
    ahead = min(best.ahead_of(work), best.model.slots)
    wait_ms = best.model.first_event_ms(ahead, work.prompt_tokens)
    return wait_ms + work.correction_ms <= work.target_left_ms


def shares(offered: Mapping[int, float], capacity: float) -> dict[int, float]:
    """Return the share of the requests of each priority that is admitted."""
    total = sum(offered.values())
    if total <= capacity:
        return dict.fromkeys(offered, 1.0)
    floor = FLOOR_SHARE * capacity / total
    rest = capacity * (1 - FLOOR_SHARE)
    admitted = {}
    for priority in sorted(offered):
        wanted = (1 - floor) * offered[priority]
        given = min(rest, wanted)
        rest -= given
        admitted[priority] = floor + given / max(offered[priority], 1e-9)
    return admitted


def fair_share(demands: Mapping[str, float], name: str, share: float) -> float:
    """Return the share of the requests of one customer or route to admit.

    Each one gets an equal part of what is admitted. What one does not use is
    divided among the others.

    Args:
      share: admitted share of all requests together.
    """
    rest = share * sum(demands.values())
    if not demands.get(name) or share >= 1:
        return min(1.0, share)
    amounts = sorted(demands.values())
    level = 0.0
    for position, amount in enumerate(amounts):
        level = rest / (len(amounts) - position)
        if amount >= level:
            break
        rest -= amount
    return min(1.0, level / demands[name])


def _share(priority: int, demand: Demand, capacity_per_s: float) -> float:
    """Return the probability with which a request is admitted as on time."""
    priorities: collections.Counter = collections.Counter({priority: 0.0})
    routes: collections.Counter = collections.Counter()
    for (other, route), rate_per_s in demand.offered_per_s.items():
        priorities[other] += rate_per_s
        if other == priority:
            routes[route] += rate_per_s
    total_per_s = sum(priorities.values())
    if total_per_s <= capacity_per_s:
        return 1.0
    mean = capacity_per_s / total_per_s
    share = shares(priorities, capacity_per_s)[priority]
    share = fair_share(routes, demand.route, share)
    if not mean or not demand.customer:
        return share
    own = fair_share(demand.customers, demand.customer, mean)
    return min(1.0, share * own / mean)


def _slot_ms(candidate: placement.Candidate) -> float:
    """Return the time between two slots that become free in a full group."""
    return candidate.model.request_ms() / candidate.model.slots


def _room(candidate: placement.Candidate, lag_ms: float) -> float:
    """Return how many requests a group may get within the age of the counts."""
    slot_ms = _slot_ms(candidate)
    ahead = max(0, candidate.in_flight - candidate.waiting)
    ahead -= candidate.model.slots
    return max(0.0, SERVICE_SHARE * lag_ms / slot_ms - CORRECTION * ahead)


def _on_time(
    work: placement.Work,
    candidates: Sequence[placement.Candidate],
    rooms: Sequence[float],
    rng: random.Random,
    unreported: float,
) -> placement.Placement | None:
    free = [max(0, c.model.slots - c.ahead_of(work)) for c in candidates]
    if sum(free) > FREE_MARGIN * unreported:
        rooms = [
            room if slots else 0.0
            for room, slots in zip(rooms, free, strict=True)
        ]
    if not any(rooms):
        return None
    chosen = rng.choices(candidates, rooms)[0]
    wait_ms = chosen.model.first_event_ms(
        chosen.ahead_of(work), work.prompt_tokens
    )
    return placement.Placement(
        chosen, _on_time_urgency(work), wait_ms, len(candidates), unreported
    )


def _on_time_urgency(work: placement.Work) -> int:
    """Return an urgency that no late request has."""
    return min(placement.URGENCY_RETRIED - 1, placement.urgency(work))


def _late(
    work: placement.Work,
    candidates: Sequence[placement.Candidate],
    left_per_s: float,
    waiting: int,
    rng: random.Random,
) -> placement.Placement | None:
    """Return where a late request runs behind all others, or None."""
    # The time in a full group would exclude short deadlines from idle groups.
    idlest = min(candidates, key=lambda c: c.in_flight)
    request_ms = idlest.model.request_ms(idlest.in_flight + 1)
    latest_ms = min(GIVE_UP_MS, work.deadline_left_ms - request_ms)
    patience_ms = EXPECTED_SHARE * latest_ms
    room = left_per_s * patience_ms / clocks.MS_PER_S
    if not work.retried:
        room *= FIRST_LATE_SHARE
    if waiting >= room:
        return None
    chosen = min(candidates, key=lambda c: (c.in_flight, rng.random()))
    model = chosen.model
    if (
        chosen.in_flight - model.slots
        >= placement.MAX_QUEUE_SLOTS * model.slots
    ):
        return None
    urgency = min(
        placement.MAX_URGENCY,
        placement.URGENCY_RETRIED + (0 if work.retried else 1) + work.priority,
    )
    wait_ms = model.first_event_ms(chosen.in_flight, work.prompt_tokens)
    return placement.Placement(chosen, urgency, wait_ms, len(candidates))


def _retry_after_ms(
    work: placement.Work, left_per_s: float, waiting: int, rng: random.Random
) -> int:
    """Return when a late request is expected to find capacity."""
    longest_ms = min(
        MAX_RETRY_SHARE * max(0.0, work.deadline_left_ms), MAX_RETRY_MS
    )
    least_ms = placement.MIN_RETRY_AFTER_S * clocks.MS_PER_S
    if left_per_s:
        least_ms += waiting / left_per_s * clocks.MS_PER_S
        spread_ms = placement.RETRY_AFTER_JITTER_S * clocks.MS_PER_S
        return int(min(longest_ms, least_ms + rng.uniform(0, spread_ms)))
    return int(rng.uniform(0.5, 1) * longest_ms)
