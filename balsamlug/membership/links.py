"""Connections to the neighbours of this node.

Dials neighbours, accepts connections of other controllers, sends heartbeats and
delivers received messages to `peers`.
"""

import asyncio
from collections.abc import Callable
import random

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
from balsamlug.membership import link_events
from balsamlug.membership import replaced_links
from balsamlug.messages import stream as streams
from balsamlug.messages import types

HEARTBEAT_S = 0.5
# A neighbour from which nothing was received for this time is dialed again. The
# new link replaces the silent one before the neighbour counts as down.
SILENT_LINK_S = 1.25
CONNECT_TIMEOUT_S = 1.0
# The node with the larger id dials later, so that two nodes rarely open two
# connections to each other.
SECOND_DIALER_DELAY_S = 0.4
REDIAL_S = 0.4
# How often a node with links dials an address where an unknown node may run.
DISCOVERY_INTERVAL_S = 1.0
# A temporary link is one to a node that is not a neighbour. While the trees
# differ between nodes, a link that one side no longer needs still carries
# messages.
TEMPORARY_LINK_LINGER_S = 10.0
# A peer that requested the node table has received it after this time.
TEMPORARY_LINK_MIN_S = 1.0
# Closes half-open links, including those to nodes that are not neighbours.
DEAD_LINK_TIMEOUT_S = 5.0
MAX_LINKS = 64
# Fits the largest message twice. The link to a peer that falls further behind
# is closed.
MAX_WRITE_BUFFER_BYTES = 2_500_000
# Fits the largest message twice; tornado would keep 100 MB.
MAX_READ_BUFFER_BYTES = 2_500_000


@attrs.define
class _Neighbour:
    """A neighbour that this node dials if it has no link or a silent one.

    Attributes:
      next_dial_s: earliest time of the next dial.
    """

    address: str
    next_dial_s: float


class Links(tcpserver.TCPServer):
    """Maintain one link to each neighbour and report unresponsive neighbours.

    Attributes:
      open: peer -> link.
      detector: decides which neighbours are unresponsive.
      incarnation: incarnation of this node at the start of the process. It is
        not raised with the announced incarnation, since peers would take a
        link with a higher incarnation for a restart.
    """

    def __init__(
        self,
        local_id: str,
        incarnation: int,
        clock: clocks.Clock,
        rng: random.Random,
        metrics: metric.Metrics,
        events: link_events.Events,
    ) -> None:
        super().__init__(max_buffer_size=MAX_READ_BUFFER_BYTES)
        self.open: dict[str, connection.Link] = {}
        self._local_id = local_id
        self.incarnation = incarnation
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._events = events
        self._client = tcpclient.TCPClient()
        self._neighbours: dict[str, _Neighbour] = {}
        self._dials: dict[str, asyncio.Task] = {}
        self._pending: set[streams.MessageStream] = set()
        self._replaced = replaced_links.ReplacedLinks(clock)
        self._next_discovery_s = 0.0
        self.detector = failure_detector.FailureDetector(clock)
        self._closed_bytes = [0, 0]
        self._stopped = False

    @property
    def peer_bytes(self) -> tuple[int, int]:
        """Return the bytes sent and received since the start."""
        conns = [link.conn for link in self._readable()]
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
        for conn in [link.conn for link in self._readable()]:
            conn.close()
        for conn in list(self._pending):
            conn.close()

    def _readable(self) -> list[connection.Link]:
        """Return the open links, and the replaced ones that are still read."""
        return [*self.open.values(), *self._replaced.links()]

    def tick(
        self,
        neighbours: dict[str, str],
        unknown_addresses: Callable[[], list[str]],
    ) -> None:
        """Dial, send heartbeats, close links and report failed neighbours.

        Args:
          neighbours: neighbours and their addresses.
          unknown_addresses: returns addresses where an unknown node may run.
        """
        now_s = self._clock.monotonic()
        self._update_neighbours(neighbours, now_s)
        self._dial_neighbours(now_s)
        self._dial_unknown_peer(unknown_addresses, now_s)
        for peer in self.detector.unresponsive(list(neighbours), self.open):
            eliot.log_message("neighbour_silent", peer=peer)
            self._events.peer_unresponsive(peer)
            self._close(peer)
        for link in list(self.open.values()):
            self._maintain(link, now_s)
        self._replaced.close_expired()

    def connect(self, peer: str, address: str) -> None:
        """Open a link to a node that is not a neighbour, unless one exists."""
        if peer not in self.open:
            self._dial(address)

    def _update_neighbours(
        self, neighbours: dict[str, str], now_s: float
    ) -> None:
        self._neighbours = {
            peer: self._neighbours.get(peer)
            or _Neighbour(address, now_s + self._first_delay_s(peer))
            for peer, address in neighbours.items()
        }
        for peer, address in neighbours.items():
            self._neighbours[peer].address = address
            if peer in self.open:
                self.open[peer].last_neighbour_s = now_s

    def _first_delay_s(self, peer: str) -> float:
        return 0.0 if self._local_id < peer else SECOND_DIALER_DELAY_S

    def _dial_neighbours(self, now_s: float) -> None:
        """Dial the neighbours without a link, and those whose link is silent.

        A silent link stays in use until the new one replaces it.
        """
        for peer, neighbour in self._neighbours.items():
            if now_s < neighbour.next_dial_s or self._is_heard(peer, now_s):
                continue
            pause_s = REDIAL_S * self._rng.uniform(1, 1.5)
            neighbour.next_dial_s = now_s + pause_s
            self._dial(neighbour.address)

    def _is_heard(self, peer: str, now_s: float) -> bool:
        """Return whether there is a link to a peer that is not silent."""
        link = self.open.get(peer)
        if link is None:
            return False
        silent_s = now_s - link.last_received_s
        if silent_s <= SILENT_LINK_S + self._first_delay_s(peer):
            return True
        eliot.log_message("link_silent", peer=peer, silent_s=silent_s)
        return False

    def _dial_unknown_peer(
        self, unknown_addresses: Callable[[], list[str]], now_s: float
    ) -> None:
        if now_s < self._next_discovery_s:
            return
        # A node without any link discovers peers at the shorter interval.
        pause_s = DISCOVERY_INTERVAL_S if self.open else REDIAL_S
        self._next_discovery_s = now_s + pause_s * self._rng.uniform(0.7, 1.3)
        addresses = unknown_addresses()
        if addresses:
            self._dial(self._rng.choice(addresses))

    def _maintain(self, link: connection.Link, now_s: float) -> None:
        is_expired = now_s - link.last_neighbour_s > TEMPORARY_LINK_LINGER_S
        if is_expired or now_s - link.last_received_s > DEAD_LINK_TIMEOUT_S:
            self._close(link.peer)
        elif now_s - link.last_sent_s >= HEARTBEAT_S:
            beat = types.Heartbeat(self._local_id, self.incarnation)
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
                self._client.connect(
                    host, int(port), max_buffer_size=MAX_READ_BUFFER_BYTES
                ),
                CONNECT_TIMEOUT_S,
            )
            conn = streams.MessageStream(stream, MAX_WRITE_BUFFER_BYTES)
            conn.send(self._hello())
            hello = await connection.receive_hello(conn)
        except exceptions.ProtocolError as exc:
            self._protocol_error(exc)
            conn.close()
            return
        except (OSError, TimeoutError):
            if conn is not None:
                conn.close()
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
            first = await connection.receive_first(conn)
            if isinstance(first, types.Hello):
                await self._answer_hello(conn, first)
        except exceptions.ProtocolError as exc:
            self._protocol_error(exc)
            conn.close()
            return
        except iostream.StreamClosedError:
            return
        except TimeoutError:
            conn.close()
            return
        finally:
            self._pending.discard(conn)
        if isinstance(first, types.TunnelRequest):
            await self._events.tunnel_requested(stream, first)
            return
        if isinstance(first, types.UpstreamNotice):
            self._events.notice_received(first)
            conn.close()
            return
        await self._serve(conn, first, dialed=False)

    async def _answer_hello(
        self, conn: streams.MessageStream, hello: types.Hello
    ) -> None:
        """Send the local Hello; wait until the peer uses the connection.

        Only a link that exists is worth the wait: the peer may have given up
        this connection, and all that is sent on it would be lost.

        Raises:
          StreamClosedError: the connection ended.
          TimeoutError: the peer has sent nothing after its Hello.
        """
        conn.send(self._hello())
        if hello.node in self.open:
            await connection.wait_until_used(conn)

    def _has_room(self) -> bool:
        """Return whether one more link fits, after closing a temporary one.

        When all nodes start at once, every node connects to the few seeds.
        Nodes that have received the node table must make room for the others.
        """
        if len(self._readable()) + len(self._pending) < MAX_LINKS:
            return True
        if self._replaced:
            self._drop(self._replaced.links()[0])
            return True
        oldest_s = self._clock.monotonic() - TEMPORARY_LINK_MIN_S
        temporary_links = [
            link
            for link in self.open.values()
            if link.peer not in self._neighbours
            and link.last_neighbour_s < oldest_s
        ]
        if not temporary_links:
            return False
        self._drop(min(temporary_links, key=lambda link: link.last_neighbour_s))
        return True

    def _hello(self) -> types.Hello:
        return types.Hello(
            self._local_id, self.incarnation, connection.CONTROLLER_ROLE
        )

    async def _serve(
        self, conn: streams.MessageStream, hello: types.Hello, dialed: bool
    ) -> None:
        now_s = self._clock.monotonic()
        link = connection.Link.opened(hello, conn, dialed, now_s)
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
        except Exception:  # A defect closes only this link and is logged.
            self._protocol_error(exceptions.ProtocolError("defect"))
            eliot.write_traceback()
        finally:
            self._drop(link)

    async def _receive(self, link: connection.Link) -> None:
        while True:
            try:
                message = await link.conn.receive()
                link.last_received_s = self._clock.monotonic()
                # What was received on a replaced link is answered on the new
                # one.
                current = self.open.get(link.peer, link)
                self._events.received(current, message)
            except exceptions.MessageRejected as exc:
                self._reject(link, exc)

    def _reject(
        self, link: connection.Link, exc: exceptions.MessageRejected
    ) -> None:
        link.last_received_s = self._clock.monotonic()
        self._metrics.protocol_errors.labels("peer", exc.reason).inc()
        if exc.reason not in link.rejected:
            link.rejected.add(exc.reason)
            eliot.log_message(
                "peer_message_rejected", peer=link.peer, reason=exc.reason
            )

    def _adopt(self, link: connection.Link) -> bool:
        if link.peer == self._local_id or self._stopped:
            return False
        old = self.open.get(link.peer)
        if old is not None:
            keeps_old = not connection.replaces(link, old, self._local_id)
            if keeps_old and not old.conn.closed():
                return False
            self._replace(old, link)
        self.open[link.peer] = link
        self._metrics.peer_links.set(len(self.open))
        return True

    def _replace(self, old: connection.Link, new: connection.Link) -> None:
        eliot.log_message(
            "link_replaced",
            peer=old.peer,
            silent_s=new.opened_s - old.last_received_s,
            restarted=new.incarnation != old.incarnation,
        )
        if new.incarnation != old.incarnation or old.conn.closed():
            self._drop(old)
            return
        self._remove(old)
        self._replaced.add(old)

    def _drop(self, link: connection.Link) -> None:
        link.conn.close()
        is_open = self.open.get(link.peer) is link
        if is_open:
            self._remove(link)
        if self._replaced.remove(link) or is_open:
            self._closed_bytes[0] += link.conn.sent_bytes
            self._closed_bytes[1] += link.conn.received_bytes

    def _remove(self, link: connection.Link) -> None:
        """Remove a link from the open ones."""
        del self.open[link.peer]
        self.detector.record_received(link.peer, link.last_received_s)
        self._metrics.peer_links.set(len(self.open))
        self._events.link_closed(link)

    def _protocol_error(self, exc: exceptions.ProtocolError) -> None:
        self._metrics.protocol_errors.labels("peer", exc.reason).inc()
        eliot.log_message("peer_protocol_error", reason=exc.reason)
