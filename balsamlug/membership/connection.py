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


@attrs.define(eq=False)
class Link:
    """A connection whose peer has identified itself with a Hello.

    Attributes:
      dialed: whether this node opened the connection.
      last_received_s: when the last message was received.
      last_sent_s: when the last message was sent.
      last_neighbour_s: when the peer was last a neighbour, or when the link
        was opened.
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
    rejected: set[str] = attrs.field(factory=set)
    announced: dict[str, int] = attrs.field(factory=dict)

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
      ProtocolError: no Hello of a controller within HELLO_TIMEOUT_S.
      StreamClosedError: the connection ended.
    """
    first = await receive_first(conn)
    if not isinstance(first, types.Hello):
        raise exceptions.ProtocolError("no_hello")
    return first


# First messages other than Hello; the connection has this purpose only.
SINGLE_PURPOSE_TYPES = types.TunnelRequest | types.UpstreamNotice


async def receive_first(
    conn: streams.MessageStream,
) -> types.Hello | SINGLE_PURPOSE_TYPES:
    """Return the first message of a connection.

    Raises:
      ProtocolError: no Hello of a controller, and no message of another type
        that may be the first, within HELLO_TIMEOUT_S.
      StreamClosedError: the connection ended.
    """
    try:
        first = await asyncio.wait_for(
            conn.receive(MAX_FIRST_FRAME_BYTES), HELLO_TIMEOUT_S
        )
    except TimeoutError as exc:
        raise exceptions.ProtocolError("no_hello") from exc
    is_hello = isinstance(first, types.Hello) and first.role == CONTROLLER_ROLE
    if not is_hello and not isinstance(first, SINGLE_PURPOSE_TYPES):
        raise exceptions.ProtocolError("no_hello")
    validation.check(first)
    return first


def replaces(new: Link, old: Link, local_id: str) -> bool:
    """Return whether a new link to a peer replaces an old one.

    Both sides reach the same decision: the link with the higher incarnation
    wins, then the one opened by the node with the smaller id, then the later
    one.
    """
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    if new.dialed == old.dialed:
        return True
    return new.dialed == (local_id < new.peer)
