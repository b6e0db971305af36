"""Compact refreshes of group reports that did not change.

A prober sends a report in full when its content changes. While the content
remains the same, the prober sends an entry of ten bytes: a key, which is a
hash of everything except age and load, a tick, the age and the load.
"""

from collections.abc import Iterable
import hashlib
import math
import struct

import attrs
import msgpack

from balsamlug import exceptions
from balsamlug.messages import types

# After a hash collision, refreshes of one report would also extend the lifetime
# of another. With 300 reports and 48 bits, the probability is less than one in
# a billion.
KEY_BYTES = 6
AGE_UNIT_MS = 20
BYTE_MAXIMUM = 255
TICK_MODULUS = 256
_ENTRY = struct.Struct(f">{KEY_BYTES}sBBBB")
ENTRY_BYTES = _ENTRY.size


@attrs.frozen
class Entry:
    """Refresh of one unchanged report.

    Attributes:
      tick: lowest byte of the tick counter of the prober.
      running, queued: load, scaled to a byte if the capacity exceeds 255.
    """

    key: bytes
    tick: int
    age_ms: int
    running: int
    queued: int


def report_key(report: types.GroupReport) -> bytes:
    """Return a hash of the fields that a refresh does not contain."""
    content = (
        report.group_id,
        report.prober,
        report.deployment,
        report.generation,
        report.ready,
        report.definite,
        report.reason,
        report.head_address,
        report.load[2],
    )
    packed = msgpack.packb(content)
    return hashlib.blake2b(packed, digest_size=KEY_BYTES).digest()


def entry(key: bytes, tick: int, load: list[int], age_ms: float) -> Entry:
    """Return the refresh of a report for a tick, a load and an age."""
    running, queued, capacity = load[:3]
    return Entry(
        key,
        tick % TICK_MODULUS,
        max(0, int(age_ms)),
        _scaled(running, capacity),
        _scaled(queued, capacity),
    )


def expand_tick(known: int, update: Entry) -> int:
    """Return the full tick of a refresh that follows a known tick."""
    return known + (update.tick - known) % TICK_MODULUS


def expand_load(known: list[int], update: Entry) -> list[int]:
    """Return a known load with the values of a refresh."""
    capacity = known[2]
    running = _unscaled(update.running, capacity)
    return [running, _unscaled(update.queued, capacity), *known[2:]]


def is_newer(known: int, update: Entry) -> bool:
    """Return whether a refresh is later than a known tick."""
    return 0 < (update.tick - known) % TICK_MODULUS < TICK_MODULUS // 2


def pack(entries: Iterable[Entry]) -> bytes:
    """Return the packed entries; ages are rounded up."""
    return b"".join(
        _ENTRY.pack(
            item.key,
            item.tick,
            min(BYTE_MAXIMUM, math.ceil(item.age_ms / AGE_UNIT_MS)),
            item.running,
            item.queued,
        )
        for item in entries
    )


def unpack(data: bytes) -> list[Entry]:
    """Return the entries that packed bytes contain.

    Raises:
      MessageRejected: the length is not a multiple of the entry size.
    """
    if len(data) % ENTRY_BYTES:
        raise exceptions.MessageRejected("truncated")
    return [
        Entry(key, tick, age * AGE_UNIT_MS, running, queued)
        for key, tick, age, running, queued in _ENTRY.iter_unpack(data)
    ]


def _scaled(value: int, capacity: int) -> int:
    if capacity > BYTE_MAXIMUM:
        value = round(value * BYTE_MAXIMUM / capacity)
    return max(0, min(BYTE_MAXIMUM, value))


def _unscaled(value: int, capacity: int) -> int:
    if capacity > BYTE_MAXIMUM:
        return round(value * capacity / BYTE_MAXIMUM)
    return value
