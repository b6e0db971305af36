"""Bounds on how far one message of a peer may advance a version.

A version that is far too high would block all later versions. Messages are
checked here before they are applied to the state. Values that this node itself
reads from the object API are not limited.
"""

import functools

from balsamlug import exceptions
from balsamlug import state as fleet
from balsamlug.messages import renewal
from balsamlug.messages import types
from balsamlug.store import positions

# More than a day of changes at the design size. A node that was disconnected
# for longer reads the configuration from the store.
MAX_CONFIG_JUMP = 1_000
# Nine hours of writes at the maximum rate of the object API.
MAX_VERSION_JUMP = 10**7
# Restorations of the object API that a node may have missed.
MAX_ERA_JUMP = 1_000
# Incarnations follow the wall clock; a node may return after a year.
MAX_INCARNATION_JUMP_MS = 400 * 24 * 3_600_000
# Ticks follow the wall clock at ten per second, so this is eleven days.
MAX_TICK_JUMP = 10**7


@functools.singledispatch
def check_jump(message: types.Message, state: fleet.FleetState) -> None:
    """Check the versions in a message of a peer against the current ones.

    Raises:
      MessageRejected: with the reason "implausible_version".
    """


@check_jump.register
def _(message: types.ConfigUpdate, state: fleet.FleetState) -> None:
    _bounded(message.revision, state.config_revision, MAX_CONFIG_JUMP)


@check_jump.register
def _(message: types.DomainUpdate, state: fleet.FleetState) -> None:
    current = state.domains.get(message.domain)
    if current is not None:
        _bounded_position(message.version, current.version)


@check_jump.register(types.InstanceUpdate)
@check_jump.register(types.InstanceDelta)
def _(
    message: types.InstanceUpdate | types.InstanceDelta,
    state: fleet.FleetState,
) -> None:
    _bounded_position(
        message.revision // fleet.LIST_REVISION_STEP,
        state.instances_revision // fleet.LIST_REVISION_STEP,
    )


@check_jump.register
def _(message: types.NodeUpdate, state: fleet.FleetState) -> None:
    current = state.nodes.get(message.node)
    if current is not None:
        _bounded(
            message.incarnation, current.incarnation, MAX_INCARNATION_JUMP_MS
        )


@check_jump.register
def _(message: types.GroupReport, state: fleet.FleetState) -> None:
    by_prober = state.reports.get(message.group_id, {})
    current = by_prober.get(message.prober)
    if current is not None:
        _bounded(message.tick, current.tick, MAX_TICK_JUMP)


def is_newer_renewal(
    entry: renewal.Entry, name: str, state: fleet.FleetState, own_id: str
) -> bool:
    """Return whether a renewal from a peer is newer and may be applied.

    The lease holder itself applies no renewals from peers: it recognises its
    own writes by the operation id that they carry.

    Raises:
      MessageRejected: the version is too far ahead.
    """
    current = state.domains[name]
    _bounded_position(entry.version, current.version)
    holder = current.value.get("lease", {}).get("holder", "")
    return holder != own_id and entry.version > current.version


def _bounded_position(position: int, current: int) -> None:
    if not current:
        return
    eras = positions.era_of(position) - positions.era_of(current)
    revisions = positions.revision_of(position) - positions.revision_of(current)
    is_too_far = eras >= 0 and revisions > MAX_VERSION_JUMP
    if eras > MAX_ERA_JUMP or is_too_far:
        raise exceptions.MessageRejected("implausible_version")


def _bounded(version: int, current: int, jump: int) -> None:
    if current and version > current + jump:
        raise exceptions.MessageRejected("implausible_version")
