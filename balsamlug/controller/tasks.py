"""Periodic ownership and health tasks of one controller.

Every tick renews leases, plans groups and sends orders, probes the members of
groups and publishes readiness reports.
"""

import asyncio
from collections.abc import Callable
import random

import eliot

from balsamlug import clock as clocks
from balsamlug import state as fleet
from balsamlug.config import schema
from balsamlug.health import connections
from balsamlug.health import prober as probers
from balsamlug.health import reporter as reporters
from balsamlug.ownership import explain
from balsamlug.ownership import manager as managers
from balsamlug.ownership import orders
from balsamlug.store import client

TICK_S = 0.5


class ControlTasks:
    """Run probes, reports, leases, planning and orders.

    Args:
      fetch_status: returns the status body of an address; HTTP by default.
      send_order: delivers an order; HTTP by default.
    """

    def __init__(
        self,
        settings: schema.NodeSettings,
        state: fleet.FleetState,
        store: client.ObjectStore,
        clock: clocks.Clock,
        rng: random.Random,
        fetch_status: Callable | None = None,
        send_order: Callable | None = None,
    ) -> None:
        self._state = state
        self._clock = clock
        self._closers: list[Callable[[], None]] = []
        self._task: asyncio.Task | None = None
        self._report_due = False
        self._connections = connections.StatusClient(probers.PROBE_TIMEOUT_S)
        self._closers.append(self._connections.close)
        self.prober = probers.Prober(
            fetch_status or self._connections.fetch,
            clock,
            self._on_observation_changed,
        )
        self.reporter = reporters.Reporter(settings.id, state, clock)
        self.manager = managers.Manager(
            settings.id,
            state,
            store,
            clock,
            rng,
            self.prober.observations,
            self._address,
            send_order or self._http_orders(),
        )
        self._explainer = explain.Explainer(settings.id, state, self.manager)

    async def start(self) -> None:
        """Start the periodic tasks."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the periodic tasks and release the leases."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self.manager.stop()
        await self.prober.stop()
        for close in self._closers:
            close()

    def status(self, now: float) -> dict:
        """Return the state of the domains, as JSON values."""
        return self._explainer.status(now)

    def explain(self, subject: str) -> list[str]:
        """Return the chain of causes of the state of a subject."""
        return self._explainer.explain(subject, self._clock.monotonic())

    def tick(self) -> list[asyncio.Task]:
        """Run every task once and return the started probes."""
        self.manager.tick()
        targets = self._targets()
        self.prober.set_targets(targets)
        self._connections.retain({t.address for t in targets.values()})
        self._report()
        return self.prober.tick()

    def _targets(self) -> dict[str, probers.Target]:
        """Return the members of probed groups and instances of held domains."""
        intervals = self.manager.probe_intervals()
        for probed in self.reporter.groups():
            for member in probed.group.members:
                intervals[member] = probers.PROBE_INTERVAL_S
        return {
            instance: probers.Target(instance, address, interval_s)
            for instance, interval_s in intervals.items()
            if (address := self._address(instance))
        }

    def _address(self, instance: str) -> str:
        """Return an address, even after the instance left the list.

        The list lags behind additions and removals; a member that still
        responds is still probed.
        """
        listed = self._state.instances.get(instance)
        if listed is not None:
            return listed.address
        return self.prober.address(instance)

    async def _run(self) -> None:
        while True:
            try:
                self.tick()
            except Exception:  # A defect must not stop leases and reports.
                eliot.write_traceback()
            await asyncio.sleep(TICK_S)

    def _on_observation_changed(self, instance: str) -> None:
        """Report soon after a probe changed a state, once for many probes."""
        del instance
        if not self._report_due:
            self._report_due = True
            asyncio.get_running_loop().call_soon(self._report)

    def _report(self) -> None:
        self._report_due = False
        self.reporter.tick(
            self.prober.observations,
            self.prober.address,
            self.manager.watched_groups(),
        )

    def _http_orders(self) -> Callable:
        sender = orders.HttpOrderSender()
        self._closers.append(sender.close)
        return sender.send
