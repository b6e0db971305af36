"""Environment of a soak run.

Stand-ins of the object API, the network links and the servers run in this
process; each entry node is a process of its own.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import pathlib
import random
import time

import attrs

from balsamlug_standins import members
from balsamlug_standins import object_api
from balsamlug_standins import processes
from balsamlug_standins import proxy
from balsamlug_standins import serving
from soak import bounds
from soak import builds
from soak import clients
from soak import configuration
from soak import customer_changes
from soak import disruptions
from soak import layout
from soak import plan
from soak import promises
from soak import refused_readers
from soak import run_options
from soak import servers
from soak import silent_connections

# One group and a spare in each domain.
SERVERS_PER_DOMAIN = 4
BOOKING_SERVERS = 2
STREAMS_PER_NODE = 3
BOOKINGS_PER_NODE = 2
# Callers of each kind whose connections are idle between two requests.
IDLE_CALLERS_PER_NODE = 3
KEY = "secret"
# Keys that a run revokes one after the other.
REVOCABLE_KEYS = tuple(f"old-{n}" for n in range(200))
STOP_GRACE_S = 4
# Grace period of the deployments, with which cut requests are judged.
PLANNED_STOP_GRACE_S = 8
SLOW_WARM_S = 1.1
# A node that received SIGTERM must have exited in its grace period and this.
EXIT_SLACK_S = 1.0
# All groups and nodes must serve within this time after the last fault ended.
RECOVERY_TIMEOUT_S = 15.0
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


class NotReached(Exception):
    """A condition did not hold in time."""


@attrs.define(eq=False)
class Node:
    """One entry process and its links.

    Attributes:
      caller_link: proxied link from the clients to the node.
      store_link: proxied link from the node to the object API.
      peer_link: proxied link from other nodes to the node, None if they are
        connected directly.
      endpoint: address of the object API for this node.
      lock: held while a fault stops or signals the process.
    """

    number: int
    process: processes.Process
    caller_link: proxy.Route
    store_link: proxy.Route
    peer_link: proxy.Route | None = None
    endpoint: object_api.Endpoint = attrs.field(factory=object_api.Endpoint)
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)


@attrs.define(eq=False)
class Environment:
    """All components of a run.

    Attributes:
      members: model servers of the first service.
      second_members: those of the second one, if the run has it.
      server_links: proxied links to all servers, in the order of
        `model_and_booking_servers`.
      revoked: revoked keys, in the order of their revocation.
      revoked_s: time of each revocation, by key.
      leaves: servers that have left.
      refusals: of the store, that have ended.
      key_answers: answers to requests with revoked keys, and these keys.
      poisoned: start and end of the requests with a part that crashes servers.
      ports: ports of the nodes, reserved also while a node is down.
      build_of: build that each kind of replacement starts.
      replacing: held while a node is replaced by one of another build.
      grace_s: grace period of the nodes.
      stops: node and time of each SIGTERM.
      steps: draws the steps of versions, None for steps of one.
      warm_s: time in which a spare joins a group.
      customers: of the configuration in force.
      episodes: those in which it had other customers, that have ended.
      answers: answers that the customers decide, with the keys of the requests.
      variant: of the configuration in force, None for the usual one.
      warmup: what both services declare.
      evacuated: zones that the operator has evacuated.
      evacuations: those that have ended.
    """

    api: object_api.ObjectApi
    routes: proxy.Proxy
    record: servers.Record
    checker: promises.PromiseChecker
    members: list[servers.RecordingMember] = attrs.field(factory=list)
    second_members: list[servers.RecordingMember] = attrs.field(factory=list)
    booking_servers: list[servers.BookingServer] = attrs.field(factory=list)
    server_links: list[proxy.Route] = attrs.field(factory=list)
    nodes: list[Node] = attrs.field(factory=list)
    revoked: list[str] = attrs.field(factory=list)
    revoked_s: dict[str, float] = attrs.field(factory=dict)
    leaves: list[silent_connections.Leave] = attrs.field(factory=list)
    refusals: list[refused_readers.Refusal] = attrs.field(factory=list)
    key_answers: list[tuple[str, clients.Answer]] = attrs.field(factory=list)
    disrupted: disruptions.Disruptions = attrs.field(
        factory=disruptions.Disruptions
    )
    poisoned: tuple[float, float] | None = None
    ports: processes.Ports = attrs.field(factory=processes.Ports)
    build_of: dict[str, builds.Build] = attrs.field(factory=dict)
    replacing: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    grace_s: int = STOP_GRACE_S
    stops: list[tuple[int, float]] = attrs.field(factory=list)
    steps: random.Random | None = None
    warm_s: float = 0.0
    customers: customer_changes.Customers = customer_changes.Customers.USUAL
    episodes: list[customer_changes.Episode] = attrs.field(factory=list)
    answers: list[tuple[str, clients.Answer]] = attrs.field(factory=list)
    variant: plan.Variant | None = None
    warmup: dict = attrs.field(factory=dict)
    evacuated: set[str] = attrs.field(factory=set)
    evacuations: list[bounds.Evacuation] = attrs.field(factory=list)
    _version: int = 0

    def revoke_next_key(self) -> None:
        """Revoke the next key."""
        key = REVOCABLE_KEYS[len(self.revoked)]
        self.revoked.append(key)
        self.write_configuration()
        self.revoked_s[key] = time.monotonic()

    def write_configuration(self) -> None:
        """Write the next version of the configuration to the object API."""
        step = plan.draw_version_step(self.steps) if self.steps else 1
        self._version += step
        keys = [KEY, *REVOCABLE_KEYS[len(self.revoked) :]]
        spec = configuration.specification(
            self._version, keys, self.warm_s, self.warmup, self.variant
        )
        if self.second_members:
            spec = configuration.add_second_service(spec)
        spec = customer_changes.apply(spec, self.customers)
        self.api.write("config", "main", spec)

    def write_again(self) -> None:
        """Write what the operator and the servers wrote last."""
        self.write_configuration()
        self.write_evacuations()
        for server in self.booking_servers:
            server.announce()
        for member in self.all_members:
            if not member.is_down:
                member.announce()

    def write_evacuations(self) -> None:
        """Write the evacuated zones, and remove those that are not."""
        kind = configuration.EVACUATIONS
        for zone in self.evacuated:
            self.api.write(kind, zone, {})
        for zone in set(self.api.table.table.get(kind, ())) - self.evacuated:
            self.api.remove(kind, zone)

    def remove_lapsed_entries(self) -> None:
        """Remove the list entries of servers that do not write them."""
        writing = {
            member.id
            for member in self.all_members
            if not member.is_down and not member.unresponsive
        }
        writing |= {server.id for server in self.booking_servers}
        for name in list(self.api.table.table["servers"]):
            if name not in writing:
                self.api.remove("servers", name)

    @property
    def model_and_booking_servers(
        self,
    ) -> list[servers.RecordingMember | servers.BookingServer]:
        """Return all servers, those of the first service first."""
        return [*self.members, *self.booking_servers, *self.second_members]

    @property
    def all_members(self) -> list[servers.RecordingMember]:
        """Return the model servers of all services."""
        return [*self.members, *self.second_members]

    @property
    def stream_kinds(self) -> tuple[str, ...]:
        """Return the kinds of streams of the run."""
        return promises.STREAMS[: 1 + bool(self.second_members)]

    def check_running(self, node: Node) -> None:
        """Record a violation if the process of a node has ended by itself."""
        if not node.process.running():
            output = node.process.output.name
            self.record.violations.append(f"{output} ended by itself")

    def server_link(self, target: int) -> proxy.Route:
        """Return the proxied link to a server."""
        return self.server_links[target]

    async def wait_until(
        self, condition, description: str, timeout_s: float
    ) -> None:
        """Wait until a condition holds.

        Raises:
          NotReached: it does not hold in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while not await condition():
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError as exc:
            raise NotReached(f"no {description} after {timeout_s:g} s") from exc

    async def is_serving(self) -> bool:
        """Return whether each domain has an open group and all nodes serve.

        Zones that were evacuated have had requests since.
        """
        services = filter(None, (self.members, self.second_members))
        for service in services:
            if sum(m.is_open() for m in service) < layout.DOMAINS:
                return False
        if not all(self._has_returned(e) for e in self.evacuations):
            return False
        checks = [self._is_node_serving(node) for node in self.nodes]
        return all(await asyncio.gather(*checks))

    def _has_returned(self, evacuation: bounds.Evacuation) -> bool:
        return any(
            server.arrivals and server.arrivals[-1][0] > evacuation.removed_s
            for server in self.members
            if server.zone == evacuation.zone
        )

    async def _is_node_serving(self, node: Node) -> bool:
        conn = clients.Connection(node.caller_link.port, node.number)
        with contextlib.closing(conn):
            for kind in (*self.stream_kinds, promises.BOOKING):
                request_id = clients.new_request_id(kind, node.number)
                answer = await conn.request(kind, request_id, KEY)
                self.checker.check_answer(answer)
                if answer.status != promises.OK or not answer.complete:
                    return False
            return await self._refuses_revoked(node, conn)

    async def _refuses_revoked(
        self, node: Node, conn: clients.Connection
    ) -> bool:
        for key in self.revoked:
            request_id = clients.new_request_id(promises.STREAM, node.number)
            answer = await conn.request(promises.STREAM, request_id, key)
            self.checker.check_revoked_key(key, answer)
            if answer.status != promises.UNAUTHORIZED:
                return False
        return True


@contextlib.asynccontextmanager
async def running(
    directory: pathlib.Path,
    options: run_options.Options = run_options.DEFAULT_OPTIONS,
    seed: int = 0,
) -> AsyncIterator[Environment]:
    """Start all components and yield them once every node serves.

    Args:
      seed: draws the steps of versions.

    Raises:
      NotReached: a node does not serve within `READY_TIMEOUT_S`.
    """
    record = servers.Record()
    env = Environment(
        object_api.ObjectApi(),
        proxy.Proxy(),
        record,
        promises.PromiseChecker(record),
    )
    if options.planned_stops:
        env.grace_s = PLANNED_STOP_GRACE_S
    env.warm_s = SLOW_WARM_S if options.slow_spares else members.WARM_S
    if options.large_steps:
        env.steps = random.Random(f"steps-{seed}")
    if options.production:
        env.build_of = {
            plan.ROLLBACK: builds.export(options.production, directory),
            plan.UPGRADE: builds.Build(),
        }
    if options.cold:
        env.warmup = configuration.WARMUP
    try:
        await _start_servers(env, options)
        env.write_configuration()
        await _start_nodes(env, directory, options)
        await env.wait_until(env.is_serving, "service", READY_TIMEOUT_S)
        yield env
    finally:
        _stop(env)


def _model_servers(
    env: Environment,
    options: run_options.Options,
    peers: dict[str, servers.RecordingMember],
    prefix: str,
    **settings: str,
) -> list[servers.RecordingMember]:
    """Return the model servers of a service.

    Args:
      peers: of all services.
      prefix: of the ids.
    """
    return [
        servers.RecordingMember(
            f"{prefix}-{number}",
            env.api,
            domain=f"d{number % layout.DOMAINS}",
            peers=peers,
            record=env.record,
            warm_s=env.warm_s,
            zone=layout.zone(number, options),
            **layout.model_server(number, options),
            **settings,
        )
        for number in range(layout.DOMAINS * SERVERS_PER_DOMAIN)
    ]


async def _start_servers(
    env: Environment, options: run_options.Options
) -> None:
    peers: dict[str, servers.RecordingMember] = {}
    env.members = _model_servers(env, options, peers, "i")
    if options.two_services:
        env.second_members = _model_servers(
            env, options, peers, "k", service=servers.SECOND_SERVICE
        )
    for number in range(BOOKING_SERVERS):
        server = servers.BookingServer(
            f"desk-{number}",
            env.api,
            env.record,
            zone=layout.zone(number, options),
        )
        env.booking_servers.append(server)
    for server in env.model_and_booking_servers:
        if options.cold:
            server.warmup.duration_s = configuration.WARMUP["WarmupS"]
        server.listen()
        route = await env.routes.add(server.id, server.address)
        server.proxy_address = f"{serving.HOST}:{route.port}"
        server.announce()
    env.server_links = [
        env.routes.routes[server.id] for server in env.model_and_booking_servers
    ]


async def _start_nodes(
    env: Environment,
    directory: pathlib.Path,
    options: run_options.Options,
) -> None:
    node_ports = [
        [env.ports.take() for _ in range(3)]
        for _ in range(layout.node_count(options))
    ]
    for number, (callers, admin, peers) in enumerate(node_ports):
        name = f"node-{number}"
        endpoint = object_api.Endpoint()
        store_link = await env.routes.add(
            f"{name}-store", env.api.listen(endpoint)
        )
        settings = {
            "id": name,
            "failure_domain": layout.failure_domain(number, options),
            "region": "r1",
            "address": serving.HOST,
            "caller_address": f"{serving.HOST}:{callers}",
            "admin_address": f"{serving.HOST}:{admin}",
            "peer_address": f"{serving.HOST}:{peers}",
            "platform_address": f"{serving.HOST}:{store_link.port}",
            "grace_s": str(env.grace_s),
        }
        peer_link = None
        if options.silent_connections:
            listening = env.ports.take()
            peer_link = await env.routes.add(
                f"{name}-peers", f"{serving.HOST}:{listening}", peers
            )
            settings["peer_listen_port"] = str(listening)
        known = [f"{serving.HOST}:{ports[-1]}" for ports in node_ports]
        settings |= configuration.added_settings(options, known)
        path = directory.resolve() / f"{name}.ini"
        lines = [f"{field} = {value}" for field, value in settings.items()]
        path.write_text("\n".join(["[entry]", *lines, ""]))
        process = processes.Process(
            name, ["balsamlug", "entry", "--settings", str(path)], directory
        )
        if env.build_of:
            env.build_of[plan.ROLLBACK].use(process)
        process.start()
        caller_link = await env.routes.add(name, f"{serving.HOST}:{callers}")
        env.nodes.append(
            Node(number, process, caller_link, store_link, peer_link, endpoint)
        )


def _stop(env: Environment) -> None:
    for node in env.nodes:
        if node.process.running():
            node.process.resume()
            node.process.kill()
    for server in env.model_and_booking_servers:
        server.stop()
    env.routes.close()
    env.api.stop()
    env.ports.release()
