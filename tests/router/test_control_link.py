"""Guards against a router that does not reconnect to its controller."""

import asyncio
import random
import struct

import msgpack
from tornado import tcpserver

from balsamlug import clock as clocks
from balsamlug import state
from balsamlug.messages import stream as streams
from balsamlug.messages import types
from balsamlug.observability import metrics
from balsamlug.router import control_link
from tests.router import fakes


class Controller(tcpserver.TCPServer):
    """Fake controller that sends frames and records what it receives."""

    def __init__(self, frames: list[bytes]) -> None:
        super().__init__()
        self.frames = frames
        self.received: list[types.Message] = []
        self.conns: list[streams.MessageStream] = []

    async def handle_stream(self, stream, address) -> None:
        conn = streams.MessageStream(stream)
        self.conns.append(conn)
        self.received.append(await conn.receive())
        conn.send_frames(self.frames)
        while True:
            self.received.append(await conn.receive())


def run(scenario, frames=()):
    async def main():
        port = fakes.free_port()
        controller = Controller(list(frames))
        controller.listen(port, "127.0.0.1")
        fleet = state.FleetState("s")
        link = control_link.ControlLink(
            "n1",
            ("127.0.0.1", port),
            fleet,
            clocks.SystemClock(),
            random.Random(1),
            metrics.RouterMetrics(),
            lambda: types.RouterStats(1, 2, {}, False),
            lambda grant: None,
        )
        task = asyncio.create_task(link.run())
        try:
            await scenario(link, controller, fleet)
        finally:
            task.cancel()
            controller.stop()
            for conn in controller.conns:
                conn.close()

    asyncio.run(main())


async def until(condition) -> None:
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


def test_link_sends_hello_and_applies_received_messages():
    update = types.SuspicionUpdate("fp", 1, 0)

    async def scenario(link, controller, fleet):
        await until(lambda: "fp" in fleet.suspicions)
        assert controller.received[0].role == "router"
        link.send(types.GroupFault("g", 1, "r"))
        await until(lambda: len(controller.received) == 2)
        assert link.disconnected_s() == 0.0

    run(scenario, [streams.codec.encode(update)])


def test_link_reconnects_after_the_controller_closed_it():
    async def scenario(link, controller, fleet):
        await until(lambda: len(controller.received) == 1)
        controller.conns[0].close()
        await until(lambda: len(controller.received) == 2)

    run(scenario)


def test_malformed_frame_is_counted_and_the_link_reconnects():
    async def scenario(link, controller, fleet):
        await until(lambda: len(controller.received) >= 2)
        value = link._metrics.registry.get_sample_value(
            "balsamlug_protocol_errors_total", {"reason": "truncated"}
        )
        assert value >= 1

    run(scenario, [b"\x00\x00\x00\x01\xc1"])


def test_unusable_messages_are_counted_and_the_link_stays_open():
    async def scenario(link, controller, fleet):
        await until(lambda: "n2" in fleet.nodes)
        counts = [
            link._metrics.registry.get_sample_value(
                "balsamlug_protocol_errors_total", {"reason": reason}
            )
            for reason in ("bad_value", "unknown_type")
        ]
        assert counts == [1, 1]
        assert len(controller.conns) == 1
        assert not fleet.suspicions

    unknown = msgpack.packb([99, 1, "a"])
    later = types.NodeUpdate("n2", 1, "up", "r", "fd", "127.0.0.1:1")
    frames = [
        streams.codec.encode(types.SuspicionUpdate("fp", -5, 0)),
        struct.pack(">I", len(unknown)) + unknown,
        streams.codec.encode(later),
    ]
    run(scenario, frames)
