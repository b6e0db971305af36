"""Tell the other nodes what runs here, what was refused and who is silent.

Datagrams may be lost: each one carries the whole state of its sender.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import plain
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.gateway import datagrams
from balsamlug.gateway import hubs
from balsamlug.gateway import loads
from balsamlug.gateway import returns

# Without a change the state is told again, within the life of counts.
IDLE_INTERVAL_S = 0.8
# Silent engines are told for this time.
SILENT_S = 1.5


@attrs.define(eq=False)
class Exchange(asyncio.DatagramProtocol):
    """Send and receive the state of nodes.

    Attributes:
      on_silent: told an engine that another node found silent.
      on_kept: told an unlisted engine that answers another node, and what it
        announces.
      kept: returns the same for this node.
    """

    _node: str
    _incarnation: int
    _fleet: fleet.FleetState
    _loads: loads.Loads
    _clock: clocks.Clock
    _returns: returns.Returns
    on_silent: Callable[[str], None] = lambda instance: None
    on_kept: Callable[[str, tables.Announcement], None] = (
        lambda instance, told: None
    )
    kept: Callable[[], dict[str, dict]] = dict
    _transport: asyncio.DatagramTransport | None = None
    _sequence: int = 0
    _sent_s: float = float("-inf")
    _sent: tuple | None = None
    _relayed_s: float = float("-inf")
    _relayed: tuple | None = None
    _relayed_silent: frozenset[str] = frozenset()
    _chosen: list[tables.Node] = attrs.field(factory=list)
    _chosen_from: list[tables.Node] | None = None
    _gathered: hubs.Gathered = attrs.field(factory=hubs.Gathered)
    _silent: dict[str, float] = attrs.field(factory=dict)
    _ignored: int = 0

    async def start(self, address: str, port: int) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address, port)
        )

    def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def silent(self, instance: str) -> None:
        """Tell the others at once that an engine does not answer."""
        now_s = self._clock.monotonic()
        self._silent[instance] = now_s
        nodes = self._fleet.live_nodes()
        chosen = self._hubs()
        self._send(now_s, chosen or nodes)
        if self._is_hub():
            self._relay(now_s, self._gathered.total(self._own()))

    def tick(self) -> None:
        """Send what is due."""
        now_s = self._clock.monotonic()
        for instance, since_s in list(self._silent.items()):
            if now_s - since_s > SILENT_S:
                del self._silent[instance]
        nodes = self._fleet.live_nodes()
        chosen = self._hubs()
        least_s = loads.interval_s(len(nodes))
        due_s = IDLE_INTERVAL_S if self._state() == self._sent else least_s
        if now_s - self._sent_s >= due_s:
            self._send(now_s, chosen or nodes)
        if self._is_hub() and now_s - self._relayed_s >= least_s:
            self._gathered.drop_old(now_s)
            total = self._gathered.total(self._own())
            due_s = IDLE_INTERVAL_S if _content(total) == self._relayed else 0.0
            if now_s - self._relayed_s >= due_s:
                self._relay(now_s, total)

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Take the state of another node, or the sum that a hub tells."""
        try:
            told = datagrams.parsed(data)
        except datagrams.MALFORMED as exc:
            self._ignore(addr[0], str(exc))
            return
        now_s = self._clock.monotonic()
        counts = loads.PeerCounts(
            told.incarnation, told.sequence, now_s, told.counts, told.covers
        )
        if not told.covers:
            self._loads.heard(told.node, counts)
            self._take_state(told, now_s)
        elif not self._is_hub():
            self._loads.summed(told.node, counts)
        self._returns.heard(told.refused)
        for instance in told.silent:
            self.on_silent(instance)
        for instance, raw in told.kept.items():
            self.on_kept(instance, plain.announcement_from_dict(raw))

    def error_received(self, exc: Exception) -> None:
        """Ignore refused datagrams of nodes that have stopped."""

    def _take_state(self, told: datagrams.Datagram, now_s: float) -> None:
        """Gather a state, and pass on at once which engines fell silent."""
        if not self._is_hub():
            return
        self._gathered.heard(told, now_s)
        if not self._relayed_silent.issuperset(told.silent):
            self._relay(now_s, self._gathered.total(self._own()))

    def _hubs(self) -> list[tables.Node]:
        nodes = self._fleet.live_nodes()
        if nodes is not self._chosen_from:
            before, self._chosen = self._chosen, hubs.chosen(nodes)
            self._chosen_from = nodes
            names = [node.id for node in self._chosen]
            if names != [node.id for node in before]:
                eliot.log_message("hubs_chosen", hubs=names, nodes=len(nodes))
        return self._chosen

    def _is_hub(self) -> bool:
        return any(node.id == self._node for node in self._hubs())

    def _ignore(self, address: str, error: str) -> None:
        self._ignored += 1
        if self._ignored.bit_count() == 1:
            eliot.log_message(
                "datagram_ignored",
                address=address,
                error=error,
                total=self._ignored,
            )

    def _state(self) -> tuple:
        return (
            dict(self._loads.own),
            sorted(self._silent),
            self._returns.told(),
            self.kept(),
        )

    def _own(self) -> datagrams.Datagram:
        return datagrams.Datagram(
            self._node, self._incarnation, self._sequence, 0, *self._state()
        )

    def _send(self, now_s: float, nodes: Sequence[tables.Node]) -> None:
        """Send the own state."""
        self._sequence += 1
        self._sent_s = now_s
        self._sent = self._state()
        data = datagrams.packed(self._own())
        for node in nodes:
            self._send_to(node, data)

    def _relay(self, now_s: float, total: datagrams.Datagram) -> None:
        """Send the sum of all states; each node adds its own by itself."""
        self._sequence += 1
        self._relayed_s = now_s
        self._relayed = _content(total)
        self._relayed_silent = frozenset(total.silent)
        for node in self._fleet.live_nodes():
            counts = self._gathered.without(node.id, total)
            told = attrs.evolve(total, sequence=self._sequence, counts=counts)
            self._send_to(node, datagrams.packed(told))

    def _send_to(self, node: tables.Node, data: bytes) -> None:
        if self._transport is not None and node.id != self._node:
            host, _, port = node.peer_address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))


def _content(told: datagrams.Datagram) -> tuple:
    """Return what a datagram says, without its number."""
    return (told.counts, told.silent, told.refused, told.kept)
