"""Requests that were refused a moment ago, here or at another node.

A caller that comes back has a new request id and meets another node, but it
sends the same request.
"""

import collections
from collections.abc import Iterable
import hashlib

import attrs

from balsamlug import clock as clocks
from balsamlug.gateway import messages

DIGEST_BYTES = 8
# Callers come back within a third of their time; the longest is 8 s.
LIFETIME_S = 3.0
# Refusals told in one datagram, the newest ones.
MAX_TOLD = 200
MAX_KEPT = 20_000


def fingerprint(req: messages.CallerRequest) -> str:
    """Return what two tries of the same request have in common."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (req.method, req.target, req.facts.key):
        digest.update(part.encode("utf-8", "replace") + b"\0")
    digest.update(req.body)
    return digest.hexdigest()


@attrs.define
class Returns:
    """When each refused request was refused first."""

    _clock: clocks.Clock
    _since_s: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )
    _own: collections.deque[tuple[float, str]] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_TOLD)
    )

    def refused(self, fp: str) -> None:
        """Note an own refusal."""
        self._own.append((self._clock.monotonic(), fp))
        self.heard([fp])

    def heard(self, fps: Iterable[str]) -> None:
        """Note refusals of another node."""
        now_s = self._clock.monotonic()
        for fp in fps:
            self._since_s.setdefault(fp, now_s)
        while self._since_s and (
            len(self._since_s) > MAX_KEPT or self._is_over(now_s)
        ):
            self._since_s.popitem(last=False)

    def waited_s(self, fp: str) -> float:
        """Return how long ago a request was refused first, 0 if it was not."""
        since_s = self._since_s.get(fp)
        if since_s is None:
            return 0.0
        age_s = self._clock.monotonic() - since_s
        return age_s if age_s <= LIFETIME_S else 0.0

    def told(self) -> list[str]:
        """Return own refusals that other nodes should know."""
        oldest_s = self._clock.monotonic() - LIFETIME_S
        return [fp for since_s, fp in self._own if since_s >= oldest_s]

    def _is_over(self, now_s: float) -> bool:
        oldest_s = next(iter(self._since_s.values()))
        return now_s - oldest_s > LIFETIME_S
