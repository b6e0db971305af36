"""Server of the control stream to the router processes of this node.

Sends a router a snapshot of the state and every update after it, and receives
its statistics, faults and permit requests.
"""

import asyncio
from collections.abc import Callable
import functools

import eliot
from tornado import iostream
from tornado import tcpserver

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import snapshots
from balsamlug import state as fleet
from balsamlug import validation
from balsamlug.controller import metrics as metric
from balsamlug.messages import codec
from balsamlug.messages import stream as streams
from balsamlug.messages import types

HELLO_TIMEOUT_S = 5.0
ROUTER_ROLE = "router"

MessageHandler = Callable[[types.Message], None]
PermitHandler = Callable[[streams.MessageStream, types.PermitRequest], None]


class ControlServer(tcpserver.TCPServer):
    """Send routers the state of the fleet and receive their reports.

    Attributes:
      stats: last report of each connected router process.
    """

    def __init__(
        self,
        hello: types.Hello,
        state: fleet.FleetState,
        clock: clocks.Clock,
        metrics: metric.Metrics,
        on_message: MessageHandler,
        on_permit: PermitHandler,
    ) -> None:
        super().__init__()
        self._hello = hello
        self._state = state
        self._clock = clock
        self._metrics = metrics
        self.on_message = on_message
        self.on_permit = on_permit
        self._routers: set[streams.MessageStream] = set()
        self.stats: dict[streams.MessageStream, types.RouterStats] = {}
        state.subscribe(self._send_update)

    def stop(self) -> None:
        """Close the listener and every connection."""
        super().stop()
        for conn in list(self._routers):
            conn.close()

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple
    ) -> None:
        """Serve one router until its connection ends."""
        conn = streams.MessageStream(stream)
        try:
            await self._handshake(conn)
            await self._receive(conn)
        except exceptions.ProtocolError as exc:
            self._metrics.protocol_errors.labels("control", exc.reason).inc()
            eliot.log_message("control_protocol_error", reason=exc.reason)
        except iostream.StreamClosedError:
            eliot.log_message("router_disconnected", address=address[0])
        finally:
            self._routers.discard(conn)
            self.stats.pop(conn, None)
            conn.close()

    async def _handshake(self, conn: streams.MessageStream) -> None:
        try:
            hello = await asyncio.wait_for(conn.receive(), HELLO_TIMEOUT_S)
        except TimeoutError as exc:
            raise exceptions.ProtocolError("no_hello") from exc
        if not isinstance(hello, types.Hello) or hello.role != ROUTER_ROLE:
            raise exceptions.ProtocolError("no_hello")
        validation.check(hello)
        if hello.node != self._hello.node:
            # A router of another node would act on this node's liveness.
            raise exceptions.ProtocolError("wrong_node")
        snapshot = snapshots.messages(self._state, self._clock.monotonic())
        frames = codec.encode_each((self._hello, *snapshot))
        conn.send_frames(frames)
        self._routers.add(conn)

    async def _receive(self, conn: streams.MessageStream) -> None:
        while True:
            try:
                message = await conn.receive()
                validation.check(message)
                _handle(message, self, conn)
            except exceptions.MessageRejected as exc:
                self._metrics.protocol_errors.labels(
                    "control", exc.reason
                ).inc()

    def _send_update(self, message: types.Message) -> None:
        # Routers neither read the object API nor send prompts with parts.
        is_unused = isinstance(message, types.StoreRead | types.CrashedPrompt)
        if not self._routers or is_unused:
            return
        frames = codec.encode_each([message])
        for conn in list(self._routers):
            conn.send_frames(frames)


@functools.singledispatch
def _handle(
    message: types.Message, server: ControlServer, conn: streams.MessageStream
) -> None:
    raise exceptions.MessageRejected("unexpected_type")


@_handle.register
def _(
    message: types.RouterStats,
    server: ControlServer,
    conn: streams.MessageStream,
) -> None:
    server.stats[conn] = message


@_handle.register(types.GroupFault)
@_handle.register(types.SuspicionUpdate)
@_handle.register(types.UpstreamNotice)
def _(
    message: types.Message, server: ControlServer, conn: streams.MessageStream
) -> None:
    server.on_message(message)


@_handle.register
def _(
    message: types.PermitRequest,
    server: ControlServer,
    conn: streams.MessageStream,
) -> None:
    server.on_permit(conn, message)
