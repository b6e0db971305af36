"""Open connections to upstreams, through another node if there is no path.

No byte of a request is sent before its connection is open, so trying several
ways sends a request at most once.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
import contextlib
import random

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import tables
from balsamlug import timeouts
from balsamlug import validation
from balsamlug.messages import codec
from balsamlug.messages import types
from balsamlug.paths import monitor as monitors
from balsamlug.paths import tunnel
from balsamlug.router import upstream

# Connections within a region open in milliseconds. After this time another node
# is asked as well.
HEDGE_S = 0.1
# A node that can serve a tunnel answers at once that it tries to.
TRYING_TIMEOUT_S = 0.2
# It answers again after its own attempt (`relay.CONNECT_TIMEOUT_S`), and after
# it has compared its paths.
ANSWER_TIMEOUT_S = 0.3
# Time to handle an answer that arrived while this process was paused. A longer
# one would leave too little of a connection's time to the next node.
REPLY_EXTENSION_S = 0.03
# Number of nodes with a path that must fail to connect, too.
OPINIONS = 2
# A node that could not serve a tunnel is not asked again for this time.
PEER_PAUSE_S = 1.0
# A node that served a tunnel within this time is preferred.
PREFERENCE_S = 5.0
# Nodes with this many more tunnels of this node come after others, so that the
# end of one node breaks off only a part of its requests.
TUNNELS_PER_STEP = 3

# Status of a node that tried to connect and did not answer in time.
_SILENT = "silent"
# Status of a node that could not be asked, or did not begin to try.
_UNANSWERED = "unanswered"
# Statuses of nodes that could not tell, although they may have a path.
_UNDECIDED = frozenset({types.TUNNEL_UNLISTED, _SILENT})
# Statuses of nodes that are not asked again for a while.
_UNABLE = frozenset({types.TUNNEL_UNKNOWN, _UNANSWERED})

ProtocolFactory = Callable[[], asyncio.Protocol]


class NoTunnel(exceptions.UpstreamUnreachable):
    """No node could tell whether the upstream accepts connections."""


@attrs.define
class _Peer:
    """What this node knows of another one as an end of tunnels.

    Attributes:
      node: the other node when it was asked last.
    """

    node: tables.Node | None = None
    open_count: int = 0
    served_s: float = float("-inf")
    paused_until_s: float = float("-inf")

    def record_closed(self) -> None:
        self.open_count -= 1


@attrs.define(eq=False)
class _Opened:
    """An open connection that nothing has been sent on.

    Attributes:
      client: the tunnel that it leads through, None for a direct connection.
      relay: id of the node that serves the tunnel.
      is_taken: whether a protocol uses it.
    """

    transport: asyncio.Transport
    client: tunnel.Tunnel | None = None
    relay: str = ""
    is_taken: bool = False

    def attach(self, protocol: asyncio.Protocol) -> upstream.Connection:
        """Let a protocol use the connection."""
        self.is_taken = True
        if self.client is not None:
            self.client.attach(protocol)
        else:
            self.transport.set_protocol(protocol)
            protocol.connection_made(self.transport)
        return upstream.Connection(self.transport, self.relay)


@attrs.define(eq=False)
class Connector:
    """Open connections for one node.

    Attributes:
      live_nodes: returns the nodes that may serve tunnels.
      on_notice: called with each notice that holds for a node through which a
        connection leads, before anything is sent on the connection.
    """

    _node: str
    monitor: monitors.PathMonitor
    live_nodes: Callable[[], Sequence[tables.Node]]
    _clock: clocks.Clock
    _rng: random.Random
    on_notice: Callable[[types.UpstreamNotice], None] = lambda notice: None
    _peers: dict[str, _Peer] = attrs.field(factory=dict)
    _background: set[asyncio.Task] = attrs.field(factory=set)
    # Checks of nodes that serve tunnels, by node id and upstream.
    _checks: dict[tuple[str, str], asyncio.Task] = attrs.field(factory=dict)

    async def connect(
        self,
        address: str,
        protocol: ProtocolFactory = asyncio.Protocol,
        timeout_s: float = upstream.CONNECT_TIMEOUT_S,
    ) -> upstream.Connection:
        """Return a connection to an upstream; see `upstream.connect`.

        Raises:
          PathLost: this node has no path, and no other node could tell.
          UpstreamUnreachable: the upstream accepts no connections.
        """
        is_lost = self.monitor.lost_s is not None
        open_one = self._open_through_peers if is_lost else self._open_hedged
        started_s = self._clock.monotonic()
        try:
            async with timeouts.timeout(timeout_s):
                opened = await open_one(address)
                return opened.attach(protocol())
        except TimeoutError as exc:
            raise await self._failure(address, started_s) from exc

    async def _open_hedged(self, address: str) -> _Opened:
        """Connect directly, and beside it through a node if that takes long."""
        started_s = self._clock.monotonic()
        direct = asyncio.create_task(_open_direct(address))
        ways = [direct]
        try:
            await asyncio.wait(ways, timeout=HEDGE_S)
            if not _has_opened(direct):
                ways.append(asyncio.create_task(self._open_tunnel(address)))
                await _first_result(ways)
            return await self._result(ways, address, started_s)
        finally:
            for way in ways:
                _release(way)

    async def _result(
        self, ways: list[asyncio.Task], address: str, started_s: float
    ) -> _Opened:
        """Return the connection that opened first, or raise why none did."""
        direct, through = ways[0], ways[-1]
        if _has_opened(direct):
            self.monitor.record_opened()
            return direct.result()
        if _is_unknown(through):
            failure = await self._failure(address, started_s)
            raise failure from direct.exception().__cause__
        if _has_opened(through):
            self.monitor.record_failed(address)
        return through.result()

    async def _failure(
        self, address: str, started_s: float
    ) -> exceptions.UpstreamUnreachable:
        """Return why an upstream that only this node tried is unreachable."""
        if await self.monitor.is_up(address, started_s):
            return exceptions.UpstreamUnreachable(
                f"{address} accepts no connection"
            )
        return exceptions.PathLost(f"no path to {address} is known")

    async def _open_through_peers(self, address: str) -> _Opened:
        """Connect through a node, while the path of this node is lost."""
        self.monitor.test(address)
        try:
            return await self._open_tunnel(address)
        except NoTunnel as exc:
            failure = exceptions.PathLost(str(exc))
        try:
            async with asyncio.timeout(HEDGE_S):
                return await _open_direct(address)
        except (TimeoutError, exceptions.UpstreamUnreachable) as exc:
            raise failure from exc

    async def _open_tunnel(self, address: str) -> _Opened:
        """Return a tunnel through the first node that can connect.

        Raises:
          NoTunnel: no node could tell.
          UpstreamUnreachable: nodes with a path could not connect.
        """
        failures: list[str] = []
        for node in self._candidates():
            status, opened = await self._try_node(node, address)
            if opened is not None:
                return opened
            if status in types.TUNNEL_FAILURES:
                failures.append(status)
            if len(failures) == OPINIONS:
                break
        if not failures:
            raise NoTunnel(f"no node could connect to {address}")
        is_refused = failures[-1] == types.TUNNEL_REFUSED
        raise exceptions.UpstreamUnreachable(
            f"{address} accepts no connection from other nodes"
        ) from (ConnectionRefusedError() if is_refused else None)

    async def _try_node(
        self, node: tables.Node, address: str
    ) -> tuple[str, _Opened | None]:
        """Ask a node for a tunnel, and record what it can do."""
        peer = self._peers.setdefault(node.id, _Peer())
        status, opened = await self._ask(node, peer, address)
        eliot.log_message(
            "tunnel_requested",
            node=node.id,
            address=address,
            status=status,
            open=peer.open_count,
        )
        if status in _UNABLE:
            self._pause(peer)
        elif status not in _UNDECIDED:
            peer.served_s = self._clock.monotonic()
        return status, opened

    def _candidates(self) -> list[tables.Node]:
        """Return the other nodes in the order in which they are asked."""
        now_s = self._clock.monotonic()
        known = [
            (node, self._peers.get(node.id, _Peer()))
            for node in self.live_nodes()
            if node.id != self._node
        ]
        usable = [
            (
                peer.open_count // TUNNELS_PER_STEP,
                now_s - peer.served_s > PREFERENCE_S,
                peer.open_count,
                node,
            )
            for node, peer in known
            if now_s >= peer.paused_until_s
        ]
        self._rng.shuffle(usable)
        usable.sort(key=lambda item: item[:3])
        return [node for *_, node in usable]

    async def _ask(
        self, node: tables.Node, peer: _Peer, address: str
    ) -> tuple[str, _Opened | None]:
        peer.node = node
        request = types.TunnelRequest(self._node, address)
        client = tunnel.Tunnel(request, peer.record_closed)
        try:
            conn = await upstream.connect(
                node.peer_address, lambda: client, HEDGE_S
            )
        except exceptions.UpstreamUnreachable:
            return _UNANSWERED, None
        peer.open_count += 1
        try:
            reply = await _reply(client)
        except asyncio.CancelledError:
            conn.transport.abort()
            raise
        for notice in _usable_notices(reply):
            self.on_notice(notice)
        if reply.status != types.TUNNEL_OPEN:
            conn.transport.abort()
            return reply.status, None
        return reply.status, _Opened(conn.transport, client, node.id)

    async def is_relay_lost(self, relay: str, address: str) -> bool:
        """Return whether tunnels of a node to an upstream may be lost with it.

        Checks of one node and upstream at the same time share their result.
        """
        # A node that leaves is no longer live.
        live = next((n for n in self.live_nodes() if n.id == relay), None)
        node = live or self._peers.setdefault(relay, _Peer()).node
        if node is None:
            return True
        key = relay, address
        check = self._checks.get(key)
        if check is None:
            check = asyncio.create_task(self._check_relay(node, address))
            self._checks[key] = check
            check.add_done_callback(lambda _: self._checks.pop(key, None))
        return await asyncio.shield(check)

    async def _check_relay(self, node: tables.Node, address: str) -> bool:
        status, opened = await self._try_node(node, address)
        if opened is not None:
            opened.transport.abort()
        # A node that leaves keeps its tunnels and serves no new ones.
        is_live = any(other.id == node.id for other in self.live_nodes())
        return status == _UNANSWERED or (
            status == types.TUNNEL_UNKNOWN and is_live
        )

    def record_lost(self, relay: str) -> None:
        """Record that a tunnel was lost with the node that served it."""
        self._pause(self._peers.setdefault(relay, _Peer()))

    def share(self, notice: types.UpstreamNotice, relay: str) -> None:
        """Tell the node that served a tunnel what the upstream has stated.

        Args:
          relay: id of the node; empty for an answer that came directly, of
            which no other node need know.
        """
        if relay:
            self._run_in_background(self._send_notice(notice, relay))

    async def _send_notice(
        self, notice: types.UpstreamNotice, relay: str
    ) -> None:
        node = next((n for n in self.live_nodes() if n.id == relay), None)
        if node is None:
            return
        try:
            conn = await upstream.connect(node.peer_address)
        except exceptions.UpstreamUnreachable as exc:
            eliot.log_message("notice_not_sent", node=relay, error=str(exc))
            return
        conn.transport.write(codec.encode(notice))
        conn.transport.close()

    def _run_in_background(self, work: Coroutine) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _pause(self, peer: _Peer) -> None:
        peer.paused_until_s = self._clock.monotonic() + PEER_PAUSE_S


async def _open_direct(address: str) -> _Opened:
    conn = await upstream.connect(address)
    return _Opened(conn.transport)


def _usable_notices(reply: types.TunnelReply) -> list[types.UpstreamNotice]:
    """Return the notices of a reply without those of an unknown form."""
    usable = []
    for fields in reply.notices:
        with contextlib.suppress(exceptions.MessageRejected):
            notice = codec.from_fields(types.UpstreamNotice, fields)
            validation.check(notice)
            usable.append(notice)
    return usable


async def _reply(client: tunnel.Tunnel) -> types.TunnelReply:
    """Return the answer to a request for a tunnel."""
    try:
        async with timeouts.timeout(TRYING_TIMEOUT_S, REPLY_EXTENSION_S):
            await client.trying
    except TimeoutError:
        return types.TunnelReply(_UNANSWERED)
    try:
        async with timeouts.timeout(ANSWER_TIMEOUT_S, REPLY_EXTENSION_S):
            return await client.reply
    except TimeoutError:
        return types.TunnelReply(_SILENT)


async def _first_result(ways: list[asyncio.Task]) -> None:
    """Wait until a way has opened, or none can open any more.

    A node with a path that could not connect decides for the direct way, too.
    """
    pending = set(ways)
    while pending:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        through = ways[-1]
        is_decided = through.done() and not _is_unknown(through)
        if is_decided or any(_has_opened(way) for way in done):
            return


def _has_opened(way: asyncio.Task) -> bool:
    return way.done() and not way.cancelled() and way.exception() is None


def _is_unknown(way: asyncio.Task) -> bool:
    return (
        way.done()
        and not way.cancelled()
        and isinstance(way.exception(), NoTunnel)
    )


def _release(way: asyncio.Task) -> None:
    """Close the connection of a way that is not used."""
    way.cancel()
    way.add_done_callback(_close_unused)


def _close_unused(way: asyncio.Task) -> None:
    if _has_opened(way) and not way.result().is_taken:
        # The caller attaches its protocol right after this callback was added,
        # without a pause.
        way.result().transport.abort()
