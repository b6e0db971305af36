"""Model servers and booking servers that record the requests they run."""

import asyncio
import collections
import json
import time

import attrs
from tornado import httpserver
from tornado import web

from balsamlug_standins import members
from balsamlug_standins import plain_servers
from balsamlug_standins import serving

BOOKING_SERVICE = "desk"
SECOND_SERVICE = "second-service"
BOOKING_DURATION_S = 0.02
BOOKING_SLOTS = 6
# One of this many runs closes its connection instead of answering.
RUNS_PER_BROKEN_ANSWER = 40


@attrs.define
class Record:
    """Runs and violations that all servers recorded.

    Attributes:
      runs: number of times each request started to run, by request id.
      ready: server, group and generation of each join that was completed.
      violations: broken rules, as texts for the report.
      broken_off: ids of the requests that a server broke off.
    """

    runs: collections.Counter = attrs.field(factory=collections.Counter)
    ready: set[tuple[str, str, int]] = attrs.field(factory=set)
    violations: list[str] = attrs.field(factory=list)
    broken_off: set[str] = attrs.field(factory=set)


@attrs.define
class Warmup:
    """Spans in which a server is cold.

    Attributes:
      duration_s: time for which it is cold after a restart, 0 for none.
      spans: start and end of each.
    """

    duration_s: float = 0.0
    spans: list[tuple[float, float]] = attrs.field(factory=list)

    def start(self) -> None:
        """Start a span when the server restarts."""
        if self.duration_s:
            now_s = time.monotonic()
            self.spans.append((now_s, now_s + self.duration_s))

    def left_s(self) -> float:
        """Return the remaining time, 0 for a warm server."""
        return max(0, self.spans[-1][1] - time.monotonic()) if self.spans else 0


@attrs.define(eq=False)
class RecordingMember(members.Member):
    """A model server behind a proxied link that checks its orders.

    Attributes:
      proxy_address: address of the link, which the platform's list names.
    """

    proxy_address: str = ""
    record: Record = attrs.field(factory=Record)
    warmup: Warmup = attrs.field(factory=Warmup)

    def announce(self) -> None:
        """Write this server's list entry once its address is known."""
        if self.proxy_address:
            super().announce()

    def entry(self) -> dict:
        """Return the list entry of this server."""
        return super().entry() | {
            "Address": self.proxy_address,
            "WarmupLeftMs": self.warmup.left_s() * 1000,
        }

    def record_start(self, attempt_id: str) -> None:
        """Record the start of a run, which may be a repeated one."""
        super().record_start(attempt_id)
        self.record.runs[attempt_id] += 1

    def cuts_this_run(self) -> bool:
        """Record whether the run that started last is cut."""
        cuts = super().cuts_this_run()
        if cuts:
            self.record.broken_off.add(self.started_attempts[-1])
        return cuts

    def restart(self) -> None:
        """Restart as a new incarnation with the same id and no state."""
        self._forget()
        self.unresponsive = False
        self.announce()

    def is_open(self) -> bool:
        """Return whether this server is the head of a complete open group."""
        group = self.group
        return bool(
            not self.unresponsive
            and group
            and group["State"] == "open"
            and self.is_complete()
        )

    def _forget(self) -> None:
        super()._forget()
        self.warmup.start()

    def _order_join(self, body: dict) -> int:
        current = self.group["Name"] if self.group else body["group"]
        status = super()._order_join(body)
        if status == 202 and current != body["group"]:
            self._record_violation(f"joined {body['group']} while in {current}")
        return status

    def _order_open(self, body: dict) -> int:
        status = super()._order_open(body)
        if status == 202:
            self._check_group()
        return status

    def _check_group(self) -> None:
        """Check the members of the group whose head has been opened."""
        key = (self.group["Name"], self.group["epoch"])
        for name in self.members:
            if (name, *key) not in self.record.ready:
                self._record_violation(f"opened {key} before {name} was ready")
        members = (self.peers.get(name) for name in self.members)
        services = {member.service for member in members if member is not None}
        if services != {self.service}:
            self._record_violation(f"opened {key} of {sorted(services)}")

    def _set_state(self, state: str) -> None:
        super()._set_state(state)
        if state == "ready":
            group = self.group
            self.record.ready.add((self.id, group["Name"], group["epoch"]))

    def _record_violation(self, problem: str) -> None:
        self.record.violations.append(f"{self.id} {problem}")


@attrs.define(eq=False)
class BookingServer:
    """A server of bookings, which must not run twice.

    Attributes:
      proxy_address: address of the link, which the platform's list names.
      unresponsive: the server answers nothing for now.
      arrivals: time and id of each request that reached the server.
      misdirected: those of `arrivals` that were answered with 421.
    """

    id: str
    store: object
    record: Record
    proxy_address: str = ""
    address: str = ""
    unresponsive: bool = False
    is_down: bool = False
    zone: str = "z1"
    born: int = 1
    arrivals: list[tuple[float, str]] = attrs.field(factory=list)
    misdirected: set[tuple[float, str]] = attrs.field(factory=set)
    warmup: Warmup = attrs.field(factory=Warmup)
    _server: httpserver.HTTPServer | None = None

    def listen(self) -> None:
        """Serve on a free loopback port."""
        app = web.Application(
            [(r"/.*", _BookingHandler, {"desk": self})],
            log_function=lambda handler: None,
        )
        self._server, port = serving.listen(app)
        self.address = f"{serving.HOST}:{port}"

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    def announce(self) -> None:
        """Write this server's list entry."""
        self._write()

    def _write(self, **fields: str) -> None:
        entry = plain_servers.entry(
            BOOKING_SERVICE,
            self.proxy_address,
            BOOKING_SLOTS,
            self.born,
            self.warmup.left_s() * 1000,
        )
        entry |= {"Zone": self.zone} | fields
        self.store.write("servers", self.id, entry)

    def become_unresponsive(self) -> None:
        """Answer no requests; the list entry stays until it is removed."""
        self.unresponsive = True

    def leave(self, is_announced: bool) -> None:
        """Report that this server drains, or remove its entry; serve on."""
        if is_announced:
            self._write(State="draining")
        else:
            self.store.remove("servers", self.id)

    def restart(self) -> None:
        """Restart as a new incarnation with the same id."""
        self.born += 1
        self.warmup.start()
        self.unresponsive = False
        self.announce()


class _BookingHandler(web.RequestHandler):
    def initialize(self, desk: BookingServer) -> None:
        self._desk = desk

    async def post(self) -> None:
        headers = self.request.headers
        request_id = headers["X-Attempt-Id"]
        self.set_header("X-Attempt-Id", request_id)
        arrival = time.monotonic(), request_id
        self._desk.arrivals.append(arrival)
        if headers.get("X-Expect-Instance") != self._desk.id:
            self._desk.misdirected.add(arrival)
            self.set_status(421)
            return
        runs = self._desk.record.runs
        runs[request_id] += 1
        await asyncio.sleep(BOOKING_DURATION_S)
        while self._desk.unresponsive:
            await asyncio.sleep(BOOKING_DURATION_S)
        if len(runs) % RUNS_PER_BROKEN_ANSWER == 0:
            self._desk.record.broken_off.add(request_id)
            self.request.connection.stream.close()
            return
        self.set_header("X-Server-Seal", f"seal.{self._desk.id}")
        self.finish(json.dumps({"booked": request_id}))
