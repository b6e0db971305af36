"""Periodic tasks of the entry process."""

import asyncio
from collections.abc import Callable

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import state as fleet
from balsamlug.gateway import service
from balsamlug.ownership import manager as managers

# The lease manager runs at least this often, and after every change.
CONTROL_INTERVAL_S = 0.2
EXCHANGE_INTERVAL_S = 0.05
EXPIRY_INTERVAL_S = 1.0
# Answers and streams are late when timers fire this late.
LOGGED_DELAY_S = 0.2


@attrs.define(eq=False)
class Control:
    """Run the lease manager while the node is not stopping."""

    _manager: managers.Manager
    _gateway: service.Gateway
    _wake: asyncio.Event = attrs.field(factory=asyncio.Event)

    def wake(self) -> None:
        """Run the lease manager at once."""
        self._wake.set()

    async def run(self) -> None:
        """Run the lease manager until the task is cancelled."""
        while True:
            self._wake.clear()
            try:
                if not self._gateway.leaving:
                    self._manager.tick()
            except Exception:  # Without this task, leases would expire.
                eliot.write_traceback()
            try:
                async with asyncio.timeout(CONTROL_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                continue


@attrs.define(eq=False)
class Housekeeping:
    """Call the components that work at intervals.

    Attributes:
      _tick: called every `EXCHANGE_INTERVAL_S`.
      _expire: called every `EXPIRY_INTERVAL_S` with the monotonic time.
    """

    _clock: clocks.Clock
    _gateway: service.Gateway
    _fleet: fleet.FleetState
    _tick: Callable[[], None]
    _expire: Callable[[float], None]

    async def run(self) -> None:
        """Call them until the task is cancelled."""
        last_expiry_s = 0.0
        now_s = self._clock.monotonic()
        while True:
            started_s = now_s
            await asyncio.sleep(EXCHANGE_INTERVAL_S)
            now_s = self._clock.monotonic()
            self._log_delay(now_s - started_s - EXCHANGE_INTERVAL_S)
            self._tick()
            if now_s - last_expiry_s >= EXPIRY_INTERVAL_S:
                last_expiry_s = now_s
                self._expire(now_s)

    def _log_delay(self, delay_s: float) -> None:
        """Log that timers fire late, as the process was busy or paused."""
        if delay_s >= LOGGED_DELAY_S:
            eliot.log_message(
                "timers_delayed",
                delay_ms=round(delay_s * clocks.MS_PER_S),
                in_flight=self._gateway.in_flight,
                revision=self._fleet.config_revision,
            )
