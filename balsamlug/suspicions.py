"""Names and states of suspicions, which nodes tell each other.

A suspicion is about one subject of requests: a crash of a server in which it
was in flight, a check whether such a server has crashed, a test of it, or an
earlier proof that it is sound.
"""

from collections.abc import Iterable
import enum
import functools
import hashlib
import re
import struct

import attrs

# Crash count of a suspicion that is not cleared; the count of a cleared one is
# higher and replaces it.
SUSPECTED = 1
CLEARED = 2
# Crashes from which a subject is refused, and from which it is not tested; see
# `Limits`.
QUARANTINED = 3
UNTESTED = 5
# Crashes count for this time, and longer for a subject that crashed servers
# again after that.
LIFETIME_S = 3600.0
MAX_LIFETIME_S = 24 * 3600.0


# Start of the subjects that are parts of prompts, and of those among them that
# are hashes of parts.
PART = "part:"
HASHED_PART = f"{PART}~"
PART_BYTES = 4
_HASHED = re.compile(rf"{HASHED_PART}[0-9a-f]{{{2 * PART_BYTES}}}")
KNOWN_KEYS = 16_384


class Kind(enum.StrEnum):
    """What a suspicion is about; the value separates subject and event."""

    CRASH = "@"
    CHECK = "%"
    TEST = "?"
    PROOF = "!"


@attrs.frozen
class Name:
    """Parts of the name of a suspicion.

    Attributes:
      event: id of the crash, of the crash that is checked, or of the test;
        empty for a proof.
    """

    subject: str
    kind: Kind
    event: str = ""

    def __str__(self) -> str:
        return f"{self.subject}{self.kind}{self.event}"


def parse(name: str) -> Name:
    """Return the parts of a name; one without a separator is of a crash."""
    found = [kind for kind in Kind if kind in name]
    if not found:
        return Name(name, Kind.CRASH)
    # An event may contain other separators.
    kind = min(found, key=name.index)
    subject, _, event = name.partition(kind)
    return Name(subject, kind, event)


@functools.lru_cache(KNOWN_KEYS)
def key(subject: str) -> str:
    """Return the name under which the crashes of a subject are counted.

    That of a part contains its hash, as nodes may only know that.
    """
    if not subject.startswith(PART):
        return subject
    if subject.startswith(HASHED_PART) and _HASHED.fullmatch(subject):
        return subject
    name = subject.removeprefix(PART).encode("utf-8", "replace")
    digest = hashlib.blake2b(name, digest_size=PART_BYTES)
    return f"{HASHED_PART}{digest.hexdigest()}"


def part_hash(subject: str) -> int:
    """Return the hash of a part, the subject of a suspicion."""
    return int(key(subject).removeprefix(HASHED_PART), 16)


def hashed_part(number: int) -> str:
    """Return the subject of the part with a hash."""
    return f"{HASHED_PART}{number:0{2 * PART_BYTES}x}"


def pack_parts(numbers: Iterable[int]) -> bytes:
    """Return the packed hashes of parts."""
    return b"".join(n.to_bytes(PART_BYTES, "big") for n in numbers)


def unpack_parts(data: bytes) -> frozenset[int]:
    """Return the hashes in packed bytes."""
    return frozenset(number for (number,) in struct.iter_unpack(">I", data))


def lifetime_s(crashes: int) -> float:
    """Return how long the crashes of a subject count after the last one.

    It doubles with each crash of a subject that was quarantined before.
    """
    doublings = max(0, crashes - UNTESTED)
    return min(MAX_LIFETIME_S, LIFETIME_S * 2.0 ** min(doublings, 10))


def retention_s(crashes: int) -> float:
    """Return how long the crashes of a subject are known after the last one.

    While they no longer count, one more crash quarantines the subject again.
    """
    if crashes < QUARANTINED:
        return LIFETIME_S
    return 2 * lifetime_s(crashes)


def crash_id(group: str, generation: int | str) -> str:
    """Return the id of a crash, equal for all requests and nodes."""
    return f"{group}:{generation}"


@attrs.frozen
class Limits:
    """Numbers of crashes of one subject.

    Attributes:
      quarantined: crashes from which requests with the subject are refused.
        The failure of a failure domain can interrupt a stream and its retry
        without being caused by them.
      untested: crashes from which a subject is not tested, unless it is a part
        that was sound before or that shares its crashes with other parts. The
        platform tolerates three requests with a part after five crashes, and
        three retries of a request after three.
      late_tests: tests of such a part, by few nodes.
    """

    quarantined: int = QUARANTINED
    untested: int = UNTESTED
    late_tests: int = 2
