"""The only customer of a deployment is removed."""

import asyncio
import itertools
import pathlib

from balsamlug_standins import object_api
from balsamlug_standins import plain_servers
from review import kit3

FOLDER = pathlib.Path(__file__).resolve().parent
SERVICE = "wuno96b"
CONFIG_APPLY_S = 2.0
UNKNOWN_KEY = "zzzzzzzzzzzzzzzzzzzz"
REQUESTS = 40


async def main(record: kit3.Record) -> int:
    """Play the case and return its exit code."""
    api = object_api.ObjectApi()
    address = api.listen()
    routes = [kit3.route("book", "unsafe", SERVICE, MaxAttempts=1)]
    services = [{"Name": SERVICE, "MaxConnections": 208}]
    first = kit3.configuration(7, routes, services)
    api.write("config", "main", first)
    servers = [plain_servers.PlainServer(f"i-{n}", api, SERVICE) for n in "012"]
    for server in servers:
        await server.listen()
    deployment = kit3.Deployment(address, 3)
    deployment.start()
    try:
        await deployment.ready()
        return await _play(record, api, first, deployment, servers)
    finally:
        deployment.stop()
        for server in servers:
            server.stop()
        api.stop()


async def _play(
    record: kit3.Record,
    api: object_api.ObjectApi,
    first: dict,
    deployment: kit3.Deployment,
    servers: list[plain_servers.PlainServer],
) -> int:
    numbers = itertools.count()
    for key, name in ((kit3.KEY, "known"), (UNKNOWN_KEY, "unknown")):
        statuses = await _send_some(deployment, numbers, key, f"before-{name}")
        record(f"before, {name} key: {statuses}")
    if kit3.TROUBLE:
        second = first | {"Version": 8, "Tenants": []}
        api.write("config", "main", second)
        record("version 8 is acknowledged: its list of customers is empty")
    await asyncio.sleep(CONFIG_APPLY_S + 0.5)
    for key, name in ((kit3.KEY, "known"), (UNKNOWN_KEY, "unknown")):
        statuses = await _send_some(deployment, numbers, key, f"after-{name}")
        record(f"after, {name} key: {statuses}")
    ran = [name for server in servers for name in server.attempts]
    counts = {
        start: sum(name.startswith(start) for name in ran)
        for start in ("before-known", "before-unknown")
        + ("after-known", "after-unknown")
    }
    record(f"requests that ran: {kit3.as_json(counts)}")
    if counts["before-unknown"] or not counts["before-known"]:
        return kit3.UNPLAYABLE
    dropped = counts["after-known"] if kit3.TROUBLE else 0
    return kit3.BROKEN if dropped or counts["after-unknown"] else kit3.HELD


async def _send_some(
    deployment: kit3.Deployment, numbers, key: str, name: str
) -> dict[int, int]:
    statuses: dict[int, int] = {}
    for _ in range(REQUESTS):
        number = next(numbers)
        node = deployment.nodes[number % len(deployment.nodes)]
        headers = {
            "X-Attempt-Id": f"{name}-{number}",
            "X-Deadline-Ms": "1500",
            "Api-Key": key,
        }
        answer = await kit3.request(
            node.ip, node.caller_port, "POST", "/book/1", headers, b"p" * 100
        )
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
    return statuses


kit3.play(FOLDER, main)
