"""Limit the suspicions that a process keeps.

Suspicions are dropped in this order: cleared ones, those of subjects with few
crashes, and those of subjects in quarantine, whose crashes and tests are
dropped together. Within each class the oldest go first.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable

import attrs

from balsamlug import suspicions
from balsamlug import tables

# All suspicions, with names of the greatest length (200 characters of 4 bytes),
# fit in the write buffer of a link between nodes.
MAX_SUSPICIONS = 2_048
# Dropped at once, since each drop sorts all suspicions.
DROP_BATCH = 256
# Those of about six crashes, at 41 a crash (32 requests, 9 parts).
LAST_KEPT = 256
# Names of dropped suspicions take at most a few MB.
MAX_DROPPED = 8 * MAX_SUSPICIONS
# Ages exclude the time in transit: copies of a suspicion seem to be up to this
# time newer. Suspicions reach every node within 1 s.
MAX_AGE_ERROR_S = 5.0
MAX_RETENTION_S = 2 * suspicions.MAX_LIFETIME_S

_Rank = tuple[int, float]


@attrs.define
class Dropped:
    """Suspicions that were dropped to keep the limit.

    Attributes:
      floor_s: unknown suspicions from before this time may have been dropped.
    """

    floor_s: float = float("-inf")
    _entries: dict[str, tables.Suspicion] = attrs.field(factory=dict)

    def is_new(self, suspicion: tables.Suspicion) -> bool:
        """Return whether a suspicion that is not kept was not dropped."""
        known = self._entries.get(suspicion.fingerprint)
        if known is not None:
            return suspicion.crashes > known.crashes
        return suspicion.seen_at_s > self.floor_s

    def has_entries(self) -> bool:
        """Return whether suspicions were dropped that have not expired."""
        return bool(self._entries)

    def limit(self, kept: dict[str, tables.Suspicion]) -> None:
        """Drop suspicions when there are too many, but not the last ones.

        A subject that is about to be quarantined still has few crashes.
        """
        if len(kept) <= MAX_SUSPICIONS:
            return
        ranks = _ranks(kept.values())
        candidates = list(kept)[:-LAST_KEPT]
        for name in sorted(candidates, key=ranks.__getitem__)[:DROP_BATCH]:
            self._entries.pop(name, None)
            self._entries[name] = kept.pop(name)
        while len(self._entries) > MAX_DROPPED:
            oldest = self._entries.pop(next(iter(self._entries)))
            seen_s = oldest.seen_at_s + MAX_AGE_ERROR_S
            self.floor_s = max(self.floor_s, seen_s)

    def expire(self, oldest_s: float) -> None:
        """Forget suspicions from before a time, which peers forget as well."""
        oldest_s -= MAX_AGE_ERROR_S
        self._entries = {
            name: suspicion
            for name, suspicion in self._entries.items()
            if suspicion.seen_at_s >= oldest_s
        }


def expired(kept: Collection[tables.Suspicion], now_s: float) -> list[str]:
    """Return the names of suspicions that are no longer of use.

    Those of a quarantined subject are of use together.
    """
    oldest_s = now_s - suspicions.LIFETIME_S
    if all(suspicion.seen_at_s >= oldest_s for suspicion in kept):
        return []
    crashes: dict[str, list[float]] = collections.defaultdict(list)
    names = {s.fingerprint: suspicions.parse(s.fingerprint) for s in kept}
    for suspicion in kept:
        name = names[suspicion.fingerprint]
        is_cleared = suspicion.crashes >= suspicions.CLEARED
        if name.kind is suspicions.Kind.CRASH and not is_cleared:
            key = suspicions.key(name.subject)
            crashes[key].append(suspicion.seen_at_s)
    result = []
    for suspicion in kept:
        subject = names[suspicion.fingerprint].subject
        times = crashes.get(suspicions.key(subject), [])
        known_s = suspicion.seen_at_s
        if len(times) >= suspicions.QUARANTINED:
            known_s = max(known_s, *times)
        if known_s < now_s - suspicions.retention_s(len(times)):
            result.append(suspicion.fingerprint)
    return result


def _ranks(kept: Iterable[tables.Suspicion]) -> dict[str, _Rank]:
    ranks: dict[str, _Rank] = {}
    crashes, tests = (
        collections.defaultdict(list),
        collections.defaultdict(list),
    )
    for suspicion in kept:
        name = suspicions.parse(suspicion.fingerprint)
        if suspicion.crashes >= suspicions.CLEARED:
            ranks[suspicion.fingerprint] = 0, suspicion.seen_at_s
        elif name.kind is suspicions.Kind.CRASH:
            crashes[suspicions.key(name.subject)].append(suspicion)
        else:
            tests[suspicions.key(name.subject)].append(suspicion)
    for subject in crashes.keys() | tests.keys():
        ranks |= _subject_ranks(crashes[subject], tests[subject])
    return ranks


def _subject_ranks(
    crashes: list[tables.Suspicion], tests: list[tables.Suspicion]
) -> dict[str, _Rank]:
    ranks = {s.fingerprint: (1, s.seen_at_s) for s in (*crashes, *tests)}
    if len(crashes) < suspicions.QUARANTINED:
        return ranks
    # More crashes than these do not change how a subject is treated.
    newest = sorted(crashes, key=lambda s: s.seen_at_s)[-suspicions.UNTESTED :]
    rank = 2, newest[-1].seen_at_s
    return ranks | {s.fingerprint: rank for s in (*newest, *tests)}
