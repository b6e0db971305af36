"""Announcements of the local node, and the choice of its neighbours."""

import attrs

from balsamlug import clock as clocks
from balsamlug import hashing
from balsamlug import snapshots
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.config import schema
from balsamlug.membership import trees
from balsamlug.messages import types

# How long the entry of a down node is retained, so that a delayed announcement
# that the node is up is recognised as outdated.
DOWN_NODE_RETENTION_S = 3600.0
# Number of links of a leaving node, which is no longer part of the trees.
LEAVING_LINKS = 2


@attrs.define
class NodeTable:
    """Announces this node and chooses its neighbours.

    Attributes:
      incarnation: raised when another node declares this one down.
      local_state: UP, or LEAVING from the start of a graceful stop.
      tree_neighbours: neighbours in each broadcast tree.
      known_addresses: addresses that nodes registered; the nodes may be gone.
    """

    settings: schema.NodeSettings
    state: fleet.FleetState
    clock: clocks.Clock
    incarnation: int
    local_state: tables.NodeState = tables.NodeState.UP
    tree_neighbours: tuple[frozenset[str], ...] = (frozenset(), frozenset())
    known_addresses: set[str] = attrs.field(factory=set)
    _down_since_s: dict[str, float] = attrs.field(factory=dict)
    _neighbours_stale: bool = True

    @property
    def address(self) -> str:
        """Return the address where this node accepts peer connections."""
        return f"{self.settings.address}:{self.settings.peer_port}"

    def announce(self) -> None:
        """Publish the entry of this node in the node table."""
        update = types.NodeUpdate(
            self.settings.id,
            self.incarnation,
            str(self.local_state),
            self.settings.region,
            self.settings.failure_domain,
            self.address,
            self.settings.cpu_milli,
        )
        self.state.publish(update, self.clock.monotonic())

    def set_leaving(self, leaving: bool) -> None:
        """Announce that the node is about to stop, or that it stays up."""
        target = (tables.NodeState.UP, tables.NodeState.LEAVING)[leaving]
        if target is self.local_state:
            return
        self.local_state = target
        if not leaving:
            # Within one incarnation a node never returns from leaving to up.
            self.incarnation += 1
        self.announce()

    def on_update(self, message: types.Message) -> None:
        """Update the neighbours and refute claims after a node update."""
        if not isinstance(message, types.NodeUpdate):
            return
        self._neighbours_stale = True
        if message.state == tables.NodeState.DOWN:
            self._down_since_s[message.node] = self.clock.monotonic()
        else:
            self._down_since_s.pop(message.node, None)
        if message.node == self.settings.id:
            self._refute(message)

    def _refute(self, message: types.NodeUpdate) -> None:
        local = (self.incarnation, str(self.local_state))
        received = (message.incarnation, message.state)
        if received != local and message.incarnation >= self.incarnation:
            self.incarnation = message.incarnation + 1
            self.announce()

    def neighbour_addresses(self) -> dict[str, str]:
        """Return the neighbours that need a link, with their addresses."""
        if self._neighbours_stale:
            self._rebuild_neighbours()
        names = self.tree_neighbours[0] | self.tree_neighbours[1]
        if self.local_state is not tables.NodeState.UP:
            live = [node.id for node in self.state.live_nodes()]
            names = hashing.rank(self.settings.id, live)[:LEAVING_LINKS]
        return {name: self.state.nodes[name].peer_address for name in names}

    def _rebuild_neighbours(self) -> None:
        live = self.state.live_nodes()
        self.tree_neighbours = tuple(
            trees.neighbours(self.settings.id, live, tree)
            for tree in trees.TREES
        )
        self._neighbours_stale = False

    def unknown_addresses(self) -> list[str]:
        """Return addresses where a node may run that is not known to be up.

        One of them is dialed at intervals, so that a node finds its peers
        after a start and both sides of a partition reconnect after it heals.
        """
        live = {node.peer_address for node in self.state.live_nodes()}
        down = {
            node.peer_address
            for node in self.state.nodes.values()
            if node.state is tables.NodeState.DOWN
        }
        entries = {
            instance.address
            for instance in self.state.instances.values()
            if instance.kind is tables.InstanceKind.ENTRY
            and instance.state is tables.InstanceState.LIVE
        }
        registered = self.known_addresses
        unknown = {*self.settings.peers, *entries, *down, *registered} - live
        return sorted(unknown - {self.address})

    def declare_down(self, name: str) -> None:
        """Publish that a node does not respond."""
        node = self.state.nodes.get(name)
        if node is None or node.state is tables.NodeState.DOWN:
            return
        update = snapshots.node_message(
            attrs.evolve(node, state=tables.NodeState.DOWN)
        )
        self.state.publish(update, self.clock.monotonic())

    def remove_expired(self) -> None:
        """Remove nodes that were down for DOWN_NODE_RETENTION_S."""
        oldest_s = self.clock.monotonic() - DOWN_NODE_RETENTION_S
        for name, since_s in list(self._down_since_s.items()):
            if since_s < oldest_s:
                del self._down_since_s[name]
                self.state.nodes.pop(name, None)
