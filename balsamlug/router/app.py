"""Composition root of the router process."""

import asyncio
import contextlib
import random
import signal

import attrs
from tornado import httpserver
from tornado import web

from balsamlug import clock as clocks
from balsamlug import state
from balsamlug.config import schema
from balsamlug.messages import types
from balsamlug.observability import logs
from balsamlug.observability import metrics as metrics_module
from balsamlug.router import completions
from balsamlug.router import control_link
from balsamlug.router import dispatch
from balsamlug.router import handlers
from balsamlug.router import health
from balsamlug.router import lifecycle as lifecycles
from balsamlug.router import quarantine as quarantines
from balsamlug.router import retries
from balsamlug.router import runtime as runtimes
from balsamlug.router import scheduler as schedulers
from balsamlug.router import services
from balsamlug.router import watch

EXPIRE_PERIOD_S = 1.0
BACKLOG = 1024
# Bodies over the configured limit are read and dropped, so that the caller
# gets a typed refusal; this bound only ends a connection.
MAX_READ_BYTES = 1 << 40
IDLE_CONNECTION_S = 3600


@attrs.define
class LiveLimits:
    """Limits of the configuration in force, read at each use."""

    _fleet: state.FleetState

    @property
    def max_queue(self) -> int:
        """Return the bound of a customer's queue."""
        return self._fleet.settings.limits.max_queue


class Router:
    """All parts of one router, wired together."""

    def __init__(
        self,
        node: schema.NodeSettings,
        clock: clocks.Clock,
        rng: random.Random,
        ledger: services.Ledger,
    ) -> None:
        self.node = node
        self.clock = clock
        self.fleet = state.FleetState(node.site)
        self.metrics = metrics_module.RouterMetrics()
        self.link = control_link.ControlLink(
            node.id,
            (node.address, node.control_port),
            self.fleet,
            clock,
            rng,
            self.metrics,
            self.stats,
        )
        self.lifecycle = lifecycles.Lifecycle(self.fleet, self.link.silent_s)
        self.dispatcher = dispatch.Dispatcher(
            schedulers.Scheduler(clock, rng, LiveLimits(self.fleet)),
            self.fleet,
            clock,
            self.metrics,
        )
        self.runtime = runtimes.Runtime(
            clock,
            self.fleet,
            self.metrics,
            self.dispatcher,
            retries.RetryBudget(clock),
            quarantines.Quarantine(self.fleet, clock, self.link.send),
        )
        self.application = self._application(ledger)

    def stats(self) -> types.RouterStats:
        """Return what the controller is told every second."""
        queued = self.dispatcher.queued()
        return types.RouterStats(
            self.lifecycle.in_flight - queued,
            queued,
            self.metrics.refusal_counts(),
            self.lifecycle.leaving,
        )

    def listen(self) -> httpserver.HTTPServer:
        """Accept callers' connections."""
        server = httpserver.HTTPServer(
            self.application,
            max_body_size=MAX_READ_BYTES,
            idle_connection_timeout=IDLE_CONNECTION_S,
        )
        server.listen(
            self.node.caller_port, address=self.node.address, backlog=BACKLOG
        )
        return server

    async def run_loops(self) -> None:
        """Run everything periodic until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.link.run())
            group.create_task(self.link.run_stats())
            group.create_task(self.dispatcher.run())
            group.create_task(watch.run(self.runtime))
            group.create_task(self._expire())

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_PERIOD_S)
            self.fleet.expire(self.clock.monotonic())

    def _application(self, ledger: services.Ledger) -> web.Application:
        shared = {"runtime": self.runtime, "lifecycle": self.lifecycle}
        caller = services.Caller(
            services.Rotation(self.clock),
            self.runtime.budget,
            lambda reason: self.metrics.retries.labels(reason).inc(),
        )
        return web.Application(
            [
                (r"/v1/completions", completions.CompletionsHandler, shared),
                (r"/v1/chat/completions", completions.ChatHandler, shared),
                (
                    r"/services/([^/]+)/(.*)",
                    services.ServiceHandler,
                    shared | {"caller": caller, "ledger": ledger},
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
            # eliot writes one action for each request.
            log_function=lambda handler: None,
        )


async def run(node: schema.NodeSettings, stop_delay_s: float) -> None:
    """Serve until SIGTERM or SIGINT, then leave gracefully."""
    logs.configure(node.log_file)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    router = Router(
        node, clocks.SystemClock(), random.Random(), services.DirectLedger()
    )
    server = router.listen()
    loops = asyncio.create_task(router.run_loops())
    stopped = asyncio.create_task(stop.wait())
    await asyncio.wait((loops, stopped), return_when=asyncio.FIRST_COMPLETED)
    if loops.done():
        loops.result()
    await router.lifecycle.stop(stop_delay_s)
    server.stop()
    await server.close_all_connections()
    loops.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await loops
