"""Tell the other nodes what runs here, what was refused and who is silent.

Datagrams may be lost: each one carries the whole state of its sender.
"""

import asyncio
from collections.abc import Callable

import attrs
import eliot
import msgpack

from balsamlug import clock as clocks
from balsamlug import state as fleet
from balsamlug.gateway import loads
from balsamlug.gateway import returns

# A change is told after at least this time.
INTERVAL_S = 0.1
# Without a change the state is told again, within the life of counts.
IDLE_INTERVAL_S = 0.8
# Datagrams that a node may receive in a second, as the fleet grows.
RECEIVED_PER_S = 130
# Silent engines are told for this time.
SILENT_S = 1.5
MAX_DATAGRAM_BYTES = 60_000
FIELDS = 6


@attrs.define(eq=False)
class Exchange(asyncio.DatagramProtocol):
    """Send and receive the state of nodes.

    Attributes:
      on_silent: told an engine that another node found silent.
    """

    _node: str
    _incarnation: int
    _fleet: fleet.FleetState
    _loads: loads.Loads
    _clock: clocks.Clock
    _returns: returns.Returns
    on_silent: Callable[[str], None] = lambda instance: None
    _transport: asyncio.DatagramTransport | None = None
    _sequence: int = 0
    _sent_s: float = float("-inf")
    _sent: tuple | None = None
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
        self._silent[instance] = self._clock.monotonic()
        self._send(self._clock.monotonic())

    def tick(self) -> None:
        """Send the state if it is due."""
        now_s = self._clock.monotonic()
        for instance, since_s in list(self._silent.items()):
            if now_s - since_s > SILENT_S:
                del self._silent[instance]
        changed = self._state() != self._sent
        due_s = self._interval_s() if changed else IDLE_INTERVAL_S
        if now_s - self._sent_s >= due_s:
            self._send(now_s)

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Take the state of another node."""
        try:
            node, incarnation, sequence, counts, silent, refused = _parsed(data)
        except (ValueError, TypeError, msgpack.UnpackException) as exc:
            self._ignored += 1
            if self._ignored.bit_count() == 1:
                eliot.log_message(
                    "datagram_ignored",
                    address=addr[0],
                    error=str(exc),
                    total=self._ignored,
                )
            return
        now_s = self._clock.monotonic()
        told = loads.PeerCounts(incarnation, sequence, now_s, counts)
        self._loads.heard(node, told)
        self._returns.heard(refused)
        for instance in silent:
            self.on_silent(instance)

    def error_received(self, exc: Exception) -> None:
        """Ignore refused datagrams of nodes that have stopped."""

    def _interval_s(self) -> float:
        peers = len(self._fleet.nodes)
        return max(INTERVAL_S, peers / RECEIVED_PER_S)

    def _state(self) -> tuple:
        return (
            dict(self._loads.own),
            sorted(self._silent),
            self._returns.told(),
        )

    def _send(self, now_s: float) -> None:
        if self._transport is None:
            return
        self._sequence += 1
        self._sent_s = now_s
        self._sent = self._state()
        data = msgpack.packb(
            [self._node, self._incarnation, self._sequence, *self._sent]
        )
        for node in self._fleet.live_nodes():
            if node.id != self._node:
                host, _, port = node.peer_address.rpartition(":")
                self._transport.sendto(data, (host, int(port)))


def _parsed(data: bytes) -> tuple[str, int, int, dict, list, list]:
    """Return the fields of a datagram.

    Raises:
      ValueError, TypeError, UnpackException: it has another form.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ValueError("too long")
    fields = msgpack.unpackb(data)
    if not isinstance(fields, list) or len(fields) != FIELDS:
        raise ValueError(f"not {FIELDS} fields")
    node, incarnation, sequence, counts, silent, refused = fields
    if not isinstance(counts, dict):
        raise TypeError("counts are no table")
    if not isinstance(silent, list) or not isinstance(refused, list):
        raise TypeError("silent engines or refusals are no list")
    return str(node), int(incarnation), int(sequence), counts, silent, refused
