"""Bounds on long work, and its preemption while short work is queued.

The scheduler applies these rules when it starts queued work.
"""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from balsamlug.router import work as work_lib

# Part of this router's running requests that long work may occupy while short
# work is queued. Every router applies it to its local work, so it also holds
# for the sum of all routers.
LONG_SHARE = 0.05
# Part up to which new long work may start while short work is queued. It is
# below LONG_SHARE so that preempted work does not take a slot again at once,
# which would only repeat its prefill.
LONG_REFILL_SHARE = 0.03
# Period in which every router rounds its share up for one interval. The
# interval is longer than the time that recovers the cost of a repeated prefill.
ROUNDING_PERIOD_S = 120.0
# Part of a group's slots that long work leaves free for the next short work.
LONG_HEADROOM = 0.12
# Long work remains restricted for this time after short work was queued,
# because under peak load the queue of one router is often empty for a moment.
CONTENTION_HOLD_S = 3.0
# Minimum time after the first token before work may be preempted, so that its
# prefill is not wasted.
MIN_RUN_S = 1.0
# Engine priorities 0-4 are for short work and 5-9 for long work.
LONG_BASE_PRIORITY = 5
# Bounds between engine priorities 0-4: time from the start to the first-token
# deadline. An engine never raises the priority of queued work, so a fixed
# order would starve the lowest priority.
DEADLINE_BOUNDS_S = (0.7, 1.5, 3.0, 6.0)


@attrs.define
class Usage:
    """Running requests of this router in one deployment.

    Attributes:
      phase: random number in [0, 1), which spreads the rounding of the share
        over the routers.
      short: running short work.
      long: running long work, including work that is being preempted.
      preempting: long work that is being preempted and still runs.
      contended_until_s: monotonic time until which long work is restricted.
    """

    phase: float = 0.0
    short: int = 0
    long: int = 0
    preempting: int = 0
    contended_until_s: float = 0.0

    @property
    def total(self) -> int:
        """Return the number of running requests."""
        return self.short + self.long

    def add(self, is_long: bool, change: int) -> None:
        """Count a start (+1) or an end (-1)."""
        if is_long:
            self.long += change
        else:
            self.short += change


def engine_priority(entry: work_lib.Entry, now_s: float) -> int:
    """Return the priority in the queue of the engine, short work first."""
    if entry.is_long:
        return LONG_BASE_PRIORITY + min(max(entry.work.priority, 0), 9) // 2
    left_s = entry.work.deadline_s - now_s
    return sum(left_s > bound_s for bound_s in DEADLINE_BOUNDS_S)


def long_bound(share: float, usage: Usage, now_s: float) -> int:
    """Return how many long requests a share of the running requests allows.

    With many routers each one runs few requests, so one long request for each
    router would exceed the share by far. Therefore a router rounds the bound
    up only for a part of each period, which differs between the routers.
    """
    rounding = (usage.phase + now_s / ROUNDING_PERIOD_S) % 1.0
    return int(share * usage.total + rounding)


def is_contended(usage: Usage, now_s: float) -> bool:
    """Return whether short work is queued or was queued recently."""
    return now_s < usage.contended_until_s


def long_may_start(usage: Usage, now_s: float) -> bool:
    """Return whether long work may take the next slot."""
    if not is_contended(usage, now_s):
        return True
    return usage.long < long_bound(LONG_REFILL_SHARE, usage, now_s)


def may_preempt(usage: Usage, now_s: float) -> bool:
    """Return whether long work occupies more than its share."""
    remaining = usage.long - usage.preempting
    return remaining > long_bound(LONG_SHARE, usage, now_s)


def victim(
    running: Iterable[work_lib.Entry],
    is_usable: Callable[[str], bool],
    now_s: float,
) -> work_lib.Entry | None:
    """Return the long work to preempt: the cheapest one to resume.

    Args:
      is_usable: returns whether the queued work may run in a group.
    """
    preemptible = (
        entry
        for entry in running
        if entry.is_long
        and not entry.preempting
        and entry.first_token_s is not None
        and now_s - entry.first_token_s >= MIN_RUN_S
        and is_usable(entry.group_id)
    )
    return min(preemptible, key=_resume_cost, default=None)


def _resume_cost(entry: work_lib.Entry) -> int:
    work = entry.work
    return work.prompt_tokens + work.resume_from + entry.tokens
