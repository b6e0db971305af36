"""Guards requests on a route of one service against engines of another."""

import asyncio

import pytest

from balsamlug_standins import members
from balsamlug_standins import site
from tests.entry import fleet as fleets

OTHER = "other-service"
REQUESTS = 20
PREFIXES = {fleets.SERVICE: "/chat/", OTHER: "/plan/"}


def _configuration(model: str) -> dict:
    """Return two services with a route each.

    Args:
      model: name of the model of the other service.
    """
    service = site.model_service(fleets.SLOTS)
    engine = service["Engine"]
    models = [engine["Models"][0] | {"Name": model}]
    other = {"Name": OTHER, "Engine": engine | {"Models": models}}
    routes = [
        site.STREAM | {"Name": name, "PathPrefix": prefix, "Service": name}
        for name, prefix in PREFIXES.items()
    ]
    return site.configuration(1, routes, [service, other], [fleets.KEY])


async def _send_all(fleet: fleets.Fleet, model: str) -> set[tuple[str, int]]:
    """Send requests on both routes; return the services and statuses."""
    models = {fleets.SERVICE: fleets.MODEL, OTHER: model}
    requests = [
        (service, number) for service in PREFIXES for number in range(REQUESTS)
    ]
    answers = [
        await fleet.send_request(
            number % len(fleet.nodes),
            f"{service}.{number}",
            path=f"{PREFIXES[service]}1",
            **{"X-Model": models[service]},
        )
        for service, number in requests
    ]
    return {
        (service, answer.code)
        for (service, _), answer in zip(requests, answers, strict=True)
    }


def _assert_own_servers(fleet: fleets.Fleet) -> None:
    for server in fleet.servers.values():
        routes = {name.split(".")[0] for name in server.started_attempts}
        assert routes <= {server.service}


@pytest.mark.parametrize("model", ["other-model", fleets.MODEL])
def test_requests_run_at_servers_of_their_route_in_a_shared_domain(model):
    def create(name, api, peers):
        service = OTHER if int(name[2:]) % 2 else fleets.SERVICE
        return members.Member(name, api, peers=peers, service=service)

    async def run():
        async with fleets.running(
            engines=4 * site.GROUP_SIZE, configured=False, create_member=create
        ) as fleet:
            fleet.api.write("config", "main", _configuration(model))
            await fleet.until(lambda: len(fleet.open_heads()) == 4)
            await asyncio.sleep(0.5)
            served = await _send_all(fleet, model)
            assert served == {(fleets.SERVICE, 200), (OTHER, 200)}
            _assert_own_servers(fleet)

    asyncio.run(run())


@pytest.mark.parametrize("model", ["other-model", fleets.MODEL])
def test_requests_of_a_service_without_servers_are_refused(model):
    async def run():
        async with fleets.running(engines=6, configured=False) as fleet:
            fleet.api.write("config", "main", _configuration(model))
            await fleet.ready()
            await fleet.until(lambda: len(fleet.open_heads()) == 2)
            served = await _send_all(fleet, model)
            assert served == {(fleets.SERVICE, 200), (OTHER, 503)}
            _assert_own_servers(fleet)

    asyncio.run(run())
