"""A small fleet: stand-ins in this process, entry nodes as own processes."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import pathlib

import attrs

from balsamlug_standins import object_api
from balsamlug_standins import processes
from balsamlug_standins import proxy
from balsamlug_standins import serving
from balsamlug_standins import site
from soak import clients
from soak import promises
from soak import servers

NODES = 3
DOMAINS = 2
# One group and a spare in each domain.
SERVERS_PER_DOMAIN = 4
DESKS = 2
STREAMS_PER_NODE = 3
BOOKINGS_PER_NODE = 2
KEY = "secret"
# Keys that a run takes away one after the other.
OLD_KEYS = tuple(f"old-{n}" for n in range(200))
GRACE_S = 4
# A node that got SIGTERM has ended by then.
TERM_S = GRACE_S + 1.0
# Time from the last fault until everything must serve again.
RECOVER_S = 15.0
READY_S = 30.0
# The platform drops a server from its list after three missed heartbeats.
LAPSE_S = 3.6
POLL_S = 0.05

SLOTS = 8
BOOKING_ROUTE = {
    "Name": promises.BOOKING,
    "Hostname": site.HOST,
    "PathPrefix": f"/{promises.BOOKING}/",
    "RouteType": "unsafe",
    "TimeoutMs": 2000,
    "Service": servers.DESK_SERVICE,
}


class NotRecovered(Exception):
    """Something does not serve in time."""


@attrs.define(eq=False)
class Node:
    """One entry process and its links.

    Attributes:
      lock: held while a fault has the process.
    """

    number: int
    process: processes.Process
    callers: proxy.Route
    store: proxy.Route
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)


@attrs.define(eq=False)
class World:
    """All parts of a run."""

    api: object_api.ObjectApi
    routes: proxy.Proxy
    record: servers.Record
    judge: promises.Judge
    members: list[servers.WatchedMember] = attrs.field(factory=list)
    desks: list[servers.Desk] = attrs.field(factory=list)
    nodes: list[Node] = attrs.field(factory=list)
    revoked: list[str] = attrs.field(factory=list)
    _version: int = 0

    def revoke(self) -> None:
        """Take the next of the old keys away."""
        self.revoked.append(OLD_KEYS[len(self.revoked)])
        self.configure()

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self._version += 1
        keys = [KEY, *OLD_KEYS[len(self.revoked) :]]
        spec = site.configuration(
            self._version,
            [site.STREAM, BOOKING_ROUTE],
            [site.model_service(SLOTS), {"Name": servers.DESK_SERVICE}],
            keys,
        )
        self.api.write("config", "main", spec)

    def server_link(self, target: int) -> proxy.Route:
        """Return the link to a model server."""
        return self.routes.routes[self.members[target].id]

    async def until(self, ready, what: str, limit_s: float) -> None:
        """Wait until a condition holds.

        Raises:
          NotRecovered: it does not in time.
        """
        try:
            async with asyncio.timeout(limit_s):
                while not await ready():
                    await asyncio.sleep(POLL_S)
        except TimeoutError as exc:
            raise NotRecovered(f"no {what} after {limit_s:g} s") from exc

    async def serves(self) -> bool:
        """Return whether every group is whole and every node serves."""
        heads = [member for member in self.members if member.is_open()]
        if len(heads) < DOMAINS:
            return False
        checks = [self._node_serves(node) for node in self.nodes]
        return all(await asyncio.gather(*checks))

    async def _node_serves(self, node: Node) -> bool:
        conn = clients.Connection(node.callers.port, node.number)
        with contextlib.closing(conn):
            for kind in (promises.STREAM, promises.BOOKING):
                name = clients.fresh_id(kind, node.number)
                answer = await conn.ask(kind, name, KEY)
                self.judge.answered(answer)
                if answer.status != promises.OK or not answer.whole:
                    return False
            return await self._refuses_revoked(node, conn)

    async def _refuses_revoked(
        self, node: Node, conn: clients.Connection
    ) -> bool:
        for key in self.revoked:
            name = clients.fresh_id(promises.STREAM, node.number)
            answer = await conn.ask(promises.STREAM, name, key)
            self.judge.asked_with(key, answer)
            if answer.status != promises.UNAUTHORIZED:
                return False
        return True


@contextlib.asynccontextmanager
async def running(directory: pathlib.Path) -> AsyncIterator[World]:
    """Yield a fleet that serves.

    Raises:
      NotRecovered: it does not within `READY_S`.
    """
    record = servers.Record()
    world = World(
        object_api.ObjectApi(),
        proxy.Proxy(),
        record,
        promises.Judge(record),
    )
    store = world.api.listen()
    world.configure()
    try:
        await _start_servers(world)
        await _start_nodes(world, store, directory)
        await world.until(world.serves, "service", READY_S)
        yield world
    finally:
        _stop(world)


async def _start_servers(world: World) -> None:
    peers: dict[str, servers.WatchedMember] = {}
    for number in range(DOMAINS * SERVERS_PER_DOMAIN):
        member = servers.WatchedMember(
            f"i-{number}",
            world.api,
            domain=f"d{number % DOMAINS}",
            peers=peers,
            record=world.record,
        )
        world.members.append(member)
    for number in range(DESKS):
        desk = servers.Desk(f"desk-{number}", world.api, world.record)
        world.desks.append(desk)
    for server in [*world.members, *world.desks]:
        server.listen()
        route = await world.routes.add(server.id, server.address)
        server.public = f"{serving.HOST}:{route.port}"
        server.announce()


async def _start_nodes(
    world: World, store: str, directory: pathlib.Path
) -> None:
    ports = processes.Ports()
    taken = [[ports.take() for _ in range(3)] for _ in range(NODES)]
    ports.release()
    for number, (callers, admin, peers) in enumerate(taken):
        name = f"node-{number}"
        route = await world.routes.add(f"{name}-store", store)
        settings = {
            "id": name,
            "failure_domain": f"z{number}",
            "region": "r1",
            "address": serving.HOST,
            "caller_address": f"{serving.HOST}:{callers}",
            "admin_address": f"{serving.HOST}:{admin}",
            "peer_address": f"{serving.HOST}:{peers}",
            "platform_address": f"{serving.HOST}:{route.port}",
            "grace_s": str(GRACE_S),
        }
        path = directory / f"{name}.ini"
        lines = [f"{field} = {value}" for field, value in settings.items()]
        path.write_text("\n".join(["[entry]", *lines, ""]))
        process = processes.Process(
            name, ["balsamlug", "entry", "--settings", str(path)], directory
        )
        process.start()
        front = await world.routes.add(name, f"{serving.HOST}:{callers}")
        world.nodes.append(Node(number, process, front, route))


def _stop(world: World) -> None:
    for node in world.nodes:
        if node.process.running():
            node.process.resume()
            node.process.kill()
    for server in [*world.members, *world.desks]:
        server.stop()
    world.routes.close()
    world.api.stop()
