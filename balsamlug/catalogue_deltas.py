"""Differences between the values of two versions of a catalogue.

Most versions change a few routes or customers of thousands. Nodes send such a
version as the items that changed, and build only these anew. All versions that
a node keeps share the items in which they are equal.
"""

import hashlib
import zlib

import attrs
import msgpack

from balsamlug import catalogue as catalogues
from balsamlug import encodable
from balsamlug.messages import codec

DIGEST_BYTES = 7
# Higher levels take longer and save little more.
COMPRESSION_LEVEL = 1
MAX_UNPACKED_BYTES = codec.MAX_LARGE_FRAME_BYTES
# Nodes that fall further behind get the whole value.
MAX_VERSIONS = 16
# Parts of a catalogue that are lists of items with names.
SECTIONS = tuple(catalogues.ITEM_TYPES)
_NAME = "name"
_UNPACK_ERRORS = (ValueError, msgpack.exceptions.UnpackException)


@attrs.frozen
class Changes:
    """Changes from one catalogue value to another.

    Attributes:
      parts: parts that are no sections and differ.
      changed: items of each section that replace those of the same name.
      added: new items of each section, each as its place in the new list and
        the item, in the order of the places.
      removed: names of the items that left each section.
    """

    parts: dict = attrs.field(factory=dict)
    changed: dict = attrs.field(factory=dict)
    added: dict = attrs.field(factory=dict)
    removed: dict = attrs.field(factory=dict)


def pack(difference: Changes) -> bytes:
    """Return compressed changes."""
    fields = attrs.astuple(difference, recurse=False)
    return zlib.compress(msgpack.packb(fields), COMPRESSION_LEVEL)


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
        difference = Changes(*msgpack.unpackb(raw, strict_map_key=False))
    except (zlib.error, TypeError, *_UNPACK_ERRORS) as exc:
        raise ValueError("malformed changes") from exc
    fields = attrs.astuple(difference, recurse=False)
    if not all(isinstance(field, dict) for field in fields):
        raise ValueError("malformed changes")
    encodable.check(fields)
    return difference


def is_keyed(value: dict) -> bool:
    """Return whether all items can be told apart by their names.

    Raises:
      AttributeError, KeyError, TypeError: a value is malformed.
    """
    return all(
        isinstance(item[_NAME], str)
        for section in SECTIONS
        for item in value.get(section, ())
    )


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
    result = Changes()
    for part, content in value.items():
        if part in SECTIONS:
            _add_section(result, part, base[part], content)
        elif content != base[part]:
            result.parts[part] = content
    return result if patched(base, result) == value else None


def _add_section(
    result: Changes, section: str, base: list[dict], items: list[dict]
) -> None:
    before = {item[_NAME]: item for item in base}
    names = {item[_NAME] for item in items}
    found = {
        "changed": [
            item
            for item in items
            if item[_NAME] in before
            and before[item[_NAME]] is not item
            and before[item[_NAME]] != item
        ],
        "added": [
            [place, item]
            for place, item in enumerate(items)
            if item[_NAME] not in before
        ],
        "removed": [name for name in before if name not in names],
    }
    for field, content in found.items():
        if content:
            getattr(result, field)[section] = content


def patched(base: dict, difference: Changes) -> dict:
    """Return the value after changes.

    Raises:
      AttributeError, LookupError, TypeError, ValueError: a value is malformed.
    """
    value = base | difference.parts
    fields = (difference.changed, difference.added, difference.removed)
    for section in set().union(*fields):
        changed, added, removed = (f.get(section, []) for f in fields)
        by_name = {item[_NAME]: item for item in changed}
        left = set(removed)
        items = [
            by_name.get(item[_NAME], item)
            for item in base[section]
            if item[_NAME] not in left
        ]
        for place, item in added:
            items.insert(place, item)
        value[section] = items
    return value


@attrs.define
class History:
    """Last versions of a catalogue value, which share their equal items.

    Attributes:
      last: the last value, None if its items have no names to compare by.
    """

    last: dict | None = None
    _values: dict[int, dict] = attrs.field(factory=dict)
    _digests: dict[int, int] = attrs.field(factory=dict)
    # Changes from an earlier revision to the last one.
    _changes: dict[int, Changes | None] = attrs.field(factory=dict)

    def add(self, revision: int, value: dict) -> None:
        """Add the value of a revision above all others."""
        self._changes.clear()
        self.last = value if is_keyed(value) else None
        if self.last is None:
            self._values.clear()
            self._digests.clear()
            return
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
            self._changes[revision] = changes(self._values[revision], self.last)
        return self._changes[revision]
