"""Exchange in-flight counts, refusals and unresponsive engines between nodes.

The state is sent in UDP datagrams. Datagrams may be lost, so each one carries
the complete state of its sender.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import limit_table
from balsamlug import plain
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.gateway import datagrams
from balsamlug.gateway import hubs
from balsamlug.gateway import limit_entries
from balsamlug.gateway import loads
from balsamlug.gateway import recent_refusals

# An unchanged state is sent again after this time, before receivers drop the
# counts (`loads.SUM_LIFETIME_S`, `loads.PEER_LIFETIME_S`).
IDLE_SEND_INTERVAL_S = 0.8
# Unresponsive engines are reported for this time after their detection.
UNRESPONSIVE_REPORT_S = 1.5


@attrs.define(eq=False)
class Exchange(asyncio.DatagramProtocol):
    """Send and receive the state of nodes.

    Attributes:
      on_unresponsive: called with an engine that another node found
        unresponsive.
      on_unlisted: called with an unlisted engine that answers another node,
        and its announcement.
      collect_unlisted: returns the announcements of unlisted engines that
        answer this node, by instance id.
    """

    _node: str
    _incarnation: int
    _fleet: fleet.FleetState
    _loads: loads.Loads
    _clock: clocks.Clock
    _recent_refusals: recent_refusals.RecentRefusals
    _limits: limit_table.LimitTable
    on_unresponsive: Callable[[str], None] = lambda instance: None
    on_unlisted: Callable[[str, tables.Announcement], None] = (
        lambda instance, announcement: None
    )
    collect_unlisted: Callable[[], dict[str, dict]] = dict
    _transport: asyncio.DatagramTransport | None = None
    _sequence: int = 0
    _last_sent_s: float = float("-inf")
    _last_sent: tuple | None = None
    _last_relayed_s: float = float("-inf")
    _last_relayed: tuple | None = None
    _relayed_unresponsive: frozenset[str] = frozenset()
    _chosen_hubs: list[tables.Node] = attrs.field(factory=list)
    _chosen_from_nodes: list[tables.Node] | None = None
    _collected: hubs.CollectedStates = attrs.field(factory=hubs.CollectedStates)
    _unresponsive: dict[str, float] = attrs.field(factory=dict)
    _ignored_datagrams: int = 0
    _reduced_datagrams: int = 0
    _rotation: limit_entries.Rotation = attrs.field(
        factory=limit_entries.Rotation
    )

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
        """Store the transport."""
        self._transport = transport

    def report_unresponsive(self, instance: str) -> None:
        """Notify the other nodes at once of an unresponsive engine."""
        now_s = self._clock.monotonic()
        self._unresponsive[instance] = now_s
        nodes = self._fleet.live_nodes()
        hub_nodes = self._current_hubs()
        self._send(now_s, hub_nodes or nodes)
        if self._is_hub():
            self._relay(now_s, self._collected.total(self._local_datagram()))

    def withdraw_unresponsive(self, instance: str) -> None:
        """Stop notifying the other nodes of an engine that answers again."""
        self._unresponsive.pop(instance, None)

    def tick(self) -> None:
        """Send the state and, on a hub, the sum when their interval is over."""
        now_s = self._clock.monotonic()
        for instance, since_s in list(self._unresponsive.items()):
            if now_s - since_s > UNRESPONSIVE_REPORT_S:
                del self._unresponsive[instance]
        nodes = self._fleet.live_nodes()
        hub_nodes = self._current_hubs()
        min_interval_s = loads.report_interval_s(len(nodes))
        interval_s = (
            IDLE_SEND_INTERVAL_S
            if _content_of(self._local_datagram()) == self._last_sent
            else min_interval_s
        )
        if now_s - self._last_sent_s >= interval_s:
            self._send(now_s, hub_nodes or nodes)
        if self._is_hub() and now_s - self._last_relayed_s >= min_interval_s:
            self._collected.drop_old(now_s)
            total = self._collected.total(self._local_datagram())
            interval_s = (
                IDLE_SEND_INTERVAL_S
                if self._relayed_content(total, now_s) == self._last_relayed
                else 0.0
            )
            if now_s - self._last_relayed_s >= interval_s:
                self._relay(now_s, total)

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Apply the state of another node, or the sum from a hub."""
        try:
            datagram = datagrams.decode(data)
        except datagrams.MALFORMED_ERRORS as exc:
            self._record_ignored(addr[0], str(exc))
            return
        now_s = self._clock.monotonic()
        counts = loads.PeerCounts(
            datagram.incarnation,
            datagram.sequence,
            now_s,
            datagram.counts,
            datagram.covers,
        )
        if not datagram.covers:
            self._loads.update_peer(datagram.node, counts)
            self._limits.update_peer(datagram.node, datagram.limits)
            self._collect_state(datagram, now_s)
        elif not self._is_hub():
            self._loads.update_sum(datagram.node, counts)
            self._limits.update_sum(datagram.limits)
        self._recent_refusals.merge(datagram.refused)
        for instance in datagram.unresponsive:
            self.on_unresponsive(instance)
        for instance, raw in datagram.unlisted.items():
            self.on_unlisted(instance, plain.announcement_from_dict(raw))

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors; the port of a stopped node refuses datagrams."""

    def _collect_state(
        self, datagram: datagrams.Datagram, now_s: float
    ) -> None:
        """Collect a state; relay newly unresponsive engines at once."""
        if not self._is_hub():
            return
        self._collected.update(datagram, now_s)
        if not self._relayed_unresponsive.issuperset(datagram.unresponsive):
            self._relay(now_s, self._collected.total(self._local_datagram()))

    def lag_s(self) -> float:
        """Return the usual age of what this node knows of the others."""
        interval_s = loads.report_interval_s(len(self._fleet.live_nodes()))
        return interval_s * (2 if self._current_hubs() else 1)

    def _current_hubs(self) -> list[tables.Node]:
        nodes = self._fleet.live_nodes()
        if nodes is not self._chosen_from_nodes:
            previous, self._chosen_hubs = self._chosen_hubs, hubs.choose(nodes)
            self._chosen_from_nodes = nodes
            names = [node.id for node in self._chosen_hubs]
            if names != [node.id for node in previous]:
                eliot.log_message("hubs_chosen", hubs=names, nodes=len(nodes))
        return self._chosen_hubs

    def _is_hub(self) -> bool:
        return any(node.id == self._node for node in self._current_hubs())

    def _record_ignored(self, address: str, error: str) -> None:
        self._ignored_datagrams += 1
        if self._ignored_datagrams.bit_count() == 1:
            eliot.log_message(
                "datagram_ignored",
                address=address,
                error=error,
                total=self._ignored_datagrams,
            )

    def _fit(self, datagram: datagrams.Datagram) -> datagrams.Datagram:
        """Return a datagram without the entries that have no room."""
        fitted, left_out = datagrams.fit(datagram)
        if left_out:
            self._reduced_datagrams += 1
            if self._reduced_datagrams.bit_count() == 1:
                eliot.log_message(
                    "datagram_reduced",
                    left_out=left_out,
                    covers=datagram.covers,
                    total=self._reduced_datagrams,
                )
        return fitted

    def _local_state(self) -> tuple:
        return (
            dict(self._loads.local),
            sorted(self._unresponsive),
            self._recent_refusals.recent_local(),
            datagrams.sendable(self.collect_unlisted()),
            self._limits.local_entries(),
        )

    def _local_datagram(self) -> datagrams.Datagram:
        return datagrams.Datagram(
            self._node,
            self._incarnation,
            self._sequence,
            0,
            *self._local_state(),
        )

    def _send(self, now_s: float, nodes: Sequence[tables.Node]) -> None:
        """Send the local state."""
        self._sequence += 1
        self._last_sent_s = now_s
        datagram = self._local_datagram()
        self._last_sent = _content_of(datagram)
        data = datagrams.encode(self._fit(datagram))
        for node in nodes:
            self._send_to(node, data)

    def _relay(self, now_s: float, total: datagrams.Datagram) -> None:
        """Send each node the sum of all states but its own.

        A node adds its local counts itself.
        """
        self._sequence += 1
        self._last_relayed_s = now_s
        self._last_relayed = self._relayed_content(total, now_s)
        self._relayed_unresponsive = frozenset(total.unresponsive)
        nodes = self._fleet.live_nodes()
        sums = self._collected.limits(self._local_datagram(), now_s)
        keys = self._rotation.take(
            sums, loads.report_interval_s(len(nodes)), hubs.HUBS
        )
        # Without the counts of one node, a datagram is not longer than this.
        longest = self._fit(
            attrs.evolve(
                total,
                sequence=self._sequence,
                limits=[sums[key] for key in keys],
            )
        )
        for node in nodes:
            counts = self._collected.counts_without(node.id, longest)
            limits = self._collected.limits_without(node.id, sums)
            datagram = attrs.evolve(
                longest,
                counts=counts,
                limits=[limits[entry.key] for entry in longest.limits],
            )
            self._send_to(node, datagrams.encode(datagram))

    def _relayed_content(
        self, total: datagrams.Datagram, now_s: float
    ) -> tuple:
        sums = self._collected.limits(self._local_datagram(), now_s)
        return _content_of(attrs.evolve(total, limits=[*sums.values()]))

    def _send_to(self, node: tables.Node, data: bytes) -> None:
        if self._transport is not None and node.id != self._node:
            host, _, port = node.peer_address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))


def _content_of(datagram: datagrams.Datagram) -> tuple:
    """Return the state in a datagram, without its sequence number and ages."""
    return (
        datagram.counts,
        datagram.unresponsive,
        datagram.refused,
        datagram.unlisted,
        [(e.key, e.rate, round(e.recent)) for e in datagram.limits],
    )
