"""Choose the neighbour from which a large value is requested.

A large value is requested from one neighbour at a time. The other neighbours
that announce a newer one are remembered with their links, and one of them is
asked when the link of the first ends or brings no answer in time.
"""

from collections.abc import Callable
from collections.abc import Mapping

import attrs

from balsamlug import clock as clocks
from balsamlug.membership import connection
from balsamlug.membership import pacing


@attrs.define
class LargeValues:
    """Requests of one node for large values.

    Args:
      requests: limits how often each kind is requested.
      links: peer -> link.
      known: returns the local revision of a kind.
      send: requests a kind on a link.
    """

    _requests: pacing.Requests
    _links: Mapping[str, connection.Link]
    _clock: clocks.Clock
    _known: Callable[[str], int]
    _send: Callable[[connection.Link, str], None]
    # Kind -> link and time of the last request, until it is answered.
    _asked: dict[str, tuple[connection.Link, float]] = attrs.field(factory=dict)

    def announce(self, link: connection.Link, kind: str, revision: int) -> None:
        """Record that a neighbour has a revision; request it if it is newer."""
        link.announced[kind] = max(revision, link.announced.get(kind, 0))
        self._request_if_newer(kind)

    def answered(self, kind: str) -> float | None:
        """Record that a value was received; request it if a newer one exists.

        Values of which every change is sent as a delta are requested again
        only after their interval.

        Returns:
          Seconds since the value was requested, None if it was not.
        """
        _, asked_s = self._asked.pop(kind, (None, None))
        waited_s = (
            None if asked_s is None else self._clock.monotonic() - asked_s
        )
        if kind not in pacing.DELTA_KINDS:
            self._requests.clear(kind)
        self._request_if_newer(kind)
        return waited_s

    def link_closed(self, link: connection.Link) -> None:
        """Request elsewhere what the closed link has not answered."""
        lost = [k for k, (asked, _) in self._asked.items() if asked is link]
        for kind in lost:
            del self._asked[kind]
            self._requests.clear(kind)
            self._request_if_newer(kind)

    def tick(self) -> None:
        """Request elsewhere what was not answered in time."""
        for kind in pacing.LARGE_KINDS:
            self._request_if_newer(kind)

    def _request_if_newer(self, kind: str) -> None:
        now_s = self._clock.monotonic()
        if not self._requests.is_due(kind, now_s):
            return
        known = self._known(kind)
        candidates = [
            link
            for link in self._links.values()
            if link.announced.get(kind, 0) > known
        ]
        if not candidates:
            return
        # A silent link to a node that is no neighbour is not replaced.
        link = max(
            candidates,
            key=lambda link: (link.last_neighbour_s, link.last_received_s),
        )
        # It is asked again only after it has announced the value again.
        del link.announced[kind]
        self._asked[kind] = link, now_s
        self._send(link, kind)
