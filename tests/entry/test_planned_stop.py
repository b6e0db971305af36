"""Plays planned stops of a node whose callers keep their connections.

A request that was sent later than 3 s after the signal may not be cut, whatever
its upstream does ("LOST" in the rules of the platform).
"""

import asyncio
import contextlib
import time

import attrs
import pytest

from balsamlug_standins import members
from balsamlug_standins import plain_servers
from balsamlug_standins import site
from tests.entry import fleet as fleets
from tests.entry import kept_callers

SERVICE = "calc"
GRACE_S = 6
# The last second of the grace period is kept for the end of the process.
WORK_S = GRACE_S - 1.0
DEADLINE_MS = 9000
# Seconds that the calls of a route take. Their deadlines alone never fit.
CALL_S = {"quick": 0.2, "half": 2.0, "long": 3.5, "longest": 4.5}
KINDS = ("safe", "unsafe")
# Targets of streams, with their numbers of events.
STREAMS = {"/chat/short/": 10, "/chat/long/": 175}
WARM_CALLS = 6
SLOTS = 64
SEND_INTERVAL_S = 0.25
# Bound of the distance between the end of work that is refused and `WORK_S`.
SLACK_S = 0.6
AT_ONCE_S = 0.4
# Until this time after the signal, estimates decide with the deadlines.
ESTIMATES_S = 2.25
UNEXCUSED_S = 3.0
SILENCES_S = (1.0, 1.4)
# Time of a request that ends by its deadline before the process does.
SHORT_DEADLINE_MS = 1200


def _targets() -> dict[str, float]:
    calls = {f"/{kind}-{n}/": s for kind in KINDS for n, s in CALL_S.items()}
    streams = {t: n * members.EVENT_INTERVAL_S for t, n in STREAMS.items()}
    return calls | streams


def _route(kind: str, name: str) -> dict:
    return {
        "Name": f"{kind}-{name}",
        "Hostname": site.HOST,
        "PathPrefix": f"/{kind}-{name}/",
        "RouteType": kind,
        "TimeoutMs": DEADLINE_MS,
        "TargetLatencyMs": DEADLINE_MS,
        "Service": SERVICE,
        "MaxAttempts": 2,
    }


@attrs.define
class _Site:
    """A fleet with a plain service that takes its time."""

    fleet: fleets.Fleet
    server: plain_servers.PlainServer
    sent: int = 0
    results: list[kept_callers.Result] = attrs.field(factory=list)

    @property
    def stopped(self):
        return self.fleet.nodes[0]

    def caller(self) -> kept_callers.KeptCaller:
        port = self.stopped.peers.settings.caller_port
        return kept_callers.KeptCaller(port)

    async def send(
        self,
        caller: kept_callers.KeptCaller,
        target: str,
        deadline_ms: int = DEADLINE_MS,
    ) -> kept_callers.Result:
        self.sent += 1
        tokens = f"100,{STREAMS[target] * 2}" if target in STREAMS else ""
        result = await caller.send(f"r{self.sent}", target, deadline_ms, tokens)
        self.results.append(result)
        return result

    def arrived(self, request_id: str) -> bool:
        servers = self.fleet.servers.values()
        return request_id in self.server.attempts or any(
            request_id in dict(map(reversed, s.arrivals)) for s in servers
        )


@contextlib.asynccontextmanager
async def _site(grace_s: int = GRACE_S, timeout_ms: int = DEADLINE_MS):
    async with fleets.running(3, 2, configured=False, grace_s=grace_s) as fleet:
        routes = [_route(kind, name) for kind in KINDS for name in CALL_S]
        routes += [
            site.STREAM
            | {"Name": target, "PathPrefix": target, "TimeoutMs": timeout_ms}
            for target in STREAMS
        ]
        engines = site.model_service(SLOTS)
        # The servers send an event of two tokens in each interval.
        engines["Engine"]["step_ms"] = members.EVENT_INTERVAL_S * 1000 / 2
        services = [engines, {"Name": SERVICE}]
        spec = site.configuration(1, routes, services, [fleets.KEY])
        fleet.api.write("config", "main", spec)
        server = plain_servers.PlainServer(
            "c-0", fleet.api, SERVICE, slots=SLOTS
        )
        server.delays = _targets()
        await server.listen()
        for member in fleet.servers.values():
            member.event_counts = STREAMS
        await fleet.ready()
        await fleet.until(
            lambda: all("c-0" in n.state.instances for n in fleet.nodes)
        )
        try:
            yield _Site(fleet, server)
        finally:
            server.stop()


async def _call_later(
    played: _Site, caller: kept_callers.KeptCaller, target: str, delay_s: float
) -> None:
    await asyncio.sleep(delay_s)
    await played.send(caller, target)


async def _play_stop(played: _Site) -> tuple[float, dict[str, float]]:
    """Stop a node while callers send.

    Returns:
      how long the stop took, and requests with each target before it.
    """
    times = [n * SEND_INTERVAL_S for n in range(int(GRACE_S / SEND_INTERVAL_S))]
    callers = {
        (target, at_s): played.caller()
        for target in _targets()
        for at_s in times
    }
    async with asyncio.TaskGroup() as group:
        for (target, at_s), caller in callers.items():
            if at_s < WARM_CALLS * SEND_INTERVAL_S:
                group.create_task(played.send(caller, target))
            else:
                group.create_task(caller.connect())
    assert {r.status for r in played.results} == {200}
    work_s = {r.target: r.took_s for r in played.results}
    played.results.clear()
    started_s = time.monotonic()
    sends = [
        asyncio.create_task(_call_later(played, caller, target, at_s))
        for (target, at_s), caller in callers.items()
    ]
    await played.stopped.stop()
    took_s = time.monotonic() - started_s
    await asyncio.gather(*sends)
    for caller in callers.values():
        caller.close()
    for result in played.results:
        result.sent_s -= started_s
    return took_s, work_s


def _shown(results: list[kept_callers.Result]) -> list[tuple]:
    return [
        (
            r.target,
            round(r.sent_s, 2),
            r.status,
            round(r.took_s, 2),
            len(r.body),
        )
        for r in results
    ]


def test_stopping_node_cuts_nothing_and_refuses_only_what_does_not_fit():
    async def main():
        async with _site() as played:
            took_s, work_s = await _play_stop(played)
            assert took_s < GRACE_S
            results = played.results
            refused = [r for r in results if r.status == 503]
            unread = [
                r
                for r in results
                if not r.status and not played.arrived(r.request_id)
            ]
            served = [r for r in results if r.status == 200 and r.is_complete]
            others = [r for r in results if r not in refused + unread + served]
            assert not _shown(others)
            fitting = [
                r
                for r in refused + unread
                if r.sent_s + work_s[r.target] < WORK_S - SLACK_S
                and r.sent_s < ESTIMATES_S
            ]
            assert not _shown(fitting)
            unbounded = [r for r in served if r.sent_s > UNEXCUSED_S]
            assert not _shown(unbounded)
            assert not [r for r in refused if played.arrived(r.request_id)]
            assert not _shown([r for r in refused if r.took_s > AT_ONCE_S])
            assert not [r for r in refused if r.retry_after_s < 0]
            assert {r.headers.get("connection") for r in refused} == {"close"}

    asyncio.run(main())


async def _silence_upstreams(
    played: _Site, at_s: float, silent_s: float
) -> None:
    await asyncio.sleep(at_s)
    for head in played.fleet.open_heads():
        head.become_unresponsive()
    usual_s = played.server.delays
    played.server.delays = {t: s + silent_s for t, s in usual_s.items()}
    await asyncio.sleep(silent_s)
    for server in played.fleet.servers.values():
        server.unresponsive = False
    played.server.delays = usual_s


@pytest.mark.parametrize("silent_s", SILENCES_S)
@pytest.mark.parametrize("at_s", [2.7, 3.7, 4.2])
def test_late_request_is_not_cut_when_its_upstream_is_silent(at_s, silent_s):
    targets = ("/chat/short/", "/safe-quick/", "/unsafe-quick/")

    async def main():
        async with _site() as played:
            for target in targets:
                for _ in range(WARM_CALLS):
                    await played.send(played.caller(), target)
            played.results.clear()
            times = [n * SEND_INTERVAL_S for n in range(20)]
            callers = [(t, s, played.caller()) for t in targets for s in times]
            for _, _, caller in callers:
                await caller.connect()
            started_s = time.monotonic()
            sends = [
                asyncio.create_task(_call_later(played, caller, target, s))
                for target, s, caller in callers
            ]
            silence = asyncio.create_task(
                _silence_upstreams(played, at_s, silent_s)
            )
            await played.stopped.stop()
            await asyncio.gather(silence, *sends)
            for result in played.results:
                result.sent_s -= started_s
            late = [r for r in played.results if r.sent_s > UNEXCUSED_S]
            cut = [
                r
                for r in late
                if played.arrived(r.request_id)
                and not (r.status == 200 and r.is_complete)
            ]
            assert not _shown(cut)
            slow = [r for r in late if r.status == 503 and r.took_s > AT_ONCE_S]
            assert not _shown(slow)

    asyncio.run(main())


def test_late_request_whose_deadline_fits_is_taken():
    async def main():
        async with _site() as played:
            for _ in range(WARM_CALLS):
                await played.send(played.caller(), "/safe-quick/")
            callers = [played.caller() for _ in range(2)]
            for caller in callers:
                await caller.connect()
            # Keeps the node from exiting as soon as nothing runs.
            long_call = asyncio.create_task(
                played.send(played.caller(), "/safe-longest/")
            )
            await asyncio.sleep(0.1)
            stop = asyncio.create_task(played.stopped.stop())
            await asyncio.sleep(UNEXCUSED_S + 0.2)
            short = await played.send(
                callers[0], "/safe-quick/", SHORT_DEADLINE_MS
            )
            long = await played.send(callers[1], "/safe-quick/")
            await stop
            assert (short.status, short.is_complete) == (200, True)
            assert (long.status, long.is_complete) == (503, True)
            assert long.took_s < AT_ONCE_S
            assert (await long_call).status == 200

    asyncio.run(main())
