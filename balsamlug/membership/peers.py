"""Everything between this controller and the other ones."""

from collections.abc import Callable
import functools
import random

import attrs
from tornado import ioloop

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import plausibility
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug import validation
from balsamlug.config import schema
from balsamlug.controller import metrics as metric
from balsamlug.membership import broadcast
from balsamlug.membership import connection
from balsamlug.membership import links
from balsamlug.membership import nodes
from balsamlug.membership import reconcile
from balsamlug.messages import refresh
from balsamlug.messages import renewal
from balsamlug.messages import types

TICK_MS = 100
DIGEST_INTERVAL_S = 4.0
FORGET_INTERVAL_S = 10.0
# A large value is asked for once while an answer may be under way.
WHOLE_KINDS = (reconcile.CONFIG, reconcile.INSTANCES)
WHOLE_ASK_S = 1.0
DOMAIN_ASK_S = 1.0
# A report that is not held is asked for at most this often.
REPORT_ASK_S = 1.0
MAX_ASKED_REPORTS = 4096
# A paused process refutes with the next incarnation; a restarted one takes
# its incarnation from the wall clock.
REFUTATION_STEP = 100


DirectHandler = Callable[[connection.Link, types.Message], None]


class Peers:
    """Node table, links, broadcast and comparison of one controller.

    Attributes:
      on_direct: takes messages that are for this node alone.
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
        self._own_id = settings.id
        self.table = nodes.NodeTable(settings, state, clock, incarnation)
        self.links = links.Links(
            settings.id, incarnation, clock, rng, metrics, self
        )
        self.broadcast = broadcast.Broadcast(
            state, self.table, self.links, clock, metrics
        )
        self.on_direct: DirectHandler = lambda link, message: None
        self._rng = rng
        self._metrics = metrics
        self._counted_bytes = (0, 0)
        self._asked_s: dict[str, float] = {}
        self._domains_asked_s = float("-inf")
        self._all_reports_asked_s = float("-inf")
        self._unusable_revision = 0
        self._reports_asked_s: dict[bytes, float] = {}
        self._claimed: dict[str, int] = {}
        self._incarnations: dict[str, int] = {}
        self._next_digest_s = 0.0
        self._next_forget_s = 0.0
        self._ticker = ioloop.PeriodicCallback(self._tick, TICK_MS)
        state.subscribe(self._on_news)

    def start(self) -> None:
        """Listen for peers and start to dial them."""
        self.links.listen(self.settings.peer_port, self.settings.address)
        self.table.announce()
        self._ticker.start()

    def stop(self) -> None:
        """Announce the stop and close every connection."""
        self._ticker.stop()
        self.table.set_leaving(True)
        self.broadcast.stop()
        self.links.stop()

    def link_opened(self, link: connection.Link) -> None:
        """Tell a new neighbour who this is and what is known here."""
        own = self.state.nodes[self.settings.id]
        link.send(
            [fleet.node_message(own), self._digest()], self.clock.monotonic()
        )

    def received(self, link: connection.Link, message: types.Message) -> None:
        """Handle a message of a neighbour."""
        validation.check(message)
        _handle(message, self, link)

    def silent(self, peer: str) -> None:
        """Announce a neighbour that does not answer."""
        if peer in self.state.nodes:
            self._claimed[peer] = self.state.nodes[peer].incarnation
        self.table.declare_down(peer)

    def _tick(self) -> None:
        now_s = self.clock.monotonic()
        self.links.tick(self.table.wanted(), self.table.strangers)
        if now_s >= self._next_digest_s:
            spread = self._rng.uniform(0.8, 1.2)
            self._next_digest_s = now_s + DIGEST_INTERVAL_S * spread
            self._send_digests(now_s)
        if now_s >= self._next_forget_s:
            self._next_forget_s = now_s + FORGET_INTERVAL_S
            self.table.forget()
            for name in self._incarnations.keys() - self.state.nodes.keys():
                del self._incarnations[name]
            self.broadcast.refresher.forget()
        self._count_bytes()

    def _count_bytes(self) -> None:
        totals = self.links.peer_bytes
        for direction, total, before in zip(
            ("sent", "received"), totals, self._counted_bytes, strict=True
        ):
            self._metrics.peer_bytes.labels(direction).inc(total - before)
        self._counted_bytes = totals

    def _digest(self) -> types.Digest:
        fresh = len(self.broadcast.fresh_keys())
        return reconcile.digest(self.state, fresh)

    def _send_digests(self, now_s: float) -> None:
        message = self._digest()
        for link in list(self.links.open.values()):
            link.send([message], now_s)

    def _on_news(self, message: types.Message) -> None:
        self.table.on_news(message)
        if isinstance(message, types.NodeUpdate):
            self._note_refutation(message)

    def _note_refutation(self, message: types.NodeUpdate) -> None:
        name, incarnation = message.node, message.incarnation
        step = incarnation - self._incarnations.get(name, incarnation)
        self._incarnations[name] = incarnation
        if message.state == tables.NodeState.DOWN:
            return
        own = self._claimed.pop(name, None) is not None
        if 0 < step <= REFUTATION_STEP:
            self.links.watch.refuted(name, own)

    def answer_versions(
        self, link: connection.Link, message: types.Versions
    ) -> None:
        """Send what the neighbour lacks, or ask for a newer large value."""
        now_s = self.clock.monotonic()
        link.send(reconcile.newer(self.state, message, now_s), now_s)
        if message.kind in WHOLE_KINDS:
            announced = message.versions.get(message.kind, 0)
            if announced > self._known_revision(message.kind):
                self.ask(link, message.kind)

    def _known_revision(self, kind: str) -> int:
        if kind == reconcile.INSTANCES:
            return self.state.instances_revision
        return max(self.state.config_revision, self._unusable_revision)

    def ask(self, link: connection.Link, kind: str) -> None:
        """State the own versions of a class, to get what is newer."""
        now_s = self.clock.monotonic()
        if kind in WHOLE_KINDS:
            if now_s - self._asked_s.get(kind, float("-inf")) < WHOLE_ASK_S:
                return
            self._asked_s[kind] = now_s
        link.send([reconcile.versions(self.state, kind)], now_s)

    def compare(self, link: connection.Link, message: types.Digest) -> None:
        """Ask a neighbour about every class in which it differs."""
        own = self._digest()
        kinds = reconcile.differing(own, message)
        if message.config_revision <= self._unusable_revision:
            kinds = [kind for kind in kinds if kind != reconcile.CONFIG]
        for kind in kinds:
            self.ask(link, kind)
        if message.reports and not own.reports:
            self._ask_all_reports(link)

    def publish(self, link: connection.Link, message: types.Message) -> None:
        """Apply a message of a neighbour and pass it on if it is news."""
        plausibility.check_jump(message, self.state)
        self.broadcast.publish_from(
            link.peer, message, self._is_answer(message)
        )
        if isinstance(message, types.ConfigUpdate):
            self._asked_s.pop(reconcile.CONFIG, None)
            if message.revision > self.state.config_revision:
                # Not valid for this site; asking again would not help.
                self._unusable_revision = message.revision

    def _is_answer(self, message: types.Message) -> bool:
        """Return whether a report answers a request for all of them."""
        since_s = self.clock.monotonic() - self._all_reports_asked_s
        return isinstance(message, types.GroupReport) and (
            since_s < REPORT_ASK_S
        )

    def apply_refresh(
        self, link: connection.Link, message: types.ReportRefresh
    ) -> None:
        """Apply refreshes, pass the newer ones on and ask for lost reports."""
        newer, missing = [], []
        for entry in refresh.unpack(message.entries):
            where = self.state.report_keys.get(entry.key)
            if where is None:
                missing.append(entry.key)
            elif where[1] != self.settings.id and self._is_newer(where, entry):
                newer.append(entry)
        if newer:
            compact = attrs.evolve(message, entries=refresh.pack(newer))
            self.broadcast.publish_from(link.peer, compact)
            for entry in newer:
                self.broadcast.pass_on_refresh(
                    message.tree, entry.key, link.peer
                )
        self._ask_reports(link, missing)

    def apply_renewals(
        self, link: connection.Link, message: types.LeaseRefresh
    ) -> None:
        """Apply renewed leases and pass the newer ones on."""
        newer = []
        for entry in renewal.unpack(message.entries):
            name = self.state.domain_keys.get(entry.key)
            if name is None:
                self._ask_domains(link)
            elif plausibility.is_newer_renewal(
                entry, name, self.state, self._own_id
            ):
                newer.append(entry)
        if not newer:
            return
        compact = attrs.evolve(message, entries=renewal.pack(newer))
        self.broadcast.publish_from(link.peer, compact)
        for entry in newer:
            self.broadcast.pass_on_renewal(message.tree, entry.key, link.peer)

    def _ask_domains(self, link: connection.Link) -> None:
        """Ask for domain objects; content that changed is still under way."""
        now_s = self.clock.monotonic()
        if now_s - self._domains_asked_s >= DOMAIN_ASK_S:
            self._domains_asked_s = now_s
            self.ask(link, reconcile.DOMAINS)

    def _is_newer(self, where: tuple[str, str], entry: refresh.Entry) -> bool:
        group_id, prober = where
        known = self.state.reports[group_id][prober]
        return refresh.is_newer(known.tick, entry)

    def _ask_reports(self, link: connection.Link, missing: list[bytes]) -> None:
        now_s = self.clock.monotonic()
        asked = self._reports_asked_s
        if len(asked) > MAX_ASKED_REPORTS:
            asked.clear()
        due = [
            key
            for key in missing
            if now_s - asked.get(key, float("-inf")) >= REPORT_ASK_S
        ]
        asked.update(dict.fromkeys(due, now_s))
        if due:
            link.send([types.ReportWanted(b"".join(due))], now_s)

    def _ask_all_reports(self, link: connection.Link) -> None:
        """Ask one neighbour for all reports, as a node that has none."""
        now_s = self.clock.monotonic()
        if now_s - self._all_reports_asked_s >= REPORT_ASK_S:
            self._all_reports_asked_s = now_s
            link.send([types.ReportWanted(b"")], now_s)

    def answer_reports(
        self, link: connection.Link, message: types.ReportWanted
    ) -> None:
        """Send full reports that a neighbour asked for."""
        if not message.keys:
            reports = self.broadcast.fresh_reports()
            link.send(reports, self.clock.monotonic())
            return
        step = refresh.KEY_BYTES
        keys = [
            message.keys[i : i + step]
            for i in range(0, len(message.keys), step)
        ]
        reports = [self.broadcast.report(key) for key in keys]
        held = [report for report in reports if report is not None]
        link.send(held, self.clock.monotonic())


@functools.singledispatch
def _handle(
    message: types.Message, peers: Peers, link: connection.Link
) -> None:
    raise exceptions.ProtocolError("unexpected_type")


@_handle.register
def _(message: types.Heartbeat, peers: Peers, link: connection.Link) -> None:
    pass


@_handle.register(types.NodeUpdate)
@_handle.register(types.ConfigUpdate)
@_handle.register(types.DomainUpdate)
@_handle.register(types.InstanceUpdate)
@_handle.register(types.SuspicionUpdate)
def _(message: types.Message, peers: Peers, link: connection.Link) -> None:
    peers.publish(link, message)


@_handle.register
def _(message: types.GroupReport, peers: Peers, link: connection.Link) -> None:
    # What is heard about own probes is older than the probes themselves.
    if message.prober != peers.settings.id:
        peers.publish(link, message)


@_handle.register(types.DomainDelta)
@_handle.register(types.InstanceDelta)
def _(
    message: types.DomainDelta | types.InstanceDelta,
    peers: Peers,
    link: connection.Link,
) -> None:
    whole = reconcile.merged(message, peers.state)
    if whole is not None:
        peers.publish(link, whole)
    elif reconcile.is_ahead(message, peers.state):
        peers.ask(link, reconcile.delta_kind(message))


@_handle.register
def _(message: types.Digest, peers: Peers, link: connection.Link) -> None:
    peers.compare(link, message)


@_handle.register
def _(message: types.Versions, peers: Peers, link: connection.Link) -> None:
    peers.answer_versions(link, message)


@_handle.register
def _(
    message: types.ReportRefresh, peers: Peers, link: connection.Link
) -> None:
    peers.apply_refresh(link, message)


@_handle.register
def _(message: types.ReportWanted, peers: Peers, link: connection.Link) -> None:
    peers.answer_reports(link, message)


@_handle.register(types.PermitRequest)
@_handle.register(types.PermitGrant)
def _(message: types.Message, peers: Peers, link: connection.Link) -> None:
    peers.on_direct(link, message)


@_handle.register
def _(message: types.LeaseRefresh, peers: Peers, link: connection.Link) -> None:
    peers.apply_renewals(link, message)
