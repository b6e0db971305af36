"""State that the request handlers of one router share."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import state
from balsamlug.config import schema
from balsamlug.observability import metrics as metrics_module
from balsamlug.paths import connector as connectors
from balsamlug.router import dispatch
from balsamlug.router import head_status
from balsamlug.router import isolation as isolations
from balsamlug.router import retries
from balsamlug.router import upstream

CANCEL_TIMEOUT_S = 2.0


@attrs.define
class BackgroundTasks:
    """Tasks that are not awaited, referenced until they end.

    The event loop itself holds only weak references to tasks.
    """

    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    def start(self, coro: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


@attrs.define
class Runtime:
    """Shared state of one router.

    Attributes:
      attempts: running attempts by id, watched by `watch`.
      generations: requests being served by id, watched by `watch`.
    """

    clock: clocks.Clock
    fleet: state.FleetState
    metrics: metrics_module.RouterMetrics
    dispatcher: dispatch.Dispatcher
    budget: retries.RetryBudget
    isolation: isolations.Isolation
    heads: head_status.Heads
    connector: connectors.Connector
    attempts: dict[str, Any] = attrs.field(factory=dict)
    generations: dict[str, Any] = attrs.field(factory=dict)
    background: BackgroundTasks = attrs.field(factory=BackgroundTasks)

    @property
    def settings(self) -> schema.Settings:
        """Return the active configuration."""
        return self.fleet.settings

    def cancel_upstream(self, address: str, request_id: str) -> None:
        """Send a cancellation to an engine without waiting for the answer."""
        call = upstream.Call(
            address,
            "POST",
            f"/v1/requests/{request_id}/cancel",
            body=b"{}",
            connect=self.connector.connect,
        )
        self.background.start(_cancel(call))


async def _cancel(call: upstream.Call) -> None:
    try:
        await upstream.fetch(call, CANCEL_TIMEOUT_S)
    except exceptions.Refusal:
        # The connection of the attempt is closed as well, so an engine that
        # cannot be reached ends the attempt at its next write.
        return
