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


@attrs.define
class Cuts:
    """Which nodes are cut off, and the connections that they have opened.

    Attributes:
      spared: ports of upstreams that the nodes still reach.
      dark: ports of upstreams that no node reaches, like those of a host
        without power.
    """

    upstream_ports: frozenset[int]
    nodes: frozenset[int] = frozenset()
    kind: Kind = Kind.HANG
    spared: frozenset[int] = frozenset()
    dark: frozenset[int] = frozenset()
    _open: list[tuple[int, asyncio.Transport]] = attrs.field(factory=list)

    def cut(self, nodes: set[int], kind: Kind) -> None:
        """Cut nodes off from all upstreams."""
        self.nodes, self.kind = frozenset(nodes), kind
        for node, transport in self._open:
            if node in self.nodes:
                _END[kind](transport)

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
        transport, made = await original(protocol, host, port, **options)
        if is_upstream:
            self._open.append((node, transport))
        return transport, made


_END = {
    Kind.HANG: lambda transport: transport.pause_reading(),
    Kind.RESET: lambda transport: transport.abort(),
    Kind.REFUSE_NEW: lambda transport: None,
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
