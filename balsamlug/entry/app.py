"""Composition root of the entry process: gateway and controller of a node."""

import asyncio
import contextlib
import random

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import limit_table
from balsamlug import notices
from balsamlug import quarantine as quarantines
from balsamlug import rate_limits
from balsamlug import supervision
from balsamlug.config import schema
from balsamlug.controller import admin
from balsamlug.controller import metrics as control_metrics
from balsamlug.entry import control
from balsamlug.entry import doubtful_prober
from balsamlug.entry import evacuation
from balsamlug.entry import fleet_tables
from balsamlug.entry import orders as entry_orders
from balsamlug.entry import peer_reports
from balsamlug.entry import periodic
from balsamlug.entry import registration
from balsamlug.entry import reloading
from balsamlug.entry import serving
from balsamlug.entry import shutdown
from balsamlug.entry import warming
from balsamlug.gateway import calls
from balsamlug.gateway import context as contexts
from balsamlug.gateway import durations
from balsamlug.gateway import exchange
from balsamlug.gateway import failure_detector
from balsamlug.gateway import grace as graces
from balsamlug.gateway import recent_refusals
from balsamlug.gateway import service
from balsamlug.membership import peers
from balsamlug.messages import types
from balsamlug.observability import metrics as metric
from balsamlug.ownership import explain as explainers
from balsamlug.paths import connector as connectors
from balsamlug.paths import monitor as monitors
from balsamlug.paths import references
from balsamlug.paths import relay as relays
from balsamlug.platform import objects as platform_objects
from balsamlug.platform import requests as platform_requests
from balsamlug.router import retries

# Limits the wait for callers that do not read the end of their answers.
CLOSE_CONNECTIONS_TIMEOUT_S = 0.2


class Entry:
    """All components of one entry process."""

    def __init__(
        self, settings: schema.EntrySettings, clock: clocks.Clock
    ) -> None:
        self.settings = settings
        self.clock = clock
        rng = random.Random()
        node = settings.node()
        self.metrics = metric.GatewayMetrics()
        controller_metrics = control_metrics.create(self.metrics.registry)
        self.wire = platform_objects.PlatformWire()
        self.store = control.store(node, self.wire, controller_metrics)
        tables = fleet_tables.create(settings, node.site, clock)
        self.state = tables.state
        self.listed = tables.listed
        self.exclusion = tables.exclusion
        self.loads = tables.loads
        self.groups = tables.groups
        self.peers = peers.Peers(
            node, self.state, clock, rng, controller_metrics
        )
        self.watchers = control.watcher(
            node, self.state, self.store, clock, rng, self.wire
        )
        evacuation.watch(settings, self.state, self.store, clock, self.watchers)
        self.evacuation_monitor = evacuation.Monitor(
            self.state,
            self.exclusion,
            clock,
            self.metrics.evacuated_domains.set,
        )
        self.registration = registration.Registration(
            node, self.store, self.peers.table
        )
        paths = monitors.PathMonitor(
            clock,
            self.groups.forget_failures,
            references.References(self.state, rng).choose,
        )
        self.connector = connectors.Connector(
            node.id, paths, self.state.live_nodes, clock, rng
        )
        self.notices = notices.Notices(
            clock, rng, on_stated=self.connector.share
        )
        self.relay = relays.Relay(
            paths, self.state.is_upstream, self.notices.current
        )
        api = control.engine_api(self.connector.connect)
        self.detector = failure_detector.Detector(
            self.listed,
            clock,
            api.report,
            is_path_up=paths.is_up,
            was_path_lost_since=paths.was_lost_since,
        )
        self.sender = entry_orders.OrderSender(
            api, self.state, self.listed, clock
        )
        self.manager = control.manager(
            settings,
            self.state,
            self.store,
            clock,
            rng,
            self.listed,
            self.sender.send,
        )
        self.recent_refusals = recent_refusals.RecentRefusals(clock)
        self.limits = limit_table.LimitTable(clock)
        self.rate_limits = rate_limits.RateLimits(
            self.limits, clock, rng, lambda: len(self.state.live_nodes())
        )
        self.exchange = exchange.Exchange(
            node.id,
            clock.wall_ms(),
            self.state,
            self.loads,
            clock,
            self.recent_refusals,
            self.limits,
        )
        self.doubtful_prober = doubtful_prober.DoubtfulProber(
            self.state, self.listed, self.manager, self.detector, clock
        )
        self.peer_reports = peer_reports.PeerReports(self.listed, self.detector)
        headers = platform_requests.PlatformHeaders()
        self.budgets = retries.RetryBudgets(
            clock, settings.retry_share, window_s=settings.retry_window_s
        )
        self.grace = graces.Grace(clock, self._has_successor)
        self.warmup = warming.permits(
            settings, self.state, clock, rng, self.metrics
        )
        self.ramps = warming.ramps(
            settings,
            self.state,
            self.loads,
            clock,
            rng,
            self.metrics,
            self.exchange,
            self.warmup,
        )
        self.gateway = service.Gateway(
            contexts.Context(
                self.state,
                clock,
                rng,
                headers,
                self.loads,
                self.groups,
                self.detector,
                serving.failure_endings(
                    self.state,
                    self.listed,
                    clock,
                    self.detector,
                    self.connector,
                ),
                self.budgets,
                self.rate_limits,
                self.recent_refusals,
                quarantines.Quarantine(self.state, clock, node.id, rng=rng),
                self.metrics,
                self.connector,
                self.notices,
                self.grace,
                durations.Durations(clock),
                exclusion=self.exclusion,
                warmup=self.warmup,
                ramps=self.ramps,
                admission=serving.admission(
                    settings, self.loads, clock, self.exchange, self.metrics
                ),
            ),
            node.failure_domain,
            calls.RecentFailures(clock),
        )
        bounds = serving.receive_limits(settings)
        self.relay.max_tunnels = bounds.tunnels
        self.relay.longest_request_s = lambda: (
            self.state.catalogue.longest_timeout_s
        )
        self.frontend = serving.create_frontend(
            settings,
            self.gateway.handle,
            headers,
            clock,
            self.state.catalogue.limits,
            bounds,
            self.metrics,
        )
        self.admin = admin.make_server(
            admin.View(
                self.status,
                self.explain,
                self.not_ready_reason,
                self.metrics.registry,
            )
        )
        self._explainer = explainers.Explainer(
            node.id, self.state, self.manager
        )
        self._shutdown = shutdown.Shutdown(
            clock,
            self.grace,
            self.gateway,
            self.frontend,
            self.relay,
            self.peers,
            self.manager,
        )
        self._control = periodic.Control(self.manager, self.gateway)
        self._housekeeping = periodic.Housekeeping(
            clock, self.gateway, self.state, self._tick, self._expire
        )
        self._connect_callbacks()
        self._tasks: list[asyncio.Task] = []

    def _connect_callbacks(self) -> None:
        self.state.subscribe(self._on_update)
        self.state.subscribe(self.notices.on_update)
        self.state.subscribe(self.evacuation_monitor.on_update)
        self.state.subscribe(self.warmup.on_update)
        self.connector.on_notice = self.notices.record
        self.peers.on_tunnel_request = self.relay.serve
        self.detector.on_lost = self._on_lost
        self.detector.on_answered = self._on_answered
        self.detector.on_probe = lambda instance: self.limits.record_sent(
            limit_table.instance_key(instance)
        )
        self.limits.lag_s = self.exchange.lag_s
        self.exchange.on_unresponsive = self.peer_reports.on_unresponsive
        self.exchange.on_unlisted = self.peer_reports.on_responding
        self.peer_reports.on_change = self._on_progress
        self.exchange.collect_unlisted = self.doubtful_prober.announcements
        self.doubtful_prober.on_change = self._on_progress
        self.sender.on_progress = self._on_progress

    async def start(self) -> None:
        """Listen on all ports and start all tasks."""
        node = self.peers.settings
        self.admin.listen(node.admin_port, node.address)
        if self.settings.metrics_port:
            self.admin.listen(self.settings.metrics_port, node.address)
        self.peers.start()
        await self.exchange.start(node.address, node.peer_port)
        self.frontend.server.listen(node.caller_port, node.address)
        self.watchers.start()
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(supervision.run(name, task))
            for name, task in (
                ("control", self._control.run),
                ("housekeep", self._housekeeping.run),
                ("registration", self.registration.run),
            )
        ]

    async def stop(self, signalled_s: float | None = None) -> None:
        """Become unready, then drain requests within the grace period.

        Args:
          signalled_s: monotonic time of the signal, None for now.
        """
        if signalled_s is None:
            signalled_s = self.clock.monotonic()
        await self._shutdown.drain(signalled_s, self.settings.grace_s)
        await self.close()

    def _has_successor(self) -> bool:
        node = self.settings.id
        return any(other.id != node for other in self.state.live_nodes())

    async def close(self) -> None:
        """Stop at once, without a transfer of leases."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.sender.stop()
        self.peer_reports.stop()
        await self.watchers.stop()
        self.peers.stop()
        self.exchange.stop()
        self.frontend.server.stop()
        self.admin.stop()
        self.store.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_CONNECTIONS_TIMEOUT_S):
                await self.frontend.server.close_all_connections()

    def apply(self, settings: schema.EntrySettings) -> None:
        """Apply reloadable settings; others apply at the next start."""
        need_restart = reloading.need_restart(self.settings, settings)
        changes = reloading.reloadable(settings)
        self.settings = attrs.evolve(self.settings, **changes)
        self.budgets.share = settings.retry_share
        self.budgets.window_s = settings.retry_window_s
        self.budgets.refresh()
        eliot.log_message(
            "reloaded", changes=changes, need_restart=need_restart
        )

    def not_ready_reason(self) -> str:
        """Return why the node is not ready, empty when it is."""
        if self.gateway.leaving:
            return "stopping"
        if not self.state.catalogue.revision:
            return "no configuration"
        if not self.state.instances:
            return "no list of instances"
        return ""

    def status(self) -> dict:
        """Return the status of the node as JSON values."""
        now_s = self.clock.monotonic()
        node_status = admin.node_status(
            self.peers.settings,
            self.peers,
            self.watchers,
            self.state,
            self.not_ready_reason(),
        )
        gateway_status = {
            "in_flight": self.gateway.in_flight,
            "evacuated": sorted(self.exclusion.current()),
        }
        return self._explainer.status(now_s) | node_status | gateway_status

    def explain(self, subject: str) -> list[str]:
        """Return the reasons for the state of a subject."""
        return self._explainer.explain(subject, self.clock.monotonic())

    def _tick(self) -> None:
        self.gateway.ctx.admission.tick()
        self.exchange.tick()
        self.doubtful_prober.tick()

    def _expire(self, now_s: float) -> None:
        self.state.expire(now_s)
        self.limits.expire()
        self.notices.expire()
        self.evacuation_monitor.refresh()
        self.warmup.expire()
        self.ramps.observe(self.groups.complete)
        nodes = max(1, len(self.state.live_nodes()))
        self.budgets.base_retries = self.settings.retry_allowance / nodes
        self.budgets.refresh()

    def _on_update(self, message: types.Message) -> None:
        if isinstance(message, types.StoreRead | types.CrashedPrompt):
            return
        self.groups.invalidate()
        if isinstance(message, types.InstanceUpdate | types.InstanceDelta):
            self.listed.refresh()
        if isinstance(message, types.ConfigUpdate):
            self.frontend.apply(self.state.catalogue.limits)
            eliot.log_message(
                "configuration_applied",
                revision=message.revision,
                routes=len(self.state.catalogue.routes),
                customers=len(self.state.catalogue.customers),
            )
        if not isinstance(message, types.NodeUpdate):
            self._control.wake()

    def _on_progress(self) -> None:
        self.groups.invalidate()
        self._control.wake()

    def _on_lost(self, instance: str) -> None:
        self._on_progress()
        self.exchange.report_unresponsive(instance)

    def _on_answered(self, instance: str) -> None:
        self.exchange.withdraw_unresponsive(instance)
        self.doubtful_prober.record_answer(instance)
