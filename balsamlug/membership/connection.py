"""One connection to another controller."""

import asyncio
from collections.abc import Sequence

import attrs

from balsamlug import exceptions
from balsamlug import validation
from balsamlug.messages import codec
from balsamlug.messages import stream as streams
from balsamlug.messages import types

HELLO_TIMEOUT_S = 2.0
CONTROLLER_ROLE = "controller"


@attrs.define(eq=False)
class Link:
    """A connection whose peer has said who it is.

    Attributes:
      dialed: whether this side opened the connection.
      heard_s: when the last message came.
      sent_s: when the last message was sent.
      wanted_s: when the peer was last a neighbour, or the link was opened.
    """

    peer: str
    incarnation: int
    conn: streams.MessageStream
    dialed: bool
    heard_s: float
    sent_s: float
    wanted_s: float

    def send(self, messages: Sequence[types.Message], now_s: float) -> None:
        """Send messages in one write."""
        self.send_frames([codec.encode(m) for m in messages], now_s)

    def send_frames(self, frames: list[bytes], now_s: float) -> None:
        """Send encoded frames in one write."""
        if frames:
            self.conn.send_frames(frames)
            self.sent_s = now_s


async def receive_hello(conn: streams.MessageStream) -> types.Hello:
    """Return the first message of a connection.

    Raises:
      ProtocolError: it is late or no Hello of a controller.
      StreamClosedError: the connection ended.
    """
    try:
        hello = await asyncio.wait_for(conn.receive(), HELLO_TIMEOUT_S)
    except TimeoutError as exc:
        raise exceptions.ProtocolError("no_hello") from exc
    if not isinstance(hello, types.Hello) or hello.role != CONTROLLER_ROLE:
        raise exceptions.ProtocolError("no_hello")
    validation.check(hello)
    return hello


def replaces(new: Link, old: Link, own_id: str) -> bool:
    """Return whether a new link to a peer replaces an old one.

    Both sides decide alike: the later incarnation wins, then the connection
    that was opened by the node with the smaller id, then the later one.
    """
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    if new.dialed == old.dialed:
        return True
    return new.dialed == (own_id < new.peer)
