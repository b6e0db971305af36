"""Connection of a router to the controller of its node.

The router receives the state of all groups and the configuration over it, and
sends statistics, faults and permit requests.
"""

import asyncio
from collections.abc import Callable
import random

import attrs
from tornado import iostream
from tornado import tcpclient

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import state
from balsamlug.messages import stream as streams
from balsamlug.messages import types
from balsamlug.observability import metrics as metrics_module

STATS_PERIOD_S = 1.0
CONNECT_TIMEOUT_S = 1.0
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
ROLE = "router"


@attrs.define
class ControlLink:
    """Maintain a message stream to the controller.

    Attributes:
      stats: returns the statistics that are sent every second.
      on_grant: receives the answers to permit requests.
    """

    _node: str
    _address: tuple[str, int]
    _fleet: state.FleetState
    _clock: clocks.Clock
    _rng: random.Random
    _metrics: metrics_module.RouterMetrics
    stats: Callable[[], types.RouterStats]
    on_grant: Callable[[types.PermitGrant], None]
    _conn: streams.MessageStream | None = None
    _last_connected_s: float = float("-inf")
    _closed_sent_bytes: int = 0
    _closed_received_bytes: int = 0

    def send(self, message: types.Message) -> None:
        """Send a message, or drop it while there is no connection."""
        if self._conn is not None:
            self._conn.send(message)

    def disconnected_s(self) -> float:
        """Return the time in seconds since the connection was lost."""
        if self._conn is not None and not self._conn.closed():
            return 0.0
        return self._clock.monotonic() - self._last_connected_s

    async def run(self) -> None:
        """Receive messages, and reconnect after the connection ends."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            try:
                await self._session()
                backoff_s = FIRST_BACKOFF_S
            except (OSError, iostream.StreamClosedError, TimeoutError):
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
            # The jitter prevents all routers of a site from reconnecting at the
            # same time.
            await asyncio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))

    async def run_stats(self) -> None:
        """Send the statistics every second."""
        while True:
            await asyncio.sleep(STATS_PERIOD_S)
            self.send(self.stats())
            self._update_byte_counts()

    async def _session(self) -> None:
        host, port = self._address
        client = tcpclient.TCPClient()
        raw = await client.connect(host, port, timeout=CONNECT_TIMEOUT_S)
        conn = streams.MessageStream(raw)
        self._conn = conn
        conn.send(types.Hello(self._node, self._clock.wall_ms(), ROLE))
        try:
            await self._receive(conn)
        finally:
            conn.close()
            self._conn = None
            self._last_connected_s = self._clock.monotonic()
            self._closed_sent_bytes += conn.sent_bytes
            self._closed_received_bytes += conn.received_bytes

    async def _receive(self, conn: streams.MessageStream) -> None:
        while True:
            try:
                self._handle(await conn.receive())
            except exceptions.MessageRejected as exc:
                self._metrics.protocol_errors.labels(exc.reason).inc()
            except exceptions.ProtocolError as exc:
                self._metrics.protocol_errors.labels(exc.reason).inc()
                return
            except iostream.StreamClosedError:
                return

    def _handle(self, message: types.Message) -> None:
        if isinstance(message, types.PermitGrant):
            self.on_grant(message)
        else:
            self._fleet.publish(message, self._clock.monotonic())

    def _update_byte_counts(self) -> None:
        sent, received = self._closed_sent_bytes, self._closed_received_bytes
        if self._conn is not None:
            sent += self._conn.sent_bytes
            received += self._conn.received_bytes
        self._metrics.control_sent.set(sent)
        self._metrics.control_received.set(received)
