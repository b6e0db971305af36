"""Recently refused requests of this node and of other nodes.

A caller that retries after a refusal uses a new request id and may reach
another node, but it sends the same request. A fingerprint recognises the retry,
so that placement can count the time since the first refusal.
"""

import collections
from collections.abc import Iterable
import hashlib

import attrs

from balsamlug import clock as clocks
from balsamlug.gateway import messages

DIGEST_BYTES = 8
# Callers retry within a third of their deadline; the longest deadline is 8 s.
LIFETIME_S = 3.0
# Maximum number of refusals in one datagram; the newest ones are sent.
MAX_REPORTED = 200
MAX_ENTRIES = 20_000


def fingerprint(req: messages.CallerRequest) -> str:
    """Return a digest that is equal for retries of the same request."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (req.method, req.target, req.metadata.key):
        digest.update(part.encode("utf-8", "replace") + b"\0")
    digest.update(req.body)
    return digest.hexdigest()


@attrs.define
class RecentRefusals:
    """Time of the first refusal of each request that was refused recently."""

    _clock: clocks.Clock
    _refused_s: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )
    _local: collections.deque[tuple[float, str]] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_REPORTED)
    )

    def record(self, fp: str) -> None:
        """Record a refusal by this node."""
        self._local.append((self._clock.monotonic(), fp))
        self.merge([fp])

    def merge(self, fps: Iterable[str]) -> None:
        """Record refusals; those of other nodes arrive in datagrams."""
        now_s = self._clock.monotonic()
        for fp in fps:
            self._refused_s.setdefault(fp, now_s)
        while self._refused_s and (
            len(self._refused_s) > MAX_ENTRIES or self._oldest_expired(now_s)
        ):
            self._refused_s.popitem(last=False)

    def waited_s(self, fp: str) -> float:
        """Return the time since a request was first refused, 0 if never."""
        since_s = self._refused_s.get(fp)
        if since_s is None:
            return 0.0
        age_s = self._clock.monotonic() - since_s
        return age_s if age_s <= LIFETIME_S else 0.0

    def recent_local(self) -> list[str]:
        """Return the recent refusals by this node, for other nodes."""
        oldest_s = self._clock.monotonic() - LIFETIME_S
        return [fp for since_s, fp in self._local if since_s >= oldest_s]

    def _oldest_expired(self, now_s: float) -> bool:
        oldest_s = next(iter(self._refused_s.values()))
        return now_s - oldest_s > LIFETIME_S
