"""Readiness and graceful shutdown of a router.

Every request is checked here before it is handled.
"""

import asyncio
from collections.abc import Callable

import attrs

from balsamlug import exceptions
from balsamlug import state

# The state of the groups is outdated after this time without a connection to
# the controller, because group observations expire after the same time.
VIEW_LIFETIME_S = 3.0
DRAIN_POLL_S = 0.05
RETRY_AFTER_MS = 1000


@attrs.define
class Lifecycle:
    """Track whether the node accepts requests, and how many it serves.

    Attributes:
      leaving: /readyz responds with 503, but requests are still accepted.
      closed: new requests are refused.
      in_flight: number of requests being handled.
      receiving: requests whose bodies are being received.
    """

    _fleet: state.FleetState
    _disconnected_s: Callable[[], float]
    leaving: bool = False
    closed: bool = False
    in_flight: int = 0
    receiving: set[object] = attrs.field(factory=set)

    def not_ready_reason(self) -> str:
        """Return why the node is not ready, empty when it is ready."""
        if self.leaving:
            return "stopping"
        return self._view_reason()

    def check(self, needs_view: bool) -> None:
        """Refuse a request that the node cannot accept.

        Args:
          needs_view: whether the request needs the current state of the groups.

        Raises:
          NodeNotReady: with the reason.
        """
        reason = "stopping" if self.closed else self._refusal_reason(needs_view)
        if reason:
            raise exceptions.NodeNotReady(reason, RETRY_AFTER_MS)

    async def stop(self, delay_s: float) -> None:
        """Shut down gracefully.

        Args:
          delay_s: time between the announcement by /readyz and the refusal of
            new requests. Requests that have begun to arrive are then
            completed or refused.
        """
        self.leaving = True
        await asyncio.sleep(delay_s)
        self.closed = True
        await self.drained()

    async def drained(self) -> None:
        """Wait until no request is being received or handled."""
        while self.in_flight or self.receiving:
            await asyncio.sleep(DRAIN_POLL_S)

    def _refusal_reason(self, needs_view: bool) -> str:
        if not self._fleet.config_revision:
            return "no configuration"
        return self._view_reason() if needs_view else ""

    def _view_reason(self) -> str:
        if not self._fleet.config_revision:
            return "no configuration"
        if self._disconnected_s() > VIEW_LIFETIME_S:
            return "no connection to the controller"
        return ""
