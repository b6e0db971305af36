"""A prompt part that crashes servers, before and after a kill of all nodes."""

import asyncio
import itertools
import pathlib
import signal
import time

from balsamlug_standins import members
from balsamlug_standins import object_api
from balsamlug_standins import site
from review import kit3

FOLDER = pathlib.Path(__file__).resolve().parent
BAD_PART = "e4402b7d"
# Time between two requests with the part, at one node after the other.
PERIOD_S = 4.0
MAX_ARRIVALS = 3
BEFORE_S = 50.0
AFTER_S = 44.0
RESTART_S = 0.5


async def main(record: kit3.Record) -> int:
    """Play the case and return its exit code."""
    api = object_api.ObjectApi()
    address = api.listen()
    services = [site.model_service(13)]
    route = kit3.route(
        "chat",
        "streaming",
        site.MODEL_SERVICE,
        SessionAffinity=True,
        StreamResume=True,
        GapTargetMs=250,
    )
    api.write("config", "main", kit3.configuration(7, [route], services))
    servers: dict[str, members.Member] = {}
    for number in range(12):
        server = members.Member(
            f"i-{number}",
            api,
            domain=f"d{number % 2}",
            slots=13,
            bad_parts=frozenset({BAD_PART}),
            peers=servers,
        )
        server.listen()
    deployment = kit3.Deployment(address, 3)
    deployment.start()
    try:
        await deployment.ready()
        return await _play(record, deployment, list(servers.values()))
    finally:
        deployment.stop()
        for server in servers.values():
            server.stop()
        api.stop()


async def _play(
    record: kit3.Record,
    deployment: kit3.Deployment,
    servers: list[members.Member],
) -> int:
    async with asyncio.timeout(20):
        while sum(s.group is not None for s in servers) < 6:
            await asyncio.sleep(0.1)
    await asyncio.sleep(2)
    sound = asyncio.create_task(_send_sound(deployment, record))
    numbers = itertools.count()
    crashes = _crashes(servers)
    until_s = time.monotonic() + BEFORE_S
    while len(crashes()) < 5 and time.monotonic() < until_s:
        await _send_bad(deployment, record, next(numbers))
        await asyncio.sleep(PERIOD_S)
    if len(crashes()) < 5:
        record(f"only {len(crashes())} crashes")
        sound.cancel()
        return kit3.UNPLAYABLE
    fifth_s = crashes()[4]
    record("fifth crash")
    await asyncio.sleep(max(0, fifth_s + 4 - time.monotonic()))
    if kit3.TROUBLE:
        for node in deployment.nodes:
            node.signal(signal.SIGKILL)
        await asyncio.sleep(RESTART_S)
        deployment.start()
        record("killed and started again: all nodes")
        await deployment.ready()
        record("all nodes ready")
    begun_s = max(node.started_s for node in deployment.nodes)
    await asyncio.sleep(max(0, begun_s + 4 - time.monotonic()))
    until_s = time.monotonic() + AFTER_S
    while time.monotonic() < until_s:
        await _send_bad(deployment, record, next(numbers))
        await asyncio.sleep(PERIOD_S)
    sound.cancel()
    in_touch_s = max(fifth_s, begun_s) + kit3.STABLE_WINDOW_S
    late = sorted(
        (at_s - in_touch_s, request_id, server.id)
        for server in servers
        for at_s, request_id in server.arrivals
        if request_id.startswith("bad")
        and at_s > in_touch_s
        and (at_s, request_id) not in server.misdirected
    )
    for after_s, request_id, server in late:
        record(f"arrival {after_s:.2f} s after: {request_id} at {server}")
    record(f"crashes: {len(crashes())}, late arrivals: {len(late)}")
    return kit3.BROKEN if len(late) > MAX_ARRIVALS else kit3.HELD


def _crashes(servers: list[members.Member]):
    return lambda: sorted(t for server in servers for t in server.crashes)


async def _send_bad(
    deployment: kit3.Deployment, record: kit3.Record, number: int
) -> None:
    node = deployment.nodes[number % len(deployment.nodes)]
    prefix = f"5c1e07a2:10,{BAD_PART}:10,{number:08x}:80"
    answer = await _send(node, f"bad{number}", prefix)
    record(f"bad{number} at {node.name}: {answer.status} {answer.error}")


async def _send_sound(deployment: kit3.Deployment, record: kit3.Record) -> None:
    for number in itertools.count():
        node = deployment.nodes[number % len(deployment.nodes)]
        prefix = f"5c1e07a2:10,{number:08x}ff:90"
        answer = await _send(node, f"sound{number}", prefix)
        record(f"sound{number} at {node.name}: {answer.status} {answer.error}")
        await asyncio.sleep(0.5)


async def _send(node: kit3.Node, name: str, prefix: str) -> kit3.Answer:
    headers = {
        "X-Attempt-Id": name,
        "X-Deadline-Ms": "5000",
        "X-Model": site.MODEL,
        "X-Token-Count": "100,20",
        "X-Prefix-Hash": prefix,
        "Api-Key": kit3.KEY,
    }
    return await kit3.request(
        node.ip, node.caller_port, "POST", "/chat/1", headers, b"p" * 100
    )


kit3.play(FOLDER, main)
