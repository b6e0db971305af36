"""Stand-in for the object store of the users' platform, over HTTP.

Supports conditional writes, paged lists and watches, and returns from an older
copy of its objects.
"""

import asyncio
import copy
import itertools
import json
import time

import attrs
from tornado import httpserver
from tornado import web

from balsamlug_standins import objects
from balsamlug_standins import serving

ERA_HEADER = "Store-Era"
PAGE_SIZE = 50
# A page ends at this size, but has one entry at least.
PAGE_BYTES = 1_000_000
MS_PER_S = 1000
# Longer than any limit of a caller.
SILENCE_S = 60.0
# Kind of the objects that describe the servers.
SERVERS = "servers"


@attrs.frozen
class RawSpec:
    """Bytes that stand in place of the value of an object in answers."""

    data: bytes


@attrs.frozen
class RawObject:
    """Bytes that stand in place of a whole object in answers."""

    data: bytes


@attrs.define
class Endpoint:
    """Address of the store for one caller, which it may turn away.

    Attributes:
      status: of the answers to all calls, 0 to serve them.
      last_read_s: monotonic time of the last read of the list of servers.
    """

    status: int = 0
    last_read_s: float = float("-inf")


@attrs.define(eq=False)
class ObjectApi:
    """In-memory store that implements the platform's protocol.

    Attributes:
      down: every call is answered with 503.
      lose_answers: number of next writes that take effect without a response.
      silent_kind: kind of which watches that wait are never answered.
      silences: number of calls of `silence`.
      oldest_revision: watches since an earlier revision are answered with 410.
      era: number of times that the store was restored from a copy, plus one.
        All answers state it.
      refuses_unknown: watches since a revision that the store does not have yet
        are answered with 410.
    """

    table: objects.Objects = attrs.field(
        factory=lambda: objects.Objects(revision=10)
    )
    down: bool = False
    lose_answers: int = 0
    silent_kind: str = ""
    silences: int = 0
    oldest_revision: int = 0
    calls: int = 0
    era: int = 1
    refuses_unknown: bool = True
    _servers: list[httpserver.HTTPServer] = attrs.field(factory=list)

    def listen(self, endpoint: Endpoint | None = None) -> str:
        """Serve on a free loopback port and return the address.

        Args:
          endpoint: of the caller that uses the address.
        """
        args = {"api": self, "endpoint": endpoint or Endpoint()}
        app = web.Application(
            [(r"/-/objects/([^/]+)(?:/([^/]+))?", _Handler, args)],
            log_function=lambda handler: None,
        )
        server, port = serving.listen(app)
        self._servers.append(server)
        return f"{serving.HOST}:{port}"

    def stop(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.stop()

    def refuse(self, endpoint: Endpoint, status: int) -> None:
        """Answer all calls of a caller, also watches, with a status."""
        endpoint.status = status
        self.table.changed.notify()

    def silence(self) -> None:
        """Never answer the watches that wait now; later ones are answered."""
        self.silences += 1

    def copy(self) -> objects.Objects:
        """Return a copy of all objects, to restore the store from."""
        return objects.Objects(
            self.table.revision,
            copy.deepcopy(self.table.table),
            copy.deepcopy(self.table.deleted),
        )

    def restore(self, saved: objects.Objects) -> None:
        """Return to the objects and the revision of a copy.

        Watches that wait are not cut off.
        """
        self.era += 1
        self.table.revision = saved.revision
        self.table.table = copy.deepcopy(saved.table)
        self.table.deleted = copy.deepcopy(saved.deleted)

    def write(self, kind: str, name: str, spec: dict) -> int:
        """Write an object unconditionally, for the operator or a server."""
        current = self.table.get(kind, name)
        version = current["version"] if current is not None else 0
        return self.table.put(kind, name, spec, version)

    def write_raw(
        self, kind: str, name: str, value: RawSpec | RawObject
    ) -> None:
        """Write an object that answers contain as the given bytes."""
        self.write(kind, name, {})
        self.table.get(kind, name)["value"] = value

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        current = self.table.get(kind, name)
        if current is not None:
            self.table.delete(kind, name, current["version"])


def _object_bytes(item: dict) -> bytes:
    value = item["value"]
    if isinstance(value, RawObject):
        return value.data
    metadata = {"Name": item["name"], "Revision": item["version"]}
    spec = (
        value.data if isinstance(value, RawSpec) else json.dumps(value).encode()
    )
    return b'{"Metadata":%b,"Spec":%b,"Status":null}' % (
        json.dumps(metadata).encode(),
        spec,
    )


def _page(entries: list[bytes]) -> list[bytes]:
    """Return the first entries that fit in a page."""
    sizes = itertools.accumulate(len(entry) for entry in entries)
    fitting = sum(size <= PAGE_BYTES for size in sizes)
    return entries[: max(1, fitting)]


def _event_bytes(removed: bool, data: bytes) -> bytes:
    return b'{"Removed":%b,"Object":%b}' % (
        json.dumps(removed).encode(),
        data,
    )


class _Handler(web.RequestHandler):
    """Requests for all objects of a kind or for one object."""

    def initialize(self, api: ObjectApi, endpoint: Endpoint) -> None:
        self._api = api
        self._endpoint = endpoint
        self._table = api.table

    def prepare(self) -> None:
        self._api.calls += 1
        self.set_header(ERA_HEADER, str(self._api.era))
        self.set_header("Content-Type", "application/json")
        if status := self._refusal():
            self.set_status(status)
            self.finish()

    def _refusal(self) -> int:
        """Return the status with which calls are refused now, 0 for none."""
        return 503 if self._api.down else self._endpoint.status

    async def get(self, kind: str, name: str | None) -> None:
        if kind == SERVERS:
            self._endpoint.last_read_s = time.monotonic()
        if name is not None:
            self._answer_object(self._table.get(kind, name))
        elif self.get_query_argument("Watch", None):
            await self._watch(kind)
        else:
            self._list(kind)

    def post(self, kind: str, name: str | None) -> None:
        del name
        body = json.loads(self.request.body)
        self._write(kind, body["Metadata"]["Name"], body["Spec"], 0)

    def put(self, kind: str, name: str) -> None:
        body = json.loads(self.request.body)
        self._write(kind, name, body["Spec"], body["Metadata"]["Revision"])

    def _write(self, kind: str, name: str, spec: dict, version: int) -> None:
        try:
            self._table.put(kind, name, spec, version)
        except objects.Conflict:
            self.set_status(409)
            self.finish(_object_bytes(self._table.get(kind, name)))
            return
        if self._api.lose_answers:
            self._api.lose_answers -= 1
            self.request.connection.stream.close()
            return
        self._answer_object(self._table.get(kind, name))

    def _answer_object(self, item: dict | None) -> None:
        if item is None:
            self.set_status(404)
            self.finish()
            return
        self.finish(_object_bytes(item))

    def _list(self, kind: str) -> None:
        after = self.get_query_argument("After", "")
        listing = self._table.list(kind)
        items = sorted(listing["items"], key=lambda item: item["name"])
        remaining = [item for item in items if item["name"] > after]
        entries = _page([_object_bytes(item) for item in remaining[:PAGE_SIZE]])
        self.finish(
            b'{"Entries":[%b],"More":%b,"CurrentRev":%d}'
            % (
                b",".join(entries),
                json.dumps(len(remaining) > len(entries)).encode(),
                listing["revision"],
            )
        )

    async def _watch(self, kind: str) -> None:
        since = int(self.get_query_argument("Watch"))
        is_unknown = since > self._table.revision
        if since < self._api.oldest_revision or (
            is_unknown and self._api.refuses_unknown
        ):
            self.set_status(410)
            self.finish()
            return
        if kind == self._api.silent_kind:
            await asyncio.sleep(SILENCE_S)
        wait_s = int(self.get_query_argument("WaitMs", "0")) / MS_PER_S
        silences = self._api.silences
        changes = await self._table.watch(
            kind, since, wait_s, lambda: bool(self._refusal())
        )
        if silences != self._api.silences:
            await asyncio.sleep(SILENCE_S)
        if self._endpoint.status:
            self.set_status(self._endpoint.status)
            self.finish()
            return
        self.set_header(ERA_HEADER, str(self._api.era))
        events = [
            _event_bytes(False, _object_bytes(item))
            for item in changes["items"]
        ]
        for name in changes["deleted"]:
            metadata = json.dumps({"Metadata": {"Name": name}}).encode()
            events.append(_event_bytes(True, metadata))
        self.finish(
            b'{"events":[%b],"CurrentRev":%d}'
            % (b",".join(events), changes["revision"])
        )
