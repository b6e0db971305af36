"""Framing and encoding of messages.

A frame is a 4-byte big-endian length and a msgpack array of tag, version and
the fields in declaration order.
"""

import struct

import attrs
import msgpack

from balsamlug import exceptions
from balsamlug.messages import types

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 64 * 1024
# The object API holds values up to a megabyte, and these types carry them.
MAX_LARGE_FRAME_BYTES = 1_100_000
LARGE_TYPES = (
    types.ConfigUpdate,
    types.DomainUpdate,
    types.DomainDelta,
    types.InstanceUpdate,
    types.InstanceDelta,
)
HEADER_FIELDS = 2

_LENGTH = struct.Struct(">I")


def encode_body(message: types.Message) -> bytes:
    """Return the msgpack body of a message, without the frame length."""
    fields = attrs.astuple(message, recurse=False)
    body = msgpack.packb([message.TAG, message.VERSION, *fields])
    limit = _limit(type(message))
    if len(body) > limit:
        raise exceptions.ProtocolError("oversized")
    return body


def encode(message: types.Message) -> bytes:
    """Return a whole frame."""
    body = encode_body(message)
    return _LENGTH.pack(len(body)) + body


def decode_body(body: bytes) -> types.Message:
    """Return the message of a body.

    Raises:
      ProtocolError: the bytes are no valid message of a known version.
    """
    tag, version, fields = _split(body)
    cls = types.TYPES.get(tag)
    if cls is None:
        raise exceptions.ProtocolError("unknown_type")
    if version != cls.VERSION:
        raise exceptions.ProtocolError("unknown_version")
    if len(body) > _limit(cls):
        raise exceptions.ProtocolError("oversized")
    try:
        return cls(*fields)
    except (TypeError, ValueError) as exc:
        raise exceptions.ProtocolError("bad_fields") from exc


def frame_length(header: bytes) -> int:
    """Return the body length announced by a frame header.

    Raises:
      ProtocolError: the body would exceed every size bound.
    """
    (length,) = _LENGTH.unpack(header)
    if length > MAX_LARGE_FRAME_BYTES:
        raise exceptions.ProtocolError("oversized")
    return length


def _limit(cls: type[types.Message]) -> int:
    return MAX_LARGE_FRAME_BYTES if cls in LARGE_TYPES else MAX_FRAME_BYTES


def _split(body: bytes) -> tuple[int, int, list]:
    try:
        parts = msgpack.unpackb(body, strict_map_key=False)
    except Exception as exc:  # msgpack raises many unrelated types
        raise exceptions.ProtocolError("truncated") from exc
    if not isinstance(parts, list) or len(parts) < HEADER_FIELDS:
        raise exceptions.ProtocolError("malformed")
    tag, version, *fields = parts
    if type(tag) is not int or type(version) is not int:
        raise exceptions.ProtocolError("malformed")
    return tag, version, fields
