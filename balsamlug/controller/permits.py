"""Permits to run a request suspected of crashing upstreams.

A suspected request is identified by its fingerprint. The coordinator node of a
fingerprint, chosen by rendezvous hashing over the live nodes, grants one permit
at a time. A router requests it through its local controller, which renews the
permit until the router releases it.
"""

import asyncio
import contextlib

import attrs

from balsamlug import clock as clocks
from balsamlug import hashing
from balsamlug import state as fleet
from balsamlug.membership import connection
from balsamlug.membership import links
from balsamlug.messages import stream as streams
from balsamlug.messages import types

RENEW_S = 5.0
# Two renewals may be lost before the coordinator grants the permit to another
# holder.
LIFETIME_S = 16.0
# A new coordinator grants nothing for this time, so that controllers can renew
# the permits that the earlier coordinator granted.
TAKEOVER_S = 6.0
RETRY_AFTER_MS = 1_000
LINK_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 2.0
LINK_POLL_S = 0.02
# Bounds the memory of a coordinator; further suspected requests are refused.
MAX_PERMITS = 10_000

ASK, RENEW, RELEASE = "ask", "renew", "release"

_Key = tuple[str, str]


@attrs.define
class _Permit:
    holder: str
    expires_s: float


@attrs.define
class PermitTable:
    """Permits that this node has granted as a coordinator."""

    clock: clocks.Clock
    _permits: dict[str, _Permit] = attrs.field(factory=dict)

    def request(
        self, fingerprint: str, holder: str, takeover_complete: bool
    ) -> types.PermitGrant:
        """Grant or refuse a permit.

        Args:
          takeover_complete: whether every holder known to an earlier
            coordinator has had time to renew its permit here.
        """
        now_s = self.clock.monotonic()
        permit = self._permits.get(fingerprint)
        if permit is None or permit.expires_s <= now_s:
            granted = takeover_complete and self._has_room(now_s)
        else:
            granted = permit.holder == holder
        if granted:
            self._permits[fingerprint] = _Permit(holder, now_s + LIFETIME_S)
        wait_ms = 0 if granted else RETRY_AFTER_MS
        return types.PermitGrant(fingerprint, holder, granted, wait_ms)

    def renew(self, fingerprint: str, holder: str) -> None:
        """Extend a permit, even one that an earlier coordinator granted."""
        permit = self._permits.get(fingerprint)
        now_s = self.clock.monotonic()
        if (
            permit is None
            or permit.expires_s <= now_s
            or permit.holder == holder
        ):
            self._permits[fingerprint] = _Permit(holder, now_s + LIFETIME_S)

    def release(self, fingerprint: str, holder: str) -> None:
        """Release the permit of a holder."""
        permit = self._permits.get(fingerprint)
        if permit is not None and permit.holder == holder:
            del self._permits[fingerprint]

    def _has_room(self, now_s: float) -> bool:
        if len(self._permits) < MAX_PERMITS:
            return True
        for fingerprint, permit in list(self._permits.items()):
            if permit.expires_s <= now_s:
                del self._permits[fingerprint]
        return len(self._permits) < MAX_PERMITS


class Permits:
    """Forward permit messages between routers and coordinators."""

    def __init__(
        self,
        local_id: str,
        state: fleet.FleetState,
        peers: links.Links,
        clock: clocks.Clock,
    ) -> None:
        self._local_id = local_id
        self._state = state
        self._links = peers
        self._clock = clock
        self._table = PermitTable(clock)
        self._waiting_routers: dict[_Key, streams.MessageStream] = {}
        self._held_permits: dict[_Key, streams.MessageStream] = {}
        self._tasks: set[asyncio.Task] = set()
        self._live: list[str] = []
        self._previous_live: list[str] = []
        self._live_changed_s = clock.monotonic()
        state.subscribe(self._on_update)

    def stop(self) -> None:
        """Cancel pending requests."""
        for task in self._tasks:
            task.cancel()

    def from_router(
        self, conn: streams.MessageStream, message: types.PermitRequest
    ) -> None:
        """Send a request or release of a local router to the coordinator."""
        key = message.fingerprint, message.holder
        if message.step == ASK:
            self._waiting_routers[key] = conn
        else:
            self._held_permits.pop(key, None)
            self._waiting_routers.pop(key, None)
        self._start_task(self._send(message))

    def from_peer(self, link: connection.Link, message: types.Message) -> None:
        """Answer a request of another controller, or handle its answer."""
        if isinstance(message, types.PermitGrant):
            self._answer(message)
            return
        answer = self._decide(message)
        if answer is not None:
            link.send([answer], self._clock.monotonic())

    def renew(self) -> None:
        """Renew the permits of local routers; call every RENEW_S."""
        for key, conn in list(self._held_permits.items()):
            step = RENEW
            if conn.closed():
                # A router process that has ended runs no request any more.
                del self._held_permits[key]
                step = RELEASE
            self._start_task(self._send(types.PermitRequest(*key, step)))

    def _on_update(self, message: types.Message) -> None:
        if not isinstance(message, types.NodeUpdate):
            return
        live = [node.id for node in self._state.live_nodes()]
        if live != self._live:
            self._previous_live, self._live = self._live, live
            self._live_changed_s = self._clock.monotonic()

    def coordinator(self, fingerprint: str) -> str:
        """Return the coordinator node of a fingerprint."""
        live = [node.id for node in self._state.live_nodes()]
        return _coordinator(fingerprint, live or [self._local_id])

    def _decide(self, message: types.PermitRequest) -> types.PermitGrant | None:
        fingerprint, holder = message.fingerprint, message.holder
        if message.step == ASK:
            takeover_complete = self._is_takeover_complete(fingerprint)
            return self._table.request(fingerprint, holder, takeover_complete)
        if message.step == RENEW:
            self._table.renew(fingerprint, holder)
        else:
            self._table.release(fingerprint, holder)
        return None

    def _is_takeover_complete(self, fingerprint: str) -> bool:
        """Return whether holders had time to renew their permits here.

        This holds when the live nodes have not changed for TAKEOVER_S, or this
        node was the coordinator before the last change as well.
        """
        if self._clock.monotonic() - self._live_changed_s > TAKEOVER_S:
            return True
        previous = self._previous_live
        return (
            bool(previous)
            and _coordinator(fingerprint, previous) == self._local_id
        )

    def _answer(self, message: types.PermitGrant) -> None:
        key = message.fingerprint, message.holder
        conn = self._waiting_routers.pop(key, None)
        if conn is not None:
            if message.granted:
                self._held_permits[key] = conn
            conn.send(message)
        elif message.granted and key not in self._held_permits:
            # The router stopped waiting before the grant arrived.
            self._start_task(self._send(types.PermitRequest(*key, RELEASE)))

    async def _send(self, message: types.PermitRequest) -> None:
        coordinator = self.coordinator(message.fingerprint)
        if coordinator == self._local_id:
            answer = self._decide(message)
            if answer is not None:
                self._answer(answer)
            return
        with contextlib.suppress(TimeoutError):
            link = await asyncio.wait_for(
                self._link(coordinator), LINK_TIMEOUT_S
            )
            link.send([message], self._clock.monotonic())
            if message.step == ASK:
                await asyncio.sleep(ANSWER_TIMEOUT_S)
        if message.step == ASK:
            self._refuse_unanswered(message)

    def _refuse_unanswered(self, message: types.PermitRequest) -> None:
        key = message.fingerprint, message.holder
        if key in self._waiting_routers:
            self._answer(types.PermitGrant(*key, False, RETRY_AFTER_MS))

    async def _link(self, peer: str) -> connection.Link:
        while peer not in self._links.open:
            node = self._state.nodes.get(peer)
            if node is not None:
                self._links.connect(peer, node.peer_address)
            await asyncio.sleep(LINK_POLL_S)
        return self._links.open[peer]

    def _start_task(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _coordinator(fingerprint: str, live: list[str]) -> str:
    return hashing.rank(f"permit:{fingerprint}", live)[0]
