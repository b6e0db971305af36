"""Links that a newer link to the same peer has replaced.

A peer that was paused has written to the former link before it knows of the new
one. The former link is therefore read on for some time, and nothing is sent on
it.
"""

import attrs

from balsamlug import clock as clocks
from balsamlug.membership import connection

READ_S = 5.0


@attrs.define
class ReplacedLinks:
    """Replaced links that are still read, the oldest first."""

    _clock: clocks.Clock
    _replaced_s: dict[connection.Link, float] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._replaced_s)

    def add(self, link: connection.Link) -> None:
        """Read a replaced link for `READ_S`."""
        self._replaced_s[link] = self._clock.monotonic()

    def remove(self, link: connection.Link) -> bool:
        """Remove a link that was closed; return whether it was here."""
        return self._replaced_s.pop(link, None) is not None

    def links(self) -> list[connection.Link]:
        """Return the links."""
        return list(self._replaced_s)

    def close_expired(self) -> None:
        """Close the links that were read for `READ_S`."""
        oldest_s = self._clock.monotonic() - READ_S
        for link, replaced_s in self._replaced_s.items():
            if replaced_s < oldest_s:
                link.conn.close()
