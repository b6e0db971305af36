"""Guards against requests that a change of the configuration leaves unanswered.

Callers keep their connections and use each for many requests, while random
configurations are applied between any two steps of their requests.
"""

import asyncio
import logging
import random
import time

import attrs
import eliot
import pytest

from balsamlug.messages import types
from balsamlug.platform import configuration
from balsamlug_standins import plain_servers
from balsamlug_standins import site
from tests.entry import fleet as fleets

CALLERS = 8
PLAY_S = 6.0
ANSWER_TIMEOUT_S = 10.0
# The largest part of the idle limit after which a caller uses a connection.
REUSE_SHARE = 0.8
MAX_PAUSE_S = 0.4
MAX_CHANGE_INTERVAL_S = 0.03
# Within which streams end, also while the loop is busy with changes.
MIN_STREAM_TIMEOUT_MS = 4000
SERVICES = ("calc", "calc-2")
PREFIXES = ("/chat/", "/calc/", "/extra/")


def _route(rng: random.Random, prefix: str, services: list[str]) -> dict:
    route = {
        "Name": prefix.strip("/"),
        "Hostname": site.HOST,
        "PathPrefix": prefix,
        "RouteType": rng.choice(["safe", "unsafe", "streaming"]),
        "TimeoutMs": rng.randint(MIN_STREAM_TIMEOUT_MS, 9000),
        "TargetLatencyMs": rng.choice([5, 50, 400, 4000]),
        "GapTargetMs": rng.choice([50, 250]),
        "Priority": rng.randint(0, 3),
        "MaxAttempts": rng.randint(1, 3),
        "Public": rng.random() < 0.3,
        "StreamResume": rng.random() < 0.5,
    }
    if rng.random() < 0.5:
        parts = rng.sample(services, rng.randint(1, len(services)))
        weights = [rng.choice([0, 0.1, 1, 5]) for _ in parts]
        pairs = zip(parts, weights, strict=True)
        route["TrafficSplit"] = [{"Service": s, "Weight": w} for s, w in pairs]
    else:
        route["Service"] = rng.choice(services)
    return route


def _model_service(rng: random.Random) -> dict:
    service = site.model_service(rng.choice([1, 4, 16]))
    service["Engine"] |= {
        "step_ms": rng.choice([0.5, 5.0, 50.0]),
        "per_seq_ms": rng.choice([0.0, 1.0]),
        "read_per_s": rng.choice([100.0, 50_000.0]),
        "Stride": rng.choice([1, 2, 8]),
        "FormMs": rng.choice([0.0, 1.0]),
    }
    return service


def _configuration(rng: random.Random, version: int) -> dict:
    services = [site.MODEL_SERVICE, *SERVICES]
    prefixes = rng.sample(PREFIXES, rng.randint(1, len(PREFIXES)))
    keys = rng.sample([fleets.KEY, "other"], rng.randint(1, 2))
    spec = site.configuration(
        version,
        [_route(rng, prefix, services) for prefix in prefixes],
        [
            _model_service(rng),
            *({"Name": name} for name in SERVICES if rng.random() < 0.8),
        ],
        keys,
    )
    if rng.random() < 0.2:
        del spec["Tenants"]
    spec["Limits"] = {
        "MaxHeaderBytes": rng.choice([4096, 16_384]),
        "MaxBodyBytes": rng.choice([1024, 4_194_304]),
        "HeaderTimeoutMs": rng.choice([1000, 3000]),
        "IdleTimeoutMs": rng.choice([200, 600, 15_000]),
    }
    return spec


@attrs.define
class Play:
    """One node, its callers and the configurations that it gets.

    Attributes:
      statuses: number of complete answers with each status.
      lost: what happened to each request without a complete answer.
    """

    fleet: fleets.Fleet
    rng: random.Random
    until_s: float
    statuses: dict[int, int] = attrs.field(factory=dict)
    lost: list[str] = attrs.field(factory=list)
    _requests: int = 0

    async def change(self) -> None:
        """Apply one configuration after the other."""
        state = self.fleet.nodes[0].state
        while time.monotonic() < self.until_s:
            version = state.config_revision + self.rng.randint(1, 3)
            spec = _configuration(self.rng, version)
            update = types.ConfigUpdate(version, configuration.value(spec))
            assert state.publish(update, time.monotonic())
            await asyncio.sleep(self.rng.uniform(0, MAX_CHANGE_INTERVAL_S))

    async def call_again_and_again(self) -> None:
        """Send requests, on kept connections where the idle limit allows it."""
        node = self.fleet.nodes[0]
        port = node.peers.settings.caller_port
        writer = None
        while time.monotonic() < self.until_s:
            idle_s = self.rng.uniform(0, MAX_PAUSE_S) * self.rng.randint(0, 1)
            await asyncio.sleep(idle_s)
            limit_s = node.state.catalogue.limits.idle_timeout_ms / 1000
            if writer is None or idle_s > REUSE_SHARE * limit_s:
                if writer is not None:
                    writer.close()
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", port
                )
            is_kept = await self._call(reader, writer)
            if not is_kept:
                writer.close()
                writer = None
        if writer is not None:
            writer.close()

    async def _call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Return whether the connection may be used again."""
        self._requests += 1
        request_id = f"r{self._requests}"
        prefix = self.rng.choice([*PREFIXES, "/none/"])
        request = _request(self.rng, request_id, prefix)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                writer.write(request)
                status, is_kept = await _read_answer(reader)
        except (asyncio.IncompleteReadError, OSError, TimeoutError) as exc:
            self.lost.append(f"{request_id} {prefix}: {exc!r}")
            return False
        self.statuses[status] = self.statuses.get(status, 0) + 1
        return is_kept


def _request(rng: random.Random, request_id: str, prefix: str) -> bytes:
    body = b"b" * rng.choice([0, 4, 900])
    head = (
        f"POST {prefix}{rng.randint(1, 9)} HTTP/1.1\r\nHost: {site.HOST}\r\n"
        f"X-Attempt-Id: {request_id}\r\nX-Deadline-Ms: 9000\r\n"
        f"X-Model: {rng.choice([fleets.MODEL, 'none'])}\r\n"
        "X-Token-Count: 100,20\r\nX-Prefix-Hash: 5c1e07a2:100\r\n"
        f"Api-Key: {rng.choice([fleets.KEY, fleets.KEY, 'other', 'none'])}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Return the status, and whether the connection is kept."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    lines = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
    if "content-length" in lines:
        await reader.readexactly(int(lines["content-length"]))
    else:
        assert lines["transfer-encoding"] == "chunked"
        while await _read_chunk(reader):
            pass
    return int(head.split(" ")[1]), lines.get("connection") != "close"


async def _read_chunk(reader: asyncio.StreamReader) -> int:
    size = int(await reader.readuntil(b"\r\n"), 16)
    await reader.readexactly(size + 2)
    return size


async def _play(seed: int) -> Play:
    async with fleets.running(6, 1) as fleet:
        servers = [
            plain_servers.PlainServer(f"{name}-{n}", fleet.api, name)
            for name in SERVICES
            for n in range(2)
        ]
        for server in servers:
            await server.listen()
        await fleet.ready()
        play = Play(fleet, random.Random(seed), time.monotonic() + PLAY_S)
        async with asyncio.TaskGroup() as group:
            group.create_task(play.change())
            for _ in range(CALLERS):
                group.create_task(play.call_again_and_again())
        for server in servers:
            server.stop()
        return play


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_every_request_is_answered_while_configurations_change(seed, caplog):
    tracebacks = []

    def collect(message: dict) -> None:
        if message.get("message_type") == "eliot:traceback":
            tracebacks.append(message)

    eliot.add_destinations(collect)
    try:
        with caplog.at_level(logging.ERROR):
            play = asyncio.run(_play(seed))
    finally:
        eliot.remove_destination(collect)
    assert not tracebacks
    assert not caplog.records
    assert not play.lost
    assert not play.statuses.get(500)
    assert play.statuses[200] > sum(play.statuses.values()) / 10
