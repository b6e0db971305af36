"""In-memory object table: versions, conditional writes and watches."""

from collections.abc import Callable
import json

import attrs

from balsamlug_standins import waiting

MAX_VALUE_BYTES = 1_000_000


@attrs.define(eq=False)
class Conflict(Exception):
    """The version of the object differs from the expected one."""

    version: int


class ValueTooLarge(Exception):
    """The value exceeds the size limit."""


@attrs.define
class Objects:
    """Table of objects.

    The version of an object is the table's revision after its last write, so
    no version is used twice, even after a delete.

    Attributes:
      revision: number of writes and deletes.
      table: objects by kind and name.
      deleted: revision of the delete, by kind and name.
      changed: notified of each write and delete.
    """

    revision: int = 0
    table: dict[str, dict[str, dict]] = attrs.field(factory=dict)
    deleted: dict[str, dict[str, int]] = attrs.field(factory=dict)
    changed: waiting.ChangeSignal = attrs.field(factory=waiting.ChangeSignal)

    def get(self, kind: str, name: str) -> dict | None:
        """Return an object, or None if it does not exist."""
        return self.table.get(kind, {}).get(name)

    def put(self, kind: str, name: str, value: dict, expected: int) -> int:
        """Write an object of the expected version; return the new version."""
        if len(json.dumps(value, separators=(",", ":"))) > MAX_VALUE_BYTES:
            raise ValueTooLarge
        self._check_version(kind, name, expected)
        self.revision += 1
        self.table.setdefault(kind, {})[name] = {
            "kind": kind,
            "name": name,
            "version": self.revision,
            "value": value,
        }
        self.deleted.get(kind, {}).pop(name, None)
        self.changed.notify()
        return self.revision

    def delete(self, kind: str, name: str, expected: int) -> None:
        """Delete an object of the expected version."""
        self._check_version(kind, name, expected)
        self.revision += 1
        self.table.get(kind, {}).pop(name, None)
        self.deleted.setdefault(kind, {})[name] = self.revision
        self.changed.notify()

    def list(self, kind: str) -> dict:
        """Return all objects of a kind."""
        items = list(self.table.get(kind, {}).values())
        return {"items": items, "revision": self.revision}

    def changes(self, kind: str, since: int) -> dict:
        """Return the changes of a kind after a revision."""
        items = self.table.get(kind, {}).values()
        deleted = self.deleted.get(kind, {})
        return {
            "items": [item for item in items if item["version"] > since],
            "deleted": [name for name, rev in deleted.items() if rev > since],
            "revision": self.revision,
        }

    async def watch(
        self,
        kind: str,
        since: int,
        timeout_s: float,
        aborted: Callable[[], bool],
    ) -> dict:
        """Wait for changes of a kind after a revision and return them.

        Args:
          aborted: returns whether to stop waiting before there is a change.
        """

        def ready() -> bool:
            changes = self.changes(kind, since)
            return bool(changes["items"] or changes["deleted"]) or aborted()

        await self.changed.wait_for(ready, timeout_s)
        return self.changes(kind, since)

    def _check_version(self, kind: str, name: str, expected: int) -> None:
        current = self.get(kind, name)
        version = current["version"] if current is not None else 0
        if version != expected:
            raise Conflict(version)
