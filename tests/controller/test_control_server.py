"""Guards a controller against messages of a router of another build."""

import asyncio
import struct

import msgpack
from tornado import tcpclient

from balsamlug import clock as clocks
from balsamlug import state
from balsamlug.controller import control_server
from balsamlug.controller import metrics
from balsamlug.messages import codec
from balsamlug.messages import types

HOST = "127.0.0.1"


def test_unusable_message_does_not_close_the_link_of_a_router():
    unknown = msgpack.packb([99, 1, "a"])
    frames = [
        codec.encode(types.Hello("n", 1, control_server.ROUTER_ROLE)),
        struct.pack(">I", len(unknown)) + unknown,
        codec.encode(types.GroupFault("g", -1, "r")),
        codec.encode(types.Heartbeat("n", 1)),
        codec.encode(types.GroupFault("g", 1, "r")),
    ]
    received = []

    async def run():
        server = control_server.ControlServer(
            types.Hello("n", 1, "controller"),
            state.FleetState("s"),
            clocks.SystemClock(),
            metrics.create(),
            received.append,
            lambda conn, message: None,
        )
        server.listen(0, HOST)
        port = next(iter(server._sockets.values())).getsockname()[1]
        stream = await tcpclient.TCPClient().connect(HOST, port)
        await stream.write(b"".join(frames))
        async with asyncio.timeout(2):
            while not received:
                await asyncio.sleep(0.01)
        stream.close()
        server.stop()

    asyncio.run(run())
    assert received == [types.GroupFault("g", 1, "r")]
