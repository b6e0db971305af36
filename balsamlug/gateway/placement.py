"""Choice of the group for a request, or its refusal.

Made for demand above what the groups can serve: a request that would be late
anyway must not take the slot of one that can still be on time, and a refused
one is told when a slot will probably be free.
"""

from collections.abc import Iterable
import heapq
import random

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug.gateway import engine_model

# Urgency that engines admit by; 0 is first.
URGENCY_RESUMED = 0
URGENCY_FRESH = 3
URGENCY_RETURNED = 6
MAX_URGENCY = 9
# Bounds of Retry-After. Callers honour up to a third of their time left.
RETRY_MINIMUM_S = 0.2
RETRY_SPREAD_S = 0.8
# A caller that was refused before is late already. It may wait in the engine
# for up to this part of its time left.
RETURNED_WAIT_SHARE = 0.3
# Queue of an engine in slots; one that is longer is refused there.
MAX_QUEUE_SLOTS = 1.0
# Part of the queue that callers who were refused before may fill.
RETURNED_QUEUE_SLOTS = 0.5
NO_GROUP_RETRY_S = 0.5
# Bounds the time of one choice.
MAX_AHEAD = 64


@attrs.frozen
class Candidate:
    """A whole group that serves the model of a request.

    Attributes:
      head: instance id of the head.
      present: requests in flight there, from all nodes.
      waiting: those of them that wait for a slot behind all fresh requests.
    """

    group: str
    generation: int
    head: str
    address: str
    model: engine_model.EngineModel
    present: int
    waiting: int = 0

    def ahead_of(self, work: "Work") -> int:
        """Return the requests that run or would be admitted earlier."""
        waiting = 0 if work.returned else self.waiting
        # The counts of several nodes are of different ages.
        return max(0, self.present - waiting)


@attrs.frozen
class Work:
    """What placement needs to know of a request.

    Attributes:
      target_left_ms: time left in which the first event is on time.
      deadline_left_ms: time left for the whole request.
      returned: whether the caller was refused before.
      resumed: whether the caller already has events of the stream.
      priority: 0 is the most urgent.
    """

    model: str
    prompt_tokens: int
    target_left_ms: float
    deadline_left_ms: float
    returned: bool = False
    resumed: bool = False
    priority: int = 0


@attrs.frozen
class Placed:
    """Send the request to a group.

    Attributes:
      wait_ms: expected time to the first event.
    """

    candidate: Candidate
    urgency: int
    wait_ms: float


def choose(
    work: Work,
    candidates: Iterable[Candidate],
    rng: random.Random,
    unseen: float = 0.0,
) -> Placed:
    """Return the group that answers first.

    Nodes that all chose the group that was the least loaded in the last news
    would overload it until the next.

    Args:
      unseen: requests that other nodes have placed since they told their
        counts. A random part of them is taken to be ahead of this one.

    Raises:
      NoReadyGroup: no group of the model serves.
      QueueFull: every group is so loaded that the answer would be late.
    """
    waits = [
        (_wait_ms(work, c, c.ahead_of(work)), rng.random(), c)
        for c in candidates
    ]
    if not waits:
        raise exceptions.NoReadyGroup(
            f"no group serves {work.model}",
            _retry_ms(NO_GROUP_RETRY_S, rng),
        )
    wait_ms, _, best = min(waits)
    ahead = min(MAX_AHEAD, int(rng.uniform(0, unseen + 1)))
    picked_ms, picked = _after(ahead, work, waits)
    if _admits(work, picked, picked_ms):
        return Placed(picked, urgency(work), picked_ms)
    if not _admits(work, best, wait_ms):
        slot_s = best.model.slot_wait_ms(best.present) / clocks.MS_PER_S
        raise exceptions.QueueFull(
            f"{best.present} requests at the least loaded group",
            _retry_ms(max(RETRY_MINIMUM_S, slot_s), rng),
        )
    return Placed(best, urgency(work), wait_ms)


def _after(
    ahead: int, work: Work, waits: list[tuple[float, float, Candidate]]
) -> tuple[float, Candidate]:
    """Return the choice after some requests have taken the best groups.

    Returns:
      the wait by the known load alone, and the group.
    """
    queue = [(w, tie, c, w, c.ahead_of(work)) for w, tie, c in waits]
    heapq.heapify(queue)
    for _ in range(ahead):
        _, tie, group, known_ms, present = queue[0]
        present += 1
        wait_ms = _wait_ms(work, group, present)
        heapq.heapreplace(queue, (wait_ms, tie, group, known_ms, present))
    _, _, group, known_ms, _ = queue[0]
    return known_ms, group


def urgency(work: Work) -> int:
    """Return the place of a request in the engine's own queue."""
    if work.resumed:
        return URGENCY_RESUMED
    base = URGENCY_RETURNED if work.returned else URGENCY_FRESH
    return min(MAX_URGENCY, base + work.priority)


def _wait_ms(work: Work, candidate: Candidate, ahead: int) -> float:
    return candidate.model.first_event_ms(ahead, work.prompt_tokens)


def _admits(work: Work, best: Candidate, wait_ms: float) -> bool:
    slots = best.model.slots
    if work.resumed or best.ahead_of(work) < slots:
        return True
    share = RETURNED_QUEUE_SLOTS if work.returned else MAX_QUEUE_SLOTS
    if best.present - slots >= share * slots:
        return False
    if work.returned or work.target_left_ms <= 0:
        return wait_ms <= RETURNED_WAIT_SHARE * work.deadline_left_ms
    return wait_ms <= work.target_left_ms


def _retry_ms(at_least_s: float, rng: random.Random) -> int:
    """Return a time to come back, spread so that not all return at once."""
    spread_s = rng.uniform(0, RETRY_SPREAD_S)
    return int((at_least_s + spread_s) * clocks.MS_PER_S)
