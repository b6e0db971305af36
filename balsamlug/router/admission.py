"""Refusal of work that would miss its first-token deadline."""

from balsamlug import clock as clocks
from balsamlug import exceptions

# The estimate of the wait is refused against this part of the time left, so
# that ordinary estimation errors do not make admitted work late.
WAIT_SHARE = 0.8
MIN_RETRY_MS = 100
MAX_RETRY_MS = 30_000
READY_RETRY_MS = 1000


def wait_s(cost_ahead: float, service_rate: float) -> float:
    """Return the time until work starts behind a cost, in seconds."""
    return cost_ahead / service_rate if cost_ahead else 0.0


def check_deadline(
    left_s: float, wait: float, first_token_s: float, load_s: float
) -> None:
    """Refuse work that would be late.

    Args:
      left_s: time to the deadline.
      wait: estimated time in the queue.
      first_token_s: estimated time from the start to the first token.
      load_s: time in which the present queue is worked off.

    Raises:
      exceptions.DeadlineUnreachable: the first token would be late.
    """
    if wait <= WAIT_SHARE * (left_s - first_token_s):
        return
    raise deadline_refusal(max(wait - left_s, load_s / 2))


def deadline_refusal(retry_s: float) -> exceptions.DeadlineUnreachable:
    """Return the refusal with a retry hint."""
    retry_ms = int(retry_s * clocks.MS_PER_S)
    return exceptions.DeadlineUnreachable(
        "the first token would arrive after the deadline",
        retry_after_ms=min(max(retry_ms, MIN_RETRY_MS), MAX_RETRY_MS),
    )


def check_queue(count: int, limit: int, load_s: float) -> None:
    """Refuse work of a customer whose queue is full.

    Raises:
      exceptions.QueueFull: the customer has `limit` requests waiting.
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
        retry_after_ms=READY_RETRY_MS,
    )
