"""Differences between the values of two versions of a catalogue.

Most versions change a few routes or customers of thousands. Nodes send such a
version as the items that changed, and build only these anew. All versions that
a node keeps share the items in which they are equal.
"""

import hashlib
import zlib

import attrs
import msgpack

from balsamlug import encodable

DIGEST_BYTES = 7
# Of the names in routes, most is repeated; higher levels save little.
COMPRESSION_LEVEL = 1
# The object API stores values of up to a megabyte.
MAX_UNPACKED_BYTES = 1_100_000
# Nodes that fall further behind get the whole value.
MAX_VERSIONS = 16
# Parts of a catalogue that are lists of items with unique names.
SECTIONS = ("routes", "services", "customers")
_NAME = "name"
_UNPACK_ERRORS = (ValueError, msgpack.exceptions.UnpackException)


@attrs.frozen
class Changes:
    """Changes from one catalogue value to another.

    Attributes:
      changed: new and changed items of each section, and other parts that
        differ.
      removed: names of the items that left each section.
    """

    changed: dict
    removed: dict


def pack(difference: Changes) -> bytes:
    """Return compressed changes."""
    plain = [difference.changed, difference.removed]
    return zlib.compress(msgpack.packb(plain), COMPRESSION_LEVEL)


def unpack(data: bytes) -> Changes:
    """Return the changes in compressed data.

    Raises:
      ValueError: the data is malformed, too large, or holds what cannot be
        encoded again.
    """
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(data, MAX_UNPACKED_BYTES)
        if not decompressor.eof:
            raise ValueError("compressed data is truncated or too large")
        changed, removed = msgpack.unpackb(raw, strict_map_key=False)
    except (zlib.error, TypeError, *_UNPACK_ERRORS) as exc:
        raise ValueError("malformed changes") from exc
    if not isinstance(changed, dict) or not isinstance(removed, dict):
        raise ValueError("malformed changes")
    encodable.check([changed, removed])
    return Changes(changed, removed)


def shared(value: dict, known: dict) -> dict:
    """Return an equal value that contains the equal items of a known one.

    Raises:
      AttributeError, KeyError, TypeError: a value is malformed.
    """
    return value | {
        section: _shared_items(value[section], known[section])
        for section in SECTIONS
        if section in value and section in known
    }


def _shared_items(items: list[dict], known: list[dict]) -> list[dict]:
    by_name = {item[_NAME]: item for item in known}
    found = [by_name.get(item[_NAME]) for item in items]
    return [
        other if other is item or other == item else item
        for item, other in zip(items, found, strict=True)
    ]


def changes(base: dict, value: dict) -> Changes | None:
    """Return the changes from one value to another.

    Returns None if they cannot be expressed, such as another order of items.

    Raises:
      AttributeError, KeyError, TypeError: a value is malformed.
    """
    if base.keys() != value.keys():
        return None
    changed = {
        part: content
        for part, content in value.items()
        if part not in SECTIONS and content != base[part]
    }
    removed = {}
    for section in SECTIONS:
        if section not in value:
            continue
        before = {item[_NAME]: item for item in base[section]}
        after = {item[_NAME]: item for item in value[section]}
        differing = [
            item
            for name, item in after.items()
            if before.get(name) is not item and before.get(name) != item
        ]
        if differing:
            changed[section] = differing
        if gone := [name for name in before if name not in after]:
            removed[section] = gone
    result = Changes(changed, removed)
    return result if patched(base, result) == value else None


def patched(base: dict, difference: Changes) -> dict:
    """Return the value after changes.

    Changed items keep their place; new ones are appended.

    Raises:
      AttributeError, KeyError, TypeError: a value is malformed.
    """
    value = base | {
        part: content
        for part, content in difference.changed.items()
        if part not in SECTIONS
    }
    for section in SECTIONS:
        changed = difference.changed.get(section, [])
        removed = difference.removed.get(section, [])
        if changed or removed:
            items = {item[_NAME]: item for item in base[section]}
            for name in removed:
                del items[name]
            items |= {item[_NAME]: item for item in changed}
            value[section] = list(items.values())
    return value


@attrs.define
class History:
    """Last versions of a catalogue value, which share their equal items."""

    _values: dict[int, dict] = attrs.field(factory=dict)
    _digests: dict[int, int] = attrs.field(factory=dict)
    # Changes from an earlier revision to the last one.
    _changes: dict[int, Changes | None] = attrs.field(factory=dict)

    def add(self, revision: int, value: dict) -> None:
        """Add the value of a revision above all others."""
        self._changes.clear()
        self._values[revision] = value
        if len(self._values) > MAX_VERSIONS:
            oldest = next(iter(self._values))
            del self._values[oldest]
            self._digests.pop(oldest, None)

    def digest(self, revision: int) -> int:
        """Return a hash of the value of a revision, 0 if it is not kept."""
        if revision not in self._values:
            return 0
        if revision not in self._digests:
            raw = hashlib.blake2b(
                msgpack.packb(self._values[revision]), digest_size=DIGEST_BYTES
            ).digest()
            self._digests[revision] = int.from_bytes(raw, "big")
        return self._digests[revision]

    def changes_since(self, revision: int, digest: int) -> Changes | None:
        """Return the changes from a revision to the last one.

        Returns None if the revision is not kept with this digest, or if its
        changes cannot be expressed.
        """
        if not digest or digest != self.digest(revision):
            return None
        if revision not in self._changes:
            last = next(reversed(self._values.values()))
            self._changes[revision] = changes(self._values[revision], last)
        return self._changes[revision]
