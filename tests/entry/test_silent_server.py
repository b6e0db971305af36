"""Guards answers and groups of sound servers that are silent for a while."""

import asyncio

import pytest

from balsamlug_standins import members
from tests.entry import fleet as fleets

EVENTS = "".join(
    f"id: {n}\ndata: token{n}\n\n" for n in range(1, members.EVENTS + 1)
)
GROUP = 3
SILENCES_S = [0.7, 1.2, 1.6]
UNREPEATABLE = {"StreamResume": False, "MaxAttempts": 1}
LAST_ATTEMPT = {"StreamResume": True, "MaxAttempts": 1}
RESUMABLE = {"StreamResume": True, "MaxAttempts": 2}


def _run(scenario, **sizes) -> None:
    async def main() -> None:
        async with fleets.running(**sizes) as fleet:
            await fleet.ready()
            await scenario(fleet)

    asyncio.run(main())


async def _silence(servers: list[members.Member], for_s: float) -> None:
    """Let servers answer nothing for a while, with all that they run."""
    for server in servers:
        server.become_unresponsive()
    await asyncio.sleep(for_s)
    for server in servers:
        server.unresponsive = False


def _runs(fleet) -> list[str]:
    return [a for s in fleet.servers.values() for a in s.started_attempts]


async def _start_stream(fleet, events: int) -> asyncio.Task:
    """Start a stream and wait until it has had some events."""
    task = asyncio.create_task(fleet.send_request(0, "s"))
    await fleet.until(lambda: _runs(fleet))
    await asyncio.sleep(members.EVENT_INTERVAL_S * events)
    return task


@pytest.mark.parametrize("silent_s", SILENCES_S)
@pytest.mark.parametrize("rank", [0, 1])
@pytest.mark.parametrize(
    ("route", "engines"),
    [
        (UNREPEATABLE, GROUP),
        (UNREPEATABLE, 2 * GROUP),
        (LAST_ATTEMPT, 2 * GROUP),
        (RESUMABLE, GROUP),
    ],
)
def test_stream_that_cannot_go_on_elsewhere_outlasts_a_silence(
    route, engines, rank, silent_s
):
    async def scenario(fleet):
        await fleet.until(lambda: len(fleet.open_heads()) == engines // GROUP)
        task = await _start_stream(fleet, 3)
        head = next(s for s in fleet.servers.values() if s.started_attempts)
        silent = fleet.servers[head.members[rank]]
        await _silence([silent], silent_s)
        resp = await task
        assert (resp.code, resp.body.decode()) == (200, EVENTS)
        assert _runs(fleet) == ["s"]

    _run(scenario, engines=engines, route=route)


@pytest.mark.parametrize("events", [0, 3, members.EVENTS])
@pytest.mark.parametrize("route", [UNREPEATABLE, RESUMABLE])
def test_stream_is_completed_when_all_servers_are_silent_at_once(route, events):
    async def scenario(fleet):
        task = await _start_stream(fleet, events)
        await _silence([*fleet.servers.values()], 1.2)
        resp = await task
        assert (resp.code, resp.body.decode()) == (200, EVENTS)
        assert len(_runs(fleet)) <= route["MaxAttempts"]

    _run(scenario, engines=2 * GROUP, route=route)
