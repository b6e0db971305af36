"""Order in which connections of callers give way to new ones.

The connections of each kind are kept in the order in which they became of that
kind, so that a node at its limit does not look at all of them for each new
connection.
"""

import collections
import enum
import itertools
from typing import Protocol

import attrs

# Idle connections of one kind that are asked for unread bytes at once. What has
# arrived on them is read soon, so that they are no longer idle.
MAX_EXAMINED = 16


class Connection(Protocol):
    """A connection of a caller.

    Attributes:
      discards: whether its last request was refused and all else is dropped.
      awaited: whether the next request is awaited or incomplete.
      held_bytes: bytes that it holds of a request that is not complete.
      requests: number of requests that were received completely.
    """

    discards: bool
    awaited: bool
    held_bytes: int
    requests: int

    def has_unread(self) -> bool:
        """Return whether something has arrived that was not read."""


class Kind(enum.Enum):
    """Kinds of connections, in the order in which they give way."""

    REFUSED = "refused"
    # Idle, and has sent no request yet.
    NEW = "new"
    IDLE = "idle"
    INCOMPLETE = "incomplete"
    # Never gives way.
    SERVING = "serving"


_IDLE = frozenset({Kind.NEW, Kind.IDLE})


def kind_of(conn: Connection) -> Kind:
    """Return the kind of a connection, without a look at unread bytes."""
    if conn.discards:
        return Kind.REFUSED
    if not conn.awaited:
        return Kind.SERVING
    if conn.held_bytes:
        return Kind.INCOMPLETE
    return Kind.IDLE if conn.requests else Kind.NEW


@attrs.define(eq=False)
class ConnectionOrder:
    """Open connections by kind, the least recently changed ones first."""

    _kinds: dict[Connection, Kind] = attrs.field(factory=dict)
    _of_kind: dict[Kind, collections.OrderedDict[Connection, None]] = (
        attrs.field(
            factory=lambda: {kind: collections.OrderedDict() for kind in Kind}
        )
    )

    def update(self, conn: Connection) -> None:
        """Add a connection, or move it if it has become of another kind."""
        kind = kind_of(conn)
        if self._kinds.get(conn) is not kind:
            self.remove(conn)
            self._kinds[conn] = kind
            self._of_kind[kind][conn] = None

    def remove(self, conn: Connection) -> None:
        """Remove a connection that was closed."""
        kind = self._kinds.pop(conn, None)
        if kind is not None:
            del self._of_kind[kind][conn]

    def least_needed(self) -> Connection | None:
        """Return the connection that gives way, None if none can be found."""
        for kind in Kind:
            if kind is Kind.SERVING:
                continue
            of_kind = self._of_kind[kind]
            for conn in [*itertools.islice(of_kind, MAX_EXAMINED)]:
                if kind not in _IDLE or not conn.has_unread():
                    return conn
                of_kind.move_to_end(conn)
        return None
