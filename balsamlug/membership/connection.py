"""Established connection to another controller, and its handshake."""

import asyncio
from collections.abc import Sequence

import attrs

from balsamlug import exceptions
from balsamlug import validation
from balsamlug.messages import codec
from balsamlug.messages import stream as streams
from balsamlug.messages import types

HELLO_TIMEOUT_S = 2.0
# A node that has not identified itself may send no more than this. The largest
# of the first messages, a notice, has less than 1 KiB.
MAX_FIRST_FRAME_BYTES = 16 * 1024
CONTROLLER_ROLE = "controller"
# Two nodes that dial each other at the same time open their connections within
# this time.
SIMULTANEOUS_DIAL_S = 1.0


@attrs.define(eq=False)
class Link:
    """A connection whose peer has identified itself with a Hello.

    Attributes:
      dialed: whether this node opened the connection.
      last_received_s: when the last message was received.
      last_sent_s: when the last message was sent.
      last_neighbour_s: when the peer was last a neighbour, or when the link
        was opened.
      opened_s: when the peer had identified itself.
      rejected: reasons for which messages were dropped.
      announced: revisions of large values that the peer has and that were not
        requested from it since it announced them, by kind.
    """

    peer: str
    incarnation: int
    conn: streams.MessageStream
    dialed: bool
    last_received_s: float
    last_sent_s: float
    last_neighbour_s: float
    opened_s: float
    rejected: set[str] = attrs.field(factory=set)
    announced: dict[str, int] = attrs.field(factory=dict)

    @classmethod
    def opened(
        cls,
        hello: types.Hello,
        conn: streams.MessageStream,
        dialed: bool,
        now_s: float,
    ) -> "Link":
        """Return the link of a connection whose peer has sent its Hello."""
        times_s = [now_s] * 4
        return cls(hello.node, hello.incarnation, conn, dialed, *times_s)

    def send(self, messages: Sequence[types.Message], now_s: float) -> None:
        """Send messages in one write."""
        self.send_frames(codec.encode_each(messages), now_s)

    def send_frames(self, frames: list[bytes], now_s: float) -> None:
        """Send encoded frames in one write."""
        if frames:
            self.conn.send_frames(frames)
            self.last_sent_s = now_s


async def receive_hello(conn: streams.MessageStream) -> types.Hello:
    """Return the first message of a connection that this node opened.

    Raises:
      ProtocolError: the message is no Hello of a controller.
      StreamClosedError: the connection ended.
      TimeoutError: no message within HELLO_TIMEOUT_S; the peer may be paused.
    """
    first = await _receive_first(conn)
    if not isinstance(first, types.Hello):
        raise exceptions.ProtocolError("no_hello")
    return first


# First messages other than Hello; the connection has this purpose only.
SINGLE_PURPOSE_TYPES = types.TunnelRequest | types.UpstreamNotice


async def receive_first(
    conn: streams.MessageStream,
) -> types.Hello | SINGLE_PURPOSE_TYPES:
    """Return the first message of a connection that a peer opened.

    Raises:
      ProtocolError: no Hello of a controller, and no message of another type
        that may be the first, within HELLO_TIMEOUT_S.
      StreamClosedError: the connection ended.
    """
    try:
        return await _receive_first(conn)
    except TimeoutError as exc:
        raise exceptions.ProtocolError("no_hello") from exc


async def _receive_first(
    conn: streams.MessageStream,
) -> types.Hello | SINGLE_PURPOSE_TYPES:
    first = await asyncio.wait_for(
        conn.receive(MAX_FIRST_FRAME_BYTES), HELLO_TIMEOUT_S
    )
    is_hello = isinstance(first, types.Hello) and first.role == CONTROLLER_ROLE
    if not is_hello and not isinstance(first, SINGLE_PURPOSE_TYPES):
        raise exceptions.ProtocolError("no_hello")
    validation.check(first)
    return first


async def wait_until_used(conn: streams.MessageStream) -> None:
    """Wait until a peer sends a message after its Hello, and leave it unread.

    Raises:
      StreamClosedError: the connection ended.
      TimeoutError: no message within HELLO_TIMEOUT_S.
    """
    await asyncio.wait_for(conn.wait_for_message(), HELLO_TIMEOUT_S)


def replaces(new: Link, old: Link, local_id: str) -> bool:
    """Return whether a new link to a peer replaces an old one.

    Both sides reach the same decision: the link with the higher incarnation
    wins, then a clearly later one, as a peer only dials again if its link was
    lost or silent. Of two that were dialed at the same time, the one opened by
    the node with the smaller id wins.
    """
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    if new.opened_s - old.opened_s > SIMULTANEOUS_DIAL_S:
        return True
    if new.dialed == old.dialed:
        return True
    return new.dialed == (local_id < new.peer)
