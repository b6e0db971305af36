"""Bounds on how far one message of a peer may advance a position.

A position that is far too high would block all later ones. Messages are checked
here before they are applied to the state. A rejected position may be sound, so
the node reads the object API itself, whose answers are not limited.

Configuration revisions and incarnations are not bounded: operators choose the
steps of revisions, which a message contains twice, and a node refutes a false
claim about its own incarnation. A configuration of an earlier build that does
not tell whether requests need keys is read from the object API as well.
"""

import functools

from balsamlug import catalogue as catalogues
from balsamlug import exceptions
from balsamlug import state as fleet
from balsamlug.messages import renewal
from balsamlug.messages import types
from balsamlug.store import positions

REASON = "implausible_version"
UNCLEAR_KEYS = "unclear_need_of_keys"
# Sources of `controller.watchers`.
CONFIG = "config"
DOMAINS = "domain"
INSTANCES = "instances"
EVACUATIONS = "evacuations"
# Nine hours of writes at the maximum rate of the object API.
MAX_VERSION_JUMP = 10**7
# Restorations of the object API that a node may have missed.
MAX_ERA_JUMP = 1_000
# Ticks follow the wall clock at ten per second, so this is eleven days. A
# report that is not replaced expires, and the next one is accepted.
MAX_TICK_JUMP = 10**7


@functools.singledispatch
def check_jump(message: types.Message, state: fleet.FleetState) -> None:
    """Check the versions in a message of a peer against the current ones.

    Raises:
      MessageRejected: with the reason "implausible_version" or
        "unclear_need_of_keys".
    """


@check_jump.register
def _(message: types.DomainUpdate, state: fleet.FleetState) -> None:
    current = state.domains.get(message.domain)
    if current is not None:
        _check_position(message.version, current.version, DOMAINS, state)


@check_jump.register(types.InstanceUpdate)
@check_jump.register(types.InstanceDelta)
def _(
    message: types.InstanceUpdate | types.InstanceDelta,
    state: fleet.FleetState,
) -> None:
    _check_position(
        message.revision // fleet.LIST_REVISION_STEP,
        state.instances_revision // fleet.LIST_REVISION_STEP,
        INSTANCES,
        state,
    )


@check_jump.register
def _(message: types.ConfigUpdate, state: fleet.FleetState) -> None:
    catalogue = message.value.get(fleet.CATALOGUE_KEY)
    is_new = message.revision > state.config_revision
    if not is_new or not isinstance(catalogue, dict):
        return
    if catalogues.has_unclear_keys(catalogue):
        state.unconfirmed.add(CONFIG)
        raise exceptions.MessageRejected(UNCLEAR_KEYS)


@check_jump.register
def _(message: types.EvacuationUpdate, state: fleet.FleetState) -> None:
    known = state.evacuations.position
    _check_position(message.position, known, EVACUATIONS, state)


@check_jump.register
def _(message: types.GroupReport, state: fleet.FleetState) -> None:
    by_prober = state.reports.get(message.group_id, {})
    current = by_prober.get(message.prober)
    if current is None or not current.tick:
        return
    if message.tick > current.tick + MAX_TICK_JUMP:
        raise exceptions.MessageRejected(REASON)


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
    _check_position(entry.version, current.version, DOMAINS, state)
    holder = current.value.get("lease", {}).get("holder", "")
    return holder != own_id and entry.version > current.version


def _check_position(
    position: int, current: int, kind: str, state: fleet.FleetState
) -> None:
    """Reject an implausible position and have its kind read from the store."""
    if not current or not _is_too_far(position, current):
        return
    state.unconfirmed.add(kind)
    raise exceptions.MessageRejected(REASON)


def _is_too_far(position: int, current: int) -> bool:
    eras = positions.era_of(position) - positions.era_of(current)
    revisions = positions.revision_of(position) - positions.revision_of(current)
    return eras > MAX_ERA_JUMP or (eras >= 0 and revisions > MAX_VERSION_JUMP)
