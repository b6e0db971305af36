"""Admission control, before the scheduler queues a request.

Work is refused when it would miss its first-token deadline, when the queue of
its customer is full or when its deployment has no ready group.
"""

from balsamlug import clock as clocks
from balsamlug import exceptions

# Part of the remaining time that the estimated wait may take. The rest covers
# ordinary estimation errors, which would otherwise make admitted work late.
WAIT_SHARE = 0.8
# Bounds of the retry hint sent with a refusal.
MIN_RETRY_MS = 100
MAX_RETRY_MS = 30_000
# Retry hint for a deployment without a ready group.
NO_GROUP_RETRY_MS = 1000


def wait_s(cost_ahead: float, service_rate: float) -> float:
    """Return the time in seconds until the queued cost ahead is served."""
    return cost_ahead / service_rate if cost_ahead else 0.0


def check_deadline(
    left_s: float, wait: float, first_token_s: float, load_s: float
) -> None:
    """Refuse work whose first token would miss its deadline.

    Args:
      left_s: time to the deadline.
      wait: estimated time in the queue, in seconds.
      first_token_s: estimated time from the start to the first token.
      load_s: time in which the current queue is served.

    Raises:
      exceptions.DeadlineUnreachable: the first token would be late.
    """
    if wait <= WAIT_SHARE * (left_s - first_token_s):
        return
    raise deadline_refusal(max(wait - left_s, load_s / 2))


def deadline_refusal(retry_s: float) -> exceptions.DeadlineUnreachable:
    """Return the refusal for late work, with a bounded retry hint."""
    retry_ms = int(retry_s * clocks.MS_PER_S)
    return exceptions.DeadlineUnreachable(
        "the first token would arrive after the deadline",
        retry_after_ms=min(max(retry_ms, MIN_RETRY_MS), MAX_RETRY_MS),
    )


def check_queue(count: int, limit: int, load_s: float) -> None:
    """Refuse work of a customer whose queue is full.

    Raises:
      exceptions.QueueFull: the customer has `limit` requests queued.
    """
    if count < limit:
        return
    retry_ms = int(load_s * clocks.MS_PER_S / 2)
    raise exceptions.QueueFull(
        f"{count} requests of the customer wait already",
        retry_after_ms=min(max(retry_ms, MIN_RETRY_MS), MAX_RETRY_MS),
    )


def no_ready_group(deployment: str) -> exceptions.NoReadyGroup:
    """Return the refusal for a deployment without a ready group."""
    return exceptions.NoReadyGroup(
        f"no group of deployment {deployment} is ready",
        retry_after_ms=NO_GROUP_RETRY_MS,
    )
