"""Permits to run a fingerprint that is suspected of crashing upstreams.

The home node of a fingerprint, chosen by rendezvous hashing over live nodes,
gives one permit at a time. A router asks through its own controller, which
renews the permit until the router gives it back.
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
# Two renewals may be lost before the home node gives the permit to another.
LIFETIME_S = 16.0
# A new home node first lets the controllers renew what the old one gave.
TAKEOVER_S = 6.0
RETRY_AFTER_MS = 1_000
LINK_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 2.0
LINK_POLL_S = 0.02
# Bounds the memory of a home node; more suspects are refused.
MAX_PERMITS = 10_000

ASK, RENEW, RELEASE = "ask", "renew", "release"

_Key = tuple[str, str]


@attrs.define
class _Permit:
    holder: str
    expires_s: float


@attrs.define
class HomeTable:
    """Permits that this node has given as a home node."""

    clock: clocks.Clock
    _permits: dict[str, _Permit] = attrs.field(factory=dict)

    def request(
        self, fingerprint: str, holder: str, settled: bool
    ) -> types.PermitGrant:
        """Give a permit, or refuse it.

        Args:
          settled: whether every holder known to an earlier home node had the
            time to renew here.
        """
        now_s = self.clock.monotonic()
        held = self._permits.get(fingerprint)
        if held is None or held.expires_s <= now_s:
            granted = settled and self._has_room(now_s)
        else:
            granted = held.holder == holder
        if granted:
            self._permits[fingerprint] = _Permit(holder, now_s + LIFETIME_S)
        wait_ms = 0 if granted else RETRY_AFTER_MS
        return types.PermitGrant(fingerprint, holder, granted, wait_ms)

    def renew(self, fingerprint: str, holder: str) -> None:
        """Prolong a permit, also one that an earlier home node gave."""
        held = self._permits.get(fingerprint)
        now_s = self.clock.monotonic()
        if held is None or held.expires_s <= now_s or held.holder == holder:
            self._permits[fingerprint] = _Permit(holder, now_s + LIFETIME_S)

    def release(self, fingerprint: str, holder: str) -> None:
        """Take a permit back from its holder."""
        held = self._permits.get(fingerprint)
        if held is not None and held.holder == holder:
            del self._permits[fingerprint]

    def _has_room(self, now_s: float) -> bool:
        if len(self._permits) < MAX_PERMITS:
            return True
        for fingerprint, permit in list(self._permits.items()):
            if permit.expires_s <= now_s:
                del self._permits[fingerprint]
        return len(self._permits) < MAX_PERMITS


class Permits:
    """Route permit messages between routers and home nodes."""

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
        self._table = HomeTable(clock)
        self._routers: dict[_Key, streams.MessageStream] = {}
        self._held: dict[_Key, streams.MessageStream] = {}
        self._tasks: set[asyncio.Task] = set()
        self._live: list[str] = []
        self._previous: list[str] = []
        self._changed_s = clock.monotonic()
        state.subscribe(self._on_update)

    def stop(self) -> None:
        """Cancel requests under way."""
        for task in self._tasks:
            task.cancel()

    def from_router(
        self, conn: streams.MessageStream, message: types.PermitRequest
    ) -> None:
        """Send a request or release of the own router to the home node."""
        key = message.fingerprint, message.holder
        if message.step == ASK:
            self._routers[key] = conn
        else:
            self._held.pop(key, None)
            self._routers.pop(key, None)
        self._spawn(self._send(message))

    def from_peer(self, link: connection.Link, message: types.Message) -> None:
        """Answer a request of another controller, or take its answer."""
        if isinstance(message, types.PermitGrant):
            self._answer(message)
            return
        answer = self._decide(message)
        if answer is not None:
            link.send([answer], self._clock.monotonic())

    def renew(self) -> None:
        """Renew the permits of the own router; call every RENEW_S."""
        for key, conn in list(self._held.items()):
            step = RENEW
            if conn.closed():
                # A router that ended runs nothing any more.
                del self._held[key]
                step = RELEASE
            self._spawn(self._send(types.PermitRequest(*key, step)))

    def _on_update(self, message: types.Message) -> None:
        if not isinstance(message, types.NodeUpdate):
            return
        live = [node.id for node in self._state.live_nodes()]
        if live != self._live:
            self._previous, self._live = self._live, live
            self._changed_s = self._clock.monotonic()

    def home(self, fingerprint: str) -> str:
        """Return the home node of a fingerprint."""
        live = [node.id for node in self._state.live_nodes()]
        return _home(fingerprint, live or [self._local_id])

    def _decide(self, message: types.PermitRequest) -> types.PermitGrant | None:
        fingerprint, holder = message.fingerprint, message.holder
        if message.step == ASK:
            settled = self._settled(fingerprint)
            return self._table.request(fingerprint, holder, settled)
        if message.step == RENEW:
            self._table.renew(fingerprint, holder)
        else:
            self._table.release(fingerprint, holder)
        return None

    def _settled(self, fingerprint: str) -> bool:
        """Return whether this node has been the home for long enough."""
        if self._clock.monotonic() - self._changed_s > TAKEOVER_S:
            return True
        before = self._previous
        return bool(before) and _home(fingerprint, before) == self._local_id

    def _answer(self, message: types.PermitGrant) -> None:
        key = message.fingerprint, message.holder
        conn = self._routers.pop(key, None)
        if conn is not None:
            if message.granted:
                self._held[key] = conn
            conn.send(message)
        elif message.granted and key not in self._held:
            # The router gave up before the answer came.
            self._spawn(self._send(types.PermitRequest(*key, RELEASE)))

    async def _send(self, message: types.PermitRequest) -> None:
        home = self.home(message.fingerprint)
        if home == self._local_id:
            answer = self._decide(message)
            if answer is not None:
                self._answer(answer)
            return
        with contextlib.suppress(TimeoutError):
            link = await asyncio.wait_for(self._link(home), LINK_TIMEOUT_S)
            link.send([message], self._clock.monotonic())
            if message.step == ASK:
                await asyncio.sleep(ANSWER_TIMEOUT_S)
        if message.step == ASK:
            self._refuse_unanswered(message)

    def _refuse_unanswered(self, message: types.PermitRequest) -> None:
        key = message.fingerprint, message.holder
        if key in self._routers:
            self._answer(types.PermitGrant(*key, False, RETRY_AFTER_MS))

    async def _link(self, peer: str) -> connection.Link:
        while peer not in self._links.open:
            node = self._state.nodes.get(peer)
            if node is not None:
                self._links.connect(peer, node.peer_address)
            await asyncio.sleep(LINK_POLL_S)
        return self._links.open[peer]

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _home(fingerprint: str, live: list[str]) -> str:
    return hashing.rank(f"permit:{fingerprint}", live)[0]
