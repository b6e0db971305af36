"""Connections to the neighbours of this node."""

import asyncio
from collections.abc import Callable
import random
from typing import Protocol

import attrs
import eliot
from tornado import iostream
from tornado import tcpclient
from tornado import tcpserver

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug.controller import metrics as metric
from balsamlug.membership import connection
from balsamlug.membership import failure_detector
from balsamlug.messages import stream as streams
from balsamlug.messages import types

HEARTBEAT_S = 0.5
CONNECT_TIMEOUT_S = 1.0
# The node with the larger id waits, so that pairs rarely connect twice.
SECOND_DIALER_DELAY_S = 0.4
REDIAL_S = 0.4
# One address that may hold an unknown node is tried this often.
STRANGER_INTERVAL_S = 1.0
# While trees differ between nodes, links that one side no longer wants still
# carry messages.
GUEST_LINGER_S = 10.0
# A guest that asked for the node table has it after this time.
GUEST_MINIMUM_S = 1.0
# Closes links that are half open, also those to nodes that are no neighbours.
DEAD_LINK_S = 5.0
MAX_LINKS = 64
# Room for the largest message twice; a peer that reads slower is dropped.
MAX_WRITE_BUFFER_BYTES = 2_500_000


class Events(Protocol):
    """What the owner of the links is told."""

    def link_opened(self, link: connection.Link) -> None:
        """Handle a new link."""

    def received(self, link: connection.Link, message: types.Message) -> None:
        """Handle a message; a ProtocolError closes the link."""

    def silent(self, peer: str) -> None:
        """Handle a neighbour that does not answer."""


@attrs.define
class _Wish:
    """A neighbour that should have a link.

    Attributes:
      next_dial_s: when to dial next.
    """

    address: str
    next_dial_s: float


class Links(tcpserver.TCPServer):
    """Keep one link to each neighbour and tell which neighbours are silent.

    Attributes:
      open: peer -> link.
      watch: decides which neighbours are silent.
      incarnation: own incarnation at the start of the process. It stays, so
        that a raised one does not make links look like a restart.
    """

    def __init__(
        self,
        own_id: str,
        incarnation: int,
        clock: clocks.Clock,
        rng: random.Random,
        metrics: metric.Metrics,
        events: Events,
    ) -> None:
        super().__init__()
        self.open: dict[str, connection.Link] = {}
        self._own_id = own_id
        self.incarnation = incarnation
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._events = events
        self._client = tcpclient.TCPClient()
        self._wishes: dict[str, _Wish] = {}
        self._dials: dict[str, asyncio.Task] = {}
        self._pending: set[streams.MessageStream] = set()
        self._next_stranger_s = 0.0
        self.watch = failure_detector.FailureDetector(clock)
        self._closed_bytes = [0, 0]
        self._stopped = False

    @property
    def peer_bytes(self) -> tuple[int, int]:
        """Return the bytes sent and received since the start."""
        conns = [link.conn for link in self.open.values()]
        return (
            self._closed_bytes[0] + sum(c.sent_bytes for c in conns),
            self._closed_bytes[1] + sum(c.received_bytes for c in conns),
        )

    def stop(self) -> None:
        """Close the listener and every connection."""
        super().stop()
        self._stopped = True
        for task in self._dials.values():
            task.cancel()
        for conn in [link.conn for link in self.open.values()]:
            conn.close()
        for conn in list(self._pending):
            conn.close()

    def tick(
        self, wanted: dict[str, str], strangers: Callable[[], list[str]]
    ) -> None:
        """Dial, send heartbeats, close guests and report silent neighbours.

        Args:
          wanted: neighbours and their addresses.
          strangers: returns addresses where an unknown node may run.
        """
        now_s = self._clock.monotonic()
        self._follow(wanted, now_s)
        self._dial_missing(now_s)
        self._dial_stranger(strangers, now_s)
        for peer in self.watch.silent(list(wanted), self.open):
            eliot.log_message("neighbour_silent", peer=peer)
            self._events.silent(peer)
            self._close(peer)
        for link in list(self.open.values()):
            self._maintain(link, now_s)

    def connect(self, peer: str, address: str) -> None:
        """Open a link to a node that is no neighbour, unless one exists."""
        if peer not in self.open:
            self._dial(address)

    def _follow(self, wanted: dict[str, str], now_s: float) -> None:
        self._wishes = {
            peer: self._wishes.get(peer)
            or _Wish(address, now_s + self._first_delay_s(peer))
            for peer, address in wanted.items()
        }
        for peer, address in wanted.items():
            self._wishes[peer].address = address
            if peer in self.open:
                self.open[peer].wanted_s = now_s

    def _first_delay_s(self, peer: str) -> float:
        return 0.0 if self._own_id < peer else SECOND_DIALER_DELAY_S

    def _dial_missing(self, now_s: float) -> None:
        for peer, wish in self._wishes.items():
            if peer not in self.open and now_s >= wish.next_dial_s:
                wish.next_dial_s = now_s + REDIAL_S * self._rng.uniform(1, 1.5)
                self._dial(wish.address)

    def _dial_stranger(
        self, strangers: Callable[[], list[str]], now_s: float
    ) -> None:
        if now_s < self._next_stranger_s:
            return
        # A node that knows nobody yet is in a hurry.
        pause_s = STRANGER_INTERVAL_S if self.open else REDIAL_S
        self._next_stranger_s = now_s + pause_s * self._rng.uniform(0.7, 1.3)
        addresses = strangers()
        if addresses:
            self._dial(self._rng.choice(addresses))

    def _maintain(self, link: connection.Link, now_s: float) -> None:
        unwanted = now_s - link.wanted_s > GUEST_LINGER_S
        if unwanted or now_s - link.heard_s > DEAD_LINK_S:
            self._close(link.peer)
        elif now_s - link.sent_s >= HEARTBEAT_S:
            beat = types.Heartbeat(self._own_id, self.incarnation)
            link.send([beat], now_s)

    def _close(self, peer: str) -> None:
        if peer in self.open:
            self.open[peer].conn.close()

    def _dial(self, address: str) -> None:
        if address in self._dials or self._stopped:
            return
        task = asyncio.get_running_loop().create_task(self._connect(address))
        self._dials[address] = task

    async def _connect(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        conn = None
        try:
            stream = await asyncio.wait_for(
                self._client.connect(host, int(port)), CONNECT_TIMEOUT_S
            )
            conn = streams.MessageStream(stream, MAX_WRITE_BUFFER_BYTES)
            conn.send(self._hello())
            hello = await connection.receive_hello(conn)
        except exceptions.ProtocolError as exc:
            self._protocol_error(exc)
            conn.close()
            return
        except (OSError, TimeoutError):
            return
        finally:
            self._dials.pop(address, None)
        await self._serve(conn, hello, dialed=True)

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple
    ) -> None:
        """Serve a connection that another node opened."""
        conn = streams.MessageStream(stream, MAX_WRITE_BUFFER_BYTES)
        if not self._has_room():
            conn.close()
            return
        self._pending.add(conn)
        try:
            hello = await connection.receive_hello(conn)
        except exceptions.ProtocolError as exc:
            self._protocol_error(exc)
            conn.close()
            return
        except iostream.StreamClosedError:
            return
        finally:
            self._pending.discard(conn)
        conn.send(self._hello())
        await self._serve(conn, hello, dialed=False)

    def _has_room(self) -> bool:
        """Return whether one more link fits, after closing an old guest.

        When a whole system starts, every node asks the few seeds; those that
        have learnt the node table must make room for the others.
        """
        if len(self.open) + len(self._pending) < MAX_LINKS:
            return True
        oldest_s = self._clock.monotonic() - GUEST_MINIMUM_S
        guests = [
            link
            for link in self.open.values()
            if link.peer not in self._wishes and link.wanted_s < oldest_s
        ]
        if not guests:
            return False
        self._drop(min(guests, key=lambda link: link.wanted_s))
        return True

    def _hello(self) -> types.Hello:
        return types.Hello(
            self._own_id, self.incarnation, connection.CONTROLLER_ROLE
        )

    async def _serve(
        self, conn: streams.MessageStream, hello: types.Hello, dialed: bool
    ) -> None:
        now_s = self._clock.monotonic()
        link = connection.Link(
            hello.node, hello.incarnation, conn, dialed, now_s, now_s, now_s
        )
        if not self._adopt(link):
            conn.close()
            return
        try:
            self._events.link_opened(link)
            await self._receive(link)
        except exceptions.ProtocolError as exc:
            self._protocol_error(exc)
        except iostream.StreamClosedError:
            pass
        except Exception:  # A defect ends this link and shows in the log.
            self._protocol_error(exceptions.ProtocolError("defect"))
            eliot.write_traceback()
        finally:
            self._drop(link)

    async def _receive(self, link: connection.Link) -> None:
        while True:
            message = await link.conn.receive()
            link.heard_s = self._clock.monotonic()
            self._events.received(link, message)

    def _adopt(self, link: connection.Link) -> bool:
        if link.peer == self._own_id or self._stopped:
            return False
        old = self.open.get(link.peer)
        if old is not None:
            kept = not connection.replaces(link, old, self._own_id)
            if kept and not old.conn.closed():
                return False
            self._drop(old)
        self.open[link.peer] = link
        self._metrics.peer_links.set(len(self.open))
        return True

    def _drop(self, link: connection.Link) -> None:
        link.conn.close()
        if self.open.get(link.peer) is not link:
            return
        del self.open[link.peer]
        self.watch.remember(link.peer, link.heard_s)
        self._closed_bytes[0] += link.conn.sent_bytes
        self._closed_bytes[1] += link.conn.received_bytes
        self._metrics.peer_links.set(len(self.open))

    def _protocol_error(self, exc: exceptions.ProtocolError) -> None:
        self._metrics.protocol_errors.labels("peer", exc.reason).inc()
        eliot.log_message("peer_protocol_error", reason=exc.reason)
