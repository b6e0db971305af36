"""A small fleet with a plain service, and calls to it."""

import contextlib

import attrs
from tornado import httpclient

from balsamlug_standins import plain_servers
from balsamlug_standins import site
from tests.entry import fleet as fleets

SERVICE = "calc"
# Key of the durations of the route and its service.
DURATION_KEY = f"{SERVICE}/{SERVICE}"
DEADLINE_MS = 1500
ROUTE = {
    "Name": SERVICE,
    "Hostname": site.HOST,
    "PathPrefix": "/calc/",
    "RouteType": "safe",
    "TimeoutMs": DEADLINE_MS,
    "Service": SERVICE,
    "MaxAttempts": 2,
}


@attrs.define
class PlainFleet:
    """A fleet and the instances of its plain service."""

    fleet: fleets.Fleet
    servers: list[plain_servers.PlainServer]

    async def call(self, target: str, number: int) -> httpclient.HTTPResponse:
        """Send a call to the nodes in turn, by its number."""
        node = self.fleet.nodes[number % len(self.fleet.nodes)]
        return await self.fleet.http.fetch(
            f"http://127.0.0.1:{node.peers.settings.caller_port}{target}",
            headers={
                "Host": site.HOST,
                "X-Attempt-Id": f"r{number}",
                "X-Deadline-Ms": str(DEADLINE_MS),
                "Api-Key": fleets.KEY,
            },
            raise_error=False,
        )

    def is_listed(self) -> bool:
        """Return whether every node knows all instances."""
        return all(
            sum(i.service == SERVICE for i in node.state.instances.values())
            == len(self.servers)
            for node in self.fleet.nodes
        )


@contextlib.asynccontextmanager
async def running(
    nodes: int,
    instances: int,
    target_ms: int,
    evacuate_ms: int = 0,
    **behaviour,
):
    """Yield a fleet whose nodes know all instances of a plain service.

    Args:
      target_ms: target latency of the route; a call is retried after it.
      behaviour: arguments of the instances.
    """
    async with fleets.running(
        3, nodes, configured=False, evacuate_ms=evacuate_ms
    ) as fleet:
        services = [site.model_service(fleets.SLOTS), {"Name": SERVICE}]
        route = ROUTE | {"TargetLatencyMs": target_ms}
        spec = site.configuration(
            1, [site.STREAM, route], services, [fleets.KEY]
        )
        fleet.api.write("config", "main", spec)
        servers = [
            plain_servers.PlainServer(f"c-{n}", fleet.api, SERVICE, **behaviour)
            for n in range(instances)
        ]
        for server in servers:
            await server.listen()
        plain = PlainFleet(fleet, servers)
        await fleet.until(plain.is_listed)
        try:
            yield plain
        finally:
            for server in servers:
                server.stop()
