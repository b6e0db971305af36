"""Compact renewals of domain leases.

A renewal changes two numbers of a domain object that is a few kilobytes
long. An entry names the object by a hash of everything else.
"""

from collections.abc import Iterable
import hashlib
import struct

import attrs
import msgpack

from balsamlug import exceptions

KEY_BYTES = 6
# What a renewal changes. The operation id matters to the holder alone, which
# takes no renewals from others.
RENEWED = ("renewal", "operation_id")
_ENTRY = struct.Struct(f">{KEY_BYTES}sQI")
ENTRY_BYTES = _ENTRY.size
MAX_RENEWAL = 2**32 - 1


@attrs.frozen
class Entry:
    """One renewed lease.

    Attributes:
      version: of the domain object.
    """

    key: bytes
    version: int
    renewal: int


def content_key(domain: str, value: dict) -> bytes:
    """Return a hash of a domain object without its lease."""
    content = {k: v for k, v in value.items() if k != "lease"}
    return _hash((domain, content))


def lease_key(domain: str, value: dict) -> bytes:
    """Return a hash of everything that a renewal leaves as it is."""
    lease = value.get("lease", {})
    kept = {k: v for k, v in lease.items() if k not in RENEWED}
    return _hash((domain, value | {"lease": kept}))


def renewed(value: dict, renewal: int) -> dict:
    """Return the value of a domain object after a renewal."""
    return value | {"lease": value.get("lease", {}) | {"renewal": renewal}}


def pack(entries: Iterable[Entry]) -> bytes:
    """Return the bytes of entries."""
    return b"".join(
        _ENTRY.pack(e.key, e.version, min(e.renewal, MAX_RENEWAL))
        for e in entries
    )


def unpack(data: bytes) -> list[Entry]:
    """Return the entries of packed bytes.

    Raises:
      ProtocolError: the length is no multiple of an entry.
    """
    if len(data) % ENTRY_BYTES:
        raise exceptions.ProtocolError("truncated")
    return [Entry(*fields) for fields in _ENTRY.iter_unpack(data)]


def _hash(content: object) -> bytes:
    # Sorted, because the order of keys differs between writers.
    packed = msgpack.packb(_ordered(content))
    return hashlib.blake2b(packed, digest_size=KEY_BYTES).digest()


def _ordered(content: object) -> object:
    if isinstance(content, dict):
        items = sorted(content.items(), key=lambda item: str(item[0]))
        return [[str(k), _ordered(v)] for k, v in items]
    if isinstance(content, list | tuple):
        return [_ordered(item) for item in content]
    return content
