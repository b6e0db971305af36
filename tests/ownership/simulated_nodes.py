"""Nodes in memory that run the real control of groups on virtual time."""

import asyncio
import json

import attrs
import cattrs

from balsamlug import catalogue as catalogues
from balsamlug import exceptions
from balsamlug import plain
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.entry import doubtful_prober
from balsamlug.entry import orders as entry_orders
from balsamlug.entry import peer_reports
from balsamlug.gateway import failure_detector
from balsamlug.gateway import groups
from balsamlug.gateway import loads
from balsamlug.gateway import speeds
from balsamlug.health import listed as listing
from balsamlug.messages import types
from balsamlug.ownership import formation
from balsamlug.ownership import manager as managers
from balsamlug.platform import requests as platform_requests
from balsamlug.platform import servers as platform_servers
from tests.ownership import harness
from tests.ownership import simulated_servers as servers

CONTROL_S = 0.2
LIST_S = 0.25
EXCHANGE_S = 0.4
DOMAIN_S = 3.0
REQUEST_S = 0.15


def catalogue(size=servers.SIZE):
    model = catalogues.Model(servers.MODEL, size, load_s=1.0, warm_s=0.5)
    engine = catalogues.Engine(
        slots=4,
        kv_tokens=100_000,
        steps_per_pass=2,
        step_ms=5.0,
        request_ms=0.0,
        context_ms_per_k=0.0,
        prefill_tokens_per_ms=50.0,
        pairs_ms_per_m=0.0,
        loads_per_s=50.0,
        loads_at_once=8,
        form_ms=servers.FORM_S * 1000,
        usual_prompt_tokens=100.0,
        usual_answer_tokens=20.0,
        models=(model,),
    )
    service = catalogues.Service(servers.SERVICE, engine=engine)
    return catalogues.Catalogue(1, services=(service,))


class Store(harness.FakeStore):
    """Store of domain objects that is slow and loses answers."""

    def __init__(self, site, clock):
        super().__init__(clock)
        self.site = site

    async def get(self, kind, name):
        await asyncio.sleep(self.site.rng.random() * 0.05)
        return await super().get(kind, name)

    async def put(self, kind, name, value, expected_version):
        rng = self.site.rng
        await asyncio.sleep(rng.random() * 0.05)
        version = await super().put(kind, name, value, expected_version)
        await asyncio.sleep(rng.random() * 0.05)
        if rng.random() < 0.05:
            raise exceptions.StoreOutage("answer lost")
        return version


class Api(entry_orders.EngineApi):
    """The client of servers, with a simulated network in place of HTTP."""

    def __init__(self, node, site):
        super().__init__(
            platform_servers.ORDER_PATH,
            platform_servers.REPORT_PATH,
            platform_servers.STALE_STATUS,
            platform_servers.order,
            platform_servers.report,
            platform_requests.expected_instance,
        )
        self.node = node
        self.site = site

    async def report(self, instance, address):
        server = await self.site.connect(self.node, address)
        if self.site.reports_name_instance and self._rejects(server, instance):
            raise exceptions.UpstreamFailed("status 421")
        incarnation, raw = self.decode(server.report())
        return incarnation, cattrs.structure(raw, tables.Announcement)

    async def order(self, order):
        server = await self.site.connect(self.node, order.address)
        if not order.permitted():
            raise exceptions.UpstreamUnreachable("no longer permitted")
        if self._rejects(server, order.instance):
            return 421
        body = json.loads(json.dumps(self.encode(order.body)))
        if self.site.rng.random() < self.site.orders_lost:
            await self._lose(server, body)
        return server.order(body)

    async def _lose(self, server, body):
        """Lose an order, or its answer, or execute it late."""
        delay_s = self.site.rng.choice((None, 0.0, 0.3, 1.0, 3.0))
        if delay_s is not None:
            self.site.counts["late"] += 1
            self.site.loop.call_later(
                delay_s, lambda: server.up and server.order(body)
            )
        await asyncio.sleep(entry_orders.ORDER_TIMEOUT_S)
        raise exceptions.UpstreamFailed("no answer")

    def _rejects(self, server, instance):
        headers = self.identify(instance)
        return headers.get("X-Expect-Instance", server.id) != server.id


@attrs.define(eq=False, slots=False)
class Node:
    """The parts of an entry process that form groups and choose heads."""

    id: str
    site: servers.Site
    store: Store
    clock: servers.LoopClock
    peers: dict
    delay_s: float = 0.1
    isolated: bool = False

    def __attrs_post_init__(self):
        site, clock, rng = self.site, self.clock, self.site.rng
        self.state = fleet.FleetState("site")
        self.configure(catalogue())
        self.listed = listing.Listed(self.state, clock)
        self.loads = loads.Loads()
        self.groups = groups.GroupTable(
            self.state, self.listed, clock, self.loads, speeds.Speeds(clock)
        )
        self.state.status_source = self.groups.status
        api = Api(self.id, site)
        self.detector = failure_detector.Detector(
            self.listed, clock, api.report, self._on_lost
        )
        self.sender = entry_orders.OrderSender(
            api, self.state, self.listed, clock, self.groups.invalidate
        )
        self.manager = managers.Manager(
            self.id,
            self.state,
            self.store,
            clock,
            rng,
            self.listed,
            self._address,
            self.sender.send,
            formation.Formation(self.listed).due,
            fenced=True,
            staged_only=True,
            formation_delay_s=0.25,
        )
        self.prober = doubtful_prober.DoubtfulProber(
            self.state,
            self.listed,
            self.manager,
            self.detector,
            clock,
            self.groups.invalidate,
        )
        self.peer_reports = peer_reports.PeerReports(
            self.listed, self.detector, self.groups.invalidate
        )
        self.state.subscribe(self._on_update)

    def configure(self, value):
        self.state.catalogue = value
        self.state.settings = catalogues.settings(value)
        self.state.config_revision += 1

    def start(self):
        loops = (
            (CONTROL_S, self._control),
            (LIST_S, self._read_list),
            (EXCHANGE_S, self._exchange),
            (DOMAIN_S, self._read_domains),
            (REQUEST_S, self._request),
        )
        return [
            asyncio.create_task(self._repeat(interval_s, task))
            for interval_s, task in loops
        ]

    async def _repeat(self, interval_s, task):
        while True:
            await asyncio.sleep(
                interval_s * (0.8 + 0.4 * self.site.rng.random())
            )
            task()

    def _control(self):
        self.manager.tick()
        self.prober.tick()

    def _read_list(self):
        if self.isolated:
            return
        message = types.InstanceUpdate(
            self.site.revision, self.site.instances()
        )
        self._later(lambda: self._publish(message))

    def _read_domains(self):
        if self.isolated:
            return
        for name, (version, raw) in self.store.objects.items():
            update = types.DomainUpdate(name, version, json.loads(raw))
            self._later(lambda update=update: self._publish(update))

    def _exchange(self):
        unlisted = self.prober.announcements()
        for peer in self.peers.values():
            if peer is self or self.site.rng.random() < 0.2:
                continue
            for instance, raw in unlisted.items():
                announcement = plain.announcement_from_dict(raw)
                self._later(
                    lambda p=peer, i=instance, a=announcement: (
                        p.peer_reports.on_responding(i, a)
                    )
                )

    def _request(self):
        for candidate in self.groups.candidates(
            servers.SERVICE, servers.MODEL, frozenset()
        ):
            asyncio.create_task(self._send(candidate))

    async def _send(self, candidate):
        try:
            server = await self.site.connect(self.id, candidate.address)
        except exceptions.Refusal:
            group = self.groups.group(candidate.group)
            if group is not None and await self.detector.is_lost(group, ""):
                self.groups.invalidate()
            return
        if not self.groups.may_send(candidate):
            return
        if server.id == candidate.head:
            self.site.run(server, servers.MODEL)

    def _on_lost(self, instance):
        self.groups.invalidate()
        for peer in self.peers.values():
            if peer is not self:
                self._later(
                    lambda p=peer: p.peer_reports.on_unresponsive(instance)
                )

    def _on_update(self, message):
        self.groups.invalidate()
        if isinstance(message, types.InstanceUpdate):
            self.listed.refresh()
        if isinstance(message, types.DomainUpdate):
            for peer in self.peers.values():
                if peer.state.domains.get(message.domain) is not None and (
                    peer.state.domains[message.domain].version
                    >= message.version
                ):
                    continue
                if self.site.rng.random() > 0.2 and not peer.isolated:
                    self._later(lambda p=peer: p._publish(message))

    def _publish(self, message):
        self.state.publish(message, self.clock.monotonic())

    def _later(self, action):
        delay_s = self.site.rng.random() * 2 * self.delay_s
        self.site.loop.call_later(delay_s, action)

    def _address(self, instance):
        current = self.listed.current(instance)
        return current.address if current is not None else ""
