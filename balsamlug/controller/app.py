"""Controller process: builds, starts and stops its parts."""

import asyncio
import random
import signal
import sys

import eliot
from tornado import ioloop

from balsamlug import clock as clocks
from balsamlug import notices
from balsamlug import state as fleet
from balsamlug.config import schema
from balsamlug.controller import admin
from balsamlug.controller import control_server
from balsamlug.controller import metrics as metric
from balsamlug.controller import permits
from balsamlug.controller import tasks
from balsamlug.controller import watchers
from balsamlug.membership import peers
from balsamlug.messages import types
from balsamlug.paths import monitor as monitors
from balsamlug.paths import references
from balsamlug.paths import relay as relays
from balsamlug.store import client

EXPIRE_INTERVAL_MS = 1_000
CONTROLLER_ROLE = "controller"
# A router reports its state every second. A router that is stopped together
# with the controller has reported that it drains within this time.
DRAIN_REPORT_S = 2.0
DRAIN_POLL_S = 0.1


class Controller:
    """All parts of one controller, started in dependency order.

    Args:
      store: client of the object API; tests pass a fake.
    """

    def __init__(
        self,
        settings: schema.NodeSettings,
        clock: clocks.Clock,
        rng: random.Random,
        store: client.ObjectStore | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.metrics = metric.create()
        self.store = store or client.ObjectStore(
            settings.platform, self._count_call
        )
        self.state = fleet.FleetState(settings.site)
        self.peers = peers.Peers(settings, self.state, clock, rng, self.metrics)
        self.tasks = tasks.ControlTasks(
            settings, self.state, self.store, clock, rng
        )
        self.watchers = watchers.Watchers(
            settings, self.state, self.store, clock, rng
        )
        self.permits = permits.Permits(
            settings.id, self.state, self.peers.links, clock
        )
        self.peers.on_direct_message = self.permits.from_peer
        self.notices = notices.Notices(clock, rng)
        self.state.subscribe(self.notices.on_update)
        self.relay = relays.Relay(
            monitors.PathMonitor(
                clock, references=references.References(self.state, rng).choose
            ),
            self.state.is_upstream,
            self.notices.current,
        )
        self.peers.on_tunnel_request = self.relay.serve
        self.control = control_server.ControlServer(
            types.Hello(
                settings.id, self.peers.links.incarnation, CONTROLLER_ROLE
            ),
            self.state,
            clock,
            self.metrics,
            self._from_router,
            self.permits.from_router,
        )
        self.admin = admin.make_server(
            admin.View(
                self.status,
                self.explain,
                self.not_ready,
                self.metrics.registry,
            )
        )
        self._timers = (
            ioloop.PeriodicCallback(self._expire, EXPIRE_INTERVAL_MS),
            ioloop.PeriodicCallback(
                self.permits.renew, permits.RENEW_S * clocks.MS_PER_S
            ),
        )

    async def start(self) -> None:
        """Start listening and start every task."""
        self.peers.start()
        self.control.listen(self.settings.control_port, self.settings.address)
        self.admin.listen(self.settings.admin_port, self.settings.address)
        self.watchers.start()
        await self.tasks.start()
        for timer in self._timers:
            timer.start()

    async def wait_for_router(self) -> None:
        """Keep serving until the router of this node has drained.

        Without the controller the router would lose its view and could not
        resume its streams. The controller does not wait for a router that is
        not draining.
        """
        report_due_s = self.clock.monotonic() + DRAIN_REPORT_S
        while self.control.stats and (
            self._is_router_draining() or self.clock.monotonic() < report_due_s
        ):
            await asyncio.sleep(DRAIN_POLL_S)

    async def stop(self) -> None:
        """Stop every part, in the reverse order of the start."""
        for timer in self._timers:
            timer.stop()
        self.permits.stop()
        await self.tasks.stop()
        await self.watchers.stop()
        self.peers.stop()
        self.admin.stop()
        self.control.stop()
        self.store.close()

    def not_ready(self) -> str:
        """Return why the node is not ready, empty when it is ready."""
        if not self.state.config_revision:
            return "no configuration"
        return ""

    def status(self) -> dict:
        """Return the status of the node, as JSON values."""
        now_s = self.clock.monotonic()
        node_status = admin.node_status(
            self.settings,
            self.peers,
            self.watchers,
            self.state,
            self.not_ready(),
        )
        routers = {"routers": len(self.control.stats)}
        return self.tasks.status(now_s) | node_status | routers

    def explain(self, subject: str) -> list[str]:
        """Return the reasons for the state of a subject."""
        node = self.state.nodes.get(subject)
        lines = []
        if node is not None:
            lines.append(f"node {node.id} is {node.state}")
        return lines + self.tasks.explain(subject)

    def _from_router(self, message: types.Message) -> None:
        self.state.publish(message, self.clock.monotonic())

    def _expire(self) -> None:
        self.state.expire(self.clock.monotonic())
        self.peers.table.set_leaving(self._is_router_draining())
        self.metrics.config_revision.set(self.state.config_revision)

    def _is_router_draining(self) -> bool:
        """Return whether every connected router of this node is draining."""
        reports = self.control.stats.values()
        return bool(reports) and all(r.draining for r in reports)

    def _count_call(self, call: str, result: str) -> None:
        self.metrics.store_calls.labels(call, result).inc()


async def run(settings: schema.NodeSettings) -> None:
    """Run a controller until SIGTERM or SIGINT."""
    _log_to(settings.log_file)
    controller = Controller(settings, clocks.SystemClock(), random.Random())
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await controller.start()
    await stopping.wait()
    await controller.wait_for_router()
    await controller.stop()


def _log_to(path: str) -> None:
    # The file stays open for the lifetime of the process.
    file = sys.stderr if path == "-" else open(path, "a")  # noqa: SIM115
    eliot.to_file(file)
