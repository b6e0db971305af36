"""Guards the quarantine against attempts that prove nothing."""

import asyncio

from balsamlug import clock as clocks
from balsamlug import quarantine
from balsamlug import state
from balsamlug.gateway import evidence

PART = "part:a"


async def _not_crashed() -> bool:
    return False


def _started() -> tuple[evidence.Evidence, quarantine.Quarantine]:
    """Return the evidence of an attempt after a crash with its part."""
    clock = clocks.ManualClock()
    table = quarantine.Quarantine(state.FleetState("s"), clock)
    table.record_crash([PART], "g", 1)
    clock.advance(1.0)
    attempt = evidence.Evidence((PART,), table, clock, set())
    attempt.start("g", 2, _not_crashed)
    return attempt, table


def test_stream_without_an_event_clears_no_crash():
    async def main() -> int:
        attempt, table = _started()
        attempt.record_proof()
        return table.crashes(PART)

    assert asyncio.run(main()) == 1


def test_answered_call_clears_its_crashes():
    async def main() -> int:
        attempt, table = _started()
        attempt.record_answer()
        return table.crashes(PART)

    assert asyncio.run(main()) == 0
