"""Periodic check of running attempts and callers.

It ends attempts whose upstream is unresponsive or lost, and requests whose
caller reads too slowly.
"""

import asyncio

from balsamlug import exceptions
from balsamlug.router import attempt as attempts
from balsamlug.router import relay
from balsamlug.router import runtime as runtimes

PERIOD_S = 0.1
# A caller whose buffer is full for this long is treated as too slow.
SLOW_CALLER_S = 2.0
# Parts of the reason of a draining group. It completes its running requests, so
# only an idle stream ends an attempt there.
DRAINING_REASONS = ("drain", "leaving")


async def run(runtime: runtimes.Runtime) -> None:
    """Run the check periodically until cancelled."""
    while True:
        await asyncio.sleep(PERIOD_S)
        sweep(runtime)


def sweep(runtime: runtimes.Runtime) -> None:
    """Check every attempt and every caller once."""
    now_s = runtime.clock.monotonic()
    for attempt in list(runtime.attempts.values()):
        _check_attempt(attempt, runtime, now_s)
    for generation in list(runtime.generations.values()):
        _check_caller(generation, now_s)


def _check_attempt(
    attempt: attempts.Attempt, runtime: runtimes.Runtime, now_s: float
) -> None:
    idle_s = now_s - attempt.last_data_s
    if attempt.paused or idle_s < attempts.LOST_GROUP_IDLE_S:
        return
    if _is_lost(attempt, runtime, now_s):
        attempt.abort(attempts.Outcome.GROUP_LOST)
    elif idle_s > attempt.idle_timeout_s():
        attempt.abort(attempts.Outcome.SILENT)


def _is_lost(
    attempt: attempts.Attempt, runtime: runtimes.Runtime, now_s: float
) -> bool:
    status = runtime.fleet.group_status(attempt.start.group_id, now_s)
    if not status.deployment:
        # Without an observation nothing is known about the group: the
        # controller may be down.
        return False
    if status.generation > attempt.start.generation:
        return True
    draining = any(text in status.reason for text in DRAINING_REASONS)
    return not status.ready and not draining


def _check_caller(generation: relay.Generation, now_s: float) -> None:
    blocked_since_s = generation.delivery.blocked_since_s
    if blocked_since_s is None or now_s - blocked_since_s < SLOW_CALLER_S:
        return
    refusal = exceptions.SlowCaller("the stream was not read fast enough")
    generation.stop(refusal, attempts.Outcome.SLOW_CALLER)
    generation.delivery.close()
