"""Datagrams that nodes tell each other their state with."""

import attrs
import msgpack

from balsamlug import exceptions
from balsamlug import validation

MALFORMED = (
    ValueError,
    TypeError,
    msgpack.UnpackException,
    exceptions.ProtocolError,
)
MAX_DATAGRAM_BYTES = 60_000
FIELDS = 8


def _check_announcement(
    instance: object, attribute: attrs.Attribute, value: object
) -> None:
    del instance, attribute
    if not isinstance(value, dict):
        raise TypeError("an announcement is no table")
    validation.check_announcement(value)


def _list_of_str() -> list[str]:
    return attrs.field(
        validator=attrs.validators.deep_iterable(
            attrs.validators.instance_of(str),
            attrs.validators.instance_of(list),
        )
    )


def _int() -> int:
    return attrs.field(validator=attrs.validators.instance_of(int))


@attrs.frozen
class Datagram:
    """State of one node, or of all nodes that a hub has heard.

    Attributes:
      covers: number of nodes whose states a hub has added up; 0 when it is
        the state of the sender alone.
      counts: in-flight requests by group or instance.
      silent: engines that do not answer.
      refused: fingerprints of requests that were refused a moment ago.
      kept: announcements of engines that answer and are not listed.
    """

    node: str = attrs.field(validator=attrs.validators.instance_of(str))
    incarnation: int = _int()
    sequence: int = _int()
    covers: int = _int()
    counts: dict[str, int] = attrs.field(
        validator=attrs.validators.deep_mapping(
            attrs.validators.instance_of(str),
            attrs.validators.instance_of(int),
            attrs.validators.instance_of(dict),
        )
    )
    silent: list[str] = _list_of_str()
    refused: list[str] = _list_of_str()
    kept: dict[str, dict] = attrs.field(
        validator=attrs.validators.deep_mapping(
            attrs.validators.instance_of(str),
            _check_announcement,
            attrs.validators.instance_of(dict),
        )
    )


def packed(datagram: Datagram) -> bytes:
    """Return the bytes of a datagram."""
    return msgpack.packb(
        [getattr(datagram, field.name) for field in attrs.fields(Datagram)]
    )


def parsed(data: bytes) -> Datagram:
    """Return the fields of a datagram.

    Raises:
      ValueError, TypeError, UnpackException, ProtocolError: it has another
        form; these are `MALFORMED`.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ValueError("too long")
    fields = msgpack.unpackb(data)
    if not isinstance(fields, list) or len(fields) != FIELDS:
        raise ValueError(f"not {FIELDS} fields")
    return Datagram(*fields)
