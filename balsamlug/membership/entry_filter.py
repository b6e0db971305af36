"""Leave out the invalid entries in instance lists of peers.

A peer may run another version of this program, which accepts entries that this
one rejects.
"""

import functools

import attrs
import eliot

from balsamlug import exceptions
from balsamlug import validation
from balsamlug.messages import types

_REQUIRED_FIELDS = frozenset({"id", "address", "incarnation"})


@functools.singledispatch
def usable(message: types.Message) -> types.Message:
    """Return a message without its invalid entries.

    An entry without the fields of an entry is left in, since it violates the
    protocol.
    """
    return message


@usable.register
def _(message: types.InstanceUpdate) -> types.Message:
    invalid = _invalid(message.instances)
    if not invalid:
        return message
    valid = [raw for raw in message.instances if id(raw) not in invalid]
    return attrs.evolve(message, instances=valid)


@usable.register
def _(message: types.InstanceDelta) -> types.Message:
    invalid = _invalid(message.changed)
    if not invalid:
        return message
    return attrs.evolve(
        message,
        changed=[raw for raw in message.changed if id(raw) not in invalid],
        # What an entry replaces is not valid either.
        removed=[*message.removed, *invalid.values()],
    )


def _invalid(entries: list[dict]) -> dict[int, str]:
    """Return the names of the invalid entries, by identity."""
    invalid = {id(raw): raw["id"] for raw in entries if _is_invalid(raw)}
    if invalid:
        name = next(iter(invalid.values()))
        eliot.log_message(
            "instance_rejected",
            instance=name[: validation.MAX_NAME_LENGTH],
            reason="bad_value of a peer",
            count=len(invalid),
        )
    return invalid


def _is_invalid(raw: dict) -> bool:
    if not raw.keys() >= _REQUIRED_FIELDS or not isinstance(raw["id"], str):
        return False
    try:
        validation.check_instance(raw)
    except exceptions.ProtocolError:
        return True
    return False
