"""Guards answers and groups of sound servers that are silent for a while."""

import asyncio
import time

import attrs
import pytest

from balsamlug.health import listed
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
LONG_EVENTS = 150
# A spare joins later than a caller waits for the next event.
WARM_S = 1.1


class _MutedMember(members.Member):
    """Member whose streams pause on demand while its reports are answered."""

    muted = False

    def is_complete(self) -> bool:
        return not self.muted and super().is_complete()


def _create_slow_member(*args, **options) -> members.Member:
    """Return a spare that replaces a member too late for its streams."""
    return members.Member(*args, warm_s=WARM_S, **options)


async def _configure_slow_joins(fleet) -> None:
    spec = fleets.configuration(2, **RESUMABLE)
    (model,) = spec["Services"][0]["Engine"]["Models"]
    model["WarmS"] = WARM_S
    fleet.api.write("config", "main", spec)
    await fleet.until(
        lambda: all(n.state.catalogue.revision == 2 for n in fleet.nodes)
    )
    await _spares_are_staged(fleet)


def _run(scenario, **sizes) -> None:
    async def main() -> None:
        async with fleets.running(**sizes) as fleet:
            await fleet.ready()
            await scenario(fleet)

    asyncio.run(main())


async def _replace_model(fleet, after_s: float, **changes: object) -> None:
    """Change the only configured model."""
    await asyncio.sleep(after_s)
    spec = fleets.configuration(2, **RESUMABLE)
    (model,) = spec["Services"][0]["Engine"]["Models"]
    model |= changes
    fleet.api.write("config", "main", spec)


def _holds_lease(fleet) -> bool:
    now_s = time.monotonic()
    return any(node.manager.held_domains(now_s) for node in fleet.nodes)


def _forbid_retries(fleet) -> None:
    for node in fleet.nodes:
        node.settings = attrs.evolve(node.settings, retry_allowance=0.0)
        node.budgets.share = node.budgets.base_retries = 0.0
        node.budgets.refresh()


async def _silence(servers: list[members.Member], for_s: float) -> None:
    """Let servers answer nothing for a while, with all that they run."""
    for server in servers:
        server.become_unresponsive()
    await asyncio.sleep(for_s)
    for server in servers:
        server.unresponsive = False


def _runs(fleet) -> list[str]:
    return [a for s in fleet.servers.values() for a in s.started_attempts]


async def _spares_are_staged(fleet) -> None:
    """Wait until a lost member could be replaced at once."""
    spares = [s for s in fleet.servers.values() if not s.group]
    await fleet.until(lambda: all(s.staged for s in spares))


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
        await _spares_are_staged(fleet)
        task = await _start_stream(fleet, 3)
        head = next(s for s in fleet.servers.values() if s.started_attempts)
        silent = fleet.servers[head.members[rank]]
        await _silence([silent], silent_s)
        resp = await task
        assert (resp.code, resp.body.decode()) == (200, EVENTS)
        assert _runs(fleet) == ["s"]

    _run(scenario, engines=engines, route=route)


@pytest.mark.parametrize("silent_s", [0.7, 1.0, 1.3])
@pytest.mark.parametrize("rank", [0, 1])
def test_resumable_stream_is_not_cut_for_a_spare_that_joins_too_late(
    rank, silent_s
):
    async def scenario(fleet):
        await _configure_slow_joins(fleet)
        task = await _start_stream(fleet, 3)
        head = next(s for s in fleet.servers.values() if s.started_attempts)
        await _silence([fleet.servers[head.members[rank]]], silent_s)
        resp = await task
        assert (resp.code, resp.body.decode()) == (200, EVENTS)
        assert _runs(fleet) == ["s"]

    _run(
        scenario,
        engines=GROUP + 1,
        route=RESUMABLE,
        create_member=_create_slow_member,
    )


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


@pytest.mark.parametrize("silent_s", [1.1, 1.3])
@pytest.mark.parametrize("configured_after_s", [0.0, 0.95])
@pytest.mark.parametrize("changes", [{"Name": "other"}, {"size": 2 * GROUP}])
def test_stream_of_a_group_that_a_configuration_retires_outlasts_a_silence(
    changes, configured_after_s, silent_s
):
    async def scenario(fleet):
        task = await _start_stream(fleet, 3)
        head = next(s for s in fleet.servers.values() if s.started_attempts)
        change = asyncio.create_task(
            _replace_model(fleet, configured_after_s, **changes)
        )
        await _silence([head], silent_s)
        resp = await task
        await change
        assert (resp.code, resp.body.decode()) == (200, EVENTS)
        assert _runs(fleet) == ["s"]

    _run(scenario, engines=GROUP, route=RESUMABLE)


@pytest.mark.parametrize("silent_s", [0.8, 0.9])
def test_stream_is_not_cut_for_a_silence_from_before_the_lease_was_held_again(
    silent_s,
):
    async def scenario(fleet):
        await _spares_are_staged(fleet)
        for server in fleet.servers.values():
            server.event_counts = {"/chat/1": LONG_EVENTS}
        fleet.api.down = True
        fleet.api.table.changed.notify()
        await fleet.until(lambda: not _holds_lease(fleet))
        task = await _start_stream(fleet, 3)
        head = next(s for s in fleet.servers.values() if s.started_attempts)
        await _silence([head], silent_s)
        await asyncio.sleep(listed.SILENCE_TOLERANCE_S)
        fleet.api.down = False
        resp = await task
        assert resp.body.decode().count("data:") == LONG_EVENTS
        assert _holds_lease(fleet)
        assert _runs(fleet) == ["s"]

    _run(scenario, engines=GROUP + 1, route=UNREPEATABLE)


@pytest.mark.parametrize("pause_s", [0.3, 0.5])
def test_stream_is_not_cut_for_two_silences_with_events_between_them(pause_s):
    async def scenario(fleet):
        await _spares_are_staged(fleet)
        for server in fleet.servers.values():
            server.event_counts = {"/chat/1": 100}
        fleet.api.down = True
        fleet.api.table.changed.notify()
        await fleet.until(lambda: not _holds_lease(fleet))
        task = await _start_stream(fleet, 3)
        head = next(s for s in fleet.servers.values() if s.started_attempts)
        await _silence([head], 0.9)
        await asyncio.sleep(pause_s)
        second = asyncio.create_task(_silence([head], 1.2))
        await asyncio.sleep(0.2)
        fleet.api.down = False
        await second
        (resp,) = await asyncio.gather(task, return_exceptions=True)
        assert not isinstance(resp, Exception), resp
        assert resp.body.decode().count("data:") == 100
        assert _runs(fleet) == ["s"]

    _run(scenario, engines=GROUP + 1, route=UNREPEATABLE)


@pytest.mark.parametrize("silent_s", [1.0, 1.3])
@pytest.mark.parametrize("spent_first", [True, False])
def test_stream_outlasts_a_silence_when_the_retry_budget_is_spent(
    spent_first, silent_s
):
    async def scenario(fleet):
        await _spares_are_staged(fleet)
        if spent_first:
            _forbid_retries(fleet)
        task = await _start_stream(fleet, 3)
        _forbid_retries(fleet)
        head = next(s for s in fleet.servers.values() if s.started_attempts)
        await _silence([head], silent_s)
        resp = await task
        assert (resp.code, resp.body.decode()) == (200, EVENTS)
        assert _runs(fleet) == ["s"]

    _run(scenario, engines=GROUP + 1, route=RESUMABLE)


@pytest.mark.parametrize("silent_s", [1.0, 1.3])
@pytest.mark.parametrize("later_s", [0.1, 0.25])
def test_streams_do_not_leave_a_silent_head_for_another_silent_one(
    later_s, silent_s
):
    async def scenario(fleet):
        await fleet.until(lambda: len(fleet.open_heads()) == 2)
        await _configure_slow_joins(fleet)
        tasks = [
            asyncio.create_task(fleet.send_request(n % 2, f"s{n}"))
            for n in range(2 * fleets.SLOTS)
        ]
        await fleet.until(lambda: len(_runs(fleet)) == len(tasks))
        await asyncio.sleep(3 * members.EVENT_INTERVAL_S)
        first, second = fleet.open_heads()
        silence = asyncio.create_task(_silence([first], silent_s))
        await asyncio.sleep(later_s)
        arrived = len(second.arrivals)
        await _silence([second], silent_s)
        assert len(second.arrivals) == arrived
        await silence
        answers = await asyncio.gather(*tasks)
        assert {a.body.decode() for a in answers} == {EVENTS}

    _run(
        scenario,
        engines=2 * GROUP,
        route=RESUMABLE,
        create_member=_create_slow_member,
    )


def _group_keys(fleet) -> set[tuple[str, int]]:
    return {
        (name, epoch)
        for server in fleet.servers.values()
        for name, epoch, _ in server.history
    }


# After 1.45 s the last probe has just failed, and the stream ends before the
# next one is sent.
@pytest.mark.parametrize("silent_s", [*SILENCES_S, 1.45])
@pytest.mark.parametrize("rank", [0, 1])
def test_group_with_a_briefly_silent_member_is_not_formed_again(rank, silent_s):
    async def scenario(fleet):
        await _spares_are_staged(fleet)
        before = _group_keys(fleet)
        task = await _start_stream(fleet, 3)
        head = next(s for s in fleet.servers.values() if s.started_attempts)
        await _silence([fleet.servers[head.members[rank]]], silent_s)
        resp = await task
        assert (resp.code, resp.body.decode()) == (200, EVENTS)
        await asyncio.sleep(1.0)
        assert _group_keys(fleet) == before

    _run(scenario, engines=GROUP + 2, route=UNREPEATABLE)


@pytest.mark.parametrize("route", [UNREPEATABLE, RESUMABLE])
def test_stream_that_pauses_while_its_server_reports_is_not_ended(route):
    async def scenario(fleet):
        await fleet.until(lambda: len(fleet.open_heads()) == 2)
        before = _group_keys(fleet)
        task = await _start_stream(fleet, 3)
        head = next(s for s in fleet.servers.values() if s.started_attempts)
        head.muted = True
        await asyncio.sleep(1.2)
        head.muted = False
        resp = await task
        assert (resp.code, resp.body.decode()) == (200, EVENTS)
        assert _runs(fleet) == ["s"]
        assert _group_keys(fleet) == before

    _run(scenario, engines=2 * GROUP, route=route, create_member=_MutedMember)


@pytest.mark.parametrize("silent_s", [1.0, 1.3])
@pytest.mark.parametrize("nodes", [1, 2])
def test_streams_that_no_other_group_has_room_for_outlast_a_silence(
    nodes, silent_s
):
    async def scenario(fleet):
        await fleet.until(lambda: len(fleet.open_heads()) == 2)
        await _configure_slow_joins(fleet)
        tasks = [
            asyncio.create_task(fleet.send_request(n % nodes, f"s{n}"))
            for n in range(2 * fleets.SLOTS)
        ]
        await fleet.until(lambda: len(_runs(fleet)) == len(tasks))
        await asyncio.sleep(3 * members.EVENT_INTERVAL_S)
        await _silence([fleet.open_heads()[0]], silent_s)
        answers = [await task for task in tasks]
        assert [a.code for a in answers] == [200] * len(tasks)
        assert {a.body.decode() for a in answers} == {EVENTS}

    _run(
        scenario,
        engines=2 * GROUP + 1,
        nodes=nodes,
        route=RESUMABLE,
        create_member=_create_slow_member,
    )


def test_group_of_a_dead_head_is_formed_again_when_its_streams_moved_on():
    async def scenario(fleet):
        await fleet.until(lambda: len(fleet.open_heads()) == 2)
        await _spares_are_staged(fleet)
        task = await _start_stream(fleet, 3)
        head = next(s for s in fleet.servers.values() if s.started_attempts)
        before = _group_keys(fleet)
        head.become_unresponsive()
        resp = await task
        assert (resp.code, resp.body.decode()) == (200, EVENTS)
        await asyncio.sleep(members.LISTING_TIMEOUT_S / 3)
        assert _group_keys(fleet) > before

    _run(scenario, engines=2 * GROUP + 1, route=RESUMABLE)
