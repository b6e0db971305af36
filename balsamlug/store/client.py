"""HTTP client for the platform's object API.

The object API stores the configuration, the leases and the ledger, and every
object has a version for conditional writes.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import json
import socket

import attrs
import eliot
from tornado import httpclient
from tornado import httputil
from tornado import iostream
from tornado import netutil
from tornado import simple_httpclient

from balsamlug import exceptions
from balsamlug import http_status
from balsamlug.store import decoding
from balsamlug.store import objects
from balsamlug.store import positions
from balsamlug.store import protocol

REQUEST_TIMEOUT_S = 2.0
WATCH_TIMEOUT_MS = 20_000
MAX_CLIENTS = 32
# A value has up to one megabyte plus the JSON around it, and a list holds
# several values.
MAX_ANSWER_BYTES = 8 * 1024 * 1024


# Errors of tornado's client for answers that it cannot read.
_MALFORMED_ANSWERS = (
    httpclient.HTTPError,
    httputil.HTTPInputError,
    iostream.UnsatisfiableReadError,
    iostream.StreamBufferFullError,
    ValueError,
)


class NumericResolver(netutil.DefaultLoopResolver):
    """Resolver that returns IP addresses without starting a thread."""

    async def resolve(
        self, host: str, port: int, family: int = socket.AF_UNSPEC
    ) -> list[tuple[int, tuple[str, int]]]:
        """Return an IP address unchanged, or resolve a host name."""
        if not netutil.is_valid_ip(host):
            return await super().resolve(host, port, family)
        kind = socket.AF_INET6 if ":" in host else socket.AF_INET
        return [(kind, (host, port))]


class ObjectStore:
    """Client of the object API that raises every failure as a StoreError.

    All versions and revisions that it takes and returns are positions.

    Attributes:
      era: highest era that an answer has stated, 0 before the first.

    Args:
      base_url: for example "http://127.0.0.1:7000".
      on_call: called with the name and the result of every call, for the
        counters.
      wire: encoding of calls and answers.
    """

    era: int = 0

    def __init__(
        self,
        base_url: str,
        on_call: Callable[[str, str], None] = lambda call, result: None,
        wire: protocol.Wire | None = None,
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._wire = wire or protocol.DefaultWire()
        self._on_call = on_call
        self._watches: set[asyncio.Task] = set()
        self._http = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
            resolver=NumericResolver(),
            max_buffer_size=MAX_ANSWER_BYTES,
            max_body_size=MAX_ANSWER_BYTES,
        )

    def close(self) -> None:
        """Close the HTTP client."""
        self._http.close()

    async def get(self, kind: str, name: str) -> objects.StoredObject:
        """Return an object.

        Raises:
          StoreNotFound: it does not exist.
          StoreError: the object API failed.
        """
        answer = await self._call("get", self._wire.get(kind, name))
        item = objects.parsed(self._wire.parse_object, kind, name, answer.body)
        return _positioned(item, answer)

    async def put(
        self, kind: str, name: str, value: dict, expected_version: int
    ) -> int:
        """Write an object conditionally and return its new version.

        Args:
          expected_version: version to replace, 0 to create the object.

        Raises:
          StoreConflict: the object has another version, or the object API was
            restored since the expected one. In the latter case the write may
            have replaced another object of the same revision.
          StoreOutage: it is unknown whether the write took effect.
        """
        self._check_restored(expected_version)
        revision = positions.revision_of(expected_version)
        call = self._wire.put(kind, name, value, revision)
        answer = await self._call("put", call)
        revision = objects.parsed(self._wire.parse_written, answer.body)
        version = answer.position(revision)
        if expected_version and answer.era > positions.era_of(expected_version):
            raise exceptions.StoreConflict(version)
        return version

    async def commit(
        self,
        kind: str,
        name: str,
        value: dict,
        expected_version: int,
        applied: Callable[[dict], bool],
    ) -> int:
        """Write like put, and read the object back after an ambiguous answer.

        A write whose answer was lost is retried once with the same expected
        version, so it cannot be applied twice. A conflict counts as success if
        the stored value shows that the write took effect.

        Args:
          applied: returns whether a stored value contains this write.

        Raises:
          StoreConflict: another write was applied first and this one was not
            applied.
          StoreOutage: the write may still take effect later.
        """
        try:
            return await self._put_with_retry(
                kind, name, value, expected_version
            )
        except exceptions.StoreConflict:
            return await self._resolve_conflict(kind, name, applied)

    async def delete(self, kind: str, name: str, expected_version: int) -> None:
        """Delete an object at a version."""
        self._check_restored(expected_version)
        revision = positions.revision_of(expected_version)
        call = self._wire.delete(kind, name, revision)
        await self._call("delete", call)

    async def list(self, kind: str) -> objects.Changes:
        """Return all objects of a kind."""
        items: list[objects.StoredObject] = []
        after = ""
        revision: int | None = None
        while True:
            answer = await self._call("list", self._wire.list(kind, after))
            page = objects.parsed(self._wire.parse_page, kind, answer.body)
            _log_unnamed(kind, page.unnamed)
            items += [_positioned(item, answer) for item in page.items]
            if revision is None:
                # Objects of this page may change while the others are read, and
                # a watch must not miss these changes.
                revision = answer.position(page.revision)
            elif answer.era > positions.era_of(revision):
                raise exceptions.StoreHistoryGone
            if not page.more or not (page.items or page.unnamed):
                return objects.Changes(tuple(items), (), revision)
            if not page.items:
                raise exceptions.StoreOutage("page without a readable name")
            after = page.items[-1].name

    async def watch(
        self,
        kind: str,
        since: int,
        timeout_ms: int = WATCH_TIMEOUT_MS,
        grace_s: float = protocol.WATCH_GRACE_S,
    ) -> objects.Changes:
        """Wait for changes of a kind after a revision.

        Returns no items if nothing changed within the timeout.

        Args:
          grace_s: how long the answer may take after the timeout.

        Raises:
          StoreHistoryGone: the object API no longer has the changes since the
            revision, or was restored since then.
        """
        answer = await self.long_poll(
            "watch",
            lambda revision: self._wire.watch(kind, revision, timeout_ms),
            since,
            timeout_ms,
            grace_s,
        )
        changes = objects.parsed(self._wire.parse_changes, kind, answer.body)
        _log_unnamed(kind, changes.unnamed)
        return attrs.evolve(
            changes,
            items=tuple(_positioned(item, answer) for item in changes.items),
            revision=answer.position(changes.revision),
        )

    async def instances(
        self,
        since: int | None = None,
        timeout_ms: int = WATCH_TIMEOUT_MS,
        grace_s: float = protocol.WATCH_GRACE_S,
    ) -> objects.InstanceList:
        """Return the instance list, waiting for a change after a revision."""
        return await self._wire.instances(self, since, timeout_ms, grace_s)

    async def call(self, name: str, call: protocol.Call) -> objects.Answer:
        """Make an encoded call and return its answer."""
        return await self._call(name, call)

    async def long_poll(
        self,
        name: str,
        encode: Callable[[int], protocol.Call],
        since: int,
        timeout_ms: int,
        grace_s: float = protocol.WATCH_GRACE_S,
    ) -> objects.Answer:
        """Make a call that waits for changes since a position.

        Args:
          encode: returns the call for a revision.
          timeout_ms: how long the object API may delay the answer.
          grace_s: how long the answer may take after that.

        Raises:
          StoreHistoryGone: the object API was restored since the position.
        """
        if positions.era_of(since) < self.era:
            raise exceptions.StoreHistoryGone
        call = encode(positions.revision_of(since))
        timeout_s = timeout_ms / 1000 + grace_s
        answer = await self._wait_in_era(name, call, timeout_s)
        if answer.era > positions.era_of(since):
            # The revision may have been given out again, so that changes before
            # it are missing in the answer.
            raise exceptions.StoreHistoryGone
        return answer

    async def _resolve_conflict(
        self, kind: str, name: str, applied: Callable[[dict], bool]
    ) -> int:
        current = await self._get_or_none(kind, name)
        if current is not None and _is_applied(current, applied):
            return current.version
        version = current.version if current is not None else 0
        raise exceptions.StoreConflict(version)

    async def _put_with_retry(
        self, kind: str, name: str, value: dict, expected_version: int
    ) -> int:
        try:
            return await self.put(kind, name, value, expected_version)
        except exceptions.StoreOutage:
            if expected_version:
                # The expected revision may belong to another object version if
                # the object API was restored meanwhile; a read shows its era.
                await self._get_or_none(kind, name)
            return await self.put(kind, name, value, expected_version)

    async def _get_or_none(
        self, kind: str, name: str
    ) -> objects.StoredObject | None:
        try:
            return await self.get(kind, name)
        except exceptions.StoreNotFound:
            return None

    async def _wait_in_era(
        self, name: str, call: protocol.Call, timeout_s: float
    ) -> objects.Answer:
        """Make a call that is abandoned when another answer has a new era."""
        era = self.era
        task = asyncio.create_task(self._call(name, call, timeout_s))
        self._watches.add(task)
        try:
            return await task
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling() or self.era == era:
                raise
            raise exceptions.StoreHistoryGone from None
        finally:
            self._watches.discard(task)

    def _check_restored(self, expected_version: int) -> None:
        """Raise StoreConflict if a version is from before a restoration."""
        if expected_version and positions.era_of(expected_version) < self.era:
            raise exceptions.StoreConflict(0)

    def _observe_era(self, headers: Mapping[str, str]) -> int:
        """Return the era of an answer.

        Raises:
          StoreOutage: the answer is from before a restoration of the object
            API that this client has observed.
        """
        era = self._wire.era(headers)
        if era is None or era == self.era:
            return self.era
        if era < self.era:
            raise exceptions.StoreOutage(
                f"answer is from the earlier era {era}"
            )
        former, self.era = self.era, era
        if former:
            eliot.log_message("store_restored", era=era, former=former)
        for task in self._watches - {asyncio.current_task()}:
            task.cancel()
        return era

    async def _call(
        self,
        name: str,
        call: protocol.Call,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> objects.Answer:
        lines: list[str] = []
        req = httpclient.HTTPRequest(
            self._base_url + call.path,
            method=call.method,
            body=json.dumps(call.body) if call.body is not None else None,
            headers={"Content-Type": "application/json"},
            connect_timeout=REQUEST_TIMEOUT_S,
            request_timeout=timeout_s,
            follow_redirects=False,
            header_callback=lines.append,
        )
        try:
            resp = await self._http.fetch(req, raise_error=False)
            if not http_status.is_final(resp.code):
                raise exceptions.StoreOutage(f"malformed status {resp.code}")
            era = self._observe_era(resp.headers)
            body = objects.parsed(self._parse, resp, era)
        except exceptions.StoreError as exc:
            self._on_call(name, type(exc).__name__)
            raise
        except (OSError, *_MALFORMED_ANSWERS) as exc:
            failure = (
                exceptions.StoreAnswerIncomplete
                if lines
                else exceptions.StoreOutage
            )
            self._on_call(name, failure.__name__)
            raise failure(str(exc)) from exc
        self._on_call(name, "ok")
        return objects.Answer(body, era)

    def _parse(self, resp: httpclient.HTTPResponse, era: int) -> dict:
        body = decoding.decode(resp.body, self._wire.shape)
        # The status is sufficient to determine the failure; the body adds
        # details.
        details = body if isinstance(body, dict) else {}
        error = self._wire.error(resp.code, details)
        if isinstance(error, exceptions.StoreConflict) and error.version:
            raise exceptions.StoreConflict(
                positions.position(era, error.version)
            )
        if error is not None:
            raise error
        if resp.code >= 400:
            raise exceptions.StoreOutage(
                f"the object API answered with status {resp.code}"
            )
        if not isinstance(body, dict):
            raise exceptions.StoreOutage(
                "answer of the object API is not a JSON object"
            )
        return body


def _is_applied(
    stored: objects.StoredObject, applied: Callable[[dict], bool]
) -> bool:
    try:
        return applied(stored.value)
    except exceptions.MALFORMED_VALUE:
        return False


def _log_unnamed(kind: str, reasons: tuple[str, ...]) -> None:
    for reason in reasons:
        eliot.log_message("object_unreadable", kind=kind, reason=reason)


def _positioned(
    item: objects.StoredObject, answer: objects.Answer
) -> objects.StoredObject:
    return attrs.evolve(item, version=answer.position(item.version))
