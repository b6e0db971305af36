"""Composition root of the router process: it creates and runs all parts."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import functools
import gc
import random
import resource
import signal

import attrs
from tornado import httpserver
from tornado import web

from balsamlug import clock as clocks
from balsamlug import hashing
from balsamlug import limit_table
from balsamlug import notices
from balsamlug import quarantine as quarantines
from balsamlug import rate_limits
from balsamlug import state
from balsamlug import supervision
from balsamlug.config import schema
from balsamlug.messages import types
from balsamlug.observability import logs
from balsamlug.observability import metrics as metrics_module
from balsamlug.paths import connector as connectors
from balsamlug.paths import monitor as monitors
from balsamlug.paths import references
from balsamlug.router import completions
from balsamlug.router import control_link
from balsamlug.router import dispatch
from balsamlug.router import handlers
from balsamlug.router import head_status
from balsamlug.router import health
from balsamlug.router import isolation
from balsamlug.router import ledger as ledgers
from balsamlug.router import ledger_cleanup
from balsamlug.router import ledger_writer
from balsamlug.router import lifecycle as lifecycles
from balsamlug.router import permits
from balsamlug.router import retries
from balsamlug.router import runtime as runtimes
from balsamlug.router import scheduler as schedulers
from balsamlug.router import services
from balsamlug.router import watch
from balsamlug.store import client

EXPIRE_PERIOD_S = 1.0
# A shutdown waits this long for responses that the object API has not stored
# yet.
LEDGER_STOP_TIMEOUT_S = 30.0
LISTEN_BACKLOG = 1024
# A body over the configured limit is read and dropped, so that the caller
# receives a typed refusal. Tornado closes the connection only above this bound.
MAX_READ_BYTES = 1 << 40
IDLE_CONNECTION_TIMEOUT_S = 3600
# Closes the connection of a caller that does not send its complete body.
BODY_TIMEOUT_S = 60


@attrs.define
class CurrentLimits:
    """Limits of the active configuration, read at each use."""

    _fleet: state.FleetState

    @property
    def max_queue(self) -> int:
        """Return the maximum number of queued requests of a customer."""
        return self._fleet.settings.limits.max_queue


class Router:
    """All parts of one router."""

    def __init__(
        self,
        node: schema.NodeSettings,
        clock: clocks.Clock,
        rng: random.Random,
        store: client.ObjectStore,
        metrics: metrics_module.RouterMetrics,
    ) -> None:
        self.node = node
        self.clock = clock
        self.fleet = state.FleetState(node.site)
        self.metrics = metrics
        self.link = control_link.ControlLink(
            node.id,
            (node.address, node.control_port),
            self.fleet,
            clock,
            rng,
            self.metrics,
            self.stats,
            self._on_grant,
        )
        self.permits = permits.Permits(self.link.send)
        self.lifecycle = lifecycles.Lifecycle(
            self.fleet, self.link.disconnected_s
        )
        self.rate_limits = rate_limits.RateLimits(
            limit_table.LimitTable(clock),
            clock,
            rng,
            lambda: len(self.fleet.live_nodes()),
        )
        connector = connectors.Connector(
            node.id,
            monitors.PathMonitor(
                clock, references=references.References(self.fleet, rng).choose
            ),
            self.fleet.live_nodes,
            clock,
            rng,
            self._record_notice,
        )
        self.dispatcher = dispatch.Dispatcher(
            schedulers.Scheduler(clock, rng, CurrentLimits(self.fleet)),
            self.rate_limits,
            notices.Notices(clock, rng, on_stated=self._share_notice),
            self.fleet,
            clock,
            self.metrics,
        )
        self.address_notices = notices.Notices(
            clock, rng, services.ADDRESS_LEAVING_S, self._share_notice
        )
        self.fleet.subscribe(self.dispatcher.notices.on_update)
        self.fleet.subscribe(self.address_notices.on_update)
        self.runtime = runtimes.Runtime(
            clock,
            self.fleet,
            self.metrics,
            self.dispatcher,
            retries.RetryBudget(clock),
            isolation.Isolation(
                quarantines.Quarantine(
                    self.fleet,
                    clock,
                    limits=isolation.LIMITS,
                    on_publish=self.link.send,
                ),
                clock,
                self.link.send,
                self.permits,
            ),
            head_status.Heads(self.fleet, connector.connect),
            connector,
        )
        self.ledger = self._make_ledger(rng, store)
        self.ledger_cleanup = ledger_cleanup.LedgerCleanup(
            store, clock, self._retention_hours, self._is_responsible
        )
        self.fleet.subscribe(
            lambda message: self.ledger.observe_era(self.fleet.store_era)
        )
        self.application = self._application()

    def stats(self) -> types.RouterStats:
        """Return the statistics that the controller receives every second."""
        queued = self.dispatcher.queued()
        return types.RouterStats(
            self.lifecycle.in_flight - queued,
            queued,
            self.metrics.refusal_counts(),
            self.lifecycle.leaving,
        )

    def _share_notice(self, notice: types.UpstreamNotice, relay: str) -> None:
        """Tell the process that serves tunnels of the node in question."""
        if relay:
            self.runtime.connector.share(notice, relay)
        else:
            self.link.send(notice)

    def _record_notice(self, notice: types.UpstreamNotice) -> None:
        self.dispatcher.notices.record(notice)
        self.address_notices.record(notice)

    def _on_grant(self, grant: types.PermitGrant) -> None:
        self.permits.handle_grant(grant)

    def listen(self) -> httpserver.HTTPServer:
        """Start to accept connections of callers."""
        server = httpserver.HTTPServer(
            self.application,
            max_body_size=MAX_READ_BYTES,
            idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_S,
            body_timeout=BODY_TIMEOUT_S,
        )
        server.listen(
            self.node.caller_port,
            address=self.node.address,
            backlog=LISTEN_BACKLOG,
        )
        return server

    async def run_loops(self) -> None:
        """Run all background loops until cancelled."""
        async with asyncio.TaskGroup() as group:
            for name, loop in self._loops().items():
                group.create_task(supervision.run(name, loop))

    def _loops(self) -> dict[str, Callable[[], Awaitable[None]]]:
        return {
            "link": self.link.run,
            "stats": self.link.run_stats,
            "dispatcher": self.dispatcher.run,
            "watch": functools.partial(watch.run, self.runtime),
            "expire": self._expire,
            "ledger_cleanup": self.ledger_cleanup.run,
        }

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_PERIOD_S)
            self.fleet.expire(self.clock.monotonic())
            self.rate_limits.table.expire()
            self.dispatcher.notices.expire()
            self.address_notices.expire()

    def _is_responsible(self, name: str) -> bool:
        nodes = [node.id for node in self.fleet.live_nodes()]
        return hashing.rank(name, nodes)[:1] == [self.node.id]

    def _retention_hours(self) -> int:
        return self.fleet.settings.limits.retention_hours

    def _make_ledger(
        self, rng: random.Random, store: client.ObjectStore
    ) -> ledgers.Ledger:
        writer = ledger_writer.LedgerWriter(
            store,
            self.clock,
            rng,
            self._retention_hours,
            self._count_commit,
        )
        return ledgers.Ledger(
            writer,
            self.clock,
            self.node.id,
            self._retention_hours,
            lambda event: self.metrics.ledger_events.labels(event).inc(),
        )

    def _count_commit(self, operations: int) -> None:
        self.metrics.ledger_commits.inc()
        self.metrics.ledger_operations.inc(operations)

    def _application(self) -> web.Application:
        shared = {"runtime": self.runtime, "lifecycle": self.lifecycle}
        caller = services.ServiceClient(
            services.AddressRotation(self.clock),
            self.runtime.budget,
            self.rate_limits,
            self.address_notices,
            lambda reason: self.metrics.retries.labels(reason).inc(),
        )
        return web.Application(
            [
                (r"/v1/completions", completions.CompletionsHandler, shared),
                (r"/v1/chat/completions", completions.ChatHandler, shared),
                (
                    r"/services/([^/]+)/(.*)",
                    services.ServiceHandler,
                    shared | {"caller": caller, "ledger": self.ledger},
                ),
                (r"/healthz", health.HealthHandler),
                (
                    r"/readyz",
                    health.ReadyHandler,
                    {"lifecycle": self.lifecycle},
                ),
                (
                    r"/metrics",
                    health.MetricsHandler,
                    {"metrics": self.metrics},
                ),
            ],
            default_handler_class=handlers.UnknownPathHandler,
            default_handler_args=shared,
            # eliot logs one action for each request, so Tornado logs none.
            log_function=lambda handler: None,
        )


def _raise_file_limit() -> None:
    """Raise the limit of open files: each stream needs two sockets."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def _freeze_heap() -> None:
    """Exclude the objects created at startup from garbage collection.

    They exist as long as the process, and a full collection over them paused
    all streams for 67 ms.
    """
    gc.collect()
    gc.freeze()


async def run(node: schema.NodeSettings, stop_delay_s: float) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully."""
    logs.configure(node.log_file)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    metrics = metrics_module.RouterMetrics()
    store = client.ObjectStore(
        node.platform,
        lambda call, outcome: metrics.store_calls.labels(call, outcome).inc(),
    )
    router = Router(node, clocks.SystemClock(), random.Random(), store, metrics)
    server = router.listen()
    _raise_file_limit()
    _freeze_heap()
    loops = asyncio.create_task(router.run_loops())
    stopped = asyncio.create_task(stop.wait())
    await asyncio.wait((loops, stopped), return_when=asyncio.FIRST_COMPLETED)
    if loops.done():
        loops.result()
    await router.lifecycle.stop(stop_delay_s)
    await router.ledger.finish(LEDGER_STOP_TIMEOUT_S)
    store.close()
    server.stop()
    # Requests may have arrived while the ledger finished.
    await router.lifecycle.drained()
    await server.close_all_connections()
    loops.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await loops
