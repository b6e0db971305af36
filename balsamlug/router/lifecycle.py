"""Readiness and graceful stop of a router."""

import asyncio
from collections.abc import Callable

import attrs

from balsamlug import exceptions
from balsamlug import state

# Group observations live as long, so the view is useless after that.
VIEW_LIFETIME_S = 3.0
DRAIN_POLL_S = 0.05
RETRY_AFTER_MS = 1000


@attrs.define
class Lifecycle:
    """Whether the node may take requests, and how many it serves.

    Attributes:
      leaving: /readyz answers 503, but requests are still served.
      closed: new requests are refused.
    """

    _fleet: state.FleetState
    _silent_s: Callable[[], float]
    leaving: bool = False
    closed: bool = False
    in_flight: int = 0

    def obstacle(self) -> str:
        """Return why the node is not ready, empty when it is."""
        if self.leaving:
            return "stopping"
        return self._no_view()

    def check(self, needs_view: bool) -> None:
        """Refuse a request the node cannot take.

        Args:
          needs_view: whether it needs a current view of the groups.

        Raises:
          NodeNotReady: with the reason.
        """
        reason = "stopping" if self.closed else self._missing(needs_view)
        if reason:
            raise exceptions.NodeNotReady(reason, RETRY_AFTER_MS)

    async def stop(self, delay_s: float) -> None:
        """Leave: announce it, wait, refuse new work, let the rest end."""
        self.leaving = True
        await asyncio.sleep(delay_s)
        self.closed = True
        while self.in_flight:
            await asyncio.sleep(DRAIN_POLL_S)

    def _missing(self, needs_view: bool) -> str:
        if not self._fleet.config_revision:
            return "no configuration"
        return self._no_view() if needs_view else ""

    def _no_view(self) -> str:
        if not self._fleet.config_revision:
            return "no configuration"
        if self._silent_s() > VIEW_LIFETIME_S:
            return "no connection to the controller"
        return ""
