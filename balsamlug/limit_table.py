"""What a node knows of limited servers: their limits, and what they have got.

The counts of requests decay exponentially, so that their sum over all nodes is
the count of the fleet.
"""

from collections.abc import Callable
from collections.abc import Sequence
import functools
import hashlib
import math

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import tables

# Range of the time in which a count decays to 1/e. A longer time is needed when
# counts are exchanged late. After an idle time, a server gets a burst of the
# rate times this; the platform tolerates twice the rate in 4 s.
MIN_DECAY_S = 1.0
MAX_DECAY_S = 2.0
# Lets a server that states a very low rate get a request now and then, so that
# a higher rate is noticed.
MIN_RATE = 0.25
MAX_RATE = 1e6
# Counts of other nodes expire after this time.
COUNT_LIFETIME_S = 2.0
# A limit that no answer has confirmed for this time is forgotten.
LIMIT_LIFETIME_S = 600.0
# Ages do not include the time that a datagram takes. Without this tolerance, an
# observation that nodes send to and fro would become newer than later ones.
MAX_TRANSIT_S = 0.1
# An observation is sent to other nodes for this time, and counts above this.
REPORTED_S = 3.0
MIN_REPORTED = 0.05
# Own counts below this are dropped. It is far below the steady count of an
# equal share of the lowest rate.
MIN_KEPT = 1e-30
KEY_BYTES = 6
MAX_KEYS = 4096


@functools.lru_cache(MAX_KEYS)
def server_key(name: str, incarnation: str) -> bytes:
    """Return the key of one incarnation of a server."""
    text = f"{len(name)}:{name}{incarnation}".encode("utf-8", "replace")
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()


def instance_key(instance: tables.Instance) -> bytes:
    """Return the key of an instance."""
    return server_key(instance.id, instance.incarnation)


def parse(raw: str) -> float | None:
    """Return a rate in requests per second, None if there is no valid one."""
    try:
        rate = float(raw)
    except ValueError:
        return None
    return rate if 0 <= rate <= MAX_RATE else None


@attrs.frozen
class Entry:
    """What a node knows of a limited server.

    Attributes:
      rate: stated requests per second, None if the limit has ended.
      age_s: time since the answer that states it.
      recent: decayed count of the requests of the node, or of several nodes.
    """

    key: bytes
    rate: float | None
    age_s: float
    recent: float


@attrs.define
class Count:
    """Exponentially decaying count of events."""

    value: float
    at_s: float

    def at(self, now_s: float, decay_s: float, lag_s: float = 0.0) -> float:
        """Return the count at a time.

        Args:
          lag_s: time after which the count begins to decay.
        """
        passed_s = max(0.0, now_s - self.at_s - lag_s)
        return self.value * math.exp(-passed_s / decay_s)

    def add(self, number: float, now_s: float, decay_s: float) -> None:
        """Add events that happen now."""
        self.value = max(0.0, self.at(now_s, decay_s) + number)
        self.at_s = now_s


@attrs.define
class _Limit:
    """Limit of a server.

    Attributes:
      observed_s: time of the answer that states it.
      reported_until_s: until when other nodes are told of it in any case.
    """

    rate: float | None
    observed_s: float
    reported_until_s: float = float("-inf")


@attrs.define(eq=False)
class LimitTable:
    """Limits of servers and the requests that they have got.

    Attributes:
      lag_s: returns how late the counts of other nodes are.
      heard_s: time of the last report of another node.
    """

    _clock: clocks.Clock
    lag_s: Callable[[], float] = lambda: 0.0
    heard_s: float = float("-inf")
    _limits: dict[bytes, _Limit] = attrs.field(factory=dict)
    _sent: dict[bytes, Count] = attrs.field(factory=dict)
    # Sender -> the counts of its last report by server.
    _peers: dict[str, dict[bytes, Count]] = attrs.field(factory=dict)
    # Server -> the last sum of all other nodes.
    _sums: dict[bytes, Count] = attrs.field(factory=dict)

    def decay_s(self) -> float:
        """Return the time in which counts decay to 1/e."""
        return min(MAX_DECAY_S, max(MIN_DECAY_S, 2 * self.lag_s()))

    def observe(self, key: bytes, rate: float | None, name: str = "") -> None:
        """Record the limit in an answer of a server, None for no limit.

        Args:
          name: id of the server, for the log. Nodes exchange keys only.
        """
        if rate is None and key not in self._limits:
            return
        now_s = self._clock.monotonic()
        self._set(key, rate, now_s, "answer", name)
        self._limits[key].reported_until_s = now_s + REPORTED_S

    def rate(self, key: bytes) -> float | None:
        """Return the rate of a server, None if it has no limit."""
        limit = self._limits.get(key)
        if limit is None or limit.rate is None:
            return None
        return max(MIN_RATE, limit.rate)

    def record_sent(self, key: bytes) -> None:
        """Count a request to a server."""
        self._add(key, 1)

    def withdraw(self, key: bytes) -> None:
        """Stop counting a request that did not reach the server."""
        self._add(key, -1)

    def own(self, key: bytes, now_s: float, decay_s: float) -> float:
        """Return the count of this node."""
        count = self._sent.get(key)
        return 0.0 if count is None else count.at(now_s, decay_s)

    def others(
        self, key: bytes, now_s: float, decay_s: float, lag_s: float
    ) -> float:
        """Return the count of all other nodes.

        A report is taken as it was sent for the usual lag: what has decayed
        since then is probably replaced by what they have sent.
        """
        counts = [self._sums.get(key)]
        if not _is_fresh(counts[0], now_s):
            counts = [report.get(key) for report in self._peers.values()]
        return sum(
            count.at(now_s, decay_s, lag_s)
            for count in counts
            if _is_fresh(count, now_s)
        )

    def local_entries(self) -> list[Entry]:
        """Return what other nodes must know of this node."""
        now_s = self._clock.monotonic()
        decay_s = self.decay_s() if self._limits else MIN_DECAY_S
        entries = []
        for key, limit in self._limits.items():
            is_limited = limit.rate is not None
            recent = self.own(key, now_s, decay_s) if is_limited else 0.0
            if recent >= MIN_REPORTED or now_s < limit.reported_until_s:
                age_s = now_s - limit.observed_s
                entries.append(Entry(key, limit.rate, age_s, recent))
        return entries

    def update_peer(self, node: str, entries: Sequence[Entry]) -> None:
        """Apply the complete report of another node."""
        now_s = self.heard_s = self._clock.monotonic()
        self._peers[node] = {e.key: Count(e.recent, now_s) for e in entries}
        self._merge(entries, now_s)

    def update_sum(self, entries: Sequence[Entry]) -> None:
        """Apply a part of the sums of all other nodes, from a hub."""
        now_s = self.heard_s = self._clock.monotonic()
        for entry in entries:
            self._sums[entry.key] = Count(entry.recent, now_s)
        self._merge(entries, now_s)

    def expire(self) -> None:
        """Remove expired limits and counts."""
        now_s = self._clock.monotonic()
        decay_s = self.decay_s()
        self._sent = {
            key: count
            for key, count in self._sent.items()
            if count.at(now_s, decay_s) >= MIN_KEPT
        }
        self._limits = {
            key: limit
            for key, limit in self._limits.items()
            if now_s - limit.observed_s < LIMIT_LIFETIME_S
        }
        self._sums = _unexpired(self._sums, now_s)
        reports = {n: _unexpired(r, now_s) for n, r in self._peers.items()}
        self._peers = {
            node: report for node, report in reports.items() if report
        }

    def _add(self, key: bytes, number: float) -> None:
        now_s = self._clock.monotonic()
        count = self._sent.setdefault(key, Count(0.0, now_s))
        count.add(number, now_s, self.decay_s())

    def _merge(self, entries: Sequence[Entry], now_s: float) -> None:
        for entry in entries:
            observed_s = now_s - entry.age_s
            known = self._limits.get(entry.key)
            if known is None or observed_s > known.observed_s + MAX_TRANSIT_S:
                self._set(entry.key, entry.rate, observed_s, "node")

    def _set(
        self,
        key: bytes,
        rate: float | None,
        observed_s: float,
        source: str,
        name: str = "",
    ) -> None:
        known = self._limits.setdefault(key, _Limit(None, observed_s))
        if known.rate != rate:
            age_s = self._clock.monotonic() - observed_s
            eliot.log_message(
                "limit_changed",
                key=key.hex(),
                server=name,
                rate=rate,
                previous=known.rate,
                age_ms=round(age_s * clocks.MS_PER_S),
                source=source,
            )
        known.rate, known.observed_s = rate, observed_s


def _is_fresh(count: Count | None, now_s: float) -> bool:
    return count is not None and now_s - count.at_s <= COUNT_LIFETIME_S


def _unexpired(counts: dict[bytes, Count], now_s: float) -> dict[bytes, Count]:
    return {k: count for k, count in counts.items() if _is_fresh(count, now_s)}
