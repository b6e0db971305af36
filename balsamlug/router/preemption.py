"""Bounds and preemption of long work while short work waits."""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from balsamlug.router import work as work_lib

# Part of this router's running requests that long work may hold while short
# work waits. Each router keeps it for its own work, so it holds in total.
LONG_SHARE = 0.05
# Part it may refill itself to meanwhile. The gap keeps preempted work from
# taking a slot back at once, which would only repeat its prefill.
LONG_REFILL_SHARE = 0.03
# Period in which every router has its turn at the rounded-up share; a turn
# is longer than it takes to win back the repeated prefill.
TURN_S = 120.0
# Part of a group's slots that long work leaves free for the next short work.
LONG_HEADROOM = 0.12
# Long work stays restricted for this time after short work has waited: at a
# peak the queue of one router is often empty for a moment.
CONTENTION_HOLD_S = 3.0
# Work that has just started is not preempted: its prefill would be lost.
MIN_RUN_S = 1.0
# Engine priorities 0-4 are for short work and 5-9 for long work.
LONG_BASE = 5
# Time to the first-token deadline at the start, bounds of priorities 0-4. An
# engine never raises a priority, so a fixed order would starve its end.
URGENCY_S = (0.7, 1.5, 3.0, 6.0)


@attrs.define
class Usage:
    """Running requests of this router in one deployment.

    Attributes:
      phase: random number in [0, 1) of this router.
      preempting: long work that was told to leave and still counts.
      contended_until_s: end of the restriction of long work.
    """

    phase: float = 0.0
    short: int = 0
    long: int = 0
    preempting: int = 0
    contended_until_s: float = 0.0

    @property
    def total(self) -> int:
        """Return all running requests."""
        return self.short + self.long

    def add(self, is_long: bool, change: int) -> None:
        """Count a start (+1) or an end (-1)."""
        if is_long:
            self.long += change
        else:
            self.short += change


def engine_priority(entry: work_lib.Entry, now_s: float) -> int:
    """Return the order in the engine's queue, short work first."""
    if entry.is_long:
        return LONG_BASE + min(max(entry.work.priority, 0), 9) // 2
    left_s = entry.work.deadline_s - now_s
    return sum(left_s > bound_s for bound_s in URGENCY_S)


def long_bound(share: float, usage: Usage, now_s: float) -> int:
    """Return how much long work a share of the running requests allows.

    A router of many has few requests, and one long request for each router
    would be far more than the share. The fraction is rounded up for a part
    of the time, at other times in each router.
    """
    turn = (usage.phase + now_s / TURN_S) % 1.0
    return int(share * usage.total + turn)


def is_contended(usage: Usage, now_s: float) -> bool:
    """Tell whether short work waits or waited a moment ago."""
    return now_s < usage.contended_until_s


def long_may_start(usage: Usage, now_s: float) -> bool:
    """Tell whether long work may take the next slot."""
    if not is_contended(usage, now_s):
        return True
    return usage.long < long_bound(LONG_REFILL_SHARE, usage, now_s)


def may_preempt(usage: Usage, now_s: float) -> bool:
    """Tell whether long work holds more than it may keep."""
    staying = usage.long - usage.preempting
    return staying > long_bound(LONG_SHARE, usage, now_s)


def victim(
    running: Iterable[work_lib.Entry],
    usable: Callable[[str], bool],
    now_s: float,
) -> work_lib.Entry | None:
    """Return the long work that is cheapest to resume.

    Args:
      usable: tells whether the slot in a group helps the waiting work.
    """
    settled = (
        entry
        for entry in running
        if entry.is_long
        and not entry.preempting
        and entry.first_token_s is not None
        and now_s - entry.first_token_s >= MIN_RUN_S
        and usable(entry.group_id)
    )
    return min(settled, key=_resume_cost, default=None)


def _resume_cost(entry: work_lib.Entry) -> int:
    work = entry.work
    return work.prompt_tokens + work.resume_from + entry.tokens
