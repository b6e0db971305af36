"""Model servers and booking servers that note what was asked of them."""

import asyncio
import collections
import json

import attrs
from tornado import httpserver
from tornado import web

from balsamlug_standins import members
from balsamlug_standins import serving

DESK_SERVICE = "desk"
WORK_S = 0.02
# One run in so many ends with its connection closed.
BROKEN_EACH = 40


@attrs.define
class Record:
    """What all servers saw.

    Attributes:
      runs: how often each request began to run.
      violations: orders that break a rule.
    """

    runs: collections.Counter = attrs.field(factory=collections.Counter)
    violations: list[str] = attrs.field(factory=list)


@attrs.define(eq=False)
class WatchedMember(members.Member):
    """A model server behind a proxied link.

    Attributes:
      public: address that the list names.
    """

    public: str = ""
    record: Record = attrs.field(factory=Record)

    def announce(self) -> None:
        """Write the own entry once the address is known."""
        if self.public:
            super().announce()

    def entry(self) -> dict:
        """Return what the server says of itself."""
        return super().entry() | {"Address": self.public}

    def record_start(self, request_id: str) -> None:
        """Note that a request begins to run, here or again."""
        super().record_start(request_id)
        self.record.runs[request_id] += 1

    def restart(self) -> None:
        """Begin another life under the same id, with nothing kept."""
        self.born += 1
        self.unresponsive = False
        self.group, self.members, self.last_model = None, (), ""
        self.orders = self.fencing_token = self.epoch = 0
        self.staged = []
        self.announce()

    def is_open(self) -> bool:
        """Return whether this is the head of a whole group that serves."""
        group = self.group
        return bool(
            not self.unresponsive
            and group
            and group["State"] == "open"
            and self.is_complete()
        )

    def _order_join(self, body: dict) -> int:
        joined = self.group["Name"] if self.group else body["group"]
        status = super()._order_join(body)
        if status == 202 and joined != body["group"]:
            self._broken(f"joined {body['group']} while in {joined}")
        return status

    def _order_open(self, body: dict) -> int:
        status = super()._order_open(body)
        if status == 202:
            key = (self.group["Name"], self.group["epoch"])
            for name in self.members:
                if (*key, "ready") not in self.peers[name].history:
                    self._broken(f"opened {key} before {name} was ready")
        return status

    def _broken(self, what: str) -> None:
        self.record.violations.append(f"{self.id} {what}")


@attrs.define(eq=False)
class Desk:
    """A server whose requests must not run twice."""

    id: str
    store: object
    record: Record
    public: str = ""
    address: str = ""
    _server: httpserver.HTTPServer | None = None

    def listen(self) -> None:
        """Serve on a free loopback port."""
        app = web.Application(
            [(r"/.*", _Booking, {"desk": self})],
            log_function=lambda handler: None,
        )
        self._server, port = serving.listen(app)
        self.address = f"{serving.HOST}:{port}"

    def stop(self) -> None:
        """Stop to listen."""
        self._server.stop()

    def announce(self) -> None:
        """Write the own entry of the list."""
        entry = {
            "Service": DESK_SERVICE,
            "Address": self.public,
            "Zone": "z1",
            "Version": "v1",
            "State": "ready",
            "born": 1,
        }
        self.store.write("servers", self.id, entry)


class _Booking(web.RequestHandler):
    def initialize(self, desk: Desk) -> None:
        self._desk = desk

    async def post(self) -> None:
        headers = self.request.headers
        name = headers["X-Attempt-Id"]
        self.set_header("X-Attempt-Id", name)
        if headers.get("X-Expect-Instance") != self._desk.id:
            self.set_status(421)
            return
        runs = self._desk.record.runs
        runs[name] += 1
        await asyncio.sleep(WORK_S)
        if len(runs) % BROKEN_EACH == 0:
            self.request.connection.stream.close()
            return
        self.set_header("X-Server-Seal", f"seal.{self._desk.id}")
        self.finish(json.dumps({"booked": name}))
