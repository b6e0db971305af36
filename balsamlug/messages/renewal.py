"""Compact renewals of domain leases.

A renewal changes two numbers of a domain object, which has a size of a few
kilobytes. An entry identifies the object by a hash of its remaining content.
"""

from collections.abc import Iterable
import hashlib
import struct

import attrs
import msgpack

from balsamlug import exceptions

KEY_BYTES = 6
# Fields that a renewal changes. Only the holder uses the operation id, and it
# accepts no renewals from other nodes.
RENEWED_FIELDS = ("renewal", "operation_id")
_ENTRY = struct.Struct(f">{KEY_BYTES}sQI")
ENTRY_BYTES = _ENTRY.size
MAX_RENEWAL = 2**32 - 1


@attrs.frozen
class Entry:
    """Renewal of one lease.

    Attributes:
      version: version of the domain object.
    """

    key: bytes
    version: int
    renewal: int


def content_key(domain: str, value: dict) -> bytes:
    """Return a hash of a domain object without its lease."""
    content = {k: v for k, v in value.items() if k != "lease"}
    return _content_hash((domain, content))


def lease_key(domain: str, value: dict) -> bytes:
    """Return a hash of everything that a renewal does not change."""
    lease = value.get("lease", {})
    unchanged = {k: v for k, v in lease.items() if k not in RENEWED_FIELDS}
    return _content_hash((domain, value | {"lease": unchanged}))


def renewed(value: dict, renewal: int) -> dict:
    """Return the value of a domain object after a renewal."""
    return value | {"lease": value.get("lease", {}) | {"renewal": renewal}}


def pack(entries: Iterable[Entry]) -> bytes:
    """Return the packed entries."""
    return b"".join(
        _ENTRY.pack(e.key, e.version, min(e.renewal, MAX_RENEWAL))
        for e in entries
    )


def unpack(data: bytes) -> list[Entry]:
    """Return the entries that packed bytes contain.

    Raises:
      MessageRejected: the length is not a multiple of the entry size.
    """
    if len(data) % ENTRY_BYTES:
        raise exceptions.MessageRejected("truncated")
    return [Entry(*fields) for fields in _ENTRY.iter_unpack(data)]


def _content_hash(content: object) -> bytes:
    # Keys are sorted, because their order differs between writers.
    packed = msgpack.packb(_with_sorted_keys(content))
    return hashlib.blake2b(packed, digest_size=KEY_BYTES).digest()


def _with_sorted_keys(content: object) -> object:
    if isinstance(content, dict):
        items = sorted(content.items(), key=lambda item: str(item[0]))
        return [[str(k), _with_sorted_keys(v)] for k, v in items]
    if isinstance(content, list | tuple):
        return [_with_sorted_keys(item) for item in content]
    return content
