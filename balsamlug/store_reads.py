"""Who reads the object API for the fleet, and who takes over.

Nodes are ranked within their failure domain. The first ones, of tier 0, always
read; they state their reads to all nodes. Each further tier is twice as large
and reads while it has heard of no read by the tiers before it for some time:
the object API may refuse these nodes and serve others. A tier that is refused,
too, delays the next one only by a step, because no tier waits for the failure
of another one to be reported.
"""

import random

import attrs

from balsamlug import clock as clocks
from balsamlug.messages import types

READERS_PER_DOMAIN = 2
# Time without a read after which the first further tier reads. In calm, a read
# is heard of every 3 s at the latest: readers read the configuration every
# 1.8 s, and a read that follows another one within 1 s is not passed on.
SILENCE_S = 3.5
STEP_S = 0.5
MIN_INTERVAL_S = 1.0
# Statements are forgotten after this time, and older ones are invalid.
MAX_AGE_S = 60.0
READER_BYTES = 6
# Half of 2^32 nodes.
MAX_TIER = 31


def tier(rank: int) -> int:
    """Return the tier of a rank, counted from 0 within a failure domain."""
    return (rank // READERS_PER_DOMAIN).bit_length()


def new_reader(rng: random.Random) -> bytes:
    """Return a name for this process in its statements."""
    return rng.randbytes(READER_BYTES)


@attrs.frozen
class _Statement:
    """A read that a node has stated.

    Attributes:
      tick: number of the statement at that node.
      read_s: monotonic time of the read.
    """

    reader: bytes
    tick: int
    read_s: float


@attrs.define
class StoreReads:
    """Reads of the object API that nodes have stated.

    Attributes:
      started_s: monotonic time from which statements were heard.
      _last: tier -> newest statement.
      _heard: reader -> number and time of its last statement. A statement that
        arrives again, through a node that was paused, is not newer than the
        first one.
    """

    started_s: float = float("-inf")
    _last: dict[int, _Statement] = attrs.field(factory=dict)
    _heard: dict[bytes, tuple[int, float]] = attrs.field(factory=dict)

    def record(self, message: types.StoreRead, now_s: float) -> bool:
        """Record a statement and return whether to pass it on."""
        known_tick, _ = self._heard.get(message.reader, (0, 0.0))
        if message.tick <= known_tick:
            return False
        self._heard[message.reader] = message.tick, now_s
        read_s = now_s - message.age_ms / clocks.MS_PER_S
        known = self._last.get(message.tier)
        if known is not None and read_s < known.read_s + MIN_INTERVAL_S:
            return False
        self._last[message.tier] = _Statement(
            message.reader, message.tick, read_s
        )
        return True

    def message(self, number: int, now_s: float) -> types.StoreRead | None:
        """Return the newest statement of a tier, None if it is too old."""
        last = self._last.get(number)
        if last is None or now_s - last.read_s >= MAX_AGE_S:
            return None
        age_ms = int((now_s - last.read_s) * clocks.MS_PER_S)
        return types.StoreRead(last.reader, number, last.tick, max(0, age_ms))

    def is_due(self, number: int, now_s: float) -> bool:
        """Return whether nodes of a tier are to read the object API."""
        if not number:
            return True
        read_s = [
            last.read_s for other, last in self._last.items() if other < number
        ]
        silent_s = now_s - max(self.started_s, *read_s, float("-inf"))
        return silent_s >= SILENCE_S + (number - 1) * STEP_S

    def expire(self, now_s: float) -> None:
        """Forget the processes that have stated nothing for long."""
        self._heard = {
            reader: (tick, heard_s)
            for reader, (tick, heard_s) in self._heard.items()
            if now_s - heard_s < MAX_AGE_S
        }
