"""Flood news along the broadcast trees.

A node passes a message on exactly when the message changed its own state, so
the versions in the messages suppress duplicates and no list of seen messages
is kept. What was missed while trees differed is found by `reconcile`.
"""

import asyncio
from collections.abc import Callable
import functools

import attrs

from balsamlug import clock as clocks
from balsamlug import group_reports
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.controller import metrics as metric
from balsamlug.membership import deltas
from balsamlug.membership import links
from balsamlug.membership import nodes
from balsamlug.membership import reconcile
from balsamlug.membership import refresher
from balsamlug.membership import trees
from balsamlug.messages import codec
from balsamlug.messages import refresh
from balsamlug.messages import renewal
from balsamlug.messages import types

BATCH_S = 0.05
# Keeps a frame of refreshes small against its bound.
MAX_REFRESH_ENTRIES = 1_000
REPORT = "report"

_Key = tuple[str, ...]
_Build = Callable[[], types.Message | None]


@attrs.define
class _Item:
    """News that waits for the next batch.

    Attributes:
      build: returns the message as of the moment of sending.
      source: neighbour that sent it, and so needs no copy.
    """

    build: _Build
    source: str


class Broadcast:
    """Pass news on to the neighbours in batches."""

    def __init__(
        self,
        state: fleet.FleetState,
        table: nodes.NodeTable,
        peers: links.Links,
        clock: clocks.Clock,
        metrics: metric.Metrics,
    ) -> None:
        self._state = state
        self._table = table
        self._links = peers
        self._clock = clock
        self._metrics = metrics
        self._own_id = table.settings.id
        self.refresher = refresher.Refresher(clock)
        self._deltas = deltas.Deltas(state)
        self._pending: dict[_Key, _Item] = {}
        # tree -> key -> neighbour that sent the refresh
        self._refreshes: tuple[dict[bytes, str], ...] = ({}, {})
        self._renewals: tuple[dict[bytes, str], ...] = ({}, {})
        self._timer: asyncio.TimerHandle | None = None
        self._source = ""
        self._quiet = False
        state.subscribe(self._on_news)

    def stop(self) -> None:
        """Send what waits and no more."""
        if self._timer is not None:
            self._timer.cancel()
        self._flush()

    def publish_from(
        self, peer: str, message: types.Message, quiet: bool = False
    ) -> bool:
        """Apply a message of a neighbour; news is not sent back to it.

        Args:
          quiet: whether a report is passed on to nobody. Neighbours that lack
            it ask for it as this node did.
        """
        self._source, self._quiet = peer, quiet
        try:
            changed = self._state.publish(message, self._clock.monotonic())
        finally:
            self._source, self._quiet = "", False
        result = "news" if changed else "duplicate"
        self._metrics.broadcast_messages.labels(result).inc()
        return changed

    def pass_on_refresh(self, tree: int, key: bytes, source: str) -> None:
        """Send a refresh with the next batch along one tree."""
        self._refreshes[tree][key] = source
        self._schedule()

    def pass_on_renewal(self, tree: int, key: bytes, source: str) -> None:
        """Send a renewed lease with the next batch along one tree."""
        self._renewals[tree][key] = source
        self._schedule()

    def report(self, key: bytes) -> types.GroupReport | None:
        """Return a report that this node holds, as it is sent to others."""
        where = self._state.report_keys.get(key)
        return self._report_message(*where) if where is not None else None

    def fresh_reports(self) -> list[types.GroupReport]:
        """Return all reports that still count."""
        return [self._report_message(*where) for where in self.fresh_keys()]

    def fresh_keys(self) -> list[tuple[str, str]]:
        """Return group and prober of all reports that still count."""
        oldest_s = self._clock.monotonic() - fleet.REPORT_LIFETIME_S
        return [
            (group_id, prober)
            for group_id, by_prober in self._state.reports.items()
            for prober, received in by_prober.items()
            if received.observed_at_s >= oldest_s
        ]

    def _on_news(self, message: types.Message) -> None:
        _queue(message, self)

    def add(self, key: _Key, build: _Build) -> None:
        """Send a message with the next batch."""
        # Earlier news under this key is older; its sources need the new one.
        self._pending[key] = _Item(build, self._source)
        self._schedule()

    def _schedule(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(BATCH_S, self._flush)

    def _flush(self) -> None:
        self._timer = None
        pending, self._pending = self._pending, {}
        frames = [
            (self._encoded(item), item.source, key[0] == REPORT)
            for key, item in pending.items()
        ]
        refreshes, self._refreshes = self._refreshes, ({}, {})
        renewals, self._renewals = self._renewals, ({}, {})
        now_s = self._clock.monotonic()
        for link in list(self._links.open.values()):
            on_trees = bool(self._trees_of(link.peer))
            out = [
                frame
                for frame, source, is_report in frames
                if frame and link.peer != source and (on_trees or not is_report)
            ]
            for tree in self._trees_of(link.peer):
                out += self._refresh_frames(tree, refreshes[tree], link.peer)
                out += self._renewal_frames(tree, renewals[tree], link.peer)
            link.send_frames(out, now_s)

    def _encoded(self, item: _Item) -> bytes:
        message = item.build()
        return codec.encode(message) if message is not None else b""

    def _refresh_frames(
        self, tree: int, keys: dict[bytes, str], peer: str
    ) -> list[bytes]:
        entries = [
            self._entry(key) for key, source in keys.items() if source != peer
        ]
        entries = [entry for entry in entries if entry is not None]
        return [
            codec.encode(
                types.ReportRefresh(
                    tree, refresh.pack(entries[i : i + MAX_REFRESH_ENTRIES])
                )
            )
            for i in range(0, len(entries), MAX_REFRESH_ENTRIES)
        ]

    def _renewal_frames(
        self, tree: int, keys: dict[bytes, str], peer: str
    ) -> list[bytes]:
        names = [
            self._state.domain_keys.get(key)
            for key, source in keys.items()
            if source != peer
        ]
        entries = [self._renewal(name) for name in names if name is not None]
        if not entries:
            return []
        message = types.LeaseRefresh(tree, renewal.pack(entries))
        return [codec.encode(message)]

    def _renewal(self, name: str) -> renewal.Entry:
        item = self._state.domains[name]
        number = item.value.get("lease", {}).get("renewal", 0)
        return renewal.Entry(item.key, item.version, number)

    def _trees_of(self, peer: str) -> list[int]:
        """Return the trees whose refreshes a peer gets.

        A live peer that is no neighbour gets them from its own neighbours; a
        peer that is leaving is in no tree.
        """
        neighbours = self._table.tree_neighbours
        found = [tree for tree in trees.TREES if peer in neighbours[tree]]
        node = self._state.nodes.get(peer)
        if node is None or node.state is not tables.NodeState.UP:
            return list(trees.TREES)
        return found

    def _entry(self, key: bytes) -> refresh.Entry | None:
        where = self._state.report_keys.get(key)
        if where is None:
            return None
        received = self._state.reports[where[0]][where[1]]
        age_s = self._clock.monotonic() - received.observed_at_s
        tick = received.tick
        if where[1] == self._own_id:
            tick = self.refresher.tick(where[0])
        return refresh.entry(key, tick, received.load, age_s * clocks.MS_PER_S)

    def _report_message(self, group_id: str, prober: str) -> types.GroupReport:
        received = self._state.reports[group_id][prober]
        message = group_reports.report_message(
            received, self._clock.monotonic()
        )
        if prober == self._own_id:
            tick = self.refresher.tick(group_id)
            message = attrs.evolve(message, tick=tick)
        return message

    def own_report(self, message: types.GroupReport) -> None:
        """Send a report of this node in full or as a refresh."""
        kind = self.refresher.kind(message)
        if kind == "full":
            self.queue_report(message)
        elif kind == "refresh":
            # The trees take turns: a cut in one loses every other refresh,
            # and each refresh costs one message for each edge.
            tree = self.refresher.tick(message.group_id) % 2
            self.pass_on_refresh(tree, refresh.report_key(message), "")

    def queue_report(self, message: types.GroupReport) -> None:
        """Send a report in full with the next batch."""
        if self._quiet:
            return
        group_id, prober = message.group_id, message.prober
        self.add(
            (REPORT, group_id, prober),
            lambda: self._held_report(group_id, prober),
        )

    def _held_report(
        self, group_id: str, prober: str
    ) -> types.GroupReport | None:
        if prober not in self._state.reports.get(group_id, {}):
            return None
        return self._report_message(group_id, prober)

    def queue_node(self, name: str) -> None:
        """Send an entry of the node table with the next batch."""
        self.add((reconcile.NODES, name), lambda: self._node_message(name))
        if name == self._own_id:
            # A refutation must reach the node that made the claim, too.
            self._pending[reconcile.NODES, name].source = ""

    def _node_message(self, name: str) -> types.NodeUpdate | None:
        node = self._state.nodes.get(name)
        return fleet.node_message(node) if node is not None else None

    def queue_suspicion(self, name: str) -> None:
        """Send a suspicion with the next batch."""
        self.add(
            (reconcile.SUSPICIONS, name),
            lambda: fleet.suspicion_message(
                self._state.suspicions[name], self._clock.monotonic()
            ),
        )

    def queue_domain(self, name: str) -> None:
        """Send a domain object, or the renewal of its lease."""
        waiting = (reconcile.DOMAINS, name) in self._pending
        if not waiting and self._deltas.is_renewal(name):
            self._queue_renewal(name)
            return
        self.add((reconcile.DOMAINS, name), lambda: self._deltas.domain(name))

    def _queue_renewal(self, name: str) -> None:
        entry = self._renewal(name)
        self.pass_on_renewal(entry.renewal % 2, entry.key, self._source)

    def queue_instances(self) -> None:
        """Send the instance list with the next batch."""
        self.add((reconcile.INSTANCES,), self._deltas.instances)

    def announce_config(self) -> None:
        """Tell the neighbours the revision; who lacks it asks for it.

        A configuration is large, and both trees would carry it.
        """
        message = reconcile.versions(self._state, reconcile.CONFIG)
        frame = codec.encode(message)
        now_s = self._clock.monotonic()
        for link in list(self._links.open.values()):
            if link.peer != self._source:
                link.send_frames([frame], now_s)

    def is_own(self, message: types.GroupReport) -> bool:
        """Return whether a report was made by this node."""
        return message.prober == self._own_id


@functools.singledispatch
def _queue(message: types.Message, broadcast: Broadcast) -> None:
    """Queue the message that tells the neighbours about news."""


@_queue.register
def _(message: types.NodeUpdate, broadcast: Broadcast) -> None:
    broadcast.queue_node(message.node)


@_queue.register
def _(message: types.SuspicionUpdate, broadcast: Broadcast) -> None:
    broadcast.queue_suspicion(message.fingerprint)


@_queue.register
def _(message: types.DomainUpdate, broadcast: Broadcast) -> None:
    broadcast.queue_domain(message.domain)


@_queue.register
def _(message: types.InstanceUpdate, broadcast: Broadcast) -> None:
    broadcast.queue_instances()


@_queue.register
def _(message: types.ConfigUpdate, broadcast: Broadcast) -> None:
    broadcast.announce_config()


@_queue.register
def _(message: types.GroupReport, broadcast: Broadcast) -> None:
    if broadcast.is_own(message):
        broadcast.own_report(message)
    else:
        broadcast.queue_report(message)
