"""Flood state updates along the broadcast trees.

Every change of the local state, from the store, a router or a neighbour, is
sent to the neighbours in the trees. A node forwards a message exactly when the
message changed its local state, so the versions in the messages suppress
duplicates and no list of seen messages is needed. `reconcile` finds updates
that a node missed while the nodes disagreed about the trees.
"""

import asyncio
from collections.abc import Callable

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import group_reports
from balsamlug import snapshots
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.controller import metrics as metric
from balsamlug.membership import deltas
from balsamlug.membership import links
from balsamlug.membership import nodes
from balsamlug.membership import queued_updates
from balsamlug.membership import reconcile
from balsamlug.membership import refresher
from balsamlug.membership import trees
from balsamlug.messages import codec
from balsamlug.messages import refresh
from balsamlug.messages import renewal
from balsamlug.messages import types

BATCH_S = 0.05
# Keeps a frame of refreshes or renewals far below the frame size limit.
MAX_REFRESH_ENTRIES = 1_000
REPORT = "report"
STORE_READ = "store_read"
CRASHED_PROMPT = "crashed_prompt"

_Key = tuple[str, ...]
_MessageBuilder = Callable[[], types.Message | None]


@attrs.define
class _PendingMessage:
    """An update that waits for the next batch.

    Attributes:
      build: returns the message as of the time of sending.
      source: neighbour that sent the update and therefore needs no copy.
    """

    build: _MessageBuilder
    source: str


class Broadcast:
    """Send state updates to the neighbours in batches."""

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
        self._local_id = table.settings.id
        self.refresher = refresher.Refresher(clock)
        self._deltas = deltas.Deltas(state)
        self._pending: dict[_Key, _PendingMessage] = {}
        # For each tree: report key -> neighbour that sent the refresh.
        self._refreshes: tuple[dict[bytes, str], ...] = ({}, {})
        self._renewals: tuple[dict[bytes, str], ...] = ({}, {})
        self._timer: asyncio.TimerHandle | None = None
        self._source = ""
        self._suppress_reports = False
        state.subscribe(self._on_update)

    def stop(self) -> None:
        """Send the pending updates and cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
        self._flush()

    def publish_from(
        self, peer: str, message: types.Message, suppress_reports: bool = False
    ) -> bool:
        """Apply a message of a neighbour; it is not sent back to its sender.

        Args:
          message: a message with validated values.
          suppress_reports: whether a report is not forwarded to any neighbour.
            Neighbours that lack the report request it as this node did.
        """
        self._source, self._suppress_reports = peer, suppress_reports
        try:
            changed = self._state.publish(
                message, self._clock.monotonic(), is_checked=True
            )
        finally:
            self._source, self._suppress_reports = "", False
        result = "news" if changed else "duplicate"
        self._metrics.broadcast_messages.labels(result).inc()
        return changed

    def forward_refresh(self, tree: int, key: bytes, source: str) -> None:
        """Queue a report refresh for the next batch along one tree."""
        self._refreshes[tree][key] = source
        self._schedule()

    def forward_renewal(self, tree: int, key: bytes, source: str) -> None:
        """Queue a lease renewal for the next batch along one tree."""
        self._renewals[tree][key] = source
        self._schedule()

    def report(self, key: bytes) -> types.GroupReport | None:
        """Return a stored report in the form that is sent to peers."""
        report_id = self._state.report_keys.get(key)
        return (
            self._report_message(*report_id) if report_id is not None else None
        )

    def current_reports(self) -> list[types.GroupReport]:
        """Return all reports that have not expired."""
        return [
            self._report_message(*report_id)
            for report_id in self.unexpired_keys()
        ]

    def unexpired_keys(self) -> list[tuple[str, str]]:
        """Return group and prober of every report that has not expired."""
        oldest_s = self._clock.monotonic() - fleet.REPORT_LIFETIME_S
        return [
            (group_id, prober)
            for group_id, by_prober in self._state.reports.items()
            for prober, received in by_prober.items()
            if received.observed_at_s >= oldest_s
        ]

    def _on_update(self, message: types.Message) -> None:
        queued_updates.queue(message, self)

    def enqueue(self, key: _Key, build: _MessageBuilder) -> None:
        """Queue an update for the next batch."""
        # Replaces an older update under this key. The neighbour that sent the
        # older update needs the newer one.
        self._pending[key] = _PendingMessage(build, self._source)
        self._schedule()

    def _schedule(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(BATCH_S, self._flush)

    def _flush(self) -> None:
        self._timer = None
        pending, self._pending = self._pending, {}
        frames = [
            (self._encoded(key, item), item.source, key[0] == REPORT)
            for key, item in pending.items()
        ]
        refreshes, self._refreshes = self._refreshes, ({}, {})
        renewals, self._renewals = self._renewals, ({}, {})
        now_s = self._clock.monotonic()
        for link in list(self._links.open.values()):
            on_trees = bool(self._trees_for(link.peer))
            out = [
                frame
                for frame, source, is_report in frames
                if frame and link.peer != source and (on_trees or not is_report)
            ]
            for tree in self._trees_for(link.peer):
                out += self._refresh_frames(tree, refreshes[tree], link.peer)
                out += self._renewal_frames(tree, renewals[tree], link.peer)
            link.send_frames(out, now_s)

    def _encoded(self, key: _Key, item: _PendingMessage) -> bytes:
        try:
            message = item.build()
        except Exception as exc:  # A defect must not stop the other messages.
            eliot.log_message(
                "message_not_sent",
                type=key[0],
                reason="defect",
                cause=type(exc).__name__,
            )
            return b""
        frames = codec.encode_each([message] if message is not None else ())
        return b"".join(frames)

    def _refresh_frames(
        self, tree: int, keys: dict[bytes, str], peer: str
    ) -> list[bytes]:
        entries = [
            self._refresh_entry(key)
            for key, source in keys.items()
            if source != peer
        ]
        entries = [entry for entry in entries if entry is not None]
        return codec.encode_each(
            types.ReportRefresh(
                tree, refresh.pack(entries[i : i + MAX_REFRESH_ENTRIES])
            )
            for i in range(0, len(entries), MAX_REFRESH_ENTRIES)
        )

    def _renewal_frames(
        self, tree: int, keys: dict[bytes, str], peer: str
    ) -> list[bytes]:
        names = [
            self._state.domain_keys.get(key)
            for key, source in keys.items()
            if source != peer
        ]
        entries = [
            self._renewal_entry(name) for name in names if name is not None
        ]
        return codec.encode_each(
            types.LeaseRefresh(
                tree, renewal.pack(entries[i : i + MAX_REFRESH_ENTRIES])
            )
            for i in range(0, len(entries), MAX_REFRESH_ENTRIES)
        )

    def _renewal_entry(self, name: str) -> renewal.Entry:
        item = self._state.domains[name]
        number = item.value.get("lease", {}).get("renewal", 0)
        return renewal.Entry(item.key, item.version, number)

    def _trees_for(self, peer: str) -> list[int]:
        """Return the trees whose refreshes are sent to a peer.

        A live peer that is not a neighbour in a tree receives its refreshes
        from the neighbours it has there. A peer that is not up is in no tree
        and is sent the refreshes of both.
        """
        neighbours = self._table.tree_neighbours
        shared = [tree for tree in trees.TREES if peer in neighbours[tree]]
        node = self._state.nodes.get(peer)
        if node is None or node.state is not tables.NodeState.UP:
            return list(trees.TREES)
        return shared

    def _refresh_entry(self, key: bytes) -> refresh.Entry | None:
        report_id = self._state.report_keys.get(key)
        if report_id is None:
            return None
        received = self._state.reports[report_id[0]][report_id[1]]
        age_s = self._clock.monotonic() - received.observed_at_s
        tick = received.tick
        if report_id[1] == self._local_id:
            tick = self.refresher.tick(report_id[0])
        return refresh.entry(key, tick, received.load, age_s * clocks.MS_PER_S)

    def _report_message(self, group_id: str, prober: str) -> types.GroupReport:
        received = self._state.reports[group_id][prober]
        message = group_reports.report_message(
            received, self._clock.monotonic()
        )
        if prober == self._local_id:
            tick = self.refresher.tick(group_id)
            message = attrs.evolve(message, tick=tick)
        return message

    def send_local_report(self, message: types.GroupReport) -> None:
        """Queue a report of this node, in full or as a refresh."""
        kind = self.refresher.kind(message)
        if kind == "full":
            self.queue_report(message)
        elif kind == "refresh":
            # Refreshes alternate between the trees. Each refresh costs one
            # message for each edge of one tree, and a break in one tree loses
            # only every second refresh.
            tree = self.refresher.tick(message.group_id) % 2
            self.forward_refresh(tree, refresh.report_key(message), "")

    def queue_report(self, message: types.GroupReport) -> None:
        """Queue a full report for the next batch."""
        if self._suppress_reports:
            return
        group_id, prober = message.group_id, message.prober
        self.enqueue(
            (REPORT, group_id, prober),
            lambda: self._report_if_present(group_id, prober),
        )

    def _report_if_present(
        self, group_id: str, prober: str
    ) -> types.GroupReport | None:
        if prober not in self._state.reports.get(group_id, {}):
            return None
        return self._report_message(group_id, prober)

    def queue_node(self, name: str) -> None:
        """Queue an entry of the node table for the next batch."""
        self.enqueue((reconcile.NODES, name), lambda: self._node_message(name))
        if name == self._local_id:
            # A refutation must also reach the neighbour whose claim it refutes.
            self._pending[reconcile.NODES, name].source = ""

    def _node_message(self, name: str) -> types.NodeUpdate | None:
        node = self._state.nodes.get(name)
        return snapshots.node_message(node) if node is not None else None

    def queue_suspicion(self, name: str) -> None:
        """Queue a suspicion for the next batch."""
        # It may be dropped from the state before the batch is sent.
        suspicion = self._state.suspicions[name]
        self.enqueue(
            (reconcile.SUSPICIONS, name),
            lambda: snapshots.suspicion_message(
                suspicion, self._clock.monotonic()
            ),
        )

    def queue_domain(self, name: str) -> None:
        """Queue a domain object, or only the renewal of its lease."""
        is_pending = (reconcile.DOMAINS, name) in self._pending
        if not is_pending and self._deltas.is_renewal(name):
            self._queue_renewal(name)
            return
        self.enqueue(
            (reconcile.DOMAINS, name), lambda: self._deltas.domain(name)
        )

    def _queue_renewal(self, name: str) -> None:
        entry = self._renewal_entry(name)
        self.forward_renewal(entry.renewal % 2, entry.key, self._source)

    def queue_instances(
        self, message: types.InstanceUpdate | types.InstanceDelta
    ) -> None:
        """Queue a change of the instance list for the next batch."""
        self._deltas.record_instances(message)
        self.enqueue((reconcile.INSTANCES,), self._deltas.instances)

    def queue_evacuations(self) -> None:
        """Queue the evacuated failure domains for the next batch."""
        self.enqueue(
            (reconcile.EVACUATIONS,),
            lambda: snapshots.evacuation_message(self._state),
        )

    def queue_store_read(self, tier: int) -> None:
        """Queue the last read of the object API by nodes of a tier."""
        self.enqueue(
            (STORE_READ, str(tier)),
            lambda: self._state.reads.message(tier, self._clock.monotonic()),
        )

    def queue_crashed_prompt(self, message: types.CrashedPrompt) -> None:
        """Queue the parts of a prompt in flight at a crash."""
        crash, parts = message.crash, message.parts
        self.enqueue(
            (CRASHED_PROMPT, crash, str(hash(parts))),
            lambda: self._state.prompts.message(
                crash, parts, self._clock.monotonic()
            ),
        )

    def announce_config(self) -> None:
        """Send the neighbours the revision; those that lack it request it.

        The configuration itself is large, and both trees would carry it.
        """
        messages = reconcile.versions(self._state, reconcile.CONFIG)
        frames = codec.encode_each(messages)
        now_s = self._clock.monotonic()
        for link in list(self._links.open.values()):
            if link.peer != self._source:
                link.send_frames(frames, now_s)

    def is_local(self, message: types.GroupReport) -> bool:
        """Return whether this node made a report."""
        return message.prober == self._local_id
