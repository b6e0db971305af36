"""Stand-in for the model servers of the users' platform, which form groups."""

import asyncio
import contextlib
import json
import socket
import time

import attrs
from tornado import httpserver
from tornado import iostream
from tornado import web

from balsamlug_standins import object_api
from balsamlug_standins import serving

# Duration of a join with the model that is still loaded.
WARM_S = 0.05
REJOIN_S = 0.02
EVENT_INTERVAL_S = 0.02
EVENTS = 10
# Time from the start of a request that crashes its server to the crash. On the
# users' days it was 54 to 120 ms.
CRASH_DELAY_S = 0.1
# The platform removes a server from its list after three missed heartbeats.
LISTING_TIMEOUT_S = 3.6


@attrs.define(eq=False)
class Member:
    """Model server that joins groups on order and streams numbered events.

    Attributes:
      warm_s, load_s: duration of a join with and without staged weights.
      unresponsive: the server answers nothing, like a machine without power.
      cut_off: the server cannot write to the store.
      started_attempts: ids of the attempts that started to run here.
      arrivals: time and id of each attempt that reached this server.
      misdirected: those of `arrivals` that were answered with 421.
      history: name, epoch and state of each group that the server was in.
      bad_parts: prompt parts that crash the server, unless they come last.
      down_s: time from a crash to the restart.
      restarts_renamed: the server restarts under another id.
      sends_head: the head of an answer is sent before a crash.
      crashes: times of the crashes.
      limit: requests per second that the server states to accept from all
        nodes together, None to state none.
      leaving: answers state that the server leaves.
      retry_after: the server rejects requests for this time in seconds, as
        text.
      framed: streams are chunked; otherwise they end with their connection.
      event_counts: number of events of streams with a target, `EVENTS` for
        others.
      warmup_left_ms: how long the server states to remain cold.
      runs_per_cut: one of this many streams is cut inside an event, 0 for none.
    """

    id: str
    store: object_api.ObjectApi
    domain: str = "d1"
    service: str = "model-service"
    zone: str = "z1"
    slots: int = 4
    warm_s: float = WARM_S
    load_s: float = 0.1
    born: int = 1
    staged: list[str] = attrs.field(factory=list)
    group: dict | None = None
    members: tuple[str, ...] = ()
    last_model: str = ""
    orders: int = 0
    fencing_token: int = 0
    epoch: int = 0
    unresponsive: bool = False
    cut_off: bool = False
    address: str = ""
    started_attempts: list[str] = attrs.field(factory=list)
    arrivals: list[tuple[float, str]] = attrs.field(factory=list)
    misdirected: set[tuple[float, str]] = attrs.field(factory=set)
    history: list[tuple[str, int, str]] = attrs.field(factory=list)
    peers: dict[str, "Member"] = attrs.field(factory=dict)
    bad_parts: frozenset[str] = frozenset()
    down_s: float = 2.0
    restarts_renamed: bool = False
    sends_head: bool = True
    crashes: list[float] = attrs.field(factory=list)
    limit: float | None = None
    leaving: bool = False
    retry_after: str = ""
    framed: bool = True
    event_counts: dict[str, int] = attrs.field(factory=dict)
    runs_per_cut: int = 0
    warmup_left_ms: float = 0
    _server: httpserver.HTTPServer | None = None
    _join_task: asyncio.Task | None = None
    _reservation: socket.socket | None = None
    _crash_tasks: set[asyncio.Task] = attrs.field(factory=set)

    def listen(self, port: int = 0) -> None:
        """Serve on a loopback port, 0 for a free one, and register."""
        app = web.Application(
            [
                (r"/-/report", _Report, {"member": self}),
                (r"/-/order", _Order, {"member": self}),
                (r"/.*", _Stream, {"member": self}),
            ],
            log_function=lambda handler: None,
        )
        self._server, port = serving.listen(app, port, serving.ResettableServer)
        self.address = f"{serving.HOST}:{port}"
        self.peers[self.id] = self
        self.announce()

    def become_unresponsive(self) -> None:
        """Answer no requests; the list entry stays until it is removed."""
        self.unresponsive = True

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()
        for task in (self._join_task, *self._crash_tasks):
            if task is not None:
                task.cancel()
        if self._reservation is not None:
            self._reservation.close()

    @property
    def is_down(self) -> bool:
        """Return whether the server has crashed and not restarted yet."""
        return not self._server.is_listening

    def cuts_this_run(self) -> bool:
        """Return whether the run that started last is cut inside an event."""
        runs = len(self.started_attempts)
        return bool(self.runs_per_cut) and runs % self.runs_per_cut == 0

    def is_crashed_by(self, prefix: str) -> bool:
        """Return whether a request with these prompt parts crashes servers."""
        parts = [part.partition(":")[0].strip() for part in prefix.split(",")]
        return not self.bad_parts.isdisjoint(parts[:-1])

    def crash(self) -> None:
        """Reset all connections and stop listening until the restart."""
        self.crashes.append(time.monotonic())
        self._server.stop()
        self._server.reset_connections()
        if self._join_task is not None:
            self._join_task.cancel()
        self._forget()
        port = int(self.address.rpartition(":")[2])
        self._reservation = serving.reserve(port)
        for coro in (self._restart_later(port), self._lapse(self.id)):
            task = asyncio.create_task(coro)
            self._crash_tasks.add(task)
            task.add_done_callback(self._crash_tasks.discard)

    async def _restart_later(self, port: int) -> None:
        await asyncio.sleep(self.down_s)
        if self.restarts_renamed:
            del self.peers[self.id]
            self.id = f"{self.id.partition('+')[0]}+{self.born}"
        self.listen(port)
        self._reservation.close()

    async def _lapse(self, name: str) -> None:
        """Remove the entry of an incarnation that has stopped writing it."""
        await asyncio.sleep(LISTING_TIMEOUT_S)
        if self.id != name or self.is_down:
            self.store.remove("servers", name)

    def _forget(self) -> None:
        """Lose all state, as a new incarnation."""
        self.born += 1
        self.group, self.members, self.last_model = None, (), ""
        self.orders = self.fencing_token = self.epoch = 0
        self.staged = []

    def announce(self) -> None:
        """Write the entry of this server to the store."""
        if not self.unresponsive and not self.cut_off:
            self.store.write("servers", self.id, self.entry())

    def entry(self) -> dict:
        """Return the entry that this server publishes."""
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "BatchSlots": self.slots,
            "State": "ready",
            "WarmupLeftMs": self.warmup_left_ms,
            "Phase": "mixed",
            "Domain": self.domain,
            "Models": [{"Name": self.last_model}] if self.last_model else [],
            "Staged": list(self.staged),
            "Sequence": self.orders,
            "born": self.born,
        }
        return entry | ({"group": dict(self.group)} if self.group else {})

    def order(self, body: dict) -> int:
        """Apply an order and return the HTTP status of the response."""
        if body.get("FencingToken", 0) < self.fencing_token:
            return 412
        self.fencing_token = max(
            self.fencing_token, body.get("FencingToken", 0)
        )
        handler = getattr(self, f"_order_{body['Op'].lower()}", None)
        status = handler(body) if handler is not None else 400
        if status == 202:
            self.orders += 1
            self.announce()
        return status

    def record_start(self, attempt_id: str) -> None:
        """Record that an attempt starts to run."""
        self.started_attempts.append(attempt_id)

    def is_complete(self) -> bool:
        """Return whether all members are reachable and in this head's group."""
        return all(
            self._is_in_group_with(self.peers.get(m)) for m in self.members
        )

    def _is_in_group_with(self, other: "Member | None") -> bool:
        if other is None or other.unresponsive or other.group is None:
            return False
        key = (self.group["Name"], self.group["epoch"])
        return (other.group["Name"], other.group["epoch"]) == key

    def _order_join(self, body: dict) -> int:
        if body["epoch"] < self.epoch:
            return 412
        if self.group and self.group["Name"] == body["group"]:
            return 200
        self.epoch = body["epoch"]
        self.members = tuple(body["Members"])
        self.group = {
            "Name": body["group"],
            "epoch": body["epoch"],
            "rank": self.members.index(self.id),
        }
        self._set_state("joining")
        self._join_task = asyncio.create_task(self._finish_join(body["Model"]))
        return 202

    async def _finish_join(self, model: str) -> None:
        rejoins = model == self.last_model
        warm = model in self.staged
        await asyncio.sleep(
            REJOIN_S if rejoins else self.warm_s if warm else self.load_s
        )
        self.last_model = model
        self.staged = [model]
        self._set_state("ready")
        self.announce()

    def _order_open(self, body: dict) -> int:
        if not self.group or self.group["State"] != "ready":
            return 409
        if self.group["Name"] != body["group"]:
            return 409
        self._set_state("open")
        return 202

    def _order_leave(self, body: dict) -> int:
        if not self.group or self.group["Name"] != body["group"]:
            return 200
        if self._join_task is not None:
            self._join_task.cancel()
        self.group = None
        self.members = ()
        return 202

    def _order_phase(self, body: dict) -> int:
        self.staged = [body["Model"]]
        return 202

    def _set_state(self, state: str) -> None:
        self.group["State"] = state
        self.history.append((self.group["Name"], self.group["epoch"], state))


class _Handler(web.RequestHandler):
    def initialize(self, member: Member) -> None:
        self.member = member

    async def prepare(self) -> None:
        while self.member.unresponsive:
            await asyncio.sleep(0.05)
        headers = self.request.headers
        expected = headers.get("X-Expect-Instance", self.member.id)
        if expected != self.member.id:
            self.set_header("X-Attempt-Id", headers.get("X-Attempt-Id", ""))
            self.set_status(421)
            self.finish()


class _Report(_Handler):
    def get(self) -> None:
        self.finish(self.member.entry() | {"Active": 0, "Queued": 0})


class _Order(_Handler):
    def post(self) -> None:
        self.set_status(self.member.order(json.loads(self.request.body)))
        self.finish()


class _Stream(_Handler):
    """Stream numbered events, pausing while the group is incomplete."""

    async def prepare(self) -> None:
        self._connection = self.request.connection.stream
        attempt_id = self.request.headers.get("X-Attempt-Id", "")
        arrival = time.monotonic(), attempt_id
        self.member.arrivals.append(arrival)
        await super().prepare()
        if self._finished:
            self.member.misdirected.add(arrival)

    async def post(self) -> None:
        headers = self.request.headers
        self.set_header("X-Attempt-Id", headers.get("X-Attempt-Id", ""))
        if self.member.leaving:
            self.set_header("Server-Leaving", "1")
        if self.member.retry_after:
            self.set_header("Retry-After", self.member.retry_after)
        group = self.member.group
        is_open = group is not None and group["State"] == "open"
        if not is_open or self.member.retry_after:
            self.set_status(503)
            self.set_header("X-Not-Executed", "1")
            return
        self.member.record_start(headers["X-Attempt-Id"])
        self.set_header("X-Server-Seal", f"seal.{self.member.id}")
        if self.member.limit is not None:
            self.set_header("Server-Limit", str(self.member.limit))
        self.set_header("Content-Type", "text/event-stream")
        if self.member.is_crashed_by(headers.get("X-Prefix-Hash", "")):
            await self._crash()
            self.detach()
            return
        first = int(headers.get("Last-Event-Id") or 0) + 1
        cut_at = EVENTS // 2 if self.member.cuts_this_run() else 0
        with contextlib.suppress(iostream.StreamClosedError):
            if not self.member.framed:
                await self._send_unframed_head()
            await self._send_events(first, cut_at)
        if not self.member.framed:
            self._connection.close()

    async def _send_events(self, first: int, cut_at: int) -> None:
        count = self.member.event_counts.get(self.request.uri, EVENTS)
        for number in range(first, count + 1):
            await self._wait_until_complete()
            event = f"id: {number}\ndata: token{number}\n\n".encode()
            if number == cut_at:
                await self._send(event[: len(event) // 2])
                self._connection.close()
                return
            await self._send(event)
            await asyncio.sleep(EVENT_INTERVAL_S)

    async def _send(self, data: bytes) -> None:
        if not self.member.framed:
            await self._connection.write(data)
            return
        self.write(data)
        await self.flush()

    async def _send_unframed_head(self) -> None:
        """Send the head of an answer that ends with its connection."""
        lines = [f"{k}: {v}" for k, v in self._headers.get_all()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""])
        self.detach()
        # Without a pending read, a closed connection would not be noticed.
        self._connection.set_close_callback(lambda: None)
        await self._connection.write(head.encode())

    async def _crash(self) -> None:
        born = self.member.born
        if self.member.sends_head:
            with contextlib.suppress(iostream.StreamClosedError):
                await self.flush()
        await asyncio.sleep(CRASH_DELAY_S)
        # Another request may have crashed this incarnation already.
        if self.member.born == born and not self.member.unresponsive:
            self.member.crash()

    async def _wait_until_complete(self) -> None:
        while not (self.member.group and self.member.is_complete()):
            if self._connection.closed():
                raise iostream.StreamClosedError
            await asyncio.sleep(EVENT_INTERVAL_S)
