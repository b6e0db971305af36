"""Decode answers of the object API, of which single parts may be unreadable.

Any process may write to the object API, and an answer contains the values of
many objects in one JSON text. A part that the parser rejects is replaced by
`Unreadable`, so that the rest of the answer can be used.
"""

from collections.abc import Callable
import re
from typing import Any

import attrs
import orjson

# Parts of a JSON value that may be unreadable on their own: a dict for the
# members of an object, by key and otherwise single values; a list of one shape
# for the items of an array; None for a value that is readable as a whole or not
# at all.
Shape = dict[str, "Shape"] | list["Shape"] | None

_TEXT = rb'"(?:[^"\\]++|\\.)*+"'
_PLAIN = rb'[^"\[\]{}]++|' + _TEXT
# The next run of brackets outside of texts. Innermost arrays and objects are
# passed over at once.
_BRACKETS = re.compile(
    rb"(?:%b|[\[{](?:%b)*+[\]}])*+(?:([\[{]++)|([\]}]++))" % (_PLAIN, _PLAIN),
    re.DOTALL,
)
_KEY = re.compile(rb"(" + _TEXT + rb")\s*+:\s*+", re.DOTALL)
_SPACE = re.compile(rb"\s*+")
_SCALAR = re.compile(rb"(?:" + _TEXT + rb'|[^\s,\[\]{}"]++)', re.DOTALL)
# Follows an item of an array, or a member of an object.
_SEPARATOR = re.compile(rb"\s*+(?:,\s*+(?![\]}])|(?=[\]}]))")


@attrs.frozen
class Unreadable:
    """Stands for a part of an answer that could not be read."""

    reason: str


def decode(data: bytes, shape: Shape = None) -> Any:
    """Return a JSON value in which unreadable parts are marked."""
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError as exc:
        unreadable = Unreadable(exc.msg)
    if shape is None:
        return unreadable
    try:
        value, end = _value(data, _SPACE.match(data).end(), shape)
        _require(not data[end:].strip())
    except ValueError:
        return unreadable
    return value


def _value(data: bytes, pos: int, shape: Shape) -> tuple[Any, int]:
    """Return the value at a position, and the position after it."""
    read = _READERS.get((data[pos : pos + 1], type(shape)), _whole)
    return read(data, pos, shape)


def _whole(data: bytes, pos: int, shape: Shape) -> tuple[Any, int]:
    end = _end(data, pos)
    return decode(data[pos:end]), end


def _items(data: bytes, pos: int, shape: Shape) -> tuple[list, int]:
    items = []
    pos = _SPACE.match(data, pos + 1).end()
    while data[pos : pos + 1] != b"]":
        item, pos = _value(data, pos, shape[0])
        items.append(item)
        pos = _require(_SEPARATOR.match(data, pos)).end()
    return items, pos + 1


def _members(data: bytes, pos: int, shape: Shape) -> tuple[dict, int]:
    members = {}
    pos = _SPACE.match(data, pos + 1).end()
    while data[pos : pos + 1] != b"}":
        match = _require(_KEY.match(data, pos))
        key = decode(match[1])
        value, pos = _value(data, match.end(), shape.get(key))
        if isinstance(key, str):
            members[key] = value
        pos = _require(_SEPARATOR.match(data, pos)).end()
    return members, pos + 1


_READERS: dict[tuple[bytes, type], Callable] = {
    (b"[", list): _items,
    (b"{", dict): _members,
}


def _end(data: bytes, pos: int) -> int:
    """Return the position after a value."""
    if data[pos : pos + 1] not in (b"[", b"{"):
        return _require(_SCALAR.match(data, pos)).end()
    # The depth is counted, since the value may be nested deeper than the stack.
    depth = 1
    pos += 1
    while True:
        match = _require(_BRACKETS.match(data, pos))
        opened, closed = match.span(1), match.span(2)
        depth += opened[1] - opened[0]
        if closed[1] - closed[0] >= depth:
            return closed[0] + depth
        depth -= closed[1] - closed[0]
        pos = match.end()


def _require(found: Any) -> Any:
    if not found:
        raise ValueError("the parts of the JSON text cannot be told apart")
    return found
