"""Encoding of the datagrams in which nodes exchange their state.

A datagram is a msgpack list of the fields in their order of definition.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any

import attrs
import msgpack

from balsamlug import exceptions
from balsamlug import limit_table
from balsamlug import validation
from balsamlug.gateway import limit_entries

MALFORMED_ERRORS = (
    ValueError,
    TypeError,
    msgpack.UnpackException,
    exceptions.ProtocolError,
)
# Receivers ignore longer ones; UDP over IPv4 carries 65,507 bytes.
MAX_DATAGRAM_BYTES = 60_000
# The largest headers of the five containers whose entries may be left out.
CONTAINER_BYTES = 5 * 5
# Earlier builds send no limits.
REQUIRED_FIELDS = 8
# Position of the first field whose values are checked one by one.
COUNTS_FIELD = 4
# Leaves room for the other fields.
MAX_UNLISTED_BYTES = 20_000


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
    """State of one node, or the aggregated state of all nodes known to a hub.

    The order of the fields is the wire format. Builds add fields at the end.

    Attributes:
      covers: number of nodes whose states a hub has aggregated; 0 for the
        state of the sender alone.
      counts: in-flight requests by group or instance.
      unresponsive: engines that do not answer.
      refused: fingerprints of recently refused requests.
      unlisted: announcements of engines that answer but are missing from the
        platform's list.
      limits: rate limits of servers, and what they have been sent; a hub sends
        a part of them in each datagram.
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
    unresponsive: list[str] = _list_of_str()
    refused: list[str] = _list_of_str()
    unlisted: dict[str, dict] = attrs.field(
        validator=attrs.validators.deep_mapping(
            attrs.validators.instance_of(str),
            attrs.validators.instance_of(dict),
            attrs.validators.instance_of(dict),
        )
    )
    limits: list[limit_table.Entry] = attrs.field(factory=list)


def encode(datagram: Datagram) -> bytes:
    """Return the encoded datagram."""
    fields = [getattr(datagram, f.name) for f in attrs.fields(Datagram)]
    return msgpack.packb([*fields[:-1], limit_entries.pack(datagram.limits)])


def decode(data: bytes) -> Datagram:
    """Return the decoded datagram.

    Fields after the known ones and unusable announcements are left out.

    Raises:
      ValueError, TypeError, UnpackException, ProtocolError: the datagram is
        malformed; `MALFORMED_ERRORS` holds these types.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ValueError("datagram exceeds the maximum size")
    fields = msgpack.unpackb(data)
    if not isinstance(fields, list) or len(fields) < REQUIRED_FIELDS:
        raise ValueError(f"datagram is not a list of {REQUIRED_FIELDS} fields")
    counts, unresponsive, refused, unlisted = fields[
        COUNTS_FIELD:REQUIRED_FIELDS
    ]
    limits = fields[REQUIRED_FIELDS] if len(fields) > REQUIRED_FIELDS else b""
    if not isinstance(unlisted, dict) or not isinstance(limits, bytes):
        raise TypeError("announcements or rate limits have the wrong type")
    return Datagram(
        *fields[:COUNTS_FIELD],
        _plausible(counts),
        unresponsive,
        refused,
        {name: raw for name, raw in unlisted.items() if _is_usable(raw)},
        limit_entries.unpack(limits),
    )


def sendable(unlisted: dict[str, dict]) -> dict[str, dict]:
    """Return the announcements that are valid and fit in a datagram."""
    kept, size = {}, 0
    for name, raw in unlisted.items():
        if not _is_usable(raw):
            continue
        size += len(msgpack.packb([name, raw]))
        if size > MAX_UNLISTED_BYTES:
            break
        kept[name] = raw
    return kept


def fit(datagram: Datagram) -> tuple[Datagram, dict[str, int]]:
    """Return a datagram that receivers accept, without what has no room.

    Receivers replace the counts and limits of a sender as a whole, so the
    largest ones are kept. They collect announcements, which take turns.

    Returns:
      the datagram and the number of entries that were left out, by field.
    """
    if len(encode(datagram)) <= MAX_DATAGRAM_BYTES:
        return datagram, {}
    # The most important entries come first.
    entries: dict[str, Sequence] = {
        "unresponsive": datagram.unresponsive,
        "counts": sorted(datagram.counts.items(), key=lambda c: -c[1]),
        "limits": sorted(datagram.limits, key=lambda e: -e.recent),
        "refused": datagram.refused[::-1],
        "unlisted": list(datagram.unlisted.items()),
    }
    empty = {name: type(getattr(datagram, name))() for name in entries}
    used = len(encode(attrs.evolve(datagram, **empty))) + CONTAINER_BYTES
    kept, left_out = {}, {}
    for name, of_field in entries.items():
        room = MAX_DATAGRAM_BYTES - used
        if name == "unlisted":
            of_field = _in_turn(of_field, room, datagram.sequence)
        kept[name], size = _first(of_field, room)
        used += size
        if len(kept[name]) < len(of_field):
            left_out[name] = len(of_field) - len(kept[name])
    kept["refused"].reverse()
    for name in ("counts", "unlisted"):
        kept[name] = dict(kept[name])
    return attrs.evolve(datagram, **kept), left_out


def _in_turn(entries: Sequence, room: int, sequence: int) -> Sequence:
    """Return entries in an order that begins later in each datagram."""
    if not entries:
        return entries
    # A node uses some of its sequence numbers for other datagrams.
    step = max(1, len(_first(entries, room)[0]) // 4)
    start = sequence * step % len(entries)
    return [*entries[start:], *entries[:start]]


def _first(entries: Iterable[Any], room: int) -> tuple[list, int]:
    """Return the first entries that fit, and their size."""
    kept, used = [], 0
    for entry in entries:
        size = (
            limit_entries.ENTRY_BYTES
            if isinstance(entry, limit_table.Entry)
            else len(msgpack.packb(entry))
        )
        if used + size > room:
            break
        used += size
        kept.append(entry)
    return kept, used


def _is_usable(announcement: object) -> bool:
    if not isinstance(announcement, dict):
        return False
    try:
        validation.check_announcement(announcement)
        msgpack.packb(announcement)
    except (exceptions.ProtocolError, *exceptions.MALFORMED_VALUE):
        return False
    return True


def _plausible(counts: object) -> object:
    """Return the counts whose sums over all nodes can be encoded."""
    if not isinstance(counts, dict):
        return counts
    return {
        name: count
        for name, count in counts.items()
        if not isinstance(count, int) or abs(count) <= validation.MAX_LOAD
    }
