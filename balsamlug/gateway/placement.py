"""Choose the group for a request, or refuse the request.

Placement is designed for demand above the capacity of the groups. A request
that would miss its target must not take the slot of one that can still meet
it. A refusal states when a slot will probably be free.
"""

from collections.abc import Iterable
import heapq
import random

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug.gateway import engine_model

# Urgency values sent to engines, which admit requests in this order; 0 is the
# most urgent.
URGENCY_RESUMED = 0
URGENCY_NEW = 3
URGENCY_RETRIED = 6
MAX_URGENCY = 9
# Minimum and random range of Retry-After. Callers wait at most a third of their
# remaining time.
MIN_RETRY_AFTER_S = 0.2
RETRY_AFTER_JITTER_S = 0.8
# A request that was refused before has missed its target. It may wait in the
# engine for up to this share of its remaining time.
RETRIED_WAIT_SHARE = 0.3
# Length of an engine's queue, as a multiple of its slots. Engines refuse
# requests beyond it.
MAX_QUEUE_SLOTS = 1.0
# Length of the queue, in the same unit, up to which requests that were refused
# before are admitted to it.
RETRIED_QUEUE_SLOTS = 0.5
NO_GROUP_RETRY_S = 0.5
# Limits the computing time of one choice.
MAX_ASSUMED_AHEAD = 64


@attrs.frozen
class Candidate:
    """A complete group that serves the model of a request.

    Attributes:
      head: instance id of the head.
      in_flight: requests in flight in the group, from all nodes.
      waiting: those of them that wait for a slot behind all new requests.
      limit_key: key of the head's rate limit.
    """

    group: str
    generation: int
    head: str
    address: str
    model: engine_model.EngineModel
    in_flight: int
    waiting: int = 0
    limit_key: bytes = b""

    @property
    def key(self) -> tuple[str, int]:
        """Return the id and the generation of the group."""
        return self.group, self.generation

    def ahead_of(self, work: "Work") -> int:
        """Return the requests that are running or would be admitted earlier."""
        waiting = 0 if work.retried else self.waiting
        # The counts come from several nodes at different times, so `waiting`
        # can exceed `in_flight`.
        return max(0, self.in_flight - waiting)


@attrs.frozen
class Work:
    """Properties of a request that placement depends on.

    Attributes:
      target_left_ms: time left until the first event misses its target.
      deadline_left_ms: time left until the deadline of the request.
      retried: whether the request was refused before.
      resumed: whether the caller has already received events of the stream.
      priority: 0 is the most urgent.
      correction_ms: by how much the first event comes later than predicted.
    """

    model: str
    prompt_tokens: int
    target_left_ms: float
    deadline_left_ms: float
    retried: bool = False
    resumed: bool = False
    priority: int = 0
    correction_ms: float = 0.0


@attrs.frozen
class Placement:
    """Decision to send a request to a group.

    Attributes:
      wait_ms: predicted time to the first event, without the correction.
      candidates: number of groups that it was chosen from.
      unreported: requests that other nodes had placed since they last reported.
    """

    candidate: Candidate
    urgency: int
    wait_ms: float
    candidates: int = 1
    unreported: float = 0.0


def choose(
    work: Work,
    candidates: Iterable[Candidate],
    rng: random.Random,
    unreported: float = 0.0,
) -> Placement:
    """Return the group with the shortest expected time to the first event.

    If all nodes chose the group with the lowest reported load, they would
    overload it until the next report.

    Args:
      unreported: requests that other nodes have placed since they last reported
        their counts. A random part of them is assumed to be ahead of this
        request.

    Raises:
      NoReadyGroup: no group of the model is ready.
      QueueFull: every group is so loaded that the answer would be late.
    """
    waits = [
        (_wait_ms(work, c, c.ahead_of(work)), rng.random(), c)
        for c in candidates
    ]
    if not waits:
        raise exceptions.NoReadyGroup(
            f"no group serves {work.model}",
            _retry_after_ms(NO_GROUP_RETRY_S, rng),
        )
    wait_ms, _, best = min(waits)
    ahead = min(MAX_ASSUMED_AHEAD, int(rng.uniform(0, unreported + 1)))
    chosen_ms, chosen = _choose_after(ahead, work, waits)
    if _admits(work, chosen, chosen_ms):
        return Placement(
            chosen, urgency(work), chosen_ms, len(waits), unreported
        )
    if not _admits(work, best, wait_ms):
        slot_s = best.model.slot_wait_ms(best.in_flight) / clocks.MS_PER_S
        raise exceptions.QueueFull(
            f"{best.in_flight} requests at the least loaded group",
            _retry_after_ms(max(MIN_RETRY_AFTER_S, slot_s), rng),
        )
    return Placement(best, urgency(work), wait_ms, len(waits), unreported)


def _choose_after(
    ahead: int, work: Work, waits: list[tuple[float, float, Candidate]]
) -> tuple[float, Candidate]:
    """Return the group to choose after other requests took the best ones.

    Args:
      ahead: number of requests that are placed before this one.

    Returns:
      the expected wait at the known load alone, and the group.
    """
    queue = [(w, tie, c, w, c.ahead_of(work)) for w, tie, c in waits]
    heapq.heapify(queue)
    for _ in range(ahead):
        _, tie, group, known_ms, in_flight = queue[0]
        in_flight += 1
        wait_ms = _wait_ms(work, group, in_flight)
        heapq.heapreplace(queue, (wait_ms, tie, group, known_ms, in_flight))
    _, _, group, known_ms, _ = queue[0]
    return known_ms, group


def urgency(work: Work) -> int:
    """Return the urgency of a request in the engine's queue."""
    if work.resumed:
        return URGENCY_RESUMED
    base = URGENCY_RETRIED if work.retried else URGENCY_NEW
    return min(MAX_URGENCY, base + work.priority)


def _wait_ms(work: Work, candidate: Candidate, ahead: int) -> float:
    return candidate.model.first_event_ms(ahead, work.prompt_tokens)


def _admits(work: Work, best: Candidate, wait_ms: float) -> bool:
    slots = best.model.slots
    if work.resumed or best.ahead_of(work) < slots:
        return True
    share = RETRIED_QUEUE_SLOTS if work.retried else MAX_QUEUE_SLOTS
    if best.in_flight - slots >= share * slots:
        return False
    wait_ms += work.correction_ms
    if work.retried or work.target_left_ms <= 0:
        return wait_ms <= RETRIED_WAIT_SHARE * work.deadline_left_ms
    return wait_ms <= work.target_left_ms


def _retry_after_ms(at_least_s: float, rng: random.Random) -> int:
    """Return a retry delay with jitter, so that retries are spread out."""
    spread_s = rng.uniform(0, RETRY_AFTER_JITTER_S)
    return int((at_least_s + spread_s) * clocks.MS_PER_S)
