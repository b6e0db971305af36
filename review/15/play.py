"""A part far back in a long prompt crashes servers."""

import asyncio
import itertools
import pathlib
import time

from balsamlug_standins import members
from balsamlug_standins import object_api
from balsamlug_standins import site
from review import kit3

FOLDER = pathlib.Path(__file__).resolve().parent
BAD_PART = "e4402b7d"
# Parts that all requests share, such as the turns of a conversation so far.
SHARED = [f"{0x5C1E0700 + number:08x}" for number in range(36)]
# Time between two requests with the bad part, at one node after the other.
PERIOD_S = 3.0
LENGTH_S = 60.0
MAX_ARRIVALS = 3
# Sound requests are streams of 1.2 s that may not be resumed.
SOUND_PER_S = 8
PLAN_EVENTS = 60


async def main(record: kit3.Record) -> int:
    """Play the case and return its exit code."""
    api = object_api.ObjectApi()
    address = api.listen()
    services = [site.model_service(13)]
    routes = [
        kit3.route(
            name,
            "streaming",
            site.MODEL_SERVICE,
            SessionAffinity=True,
            StreamResume=name == "chat",
            GapTargetMs=250,
        )
        for name in ("chat", "plan")
    ]
    api.write("config", "main", kit3.configuration(7, routes, services))
    servers: dict[str, members.Member] = {}
    for number in range(12):
        server = members.Member(
            f"i-{number}",
            api,
            domain=f"d{number % 2}",
            slots=13,
            bad_parts=frozenset({BAD_PART} if kit3.TROUBLE else ()),
            event_counts={"/plan/1": PLAN_EVENTS},
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
    lost_s: list[float] = []
    sound = asyncio.create_task(_send_sound(deployment, record, lost_s))
    until_s = time.monotonic() + LENGTH_S
    for number in itertools.count():
        if time.monotonic() > until_s:
            break
        await _send_bad(deployment, record, number)
        await asyncio.sleep(PERIOD_S)
    sound.cancel()
    crashes = sorted(t for server in servers for t in server.crashes)
    record(f"crashes: {len(crashes)}")
    if len(crashes) < 5:
        return kit3.HELD
    in_touch_s = crashes[4] + kit3.STABLE_WINDOW_S
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
    lost = sum(at_s > in_touch_s for at_s in lost_s)
    record(
        f"late arrivals: {len(late)}; sound streams that were cut or failed"
        f" since then, after they had begun: {lost}"
    )
    return kit3.BROKEN if len(late) > MAX_ARRIVALS else kit3.HELD


async def _send_bad(
    deployment: kit3.Deployment, record: kit3.Record, number: int
) -> None:
    node = deployment.nodes[number % len(deployment.nodes)]
    parts = [*SHARED, BAD_PART, f"{number:08x}"]
    answer = await _send(node, f"bad{number}", parts)
    record(f"bad{number} at {node.name}: {answer.status} {answer.error}")


async def _send_sound(
    deployment: kit3.Deployment, record: kit3.Record, lost_s: list[float]
) -> None:
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            group.create_task(_send_plan(deployment, record, lost_s, number))
            await asyncio.sleep(1 / SOUND_PER_S)


async def _send_plan(
    deployment: kit3.Deployment,
    record: kit3.Record,
    lost_s: list[float],
    number: int,
) -> None:
    node = deployment.nodes[number % len(deployment.nodes)]
    parts = [*SHARED, f"{number:08x}ff"]
    answer = await _send(node, f"sound{number}", parts, "/plan/1")
    if answer.status in (200, 502, 504) and (
        answer.status != 200 or not answer.complete
    ):
        lost_s.append(time.monotonic())
    record(
        f"sound{number} at {node.name}: {answer.status}"
        f" {'whole' if answer.complete else 'cut'} {answer.error}"
    )


async def _send(
    node: kit3.Node, name: str, parts: list[str], path: str = "/chat/1"
) -> kit3.Answer:
    headers = {
        "X-Attempt-Id": name,
        "X-Deadline-Ms": "5000",
        "X-Model": site.MODEL,
        "X-Token-Count": f"{10 * len(parts)},20",
        "X-Prefix-Hash": ",".join(f"{part}:10" for part in parts),
        "Api-Key": kit3.KEY,
    }
    return await kit3.request(
        node.ip, node.caller_port, "POST", path, headers, name.encode() * 10
    )


kit3.play(FOLDER, main)
