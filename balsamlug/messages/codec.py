"""Encode messages as frames, and decode them.

A frame is a 4-byte big-endian length, followed by a msgpack array of the tag,
the version and the fields in declaration order.
"""

from collections.abc import Iterable
import struct

import attrs
import eliot
import msgpack

from balsamlug import exceptions
from balsamlug.messages import types

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 64 * 1024
# Limit for types that carry objects. The object API stores values of up to a
# megabyte.
MAX_LARGE_FRAME_BYTES = 1_100_000
LARGE_TYPES = (
    types.ConfigUpdate,
    types.ConfigDelta,
    types.DomainUpdate,
    types.DomainDelta,
    types.InstanceUpdate,
    types.InstanceDelta,
)
HEADER_FIELDS = 2
UNKNOWN_TYPE = "unknown_type"

_FIELD_COUNTS = {cls: len(attrs.fields(cls)) for cls in types.TYPES.values()}
_LENGTH = struct.Struct(">I")


def encode_body(message: types.Message) -> bytes:
    """Return the msgpack body of a message without the frame length.

    Raises:
      ProtocolError: a value cannot be encoded, or the body exceeds the limit of
        the message type.
    """
    fields = attrs.astuple(message, recurse=False)
    try:
        body = msgpack.packb([message.TAG, message.VERSION, *fields])
    except exceptions.MALFORMED_VALUE as exc:
        raise exceptions.ProtocolError("unencodable") from exc
    max_bytes = _max_body_bytes(type(message))
    if len(body) > max_bytes:
        raise exceptions.ProtocolError("oversized")
    return body


def encode(message: types.Message) -> bytes:
    """Return the frame of a message."""
    body = encode_body(message)
    return _LENGTH.pack(len(body)) + body


def encode_each(messages: Iterable[types.Message]) -> list[bytes]:
    """Return the frames of all messages that can be encoded; log the others."""
    frames = []
    for message in messages:
        try:
            frames.append(encode(message))
        except exceptions.ProtocolError as exc:
            eliot.log_message(
                "message_not_sent",
                type=type(message).__name__,
                reason=exc.reason,
                cause=type(exc.__cause__).__name__ if exc.__cause__ else "",
            )
    return frames


def decode_body(body: bytes) -> types.Message:
    """Return the message that a body contains.

    Fields after the known ones, which a newer build may add, are ignored.

    Raises:
      MessageRejected: the body is not a valid message of a known version.
      ProtocolError: the body is not a message, or too large.
    """
    tag, version, fields = _parse_body(body)
    cls = types.TYPES.get(tag)
    if cls is None:
        raise exceptions.MessageRejected(UNKNOWN_TYPE)
    if version != cls.VERSION:
        raise exceptions.MessageRejected("unknown_version")
    if len(body) > _max_body_bytes(cls):
        raise exceptions.ProtocolError("oversized")
    return from_fields(cls, fields)


def from_fields(cls: type[types.Message], fields: object) -> types.Message:
    """Return the message of a type with the fields that another node sent.

    Raises:
      MessageRejected: fields are missing or have the wrong type.
    """
    if not isinstance(fields, list):
        raise exceptions.MessageRejected("bad_fields")
    try:
        return cls(*fields[: _FIELD_COUNTS[cls]])
    except (TypeError, ValueError) as exc:
        raise exceptions.MessageRejected("bad_fields") from exc


def frame_length(header: bytes) -> int:
    """Return the body length announced by a frame header.

    Raises:
      ProtocolError: the body would exceed the limit of every message type.
    """
    (length,) = _LENGTH.unpack(header)
    if length > MAX_LARGE_FRAME_BYTES:
        raise exceptions.ProtocolError("oversized")
    return length


def _max_body_bytes(cls: type[types.Message]) -> int:
    return MAX_LARGE_FRAME_BYTES if cls in LARGE_TYPES else MAX_FRAME_BYTES


def _parse_body(body: bytes) -> tuple[int, int, list]:
    try:
        parts = msgpack.unpackb(body, strict_map_key=False)
    except Exception as exc:  # msgpack raises unrelated exception types
        raise exceptions.ProtocolError("truncated") from exc
    if not isinstance(parts, list) or len(parts) < HEADER_FIELDS:
        raise exceptions.ProtocolError("malformed")
    tag, version, *fields = parts
    if type(tag) is not int or type(version) is not int:
        raise exceptions.ProtocolError("malformed")
    return tag, version, fields
