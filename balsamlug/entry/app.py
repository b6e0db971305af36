"""Composition root of the entry process: gateway and controller of a node."""

import asyncio
from collections.abc import Callable
import contextlib
import functools
import random

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import limit_table
from balsamlug import notices
from balsamlug import quarantine as quarantines
from balsamlug import rate_limits
from balsamlug import state as fleet
from balsamlug import supervision
from balsamlug.config import schema
from balsamlug.controller import admin
from balsamlug.controller import metrics as control_metrics
from balsamlug.controller import watchers
from balsamlug.entry import doubtful_prober
from balsamlug.entry import evacuation
from balsamlug.entry import orders as entry_orders
from balsamlug.entry import peer_reports
from balsamlug.entry import registration
from balsamlug.entry import warming
from balsamlug.gateway import calls
from balsamlug.gateway import context as contexts
from balsamlug.gateway import durations
from balsamlug.gateway import endings
from balsamlug.gateway import exchange
from balsamlug.gateway import failure_detector
from balsamlug.gateway import frontend
from balsamlug.gateway import grace as graces
from balsamlug.gateway import groups
from balsamlug.gateway import loads
from balsamlug.gateway import overload
from balsamlug.gateway import receive_budget
from balsamlug.gateway import recent_refusals
from balsamlug.gateway import service
from balsamlug.gateway import speeds
from balsamlug.gateway import unread_answers
from balsamlug.health import listed as listing
from balsamlug.membership import peers
from balsamlug.messages import types
from balsamlug.observability import metrics as metric
from balsamlug.ownership import explain as explainers
from balsamlug.ownership import formation
from balsamlug.ownership import manager as managers
from balsamlug.paths import connector as connectors
from balsamlug.paths import monitor as monitors
from balsamlug.paths import references
from balsamlug.paths import relay as relays
from balsamlug.platform import objects as platform_objects
from balsamlug.platform import requests as platform_requests
from balsamlug.platform import servers as platform_servers
from balsamlug.router import retries
from balsamlug.store import client

# The lease manager runs at least this often, and after every change.
CONTROL_INTERVAL_S = 0.2
EXCHANGE_INTERVAL_S = 0.05
EXPIRY_INTERVAL_S = 1.0
# Answers and streams are late when timers fire this late.
LOGGED_DELAY_S = 0.2
# The platform stops sending callers to a node after two failed readiness
# checks, one per second.
MIN_LEAVE_S = 3.0
# Limits the wait for callers that do not read the end of their answers.
CLOSE_CONNECTIONS_TIMEOUT_S = 0.2
# Bound of the time in which the report of a node, or the loss of an engine that
# it has seen, reaches the others.
REPORT_TRANSIT_S = 0.1
# Limits the wait for the answers with which the last requests end.
LAST_ANSWERS_TIMEOUT_S = 0.2
STOP_POLL_INTERVAL_S = 0.05
LIST_INTERVAL_S = 0.25
# At a start, all servers appear in the list within this time of each other.
STARTUP_FORMATION_DELAY_S = 0.25
# The second watcher of a failure domain replaces the first one after its loss.
# Alone, it must still deliver updates within the limit of 2 s.
STANDBY_INTERVAL_S = 0.8
# Settings that a reload applies.
RELOADABLE_SETTINGS = (
    "grace_s",
    "retry_share",
    "retry_window_s",
    "retry_allowance",
)
# Lease holders send changes to all nodes; the watch only finds lost messages.
DOMAIN_INTERVAL_S = 3.0


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
        control = control_metrics.create(self.metrics.registry)
        self.wire = platform_objects.PlatformWire()
        self.store = client.ObjectStore(
            node.platform,
            lambda call, outcome: control.store_calls.labels(
                call, outcome
            ).inc(),
            self.wire,
        )
        self.state = fleet.FleetState(node.site)
        self.listed = listing.Listed(self.state, clock)
        self.exclusion = evacuation.exclusion(
            settings, self.state, self.listed, clock
        )
        self.loads = loads.Loads()
        self.groups = groups.GroupTable(
            self.state,
            self.listed,
            clock,
            self.loads,
            speeds.Speeds(clock),
            self.exclusion,
        )
        self.state.status_source = self.groups.status
        self.listed.in_flight = lambda group: self.loads.total(
            group, clock.monotonic()
        )
        self.listed.bound_requests = lambda group: self.loads.total(
            loads.bound_key(group), clock.monotonic()
        )
        self.listed.is_retiring = self.groups.is_retiring
        self.listed.counts_age_s = self._counts_age_s
        self.peers = peers.Peers(node, self.state, clock, rng, control)
        self.watchers = watchers.Watchers(
            node,
            self.state,
            self.store,
            clock,
            rng,
            self.wire.configuration,
            LIST_INTERVAL_S,
            DOMAIN_INTERVAL_S,
            STANDBY_INTERVAL_S,
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
        api = entry_orders.EngineApi(
            platform_servers.ORDER_PATH,
            platform_servers.REPORT_PATH,
            platform_servers.STALE_STATUS,
            platform_servers.order,
            platform_servers.report,
            platform_requests.expected_instance,
            self.connector.connect,
        )
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
        self.manager = managers.Manager(
            node.id,
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
            formation_delay_s=STARTUP_FORMATION_DELAY_S,
            prefers_warm_heads=bool(settings.warmup_overshoot),
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
        self.budget = retries.RetryBudget(
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
                endings.Endings(
                    self.state,
                    self.listed,
                    clock,
                    self.detector.is_local_path_up,
                    functools.partial(
                        endings.connect,
                        open_connection=self.connector.connect,
                    ),
                ),
                self.budget,
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
            ),
            node.failure_domain,
            calls.RecentFailures(clock),
        )
        bounds = receive_budget.derive(settings.memory_mb, settings.max_fds)
        eliot.log_message("receive_limits", **attrs.asdict(bounds))
        self.relay.max_tunnels = bounds.tunnels
        self.relay.longest_request_s = lambda: (
            self.state.catalogue.longest_timeout_s
        )
        self.frontend = frontend.Frontend(
            self.gateway.handle,
            headers,
            clock,
            self.state.catalogue.limits,
            bounds,
            lambda reason: self.metrics.shed.labels(reason).inc(),
        )
        self.frontend.unread = unread_answers.create(
            settings.unread_mb, clock, self.metrics
        )
        self.admin = admin.make_server(
            admin.View(
                self.status,
                self.explain,
                self.not_ready_reason,
                self.metrics.registry,
            )
        )
        self._enable_overload_control()
        self._explainer = explainers.Explainer(
            node.id, self.state, self.manager
        )
        self._wake = asyncio.Event()
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

    def _enable_overload_control(self) -> None:
        if not self.settings.overload_control:
            return
        self.gateway.ctx.admission = overload.OverloadControl(
            self.loads,
            self.clock,
            self.exchange.lag_s,
            lambda reason: self.metrics.admissions.labels(reason).inc(),
        )

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
                ("control", self._control),
                ("housekeep", self._housekeep),
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
        self.grace.begin(signalled_s, self.settings.grace_s)
        eliot.log_message(
            "stopping",
            grace_s=self.settings.grace_s,
            rest_s=self.grace.rest_s,
            in_flight=self.gateway.in_flight,
            tunnels=self.relay.open_count,
        )
        leave_s = signalled_s + min(MIN_LEAVE_S, self.settings.grace_s / 2)
        self.gateway.leave()
        self.relay.leaving = True
        self.peers.table.set_leaving(True)
        lease_transfer = asyncio.create_task(self.manager.stop())
        while (rest_s := self.grace.rest_s) > 0:
            has_left = self.clock.monotonic() >= leave_s
            if has_left and not (self.frontend.busy or self.relay.open_count):
                break
            await asyncio.sleep(min(rest_s, STOP_POLL_INTERVAL_S))
        lease_transfer.cancel()
        in_flight = self.gateway.in_flight
        self.gateway.end_requests()
        refusal = self.grace.refusal("the node stops")
        await self.frontend.refuse_rest(refusal)
        await self._until(lambda: not self.frontend.busy)
        eliot.log_message(
            "stopped",
            took_s=self.clock.monotonic() - signalled_s,
            in_flight=in_flight,
            tunnels=self.relay.open_count,
        )
        await self.close()

    async def _until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition for as long as the end of a stop may take."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_ANSWERS_TIMEOUT_S):
                while not condition():
                    await asyncio.sleep(0)

    def _counts_age_s(self) -> float:
        nodes = len(self.state.live_nodes())
        return loads.report_interval_s(nodes) + REPORT_TRANSIT_S

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
        need_restart = [
            field.name
            for field in attrs.fields(schema.EntrySettings)
            if field.name not in RELOADABLE_SETTINGS
            and getattr(settings, field.name)
            != getattr(self.settings, field.name)
        ]
        changes = {
            name: getattr(settings, name) for name in RELOADABLE_SETTINGS
        }
        self.settings = attrs.evolve(self.settings, **changes)
        self.budget.share = settings.retry_share
        self.budget.window_s = settings.retry_window_s
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

    async def _control(self) -> None:
        while True:
            self._wake.clear()
            try:
                if not self.gateway.leaving:
                    self.manager.tick()
            except Exception:  # Without this task, leases would expire.
                eliot.write_traceback()
            try:
                async with asyncio.timeout(CONTROL_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _housekeep(self) -> None:
        last_expiry_s = 0.0
        now_s = self.clock.monotonic()
        while True:
            started_s = now_s
            await asyncio.sleep(EXCHANGE_INTERVAL_S)
            now_s = self.clock.monotonic()
            self._log_delay(now_s - started_s - EXCHANGE_INTERVAL_S)
            self.gateway.ctx.admission.tick()
            self.exchange.tick()
            self.doubtful_prober.tick()
            if now_s - last_expiry_s >= EXPIRY_INTERVAL_S:
                last_expiry_s = now_s
                self.state.expire(now_s)
                self.limits.expire()
                self.notices.expire()
                self.evacuation_monitor.refresh()
                self.warmup.expire()
                self.ramps.observe(self.groups.complete)
                nodes = max(1, len(self.state.live_nodes()))
                self.budget.base_retries = self.settings.retry_allowance / nodes

    def _log_delay(self, delay_s: float) -> None:
        """Log that timers fire late, as the process was busy or paused."""
        if delay_s >= LOGGED_DELAY_S:
            eliot.log_message(
                "timers_delayed",
                delay_ms=round(delay_s * clocks.MS_PER_S),
                in_flight=self.gateway.in_flight,
                revision=self.state.config_revision,
            )

    def _on_update(self, message: types.Message) -> None:
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
            self._wake.set()

    def _on_progress(self) -> None:
        self.groups.invalidate()
        self._wake.set()

    def _on_lost(self, instance: str) -> None:
        self._on_progress()
        self.exchange.report_unresponsive(instance)

    def _on_answered(self, instance: str) -> None:
        self.exchange.withdraw_unresponsive(instance)
        self.doubtful_prober.record_answer(instance)

    def _address(self, instance: str) -> str:
        current = self.listed.current(instance)
        return current.address if current is not None else ""
