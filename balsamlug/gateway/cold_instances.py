"""Table of the instances that are cold, from the list of instances.

An entry of the list states how long its instance remains cold, as of the time
at which the instance wrote it. Instances write their entries about every 1.2 s,
and a complete list may contain older ones. The table keeps the latest end that
any recent entry states, so that an old or delayed entry does not end the
coldness early.
"""

from collections.abc import Iterable
import enum

import attrs

from balsamlug import clock as clocks
from balsamlug import tables

# Ends that entries stated are kept for this time after a newer entry. It covers
# three refreshes, and the time for which a restored store may hold entries of
# before the restoration.
OBSERVATION_LIFETIME_S = 5.0
# An entry that is repeated after its end may be old, or its instance may have
# become cold again. Instances write another value within this time, so that it
# is not needed to wait for longer.
REPEATED_ENTRY_S = 3.0


class Change(enum.StrEnum):
    """How an instance became cold."""

    STARTED = "started"
    # In place of an earlier process, which may have been sent requests.
    RESTARTED = "restarted"
    COLD_AGAIN = "cold_again"


@attrs.define
class Cold:
    """What the table knows of one cold instance.

    Attributes:
      entry: the last entry of the instance.
      sent: number of requests that this node has sent to it.
      ends_s: when entries were received, and the end that they stated.
    """

    instance: str
    service: str
    since_s: float
    entry: tables.Instance
    sent: int = 0
    ends_s: list[tuple[float, float]] = attrs.field(factory=list)

    def until_s(self, now_s: float) -> float:
        """Return when the instance is warm."""
        oldest_s = now_s - OBSERVATION_LIFETIME_S
        last = self.ends_s[-1]
        self.ends_s = [e for e in self.ends_s if e[0] >= oldest_s] or [last]
        return max(end_s for _, end_s in self.ends_s)


@attrs.define
class ColdInstances:
    """Cold instances by key, and the keys of instances known as warm."""

    _cold: dict[bytes, Cold] = attrs.field(factory=dict)
    # Last entry of each instance that was or is warm.
    _warm: dict[bytes, tables.Instance] = attrs.field(factory=dict)

    def observe(
        self, key: bytes, entry: tables.Instance, now_s: float
    ) -> Change | None:
        """Record an entry; return how its instance became cold, if it did."""
        left_s = entry.warmup_left_ms / clocks.MS_PER_S
        cold = self._cold.get(key)
        if cold is not None:
            # An entry that is equal to the one before tells nothing new.
            if entry != cold.entry or cold.until_s(now_s) <= now_s:
                if entry == cold.entry:
                    left_s = min(left_s, REPEATED_ENTRY_S)
                cold.ends_s.append((now_s, now_s + left_s))
                cold.entry = entry
            return None
        former = self._warm.get(key)
        self._warm[key] = entry
        if not left_s:
            return None
        if former is not None and former == entry:
            left_s = min(left_s, REPEATED_ENTRY_S)
        self._cold[key] = Cold(entry.id, entry.service, now_s, entry)
        self._cold[key].ends_s.append((now_s, now_s + left_s))
        if former is not None:
            return Change.COLD_AGAIN
        return Change.RESTARTED if self._has_other(key) else Change.STARTED

    def _has_other(self, key: bytes) -> bool:
        """Return whether another process of an instance is in the table."""
        name = self._cold[key].instance
        known = {k: c.entry for k, c in self._cold.items()} | self._warm
        return any(k != key and e.id == name for k, e in known.items())

    def find(self, key: bytes, now_s: float) -> Cold | None:
        """Return an instance that is cold now, None if it is warm."""
        cold = self._cold.get(key)
        if cold is None or cold.until_s(now_s) <= now_s:
            return None
        return cold

    @property
    def is_empty(self) -> bool:
        """Return whether no instance is known as cold."""
        return not self._cold

    @property
    def warm_count(self) -> int:
        """Return the number of instances of which a last entry is kept."""
        return len(self._warm)

    def count(self, key: bytes) -> None:
        """Count a request to an instance."""
        if key in self._cold:
            self._cold[key].sent += 1

    def expire(self, now_s: float) -> list[tuple[bytes, Cold]]:
        """Remove the instances that are warm now and return them."""
        ended = [
            (key, cold)
            for key, cold in self._cold.items()
            if cold.until_s(now_s) <= now_s
        ]
        for key, cold in ended:
            del self._cold[key]
            self._warm[key] = cold.entry
        return ended

    def retain(self, keys: Iterable[bytes]) -> None:
        """Forget the warm instances that are not in the list."""
        listed = set(keys)
        self._warm = {k: e for k, e in self._warm.items() if k in listed}
