"""Graceful shutdown of the entry process."""

import asyncio
from collections.abc import Callable
import contextlib

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug.gateway import frontend
from balsamlug.gateway import grace as graces
from balsamlug.gateway import service
from balsamlug.membership import peers
from balsamlug.ownership import manager as managers
from balsamlug.paths import relay as relays

# The platform stops sending callers to a node after two failed readiness
# checks, one per second.
MIN_LEAVE_S = 3.0
# Limits the wait for the answers with which the last requests end.
LAST_ANSWERS_TIMEOUT_S = 0.2
STOP_POLL_INTERVAL_S = 0.05


@attrs.define(eq=False)
class Shutdown:
    """Drain the requests and tunnels of a node."""

    _clock: clocks.Clock
    _grace: graces.Grace
    _gateway: service.Gateway
    _frontend: frontend.Frontend
    _relay: relays.Relay
    _peers: peers.Peers
    _manager: managers.Manager

    async def drain(self, signalled_s: float, grace_s: float) -> None:
        """Become unready, then drain requests within the grace period.

        Args:
          signalled_s: monotonic time of the signal.
          grace_s: length of the grace period from the signal on.
        """
        self._grace.begin(signalled_s, grace_s)
        eliot.log_message(
            "stopping",
            grace_s=grace_s,
            rest_s=self._grace.rest_s,
            in_flight=self._gateway.in_flight,
            tunnels=self._relay.open_count,
        )
        leave_s = signalled_s + min(MIN_LEAVE_S, grace_s / 2)
        self._gateway.leave()
        self._relay.leaving = True
        self._peers.table.set_leaving(True)
        lease_transfer = asyncio.create_task(self._manager.stop())
        while (rest_s := self._grace.rest_s) > 0:
            has_left = self._clock.monotonic() >= leave_s
            if has_left and not (self._frontend.busy or self._relay.open_count):
                break
            await asyncio.sleep(min(rest_s, STOP_POLL_INTERVAL_S))
        lease_transfer.cancel()
        in_flight = self._gateway.in_flight
        self._gateway.end_requests()
        refusal = self._grace.refusal("the node stops")
        await self._frontend.refuse_rest(refusal)
        await _until(lambda: not self._frontend.busy)
        eliot.log_message(
            "stopped",
            took_s=self._clock.monotonic() - signalled_s,
            in_flight=in_flight,
            tunnels=self._relay.open_count,
        )


async def _until(condition: Callable[[], bool]) -> None:
    """Wait for a condition for as long as the end of a stop may take."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(LAST_ANSWERS_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0)
