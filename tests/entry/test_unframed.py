"""Guards against streams without framing that are cut off unnoticed."""

import asyncio
import functools
import socket
import struct

import attrs
import pytest
from tornado import httpclient
from tornado import iostream
from tornado import web

from balsamlug_standins import members
from tests.entry import fleet as fleets

# Closing with a linger time of zero sends RST.
_NO_LINGER = struct.pack("ii", 1, 0)
# The receiver has read what was sent before within this time.
PAUSE_S = 0.05
CUT_AFTER = 3


def _event(number: int) -> bytes:
    return f"id: {number}\ndata: token{number}\n\n".encode()


EVENTS = b"".join(_event(n) for n in range(1, members.EVENTS + 1))


@attrs.define(eq=False)
class UnframedMember(members.Member):
    """Model server whose streams end with their connections.

    Attributes:
      faults: endings of the next streams, from a list that all servers share.
      resumed_from: `Last-Event-Id` of each stream that ran here.
    """

    faults: list[str] = attrs.field(factory=list)
    resumed_from: list[str] = attrs.field(factory=list)

    def listen(self) -> None:
        """Serve on a free loopback port, with streams without framing."""
        super().listen()
        app: web.Application = self._server.request_callback
        app.add_handlers(".*", [(r"/chat/.*", _Stream, {"member": self})])


class _Stream(web.RequestHandler):
    def initialize(self, member: UnframedMember) -> None:
        self.member = member

    async def post(self) -> None:
        headers = self.request.headers
        last_event = headers.get("Last-Event-Id", "")
        self.member.record_start(headers["X-Attempt-Id"])
        self.member.resumed_from.append(last_event)
        fault = self.member.faults.pop(0) if self.member.faults else ""
        conn = self.detach()
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Attempt-Id: {headers['X-Attempt-Id']}\r\n"
            f"X-Server-Seal: seal.{self.member.id}\r\n\r\n"
        )
        await conn.write(head.encode())
        end = CUT_AFTER if fault else members.EVENTS
        for number in range(int(last_event or 0) + 1, end + 1):
            await conn.write(_event(number))
        await asyncio.sleep(PAUSE_S)
        await _ENDINGS[fault](conn)
        conn.close()


async def _end(conn: iostream.IOStream) -> None:
    """End the stream after its last event."""


async def _end_inside_event(conn: iostream.IOStream) -> None:
    await conn.write(_event(CUT_AFTER + 1)[:-1])


async def _reset(conn: iostream.IOStream) -> None:
    conn.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


_ENDINGS = {"": _end, "inside event": _end_inside_event, "reset": _reset}


def _run(scenario, faults: list[str], **route: object) -> None:
    async def main() -> None:
        shared = list(faults)
        create = functools.partial(UnframedMember, faults=shared)
        async with fleets.running(
            engines=6, nodes=1, create_member=create, route=route
        ) as fleet:
            await fleet.until(lambda: len(fleet.open_heads()) == 2)
            await fleet.until(
                lambda: (
                    len(
                        fleet.nodes[0].groups.candidates(
                            fleets.SERVICE, fleets.MODEL, frozenset()
                        )
                    )
                    == 2
                )
            )
            await scenario(fleet)

    asyncio.run(main())


def _resumed_from(fleet: fleets.Fleet) -> list[list[str]]:
    return sorted(head.resumed_from for head in fleet.open_heads())


def test_unframed_stream_is_complete_at_the_end_of_its_connection():
    async def scenario(fleet: fleets.Fleet) -> None:
        resp = await fleet.send_request()
        assert resp.code == 200
        assert resp.body == EVENTS
        assert _resumed_from(fleet) == [[], [""]]

    _run(scenario, [])


@pytest.mark.parametrize("fault", ["inside event", "reset"])
def test_cut_unframed_stream_resumes_in_another_group(fault):
    async def scenario(fleet: fleets.Fleet) -> None:
        resp = await fleet.send_request()
        assert resp.body == EVENTS
        assert _resumed_from(fleet) == [[""], [str(CUT_AFTER)]]

    _run(scenario, [fault])


@pytest.mark.parametrize("fault", ["inside event", "reset"])
def test_group_that_cut_a_stream_is_checked_and_avoided(fault):
    async def scenario(fleet: fleets.Fleet) -> None:
        await fleet.send_request()
        port = fleet.nodes[0].settings.metrics_port
        resp = await fleet.http.fetch(f"http://127.0.0.1:{port}/metrics")
        (line,) = [
            line
            for line in resp.body.decode().splitlines()
            if "retries_total{" in line
        ]
        assert "broken" in line

    _run(scenario, [fault])


@pytest.mark.parametrize("fault", ["inside event", "reset"])
def test_cut_stream_that_cannot_resume_does_not_look_complete(fault):
    async def scenario(fleet: fleets.Fleet) -> None:
        with pytest.raises(httpclient.HTTPError):
            await fleet.send_request()
        assert _resumed_from(fleet) == [[], [""]]

    _run(scenario, [fault], StreamResume=False)
