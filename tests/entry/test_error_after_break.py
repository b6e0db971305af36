"""Guards a stream that has begun against the error of its next server."""

import asyncio

import attrs
import pytest
from tornado import httpclient
from tornado import web

from balsamlug_standins import members
from tests.entry import fleet as fleets

EVENTS_BEFORE_BREAK = 3
ERROR_TEXT = b"internal error of the second server"


def _event(number: int) -> bytes:
    return f"id: {number}\ndata: token{number}\n\n".encode()


BEGUN = b"".join(_event(n) for n in range(1, EVENTS_BEFORE_BREAK + 1))


@attrs.define(eq=False)
class FailingMember(members.Member):
    """Model server that breaks a first run off and rejects each resumption."""

    error_status: int = 500
    is_framed_error: bool = True

    def listen(self, port: int = 0) -> None:
        """Serve on a loopback port."""
        super().listen(port)
        app: web.Application = self._server.request_callback
        app.add_handlers(".*", [(r"/chat/.*", _Stream, {"member": self})])


class _Stream(web.RequestHandler):
    def initialize(self, member: FailingMember) -> None:
        self.member = member

    async def post(self) -> None:
        headers = self.request.headers
        self.member.record_start(headers["X-Attempt-Id"])
        own = (
            f"X-Attempt-Id: {headers['X-Attempt-Id']}\r\n"
            f"X-Server-Seal: seal.{self.member.id}\r\n"
        )
        conn = self.detach()
        if headers.get("Last-Event-Id"):
            length = f"Content-Length: {len(ERROR_TEXT)}\r\n"
            framing = length if self.member.is_framed_error else ""
            await conn.write(
                f"HTTP/1.1 {self.member.error_status} Error\r\n{own}"
                f"{framing}\r\n".encode()
                + ERROR_TEXT
            )
        else:
            await conn.write(
                f"HTTP/1.1 200 OK\r\n{own}Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n".encode()
                + f"{len(BEGUN):x}\r\n".encode()
                + BEGUN
                + b"\r\n"
            )
        conn.close()


@pytest.mark.parametrize("framed", [True, False])
@pytest.mark.parametrize("status", [400, 404, 500, 503])
def test_error_of_the_next_server_stays_out_of_a_stream(status, framed):
    def create_member(*args, **kwargs):
        return FailingMember(
            *args, error_status=status, is_framed_error=framed, **kwargs
        )

    received = bytearray()

    async def scenario(fleet):
        await fleet.until(lambda: len(fleet.open_heads()) == 2)
        await asyncio.sleep(0.5)
        with pytest.raises(httpclient.HTTPError) as raised:
            await fleet.send_request_streamed(received.extend)
        # The connection ends before the end of the chunked body.
        assert raised.value.code == 599

    async def main() -> None:
        async with fleets.running(
            engines=7, create_member=create_member
        ) as fleet:
            await scenario(fleet)

    asyncio.run(main())
    assert bytes(received) == BEGUN
