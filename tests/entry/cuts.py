"""Cut nodes off from upstreams, but not from each other or the store."""

import asyncio
from collections.abc import Iterator
import contextlib
import enum

import attrs

from tests.entry import fleet as fleets


class Kind(enum.StrEnum):
    """What becomes of the connections of a node that is cut off."""

    HANG = "hang"
    RESET = "reset"
    # Only new connections fail.
    REFUSE_NEW = "refuse_new"


class RelayFault(enum.Enum):
    """What becomes of a node through which others connect to upstreams."""

    # Its process ends.
    ENDED = enum.auto()
    # Its connections hang, and new ones open without an answer.
    FROZEN = enum.auto()
    # Its connections hang, and new ones do not open.
    DARK = enum.auto()


@attrs.define
class Cuts:
    """Which nodes are cut off, and the connections that they have opened.

    Attributes:
      relay_faults: faults of nodes that serve tunnels, by their peer ports.
      spared: ports of upstreams that the nodes still reach.
      dark: ports of upstreams that no node reaches, like those of a host
        without power.
    """

    upstream_ports: frozenset[int]
    nodes: frozenset[int] = frozenset()
    kind: Kind = Kind.HANG
    spared: frozenset[int] = frozenset()
    dark: frozenset[int] = frozenset()
    relay_faults: dict[int, RelayFault] = attrs.field(factory=dict)
    _open: list[tuple[int, asyncio.Transport]] = attrs.field(factory=list)
    _to_nodes: list[tuple[int, asyncio.Transport]] = attrs.field(factory=list)

    def cut(self, nodes: set[int], kind: Kind) -> None:
        """Cut nodes off from all upstreams."""
        self.nodes, self.kind = frozenset(nodes), kind
        for node, transport in self._open:
            if node in self.nodes:
                _END[kind](transport)

    def lose_relay(self, port: int, fault: RelayFault) -> None:
        """Let a node fail as the server of tunnels, old and new ones."""
        self.relay_faults[port] = fault
        for to_port, transport in self._to_nodes:
            if to_port == port:
                _END_TUNNEL[fault](transport)

    def heal(self) -> None:
        """Let all nodes connect again."""
        self.nodes = frozenset()

    async def connect(self, original, protocol, host, port, **options):
        """Open a connection unless the running node is cut off."""
        node = fleets.RUNNING_NODE.get()
        is_upstream = port in self.upstream_ports
        if port in self.dark:
            await asyncio.sleep(3600)
        if is_upstream and node in self.nodes and port not in self.spared:
            if self.kind is Kind.HANG:
                await asyncio.sleep(3600)
            raise ConnectionRefusedError(port)
        fault = self.relay_faults.get(port)
        if fault is RelayFault.ENDED:
            raise ConnectionRefusedError(port)
        if fault is RelayFault.DARK:
            await asyncio.sleep(3600)
        transport, made = await original(protocol, host, port, **options)
        if is_upstream:
            self._open.append((node, transport))
        else:
            self._to_nodes.append((port, transport))
        if fault is RelayFault.FROZEN:
            transport.pause_reading()
        return transport, made


_END = {
    Kind.HANG: lambda transport: transport.pause_reading(),
    Kind.RESET: lambda transport: transport.abort(),
    Kind.REFUSE_NEW: lambda transport: None,
}


def _hang(transport: asyncio.Transport) -> None:
    if not transport.is_closing():
        transport.pause_reading()


_END_TUNNEL = {
    RelayFault.ENDED: lambda transport: transport.abort(),
    RelayFault.FROZEN: _hang,
    RelayFault.DARK: _hang,
}


@contextlib.contextmanager
def installed(ports: set[int]) -> Iterator[Cuts]:
    """Yield the cuts of the running loop."""
    loop = asyncio.get_running_loop()
    original = loop.create_connection
    cuts = Cuts(frozenset(ports))

    async def create_connection(protocol, host=None, port=None, **options):
        return await cuts.connect(original, protocol, host, port, **options)

    loop.create_connection = create_connection
    try:
        yield cuts
    finally:
        del loop.create_connection
