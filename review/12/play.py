"""Servers of a second model service are added beside those of the first."""

import asyncio
import itertools
import pathlib
import time

from balsamlug_standins import members
from balsamlug_standins import object_api
from balsamlug_standins import site
from review import kit3

FOLDER = pathlib.Path(__file__).resolve().parent
FIRST, SECOND = "huvo11a", "zalu20c"
MODELS = {FIRST: "daka510000", SECOND: "rada7437b5"}
BEFORE_S = 5.0
AFTER_S = 18.0
# Domains of six servers each. One more is a share of 0.25 of the servers.
FIRST_DOMAINS = ("d0", "d1", "d2", "d3")
REQUESTS_PER_S = 10


def _service(name: str) -> dict:
    service = site.model_service(13)
    model = service["Engine"]["Models"][0] | {"Name": MODELS[name]}
    return {"Name": name, "Engine": service["Engine"] | {"Models": [model]}}


def _route(name: str, service: str) -> dict:
    return kit3.route(
        name,
        "streaming",
        service,
        SessionAffinity=True,
        StreamResume=True,
        GapTargetMs=250,
    )


async def main(record: kit3.Record) -> int:
    """Play the case and return its exit code."""
    api = object_api.ObjectApi()
    address = api.listen()
    routes = [_route("chat", FIRST), _route("plan", SECOND)]
    services = [_service(FIRST), _service(SECOND)]
    api.write("config", "main", kit3.configuration(7, routes, services))
    servers: dict[str, members.Member] = {}

    def add(service: str, domain: str) -> None:
        for number in range(6):
            server = members.Member(
                f"i-{domain}{number}",
                api,
                domain=domain,
                service=service,
                slots=13,
                peers=servers,
            )
            server.listen()

    for domain in FIRST_DOMAINS:
        add(FIRST, domain)
    deployment = kit3.Deployment(address, 3)
    deployment.start()
    try:
        await deployment.ready()
        await _until_served(deployment)
        record("the first service serves")
        sending = asyncio.create_task(_send_all(deployment, record))
        await asyncio.sleep(BEFORE_S)
        if kit3.TROUBLE:
            add(SECOND, "d4")
            record("servers of the second service are added")
        await asyncio.sleep(AFTER_S)
        sending.cancel()
        return _judge(record, list(servers.values()))
    finally:
        deployment.stop()
        for server in servers.values():
            server.stop()
        api.stop()


def _judge(record: kit3.Record, servers: list[members.Member]) -> int:
    runs = {service: 0 for service in MODELS}
    for server in servers:
        runs[server.service] += len(server.started_attempts)
        if server.service == SECOND:
            for name in server.started_attempts:
                record(f"{name} ran at {server.id} of {SECOND}")
    record(f"requests on the route to {FIRST} that ran, by service: {runs}")
    return kit3.BROKEN if runs[SECOND] else kit3.HELD


async def _until_served(deployment: kit3.Deployment) -> None:
    until_s = time.monotonic() + 30
    for number in itertools.count():
        answer = await _send(deployment, number, "first")
        if answer.status == 200:
            return
        if time.monotonic() > until_s:
            raise TimeoutError("the first service does not serve")
        await asyncio.sleep(0.3)


async def _send_all(deployment: kit3.Deployment, record: kit3.Record) -> None:
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            group.create_task(_send_one(deployment, record, number))
            await asyncio.sleep(1 / REQUESTS_PER_S)


async def _send_one(
    deployment: kit3.Deployment, record: kit3.Record, number: int
) -> None:
    answer = await _send(deployment, number, "chat")
    record(f"chat{number}: {answer.status} {answer.error}")


async def _send(
    deployment: kit3.Deployment, number: int, name: str
) -> kit3.Answer:
    node = deployment.nodes[number % len(deployment.nodes)]
    headers = {
        "X-Attempt-Id": f"{name}{number}",
        "X-Deadline-Ms": "5000",
        "X-Model": MODELS[FIRST],
        "X-Token-Count": "100,20",
        "X-Prefix-Hash": f"5c1e07a2:10,{number:08x}:90",
        "Api-Key": kit3.KEY,
    }
    return await kit3.request(
        node.ip, node.caller_port, "POST", "/chat/1", headers, b"p" * 100
    )


kit3.play(FOLDER, main)
