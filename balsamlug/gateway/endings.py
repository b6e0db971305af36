"""Find out whether an instance of a plain service has ended.

An instance that is started again listens at the same address, sometimes after a
few milliseconds. An answer at the address therefore does not show that the
instance is alive; the platform's list shows which incarnation is there.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import enum

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.health import listed as listing
from balsamlug.messages import types
from balsamlug.router import upstream

# A process that ends closes its connections shortly before its listening
# socket.
END_DELAY_S = 0.1
# Connections within a region open in milliseconds.
CONNECT_TIMEOUT_S = 0.3
# The platform removes an entry after three heartbeats of 1.2 s, and a watcher
# passes the change on within a second.
LISTING_TIMEOUT_S = 5.0


class Reachability(enum.StrEnum):
    """Result of a connection to an address."""

    ACCEPTS = "accepts"
    REFUSES = "refuses"
    SILENT = "silent"
    # This node has no path, and no other node could tell.
    UNKNOWN = "unknown"


async def connect(
    address: str, open_connection: upstream.Connect = upstream.connect
) -> Reachability:
    """Open a connection and return the result."""
    try:
        conn = await open_connection(address, timeout_s=CONNECT_TIMEOUT_S)
    except exceptions.PathLost:
        return Reachability.UNKNOWN
    except exceptions.UpstreamUnreachable as exc:
        is_refused = isinstance(exc.__cause__, ConnectionRefusedError)
        return Reachability.REFUSES if is_refused else Reachability.SILENT
    conn.transport.abort()
    return Reachability.ACCEPTS


@attrs.define(eq=False)
class Endings:
    """Checks of instances whose attempts broke off or were not answered.

    Attributes:
      is_path_up: whether this node reaches other upstreams.
    """

    _fleet: fleet.FleetState
    _listed: listing.Listed
    _clock: clocks.Clock
    is_path_up: Callable[[], bool]
    _connect: Callable[[str], Awaitable[Reachability]] = connect
    _checks: dict[tuple[str, str], asyncio.Task] = attrs.field(factory=dict)
    _list_changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self._fleet.subscribe(self._on_update)

    async def has_ended(self, instance: tables.Instance) -> bool:
        """Return whether an instance has ended, when the list may show it.

        Checks of one incarnation at the same time share their result.

        Args:
          instance: as it was listed when it was sent the attempt.
        """
        key = instance.id, instance.incarnation
        task = self._checks.get(key)
        if task is None:
            task = asyncio.create_task(self._check(instance))
            self._checks[key] = task
            task.add_done_callback(lambda _: self._checks.pop(key, None))
        return await asyncio.shield(task)

    async def _check(self, instance: tables.Instance) -> bool:
        until_s = self._clock.monotonic() + LISTING_TIMEOUT_S
        await asyncio.sleep(END_DELAY_S)
        if self._listed.has_successor(instance):
            return True
        if await self._is_down(instance):
            return True
        was_listed = True
        while (left_s := until_s - self._clock.monotonic()) > 0:
            if self._listed.has_successor(instance):
                return True
            is_listed = instance.id in self._fleet.instances
            if was_listed and not is_listed and await self._is_down(instance):
                return True
            was_listed = is_listed
            await self._wait_for_list(left_s)
        return False

    async def _is_down(self, instance: tables.Instance) -> bool:
        """Return whether nothing serves at the address of an instance."""
        reachability = await self._connect(instance.address)
        if reachability is Reachability.SILENT:
            return self.is_path_up()
        return reachability is Reachability.REFUSES

    async def _wait_for_list(self, timeout_s: float) -> None:
        changed = self._list_changed
        try:
            async with asyncio.timeout(timeout_s):
                await changed.wait()
        except TimeoutError:
            return

    def _on_update(self, message: types.Message) -> None:
        if isinstance(message, types.InstanceUpdate | types.InstanceDelta):
            self._list_changed.set()
            self._list_changed = asyncio.Event()
