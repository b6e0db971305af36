"""Tell the other nodes what runs here, what was refused and who is silent.

Datagrams may be lost: each one carries the whole state of its sender.
"""

import asyncio
from collections.abc import Callable

import attrs
import eliot
import msgpack

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug import validation
from balsamlug.gateway import loads
from balsamlug.gateway import returns

_MALFORMED = (
    ValueError,
    TypeError,
    msgpack.UnpackException,
    exceptions.ProtocolError,
)
# A change is told after at least this time.
INTERVAL_S = 0.1
# Without a change the state is told again, within the life of counts.
IDLE_INTERVAL_S = 0.8
# Datagrams that a node may receive in a second, as the fleet grows.
RECEIVED_PER_S = 130
# Silent engines are told for this time.
SILENT_S = 1.5
MAX_DATAGRAM_BYTES = 60_000
FIELDS = 7


def _check_announcement(
    instance: object, attribute: attrs.Attribute, value: object
) -> None:
    del instance, attribute
    if not isinstance(value, dict):
        raise TypeError("an announcement is no table")
    validation.announcement(value)


def _list_of_str() -> list[str]:
    return attrs.field(
        validator=attrs.validators.deep_iterable(
            attrs.validators.instance_of(str),
            attrs.validators.instance_of(list),
        )
    )


@attrs.frozen
class _Datagram:
    """State of one node.

    Attributes:
      counts: in-flight requests by group or instance.
      silent: engines that do not answer it.
      refused: fingerprints of requests that it refused a moment ago.
      kept: announcements of engines that answer it and are not listed.
    """

    node: str = attrs.field(validator=attrs.validators.instance_of(str))
    incarnation: int = attrs.field(validator=attrs.validators.instance_of(int))
    sequence: int = attrs.field(validator=attrs.validators.instance_of(int))
    counts: dict[str, int] = attrs.field(
        validator=attrs.validators.deep_mapping(
            attrs.validators.instance_of(str),
            attrs.validators.instance_of(int),
            attrs.validators.instance_of(dict),
        )
    )
    silent: list[str] = _list_of_str()
    refused: list[str] = _list_of_str()
    kept: dict[str, dict] = attrs.field(
        validator=attrs.validators.deep_mapping(
            attrs.validators.instance_of(str),
            _check_announcement,
            attrs.validators.instance_of(dict),
        )
    )


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
            told = _parsed(data)
        except _MALFORMED as exc:
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
        counts = loads.PeerCounts(
            told.incarnation, told.sequence, now_s, told.counts
        )
        self._loads.heard(told.node, counts)
        self._returns.heard(told.refused)
        for instance in told.silent:
            self.on_silent(instance)
        for instance, raw in told.kept.items():
            self.on_kept(instance, fleet.announcement_from_dict(raw))

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
            self.kept(),
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


def _parsed(data: bytes) -> _Datagram:
    """Return the fields of a datagram.

    Raises:
      ValueError, TypeError, UnpackException, ProtocolError: it has another
        form.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ValueError("too long")
    fields = msgpack.unpackb(data)
    if not isinstance(fields, list) or len(fields) != FIELDS:
        raise ValueError(f"not {FIELDS} fields")
    return _Datagram(*fields)
