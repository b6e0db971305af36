"""Encodings of the object API's calls and answers.

The client in `client.py` works with any `Wire`. `DefaultWire` is the
protocol of this project, and `balsamlug.platform` has that of the platform.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Protocol
import urllib.parse

import attrs

from balsamlug import exceptions
from balsamlug.store import decoding
from balsamlug.store import objects
from balsamlug.store import positions

CONFIGURATION_NAME = "current"
ERA_HEADER = "X-Store-Era"
# Added to the server-side timeout of a watch, so that its empty answer can
# still arrive.
WATCH_GRACE_S = 2.0


@attrs.frozen
class Call:
    """One HTTP call; the body is sent as JSON."""

    method: str
    path: str
    body: dict | None = None


class Wire(Protocol):
    """Encode calls of an object API and decode its answers.

    Attributes:
      shape: parts of answers that may be unreadable on their own.
    """

    shape: decoding.Shape

    def get(self, kind: str, name: str) -> Call:
        """Return the call that reads an object."""

    def put(self, kind: str, name: str, value: dict, version: int) -> Call:
        """Return the call that replaces an object; version 0 creates it."""

    def delete(self, kind: str, name: str, version: int) -> Call:
        """Return the call that deletes an object at a version."""

    def list(self, kind: str, after: str) -> Call:
        """Return the call that lists the objects after a name."""

    def watch(self, kind: str, since: int, timeout_ms: int) -> Call:
        """Return the call that waits for changes after a revision."""

    async def instances(
        self,
        store: object,
        since: int | None,
        timeout_ms: int,
        grace_s: float = WATCH_GRACE_S,
    ) -> objects.InstanceList:
        """Return the instance list, read with the calls of a store."""

    def configuration(self, item: objects.StoredObject) -> dict | None:
        """Return the configuration in an object, None for any other object."""

    def parse_object(
        self, kind: str, name: str, body: dict
    ) -> objects.StoredObject:
        """Return the object in an answer."""

    def parse_written(self, body: dict) -> int:
        """Return the version in the answer of a write."""

    def era(self, headers: Mapping[str, str]) -> int | None:
        """Return the era that an answer states, None if it states none."""

    def parse_page(self, kind: str, body: dict) -> objects.Page:
        """Return the page of a listing in an answer."""

    def parse_changes(self, kind: str, body: dict) -> objects.Changes:
        """Return the changes in the answer of a watch."""

    def error(self, status: int, body: dict) -> exceptions.StoreError | None:
        """Return the failure for an error status, None for any other status."""


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


class DefaultWire:
    """Encoding of docs/design.md, section 2.2."""

    shape: decoding.Shape = {"items": [{}], "instances": [None]}

    def get(self, kind: str, name: str) -> Call:
        """Return the call that reads an object."""
        return Call("GET", _object_path(kind, name))

    def put(self, kind: str, name: str, value: dict, version: int) -> Call:
        """Return the call that replaces an object; version 0 creates it."""
        body = {"value": value, "expected_version": version}
        return Call("PUT", _object_path(kind, name), body)

    def delete(self, kind: str, name: str, version: int) -> Call:
        """Return the call that deletes an object at a version."""
        path = _object_path(kind, name)
        return Call("DELETE", f"{path}?expected_version={version}")

    def list(self, kind: str, after: str) -> Call:
        """Return the call that lists a kind, always in a single page."""
        del after
        return Call("GET", f"/objects/{quote(kind)}")

    def watch(self, kind: str, since: int, timeout_ms: int) -> Call:
        """Return the call that waits for changes after a revision."""
        query = f"since={since}&timeout_ms={timeout_ms}"
        return Call("GET", f"/watch/{quote(kind)}?{query}")

    async def instances(
        self,
        store: object,
        since: int | None,
        timeout_ms: int,
        grace_s: float = WATCH_GRACE_S,
    ) -> objects.InstanceList:
        """Return the instance list, which has a separate call."""
        if since is None:
            answer = await store.call("instances", Call("GET", "/instances"))
        else:
            answer = await store.long_poll(
                "instances",
                lambda revision: Call(
                    "GET",
                    f"/instances?since={revision}&timeout_ms={timeout_ms}",
                ),
                since,
                timeout_ms,
                grace_s,
            )
        return objects.parsed(_instance_list, answer)

    def configuration(self, item: objects.StoredObject) -> dict | None:
        """Return the configuration in an object, None for any other object."""
        return item.value if item.name == CONFIGURATION_NAME else None

    def parse_object(
        self, kind: str, name: str, body: dict
    ) -> objects.StoredObject:
        """Return the object in an answer."""
        del kind, name
        return _stored_object(body)

    def parse_written(self, body: dict) -> int:
        """Return the version in the answer of a write."""
        return objects.revision(body["version"])

    def era(self, headers: Mapping[str, str]) -> int | None:
        """Return the era that an answer states, None if it states none."""
        return positions.parse_era(headers.get(ERA_HEADER))

    def parse_page(self, kind: str, body: dict) -> objects.Page:
        """Return a complete listing as a single page."""
        changes = self.parse_changes(kind, body)
        return objects.Page(
            changes.items, False, changes.revision, changes.unnamed
        )

    def parse_changes(self, kind: str, body: dict) -> objects.Changes:
        """Return the changes in the answer of a watch."""
        del kind
        items, unnamed = objects.each(_stored_object, body["items"])
        return objects.Changes(
            tuple(items),
            tuple(body.get("deleted", ())),
            objects.revision(body["revision"]),
            unnamed,
        )

    def error(self, status: int, body: dict) -> exceptions.StoreError | None:
        """Return the failure for an error status, None for any other status."""
        make = _ERRORS.get(status)
        return make(body) if make is not None else None


def quote(part: str) -> str:
    """Return a path segment with every special character escaped."""
    return urllib.parse.quote(part, safe="")


def _object_path(kind: str, name: str) -> str:
    return f"/objects/{quote(kind)}/{quote(name)}"


def _instance_list(answer: objects.Answer) -> objects.InstanceList:
    return objects.InstanceList(
        tuple(answer.body["instances"]),
        answer.position(objects.revision(answer.body["revision"])),
    )


def _stored_object(body: dict) -> objects.StoredObject:
    return objects.stored(
        body["kind"], body["name"], body["version"], body["value"]
    )
