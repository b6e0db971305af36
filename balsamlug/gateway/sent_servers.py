"""Count the servers that a request was sent to, against its route's limit."""

import attrs


@attrs.define
class SentServers:
    """Servers of the attempts of one request.

    An attempt that lost only its connection may be continued at its server,
    which does not count again.

    Attributes:
      count: number of attempts that were sent, without those that continued
        another one. The request was sent to this many servers at most.
    """

    _limit: int
    count: int = 0
    _current: bytes = b""
    _continues: bool = False
    # Servers whose last attempt lost only its connection.
    _disconnected: set[bytes] = attrs.field(factory=set)

    def start(self, server: bytes) -> None:
        """Count an attempt that may be sent to a server."""
        self._current = server
        self._continues = server in self._disconnected
        self._disconnected.discard(server)
        self.count += not self._continues

    def end(self, is_sent: bool, is_disconnected: bool) -> None:
        """Record how the current attempt ended.

        Args:
          is_disconnected: whether it was sent and lost only its connection.
        """
        if not is_sent:
            self.count -= not self._continues
        if is_disconnected or (self._continues and not is_sent):
            self._disconnected.add(self._current)

    def allows(self, server: bytes) -> bool:
        """Return whether an attempt may follow at a server."""
        return self.count < self._limit or server in self._disconnected

    def allows_another(self) -> bool:
        """Return whether an attempt may follow at any server."""
        return self.count < self._limit or bool(self._disconnected)
