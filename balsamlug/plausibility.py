"""Bounds on how far one message of a peer may advance a version.

A version that is far too high would block every later one. Values read from
the object API by this node itself are not limited.
"""

import functools

from balsamlug import exceptions
from balsamlug import state as fleet
from balsamlug.messages import renewal
from balsamlug.messages import types

# More than a day of changes at the design size; a node that was cut off for
# longer reads the store itself.
MAX_CONFIG_JUMP = 1_000
# Nine hours of all writes that the object API accepts.
MAX_VERSION_JUMP = 10**7
# A node that was off for a year comes back with its wall clock.
MAX_INCARNATION_JUMP_MS = 400 * 24 * 3_600_000
# Ticks follow the wall clock at ten a second; eleven days.
MAX_TICK_JUMP = 10**7


@functools.singledispatch
def check_jump(message: types.Message, state: fleet.FleetState) -> None:
    """Check a message of a peer against what is known.

    Raises:
      ProtocolError: with the reason "implausible_version".
    """


@check_jump.register
def _(message: types.ConfigUpdate, state: fleet.FleetState) -> None:
    _bounded(message.revision, state.config_revision, MAX_CONFIG_JUMP)


@check_jump.register
def _(message: types.DomainUpdate, state: fleet.FleetState) -> None:
    known = state.domains.get(message.domain)
    if known is not None:
        _bounded(message.version, known.version, MAX_VERSION_JUMP)


@check_jump.register
def _(message: types.InstanceUpdate, state: fleet.FleetState) -> None:
    _bounded(message.revision, state.instances_revision, MAX_VERSION_JUMP)


@check_jump.register
def _(message: types.NodeUpdate, state: fleet.FleetState) -> None:
    known = state.nodes.get(message.node)
    if known is not None:
        _bounded(
            message.incarnation, known.incarnation, MAX_INCARNATION_JUMP_MS
        )


@check_jump.register
def _(message: types.GroupReport, state: fleet.FleetState) -> None:
    by_prober = state.reports.get(message.group_id, {})
    known = by_prober.get(message.prober)
    if known is not None:
        _bounded(message.tick, known.tick, MAX_TICK_JUMP)


def renews(
    entry: renewal.Entry, name: str, state: fleet.FleetState, own_id: str
) -> bool:
    """Return whether a renewal of a peer is news that may be applied.

    The holder itself takes no renewal from others: its own writes carry the
    operation id by which it recognises them.

    Raises:
      ProtocolError: the version is too far ahead.
    """
    known = state.domains[name]
    _bounded(entry.version, known.version, MAX_VERSION_JUMP)
    holder = known.value.get("lease", {}).get("holder", "")
    return holder != own_id and entry.version > known.version


def _bounded(version: int, known: int, jump: int) -> None:
    if known and version > known + jump:
        raise exceptions.ProtocolError("implausible_version")
