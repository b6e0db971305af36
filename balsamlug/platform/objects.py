"""Encoding of calls to the platform's store and of its answers."""

from collections.abc import Mapping
import functools
from typing import Any

from balsamlug import exceptions
from balsamlug.platform import configuration
from balsamlug.platform import listing
from balsamlug.store import decoding
from balsamlug.store import objects
from balsamlug.store import positions
from balsamlug.store import protocol

ROOT = "/-/objects"
SERVERS_KIND = "servers"
CONFIGURATION_NAME = "main"
ERA_HEADER = "Store-Era"
_ERRORS: dict[int, type[exceptions.StoreError]] = {
    404: exceptions.StoreNotFound,
    410: exceptions.StoreHistoryGone,
    413: exceptions.StoreValueTooLarge,
    429: exceptions.StoreRateLimited,
}


class PlatformWire:
    """Codec of the store's calls; also maintains the list of servers."""

    shape: decoding.Shape = {"Entries": [{}], "events": [{"Object": {}}]}

    def __init__(self) -> None:
        self._servers: dict[str, dict] = {}
        self._rejected: dict[str, str] = {}

    def get(self, kind: str, name: str) -> protocol.Call:
        """Return the call that reads an object."""
        return protocol.Call("GET", _path(kind, name))

    def put(
        self, kind: str, name: str, value: dict, version: int
    ) -> protocol.Call:
        """Return the call that replaces an object; version 0 creates it."""
        metadata: dict[str, Any] = {"Name": name}
        if not version:
            body = {"Metadata": metadata, "Spec": value}
            return protocol.Call("POST", _path(kind), body)
        metadata["Revision"] = version
        body = {"Metadata": metadata, "Spec": value}
        return protocol.Call("PUT", _path(kind, name), body)

    def delete(self, kind: str, name: str, version: int) -> protocol.Call:
        """Return the call that deletes an object at a version."""
        path = f"{_path(kind, name)}?Revision={version}"
        return protocol.Call("DELETE", path)

    def list(self, kind: str, after: str) -> protocol.Call:
        """Return the call that lists the objects after a name."""
        query = f"?After={protocol.quote(after)}" if after else ""
        return protocol.Call("GET", _path(kind) + query)

    def watch(self, kind: str, since: int, timeout_ms: int) -> protocol.Call:
        """Return the call that waits for changes after a revision."""
        query = f"?Watch={since}&WaitMs={timeout_ms}"
        return protocol.Call("GET", _path(kind) + query)

    async def instances(
        self,
        store: Any,
        since: int | None,
        timeout_ms: int,
        grace_s: float = protocol.WATCH_GRACE_S,
    ) -> objects.InstanceList:
        """Return the list of servers, updated through the given store."""
        if since is None:
            changes = await store.list(SERVERS_KIND)
            self._servers.clear()
            self._rejected.clear()
        else:
            changes = await store.watch(
                SERVERS_KIND, since, timeout_ms, grace_s
            )
        for name in changes.deleted:
            self._servers.pop(name, None)
            self._rejected.pop(name, None)
        for item in changes.items:
            self._apply_entry(item)
        return objects.InstanceList(
            tuple(self._servers.values()),
            changes.revision,
            tuple(self._rejected.items()),
            frozenset(changes.deleted) | {item.name for item in changes.items},
        )

    def _apply_entry(self, item: objects.StoredObject) -> None:
        """Store an entry; a malformed one removes its server from the list."""
        try:
            self._servers[item.name] = listing.instance(item.name, item.value)
            self._rejected.pop(item.name, None)
        except exceptions.MALFORMED_VALUE as exc:
            self._servers.pop(item.name, None)
            self._rejected[item.name] = f"{type(exc).__name__}: {exc}"

    def configuration(self, item: objects.StoredObject) -> dict | None:
        """Return the configuration in an object, None for other objects."""
        if item.name != CONFIGURATION_NAME:
            return None
        return configuration.value(item.value)

    def parse_object(
        self, kind: str, name: str, body: dict
    ) -> objects.StoredObject:
        """Return the object in an answer."""
        del name
        return _object(kind, body)

    def parse_written(self, body: dict) -> int:
        """Return the version in the answer to a write."""
        return objects.revision(body["Metadata"]["Revision"])

    def era(self, headers: Mapping[str, str]) -> int | None:
        """Return how often the store was restored, None if not stated."""
        return positions.parse_era(headers.get(ERA_HEADER))

    def parse_page(self, kind: str, body: dict) -> objects.Page:
        """Return the page of a listing in an answer."""
        items, unnamed = objects.each(
            functools.partial(_object, kind), body["Entries"]
        )
        return objects.Page(
            tuple(items),
            bool(body["More"]),
            objects.revision(body["CurrentRev"]),
            unnamed,
        )

    def parse_changes(self, kind: str, body: dict) -> objects.Changes:
        """Return the last state of each object in the answer to a watch."""
        events, unnamed = objects.each(
            functools.partial(_event, kind), body["events"]
        )
        latest = {item.name: (removed, item) for removed, item in events}
        return objects.Changes(
            tuple(item for removed, item in latest.values() if not removed),
            tuple(name for name, (removed, _) in latest.items() if removed),
            objects.revision(body["CurrentRev"]),
            unnamed,
        )

    def error(self, status: int, body: dict) -> exceptions.StoreError | None:
        """Return the store error for an error status, if there is one."""
        if status == 409:
            return exceptions.StoreConflict(_revision(body))
        failure = _ERRORS.get(status)
        return failure() if failure is not None else None


def _path(kind: str, name: str = "") -> str:
    path = f"{ROOT}/{protocol.quote(kind)}"
    return f"{path}/{protocol.quote(name)}" if name else path


def _object(kind: str, body: dict) -> objects.StoredObject:
    metadata = body["Metadata"]
    return objects.stored(
        kind, metadata["Name"], metadata.get("Revision", 0), body.get("Spec")
    )


def _event(kind: str, body: dict) -> tuple[bool, objects.StoredObject]:
    removed = body["Removed"]
    if isinstance(removed, decoding.Unreadable):
        raise ValueError(f"event of an unreadable type: {removed.reason}")
    return bool(removed), _object(kind, body["Object"])


def _revision(body: dict) -> int:
    """Return the revision in an answer, 0 if it has none."""
    try:
        return objects.revision(body["Metadata"]["Revision"])
    except exceptions.MALFORMED_VALUE:
        return 0
