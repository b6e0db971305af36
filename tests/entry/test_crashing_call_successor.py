"""Guards against crashes that are not counted since a successor answers."""

import asyncio
import contextlib
import functools
import time

import attrs
import pytest

from balsamlug_standins import plain_servers
from balsamlug_standins import site
from tests.entry import fleet as fleets

INSTANCES = 3
CRASHING, SOUND = "/calc/crash", "/calc/sound"
SEND_INTERVAL_S = 0.1
PLAYED_S = 13.0
# The platform's StableWindowMs, in s, and the late arrivals that it allows.
STABLE_WINDOW_S = 3.0
ALLOWED_CRASHES = 3
ALLOWED_LATE_ARRIVALS = 3
# Share of the sound calls that are served, from the time on at which the
# crashing one must be refused.
SERVED_SHARE = 0.9
ROUTE = {
    "Name": "calc",
    "Hostname": site.HOST,
    "PathPrefix": "/calc/",
    "RouteType": "safe",
    "TimeoutMs": 1500,
    "TargetLatencyMs": 200,
    "Service": "calc",
    "MaxAttempts": 2,
}


@attrs.define
class _Site:
    """A fleet with a plain service, and the answers to sound calls."""

    fleet: fleets.Fleet
    servers: list[plain_servers.PlainServer]
    # Time and status of each sound call.
    sound: list[tuple[float, int]] = attrs.field(factory=list)
    _sent: int = 0

    def send(self, target: str) -> None:
        self._sent += 1
        coro = self._send(target, self._sent)
        task = asyncio.create_task(coro)
        self.fleet.nodes[0].gateway.ctx.background.add(task)

    async def _send(self, target: str, number: int) -> None:
        node = self.fleet.nodes[number % len(self.fleet.nodes)]
        sent_s = time.monotonic()
        resp = await self.fleet.http.fetch(
            f"http://127.0.0.1:{node.peers.settings.caller_port}{target}",
            headers={
                "Host": site.HOST,
                "X-Attempt-Id": f"r{number}",
                "X-Deadline-Ms": "1500",
                "Api-Key": fleets.KEY,
            },
            raise_error=False,
        )
        if target == SOUND:
            self.sound.append((sent_s, resp.code))

    def crashes(self) -> list[float]:
        return sorted(t for s in self.servers for t in s.crashes)

    def late_arrivals(self, since_s: float) -> int:
        return sum(
            target == CRASHING and time_s > since_s
            for server in self.servers
            for time_s, target in server.arrivals
        )

    def served_share(self, since_s: float) -> float:
        codes = [code for sent_s, code in self.sound if sent_s > since_s]
        return codes.count(200) / len(codes)


@contextlib.asynccontextmanager
async def _running(**behaviour):
    async with fleets.running(engines=3, configured=False) as fleet:
        services = [site.model_service(fleets.SLOTS), {"Name": "calc"}]
        spec = site.configuration(
            1, [site.STREAM, ROUTE], services, [fleets.KEY]
        )
        fleet.api.write("config", "main", spec)
        servers = [
            plain_servers.PlainServer(
                f"c-{n}",
                fleet.api,
                "calc",
                crashing_target=CRASHING,
                **behaviour,
            )
            for n in range(INSTANCES)
        ]
        for server in servers:
            await server.listen()
        await fleet.until(functools.partial(_is_listed, fleet))
        try:
            yield _Site(fleet, servers)
        finally:
            for server in servers:
                server.stop()


def _is_listed(fleet: fleets.Fleet) -> bool:
    return all(
        sum(i.service == "calc" for i in node.state.instances.values())
        == INSTANCES
        for node in fleet.nodes
    )


@pytest.mark.parametrize(
    ("down_s", "renamed", "dark"),
    [
        (0.02, True, False),
        (0.02, False, False),
        (0.3, True, False),
        (1.2, True, False),
        (0.3, False, True),
        (2.0, True, True),
    ],
)
def test_call_whose_crashed_instances_have_successors_is_refused(
    down_s, renamed, dark
):
    async def scenario() -> None:
        async with _running(down_s=down_s, renamed=renamed, dark=dark) as calls:
            for _ in range(int(PLAYED_S / SEND_INTERVAL_S)):
                calls.send(CRASHING)
                calls.send(SOUND)
                await asyncio.sleep(SEND_INTERVAL_S)
            crashes = calls.crashes()
            assert len(crashes) >= ALLOWED_CRASHES
            since_s = crashes[ALLOWED_CRASHES - 1] + STABLE_WINDOW_S
            late = calls.late_arrivals(since_s)
            served = calls.served_share(since_s)
            seen = f"{len(crashes)} crashes, {late} late, {served:.2f} served"
            assert late <= ALLOWED_LATE_ARRIVALS, seen
            assert served >= SERVED_SHARE, seen

    asyncio.run(scenario())
