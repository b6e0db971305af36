"""Guards the quarantine against attempts that prove nothing."""

import asyncio

from balsamlug import clock as clocks
from balsamlug import quarantine
from balsamlug import state
from balsamlug.gateway import evidence

PART = "part:a"
CLOCK = clocks.SystemClock()


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


def _checked(check_s: float) -> int:
    """Return what counts as crashes while a broken attempt is checked."""

    async def main() -> int:
        async def check() -> bool:
            await asyncio.sleep(check_s)
            return False

        table = quarantine.Quarantine(state.FleetState("s"), CLOCK)
        background: set[asyncio.Task] = set()
        attempt = evidence.Evidence(("fp",), table, CLOCK, background)
        attempt.start("g", 1, check)
        attempt.record_break()
        await asyncio.sleep(evidence.CHECK_ANNOUNCED_S + 0.1)
        counted = table.crashes("fp")
        await asyncio.gather(*background)
        assert table.crashes("fp") == 0
        return counted

    return asyncio.run(main())


def test_check_that_takes_long_counts_as_a_crash_on_all_nodes():
    assert _checked(evidence.CHECK_ANNOUNCED_S + 0.3) == 1


def test_check_that_ends_soon_is_not_announced():
    assert _checked(0.05) == 0
