"""Encoding and sums of the entries about rate-limited servers in datagrams."""

from collections.abc import Iterable
from collections.abc import Sequence
import math
import struct

import attrs

from balsamlug import limit_table

AGE_UNIT_S = 0.02
MAX_AGE = 2**16 - 1
MAX_RECENT = 1e6
_ENTRY = struct.Struct(f">{limit_table.KEY_BYTES}sfHf")
ENTRY_BYTES = _ENTRY.size
# Budget of a node for control traffic, of which a large fleet may use all for
# these entries while servers are limited.
BYTES_PER_S = 4000.0


def pack(entries: Iterable[limit_table.Entry]) -> bytes:
    """Return the encoded entries; an ended limit has no number as its rate."""
    return b"".join(
        _ENTRY.pack(
            entry.key,
            math.nan if entry.rate is None else entry.rate,
            min(MAX_AGE, max(0, math.ceil(entry.age_s / AGE_UNIT_S))),
            max(0.0, entry.recent),
        )
        for entry in entries
    )


def unpack(data: bytes) -> list[limit_table.Entry]:
    """Return the decoded entries.

    Raises:
      ValueError: the data is malformed.
    """
    if len(data) % ENTRY_BYTES:
        raise ValueError("incomplete entry of a rate limit")
    return [_entry(*fields) for fields in _ENTRY.iter_unpack(data)]


def _entry(
    key: bytes, rate: float, age: int, recent: float
) -> limit_table.Entry:
    if not 0 <= recent <= MAX_RECENT:
        raise ValueError("number of recent requests out of range")
    if math.isnan(rate):
        return limit_table.Entry(key, None, age * AGE_UNIT_S, recent)
    if not 0 <= rate <= limit_table.MAX_RATE:
        raise ValueError("rate limit out of range")
    return limit_table.Entry(key, rate, age * AGE_UNIT_S, recent)


def add(
    reports: Iterable[Sequence[limit_table.Entry]],
) -> dict[bytes, limit_table.Entry]:
    """Return the sums of the counts, with the newest limit of each server."""
    sums: dict[bytes, limit_table.Entry] = {}
    for entries in reports:
        for entry in entries:
            known = sums.get(entry.key)
            if known is None:
                sums[entry.key] = entry
                continue
            newer = entry if entry.age_s < known.age_s else known
            recent = known.recent + entry.recent
            sums[entry.key] = attrs.evolve(newer, recent=recent)
    return sums


def without(
    sums: dict[bytes, limit_table.Entry], own: Iterable[limit_table.Entry]
) -> dict[bytes, limit_table.Entry]:
    """Return sums from which the counts of one node are subtracted."""
    rest = dict(sums)
    for entry in own:
        total = rest[entry.key]
        recent = max(0.0, total.recent - entry.recent)
        rest[entry.key] = attrs.evolve(total, recent=recent)
    return rest


def later(
    entries: Iterable[limit_table.Entry], passed_s: float
) -> list[limit_table.Entry]:
    """Return entries as of a later time."""
    return [attrs.evolve(e, age_s=e.age_s + passed_s) for e in entries]


@attrs.define
class Rotation:
    """Chooses the entries of each datagram of a hub, all of them in turn."""

    _next: int = 0

    def take(
        self,
        entries: dict[bytes, limit_table.Entry],
        interval_s: float,
        senders: int,
    ) -> list[bytes]:
        """Return the keys of the entries that the next datagram carries.

        Args:
          interval_s: time between two datagrams of each of the senders.
        """
        keys = sorted(entries)
        budget_bytes = BYTES_PER_S * interval_s / senders
        count = max(1, int(budget_bytes / ENTRY_BYTES))
        if len(keys) <= count:
            return keys
        first = self._next % len(keys)
        self._next = first + count
        return (keys + keys)[first : first + count]
