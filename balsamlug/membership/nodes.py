"""What a node announces about itself and whom it connects to."""

import attrs

from balsamlug import clock as clocks
from balsamlug import hashing
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.config import schema
from balsamlug.membership import trees
from balsamlug.messages import types

# A down node is remembered this long, so that an old announcement that says
# it is up is recognised as old.
FORGET_S = 3600.0
# Links of a node that is no longer part of the trees.
LEAVING_LINKS = 2


@attrs.define
class NodeTable:
    """Announcements of this node and its choice of neighbours.

    Attributes:
      incarnation: raised when others call this node down.
      own_state: UP, or LEAVING from the start of a graceful stop.
      tree_neighbours: neighbours in each broadcast tree.
      known_addresses: where nodes registered; they may be gone.
    """

    settings: schema.NodeSettings
    state: fleet.FleetState
    clock: clocks.Clock
    incarnation: int
    own_state: tables.NodeState = tables.NodeState.UP
    tree_neighbours: tuple[frozenset[str], ...] = (frozenset(), frozenset())
    known_addresses: set[str] = attrs.field(factory=set)
    _down_since_s: dict[str, float] = attrs.field(factory=dict)
    _stale: bool = True

    @property
    def address(self) -> str:
        """Return the address of the own peer stream."""
        return f"{self.settings.address}:{self.settings.peer_port}"

    def announce(self) -> None:
        """Publish the own entry of the node table."""
        update = types.NodeUpdate(
            self.settings.id,
            self.incarnation,
            str(self.own_state),
            self.settings.region,
            self.settings.failure_domain,
            self.address,
        )
        self.state.publish(update, self.clock.monotonic())

    def set_leaving(self, leaving: bool) -> None:
        """Announce that the node stops soon, or that it does not after all."""
        target = (tables.NodeState.UP, tables.NodeState.LEAVING)[leaving]
        if target is self.own_state:
            return
        self.own_state = target
        if not leaving:
            # Within one incarnation a node never returns from leaving to up.
            self.incarnation += 1
        self.announce()

    def on_news(self, message: types.Message) -> None:
        """Follow changes of the node table."""
        if not isinstance(message, types.NodeUpdate):
            return
        self._stale = True
        if message.state == tables.NodeState.DOWN:
            self._down_since_s[message.node] = self.clock.monotonic()
        else:
            self._down_since_s.pop(message.node, None)
        if message.node == self.settings.id:
            self._refute(message)

    def _refute(self, message: types.NodeUpdate) -> None:
        own = (self.incarnation, str(self.own_state))
        heard = (message.incarnation, message.state)
        if heard != own and message.incarnation >= self.incarnation:
            self.incarnation = message.incarnation + 1
            self.announce()

    def wanted(self) -> dict[str, str]:
        """Return the neighbours to keep a link to, with their addresses."""
        if self._stale:
            self._rebuild()
        names = self.tree_neighbours[0] | self.tree_neighbours[1]
        if self.own_state is not tables.NodeState.UP:
            live = [node.id for node in self.state.live_nodes()]
            names = hashing.rank(self.settings.id, live)[:LEAVING_LINKS]
        return {name: self.state.nodes[name].peer_address for name in names}

    def _rebuild(self) -> None:
        live = self.state.live_nodes()
        self.tree_neighbours = tuple(
            trees.neighbours(self.settings.id, live, tree)
            for tree in trees.TREES
        )
        self._stale = False

    def strangers(self) -> list[str]:
        """Return addresses where a node may run that is not known to be up.

        They are tried now and then, so that a node finds its peers after a
        start and both sides of a partition find each other after it.
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
        found = {*self.settings.peers, *entries, *down, *registered} - live
        return sorted(found - {self.address})

    def declare_down(self, name: str) -> None:
        """Publish that a node does not answer."""
        node = self.state.nodes.get(name)
        if node is None or node.state is tables.NodeState.DOWN:
            return
        update = fleet.node_message(
            attrs.evolve(node, state=tables.NodeState.DOWN)
        )
        self.state.publish(update, self.clock.monotonic())

    def forget(self) -> None:
        """Drop nodes that have been down for long."""
        oldest_s = self.clock.monotonic() - FORGET_S
        for name, since_s in list(self._down_since_s.items()):
            if since_s < oldest_s:
                del self._down_since_s[name]
                self.state.nodes.pop(name, None)
