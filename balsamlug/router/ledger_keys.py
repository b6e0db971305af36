"""Map an idempotency key to the ledger object that holds its entry."""

import hashlib
import uuid

import attrs

from balsamlug import exceptions

SLOT_MS = 60_000
# 12 routers had 401 write conflicts in 600 calls at 150 calls/s with 16 shards,
# and 22 with 256 shards (bench/ledger.py).
SHARDS = 256
# Opaque keys share 4,096 objects, so that the entries of a million keys take
# about 15 KB in each object.
PREFIX_HEX_DIGITS = 3
KEY_HASH_HEX_DIGITS = 32
MAX_KEY_CHARS = 255
MS_PER_HOUR = 3_600_000
# A caller's clock may be ahead of this node's clock by this much. A key with a
# later time is refused.
MAX_AHEAD_MS = 300_000
UUID_VERSION_WITH_TIME = 7
_UUID7_TIME_SHIFT = 80


@attrs.frozen
class LedgerKey:
    """Location of one idempotency key in the ledger.

    Attributes:
      object_name: the only object that may hold the key.
      key_hash: name of the entry in that object.
    """

    object_name: str
    key_hash: str


def locate(
    customer: str, service: str, key: str, now_ms: int, retention_hours: int
) -> LedgerKey:
    """Return the location of a key.

    A UUIDv7 key (RFC 9562) carries the time that selects its slot. Any other
    key is opaque and has a location that does not depend on time.

    Args:
      now_ms: wall clock of this node; it only decides whether a key is
        refused, see section 6.1 of the design page.

    Raises:
      MalformedRequest: the key is empty, too long or from the future.
      KeyExpired: the key is older than the retention.
    """
    if not 0 < len(key) <= MAX_KEY_CHARS:
        raise exceptions.MalformedRequest(
            f"Idempotency-Key must have 1 to {MAX_KEY_CHARS} characters"
        )
    key_hash = _hash(customer, service, key)
    issued_at_ms = issue_time_ms(key)
    if issued_at_ms is None:
        return LedgerKey(f"k-{key_hash[:PREFIX_HEX_DIGITS]}", key_hash)
    if issued_at_ms > now_ms + MAX_AHEAD_MS:
        raise exceptions.MalformedRequest("Idempotency-Key is from the future")
    if issued_at_ms < now_ms - retention_hours * MS_PER_HOUR:
        raise exceptions.KeyExpired("Idempotency-Key is past its retention")
    return LedgerKey(slot_name(issued_at_ms, shard_of(key_hash)), key_hash)


def issue_time_ms(key: str) -> int | None:
    """Return the time in a UUIDv7 key, None for any other key."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    # Any other spelling of the same UUID is a separate, opaque key.
    if parsed.version != UUID_VERSION_WITH_TIME or str(parsed) != key.lower():
        return None
    return parsed.int >> _UUID7_TIME_SHIFT


def slot_name(time_ms: int, shard: int) -> str:
    """Return the name of the object of a time slot and a shard."""
    return f"{time_ms // SLOT_MS}-{shard}"


def shard_of(key_hash: str) -> int:
    """Return the shard of a key hash."""
    return int(key_hash[:4], 16) % SHARDS


def _hash(customer: str, service: str, key: str) -> str:
    canonical = key.lower() if issue_time_ms(key) is not None else key
    raw = "\0".join((customer, service, canonical)).encode()
    return hashlib.sha256(raw).hexdigest()[:KEY_HASH_HEX_DIGITS]
