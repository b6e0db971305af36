"""Guards nodes against lists that lag behind after a connection went silent.

Open connections to the store go silent for good, while new ones work. A node
counts as undisturbed `StableWindowMs` later.
"""

import asyncio

import pytest

from balsamlug.entry import control
from balsamlug_standins import object_api
from tests.controller import leaving


def _leave_after_silences(calm_s, pauses_s, leave, limit_s) -> None:
    """Let a server leave after silences, and check that it is known in time.

    Args:
      calm_s: from the start of a watch of the list to the first silence.
      pauses_s: after each silence.
    """

    async def main():
        api = object_api.ObjectApi()
        leaving.write_servers(api)
        async with leaving.watching_node(api) as state:
            await leaving.seconds_until(lambda: leaving.is_complete(state), 5.0)
            await asyncio.sleep(control.LIST_INTERVAL_S + calm_s)
            for pause_s in pauses_s:
                api.silence()
                await asyncio.sleep(pause_s)
            leave(api)
            await leaving.seconds_until(
                lambda: leaving.has_left(state), limit_s - leaving.SPREAD_S
            )

    asyncio.run(main())


@pytest.mark.parametrize("calm_s", [0.1, 0.9, 1.7])
def test_entry_removed_after_its_watch_went_silent_is_not_retained(calm_s):
    _leave_after_silences(
        calm_s, [leaving.STABLE_S], leaving.remove, leaving.DRAIN_S
    )


@pytest.mark.parametrize("calm_s", [0.1, 1.3])
@pytest.mark.parametrize("pause_s", [leaving.STABLE_S, 0.7])
def test_server_that_drains_after_its_watch_went_silent_is_known_in_time(
    calm_s, pause_s
):
    limit_s = leaving.STABLE_S - pause_s + leaving.DRAIN_S
    _leave_after_silences(calm_s, [pause_s], leaving.drain, limit_s)


def test_server_that_drains_after_a_second_silence_is_known_in_time():
    _leave_after_silences(
        0.1, [2.9, leaving.STABLE_S], leaving.drain, leaving.DRAIN_S
    )


def test_domain_object_written_after_its_watch_went_silent_is_known_in_time():
    async def main():
        api = object_api.ObjectApi()
        leaving.write_servers(api)
        async with leaving.watching_node(api) as state:
            await leaving.seconds_until(lambda: leaving.is_complete(state), 5.0)
            await asyncio.sleep(control.DOMAIN_INTERVAL_S + 0.1)
            api.silence()
            api.write("domain", "d-0", {"n": 2})
            await leaving.seconds_until(
                lambda: state.domains["d-0"].value == {"n": 2},
                leaving.STABLE_S + leaving.DRAIN_S - leaving.SPREAD_S,
            )

    asyncio.run(main())
