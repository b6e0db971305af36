"""Callbacks of the object that owns the links."""

from typing import Protocol

from tornado import iostream

from balsamlug.membership import connection
from balsamlug.messages import types


class Events(Protocol):
    """Callbacks of the object that owns the links."""

    def link_opened(self, link: connection.Link) -> None:
        """Handle a new link."""

    def link_closed(self, link: connection.Link) -> None:
        """Handle the end of a link."""

    def received(self, link: connection.Link, message: types.Message) -> None:
        """Handle a message.

        Raises:
          MessageRejected: the message cannot be used and is dropped.
          ProtocolError: the link must be closed.
        """

    def peer_unresponsive(self, peer: str) -> None:
        """Handle a neighbour that does not respond."""

    async def tunnel_requested(
        self, stream: iostream.IOStream, request: types.TunnelRequest
    ) -> None:
        """Serve a connection to an upstream until it has ended."""

    def notice_received(self, notice: types.UpstreamNotice) -> None:
        """Handle what an upstream has stated to this node."""
