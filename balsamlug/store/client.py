"""Client for the platform's object API."""

from collections.abc import Callable
import json
import urllib.parse

import attrs
from tornado import httpclient
from tornado import simple_httpclient

from balsamlug import exceptions

REQUEST_TIMEOUT_S = 2.0
# Added to a watch's own timeout, so that its empty answer can arrive.
WATCH_GRACE_S = 2.0
WATCH_TIMEOUT_MS = 20_000
MAX_CLIENTS = 32
# A value of one megabyte plus the JSON around it; lists hold several values.
MAX_ANSWER_BYTES = 64 * 1024 * 1024


@attrs.frozen
class StoredObject:
    """An object at one version."""

    kind: str
    name: str
    version: int
    value: dict


@attrs.frozen
class Changes:
    """What changed in a kind since a revision.

    Attributes:
      items: objects that were written.
      deleted: names of objects that were removed.
      revision: pass this to the next watch.
    """

    items: tuple[StoredObject, ...]
    deleted: tuple[str, ...]
    revision: int


@attrs.frozen
class InstanceList:
    """The platform's lagging list; instances are plain dicts."""

    instances: tuple[dict, ...]
    revision: int


class ObjectStore:
    """Call the object API; every failure is a StoreError.

    Args:
      base_url: for example "http://127.0.0.1:7000".
      on_call: told the name of every call and its result, for the counters.
    """

    def __init__(
        self,
        base_url: str,
        on_call: Callable[[str, str], None] = lambda call, result: None,
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._on_call = on_call
        self._http = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
            max_buffer_size=MAX_ANSWER_BYTES,
            max_body_size=MAX_ANSWER_BYTES,
        )

    def close(self) -> None:
        """Close the HTTP client."""
        self._http.close()

    async def get(self, kind: str, name: str) -> StoredObject:
        """Return an object.

        Raises:
          StoreNotFound: it does not exist.
          StoreError: the object API failed.
        """
        body = await self._call("get", "GET", _object_path(kind, name))
        return _stored_object(body)

    async def put(
        self, kind: str, name: str, value: dict, expected_version: int
    ) -> int:
        """Write an object conditionally and return its new version.

        Args:
          expected_version: version to replace, 0 to create the object.

        Raises:
          StoreConflict: the object has another version.
          StoreOutage: the write may or may not have taken effect.
        """
        body = await self._call(
            "put",
            "PUT",
            _object_path(kind, name),
            {"value": value, "expected_version": expected_version},
        )
        return body["version"]

    async def commit(
        self,
        kind: str,
        name: str,
        value: dict,
        expected_version: int,
        applied: Callable[[dict], bool],
    ) -> int:
        """Write like put, and resolve an ambiguous answer by reading back.

        A write whose answer was lost is repeated once with the same expected
        version, which cannot apply it twice. A conflict counts as success when
        the stored value shows that the write took effect.

        Args:
          applied: whether a stored value contains this write.

        Raises:
          StoreConflict: another writer won and this write did not apply.
          StoreOutage: the write may still take effect later.
        """
        try:
            return await self._put_twice(kind, name, value, expected_version)
        except exceptions.StoreConflict:
            return await self._resolve(kind, name, applied)

    async def delete(self, kind: str, name: str, expected_version: int) -> None:
        """Delete an object at a version."""
        path = f"{_object_path(kind, name)}?expected_version={expected_version}"
        await self._call("delete", "DELETE", path)

    async def list(self, kind: str) -> Changes:
        """Return all objects of a kind."""
        body = await self._call("list", "GET", f"/objects/{_quote(kind)}")
        return _changes(body)

    async def watch(
        self, kind: str, since: int, timeout_ms: int = WATCH_TIMEOUT_MS
    ) -> Changes:
        """Wait for changes of a kind after a revision.

        Returns no items when nothing changed within the timeout.
        """
        path = f"/watch/{_quote(kind)}?since={since}&timeout_ms={timeout_ms}"
        return _changes(await self._wait("watch", path, timeout_ms))

    async def instances(
        self, since: int | None = None, timeout_ms: int = WATCH_TIMEOUT_MS
    ) -> InstanceList:
        """Return the instance list, waiting for a change after a revision."""
        if since is None:
            body = await self._call("instances", "GET", "/instances")
        else:
            path = f"/instances?since={since}&timeout_ms={timeout_ms}"
            body = await self._wait("instances", path, timeout_ms)
        return InstanceList(tuple(body["instances"]), body["revision"])

    async def _resolve(
        self, kind: str, name: str, applied: Callable[[dict], bool]
    ) -> int:
        current = await self._current(kind, name)
        if current is not None and applied(current.value):
            return current.version
        version = current.version if current is not None else 0
        raise exceptions.StoreConflict(version)

    async def _put_twice(
        self, kind: str, name: str, value: dict, expected_version: int
    ) -> int:
        try:
            return await self.put(kind, name, value, expected_version)
        except exceptions.StoreOutage:
            return await self.put(kind, name, value, expected_version)

    async def _current(self, kind: str, name: str) -> StoredObject | None:
        try:
            return await self.get(kind, name)
        except exceptions.StoreNotFound:
            return None

    async def _wait(self, call: str, path: str, timeout_ms: int) -> dict:
        timeout_s = timeout_ms / 1000 + WATCH_GRACE_S
        return await self._call(call, "GET", path, timeout_s=timeout_s)

    async def _call(
        self,
        call: str,
        method: str,
        path: str,
        body: dict | None = None,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> dict:
        req = httpclient.HTTPRequest(
            self._base_url + path,
            method=method,
            body=json.dumps(body) if body is not None else None,
            headers={"Content-Type": "application/json"},
            connect_timeout=REQUEST_TIMEOUT_S,
            request_timeout=timeout_s,
            follow_redirects=False,
        )
        try:
            resp = await self._http.fetch(req, raise_error=False)
            parsed = _parse(resp)
        except exceptions.StoreError as exc:
            self._on_call(call, type(exc).__name__)
            raise
        except (OSError, httpclient.HTTPError) as exc:
            self._on_call(call, "StoreOutage")
            raise exceptions.StoreOutage(str(exc)) from exc
        self._on_call(call, "ok")
        return parsed


def _object_path(kind: str, name: str) -> str:
    return f"/objects/{_quote(kind)}/{_quote(name)}"


def _quote(part: str) -> str:
    return urllib.parse.quote(part, safe="")


def _stored_object(body: dict) -> StoredObject:
    return StoredObject(
        body["kind"], body["name"], body["version"], body["value"]
    )


def _changes(body: dict) -> Changes:
    return Changes(
        tuple(_stored_object(item) for item in body["items"]),
        tuple(body.get("deleted", ())),
        body["revision"],
    )


def _conflict(body: dict) -> exceptions.StoreError:
    return exceptions.StoreConflict(body.get("version", 0))


def _rate_limited(body: dict) -> exceptions.StoreError:
    return exceptions.StoreRateLimited(body.get("retry_after_ms", 0))


_ERRORS: dict[int, Callable[[dict], exceptions.StoreError]] = {
    404: lambda body: exceptions.StoreNotFound(),
    409: _conflict,
    413: lambda body: exceptions.StoreValueTooLarge(),
    429: _rate_limited,
}


def _parse(resp: httpclient.HTTPResponse) -> dict:
    if resp.code in _ERRORS:
        raise _ERRORS[resp.code](_json(resp))
    if resp.code >= 400:
        raise exceptions.StoreOutage(f"status {resp.code}")
    return _json(resp)


def _json(resp: httpclient.HTTPResponse) -> dict:
    try:
        body = json.loads(resp.body)
    except ValueError as exc:
        raise exceptions.StoreOutage("answer is not JSON") from exc
    if not isinstance(body, dict):
        raise exceptions.StoreOutage("answer is not an object")
    return body
