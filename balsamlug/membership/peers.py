"""Exchange of state between this controller and its peers.

Combines the node table, the links, the broadcast along the trees and the
reconciliation of state, and dispatches the messages of neighbours to them.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import random

import attrs
import eliot
from tornado import ioloop
from tornado import iostream

from balsamlug import clock as clocks
from balsamlug import plausibility
from balsamlug import snapshots
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug import validation
from balsamlug.config import schema
from balsamlug.controller import metrics as metric
from balsamlug.membership import broadcast
from balsamlug.membership import connection
from balsamlug.membership import entry_filter
from balsamlug.membership import handlers
from balsamlug.membership import large_values
from balsamlug.membership import links
from balsamlug.membership import nodes
from balsamlug.membership import pacing
from balsamlug.membership import reconcile
from balsamlug.messages import codec
from balsamlug.messages import refresh
from balsamlug.messages import renewal
from balsamlug.messages import types
from balsamlug.observability import revisions

TICK_MS = 100
DIGEST_INTERVAL_S = 4.0
CLEANUP_INTERVAL_S = 10.0
DOMAIN_REQUEST_INTERVAL_S = 1.0
# Minimum interval between two requests for the same missing report.
REPORT_REQUEST_INTERVAL_S = 1.0
MAX_REQUESTED_REPORTS = 4096
# A process that was paused refutes a claim with the next incarnation. A larger
# step is a restart, which takes the incarnation from the wall clock in ms.
MAX_REFUTATION_STEP = 100


DirectHandler = Callable[[connection.Link, types.Message], None]
TunnelHandler = Callable[
    [iostream.IOStream, types.TunnelRequest], Awaitable[None]
]


class Peers:
    """Node table, links, broadcast and reconciliation of one controller.

    Attributes:
      on_direct_message: handles messages that are addressed to this node and
        not forwarded.
      on_tunnel_request: serves a connection of another node to an upstream.
    """

    def __init__(
        self,
        settings: schema.NodeSettings,
        state: fleet.FleetState,
        clock: clocks.Clock,
        rng: random.Random,
        metrics: metric.Metrics,
    ) -> None:
        incarnation = clock.wall_ms()
        self.state = state
        self.clock = clock
        self.settings = settings
        self._local_id = settings.id
        self.table = nodes.NodeTable(settings, state, clock, incarnation)
        self.links = links.Links(
            settings.id, incarnation, clock, rng, metrics, self
        )
        self.broadcast = broadcast.Broadcast(
            state, self.table, self.links, clock, metrics
        )
        self.on_direct_message: DirectHandler = lambda link, message: None
        self.on_tunnel_request: TunnelHandler = _refuse_tunnel
        self._rng = rng
        self._metrics = metrics
        self._counted_bytes = (0, 0)
        self._requests = pacing.Requests()
        self.large_values = large_values.LargeValues(
            self._requests,
            self.links.open,
            clock,
            self._known_revision,
            self._send_versions,
        )
        self._domains_requested_s = float("-inf")
        self._all_reports_requested_s = float("-inf")
        self._unusable_revision = 0
        self._reports_requested_s: dict[bytes, float] = {}
        self._declared_down: dict[str, int] = {}
        self._incarnations: dict[str, int] = {}
        self._next_digest_s = 0.0
        self._next_cleanup_s = 0.0
        self._ticker = ioloop.PeriodicCallback(self._tick, TICK_MS)
        state.subscribe(self._on_update)

    def start(self) -> None:
        """Listen for peers and start dialing them."""
        self.links.listen(self.settings.link_port, self.settings.address)
        self.table.announce()
        self._ticker.start()

    def stop(self) -> None:
        """Announce the stop and close every connection."""
        self._ticker.stop()
        self.table.set_leaving(True)
        self.broadcast.stop()
        self.links.stop()

    def link_opened(self, link: connection.Link) -> None:
        """Send a new neighbour the local node entry and a state digest."""
        local = self.state.nodes[self.settings.id]
        self._requests.clear(reconcile.SUSPICIONS)
        link.send(
            [snapshots.node_message(local), self._digest()],
            self.clock.monotonic(),
        )

    def link_closed(self, link: connection.Link) -> None:
        """Request from other neighbours what this link has not answered."""
        self.large_values.link_closed(link)

    def received(self, link: connection.Link, message: types.Message) -> None:
        """Handle a message of a neighbour."""
        message = entry_filter.usable(message)
        validation.check(message)
        handlers.handle(message, self, link)

    async def tunnel_requested(
        self, stream: iostream.IOStream, request: types.TunnelRequest
    ) -> None:
        """Serve a connection of another node to an upstream."""
        await self.on_tunnel_request(stream, request)

    def notice_received(self, notice: types.UpstreamNotice) -> None:
        """Pass on what an upstream has stated through this node."""
        self.state.publish(notice, self.clock.monotonic())

    def peer_unresponsive(self, peer: str) -> None:
        """Declare a neighbour down that does not respond."""
        if peer in self.state.nodes:
            self._declared_down[peer] = self.state.nodes[peer].incarnation
        self.table.declare_down(peer)

    def _tick(self) -> None:
        now_s = self.clock.monotonic()
        self.links.tick(
            self.table.neighbour_addresses(), self.table.unknown_addresses
        )
        self.large_values.tick()
        if now_s >= self._next_digest_s:
            spread = self._rng.uniform(0.8, 1.2)
            self._next_digest_s = now_s + DIGEST_INTERVAL_S * spread
            self._send_digests(now_s)
        if now_s >= self._next_cleanup_s:
            self._next_cleanup_s = now_s + CLEANUP_INTERVAL_S
            self.table.remove_expired()
            for name in self._incarnations.keys() - self.state.nodes.keys():
                del self._incarnations[name]
            self.broadcast.refresher.remove_expired()
        self._count_bytes()

    def _count_bytes(self) -> None:
        totals = self.links.peer_bytes
        for direction, total, before in zip(
            ("sent", "received"), totals, self._counted_bytes, strict=True
        ):
            self._metrics.peer_bytes.labels(direction).inc(total - before)
        self._counted_bytes = totals

    def _digest(self) -> types.Digest:
        report_count = len(self.broadcast.unexpired_keys())
        return reconcile.digest(self.state, report_count)

    def _send_digests(self, now_s: float) -> None:
        message = self._digest()
        for link in list(self.links.open.values()):
            link.send([message], now_s)

    def _on_update(self, message: types.Message) -> None:
        self.table.on_update(message)
        if isinstance(message, types.NodeUpdate):
            self._record_refutation(message)

    def _record_refutation(self, message: types.NodeUpdate) -> None:
        name, incarnation = message.node, message.incarnation
        step = incarnation - self._incarnations.get(name, incarnation)
        self._incarnations[name] = incarnation
        if message.state == tables.NodeState.DOWN:
            return
        declared_here = self._declared_down.pop(name, None) is not None
        if 0 < step <= MAX_REFUTATION_STEP:
            self.links.detector.record_refutation(name, declared_here)

    def answer_versions(
        self, link: connection.Link, message: reconcile.Versions
    ) -> None:
        """Send what the neighbour lacks; request a newer large value."""
        now_s = self.clock.monotonic()
        link.send(reconcile.newer_messages(self.state, message, now_s), now_s)
        if pacing.is_large(message.kind):
            announced = message.versions.get(message.kind, 0)
            self.large_values.announce(link, message.kind, announced)

    def _known_revision(self, kind: str) -> int:
        if kind == reconcile.INSTANCES:
            return self.state.instances_revision
        return max(self.state.config_revision, self._unusable_revision)

    def request_newer(self, link: connection.Link, kind: str) -> None:
        """Send the local versions of a kind, which requests newer values."""
        if self._requests.is_due(kind, self.clock.monotonic()):
            self._send_versions(link, kind)

    def _send_versions(self, link: connection.Link, kind: str) -> None:
        now_s = self.clock.monotonic()
        frames = codec.encode_each(reconcile.versions(self.state, kind))
        is_limited = self.state.dropped.has_entries()
        self._requests.record(kind, frames, now_s, is_limited)
        link.send_frames(frames, now_s)
        if kind == reconcile.CONFIG:
            eliot.log_message(
                "configuration_requested",
                peer=link.peer,
                held=self.state.config_revision,
            )

    def compare_digest(
        self, link: connection.Link, message: types.Digest
    ) -> None:
        """Request newer values of every kind in which a neighbour differs."""
        local = self._digest()
        kinds = reconcile.differing_kinds(local, message)
        revisions_of = {
            reconcile.CONFIG: message.config_revision,
            reconcile.INSTANCES: message.instances_revision,
        }
        for kind in kinds:
            if kind in revisions_of:
                self.large_values.announce(link, kind, revisions_of[kind])
            else:
                self.request_newer(link, kind)
        if message.reports and not local.reports:
            self._request_all_reports(link)

    def publish(self, link: connection.Link, message: types.Message) -> None:
        """Apply a message of a neighbour and forward it if it is newer."""
        plausibility.check_jump(message, self.state)
        is_answer = self._answers_report_request(message)
        held, started_s = self.state.config_revision, self.clock.monotonic()
        changed = self.broadcast.publish_from(link.peer, message, is_answer)
        if is_answer and changed:
            # Neighbours that compared digests before the answer request it.
            self._next_digest_s = 0.0
        if isinstance(message, types.InstanceUpdate):
            self.large_values.answered(reconcile.INSTANCES)
        if isinstance(message, types.ConfigUpdate):
            if message.revision > self.state.config_revision:
                # The configuration is not valid for this site. Another request
                # would return the same revision.
                self._unusable_revision = message.revision
            revisions.log_received(
                message,
                link.peer,
                held,
                changed,
                self.clock.monotonic() - started_s,
                self.large_values.answered(reconcile.CONFIG),
            )

    def _answers_report_request(self, message: types.Message) -> bool:
        """Return whether a report may answer a request for all reports."""
        since_s = self.clock.monotonic() - self._all_reports_requested_s
        return isinstance(message, types.GroupReport) and (
            since_s < REPORT_REQUEST_INTERVAL_S
        )

    def apply_refresh(
        self, link: connection.Link, message: types.ReportRefresh
    ) -> None:
        """Apply and forward newer refreshes; request missing reports."""
        newer, missing = [], []
        for entry in refresh.unpack(message.entries):
            report_id = self.state.report_keys.get(entry.key)
            if report_id is None:
                missing.append(entry.key)
            elif report_id[1] != self.settings.id and self._is_newer(
                report_id, entry
            ):
                newer.append(entry)
        if newer:
            compact = attrs.evolve(message, entries=refresh.pack(newer))
            self.broadcast.publish_from(link.peer, compact)
            for entry in newer:
                self.broadcast.forward_refresh(
                    message.tree, entry.key, link.peer
                )
        self._request_reports(link, missing)

    def apply_renewals(
        self, link: connection.Link, message: types.LeaseRefresh
    ) -> None:
        """Apply lease renewals and forward the newer ones."""
        newer = []
        for entry in renewal.unpack(message.entries):
            name = self.state.domain_keys.get(entry.key)
            if name is None:
                self._request_domains(link)
            elif plausibility.is_newer_renewal(
                entry, name, self.state, self._local_id
            ):
                newer.append(entry)
        if not newer:
            return
        compact = attrs.evolve(message, entries=renewal.pack(newer))
        self.broadcast.publish_from(link.peer, compact)
        for entry in newer:
            self.broadcast.forward_renewal(message.tree, entry.key, link.peer)

    def _request_domains(self, link: connection.Link) -> None:
        """Request domain objects, at most once in the request interval.

        Content that changed may still be in transit.
        """
        now_s = self.clock.monotonic()
        if now_s - self._domains_requested_s >= DOMAIN_REQUEST_INTERVAL_S:
            self._domains_requested_s = now_s
            self.request_newer(link, reconcile.DOMAINS)

    def _is_newer(
        self, report_id: tuple[str, str], entry: refresh.Entry
    ) -> bool:
        group_id, prober = report_id
        known = self.state.reports[group_id][prober]
        return refresh.is_newer(known.tick, entry)

    def _request_reports(
        self, link: connection.Link, missing: list[bytes]
    ) -> None:
        now_s = self.clock.monotonic()
        requested = self._reports_requested_s
        if len(requested) > MAX_REQUESTED_REPORTS:
            requested.clear()
        due = [
            key
            for key in missing
            if now_s - requested.get(key, float("-inf"))
            >= REPORT_REQUEST_INTERVAL_S
        ]
        requested.update(dict.fromkeys(due, now_s))
        if due:
            link.send([types.ReportRequest(b"".join(due))], now_s)

    def _request_all_reports(self, link: connection.Link) -> None:
        """Request all reports from one neighbour; this node has none."""
        now_s = self.clock.monotonic()
        if now_s - self._all_reports_requested_s >= REPORT_REQUEST_INTERVAL_S:
            self._all_reports_requested_s = now_s
            link.send([types.ReportRequest(b"")], now_s)

    def answer_reports(
        self, link: connection.Link, message: types.ReportRequest
    ) -> None:
        """Send full reports that a neighbour requested."""
        if not message.keys:
            reports = self.broadcast.current_reports()
            link.send(reports, self.clock.monotonic())
            return
        step = refresh.KEY_BYTES
        keys = [
            message.keys[i : i + step]
            for i in range(0, len(message.keys), step)
        ]
        reports = [self.broadcast.report(key) for key in keys]
        stored = [report for report in reports if report is not None]
        link.send(stored, self.clock.monotonic())


async def _refuse_tunnel(
    stream: iostream.IOStream, request: types.TunnelRequest
) -> None:
    del request
    stream.close()
