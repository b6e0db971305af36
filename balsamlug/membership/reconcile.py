"""Anti-entropy: compare the state of two neighbours and find missing values.

Neighbours exchange digests when a link opens and every few seconds. A node
whose digest differs sends its versions and receives only newer values.
"""

from collections.abc import Callable
from collections.abc import Iterable
import functools
import hashlib

from balsamlug import catalogue_deltas
from balsamlug import exceptions
from balsamlug import snapshots
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.messages import codec
from balsamlug.messages import renewal
from balsamlug.messages import types

HASH_BYTES = 7
# Leaves room for the kind and the range of a part of the versions.
MAX_PART_BYTES = codec.MAX_FRAME_BYTES - 4_096
# Largest encoding of the length of a name and of a version.
VERSION_BYTES = 14
CONFIG = "config"
# Name under which a node states the content of its configuration. It thereby
# requests the changes since then in place of the whole configuration.
CONTENT = "content"
INSTANCES = "instances"
NODES = "nodes"
DOMAINS = "domains"
SUSPICIONS = "suspicions"
EVACUATIONS = "evacuations"
_STATE_COUNT = len(tables.NodeState)

Versions = types.Versions | types.VersionsPart


def digest(state: fleet.FleetState, reports: int) -> types.Digest:
    """Return the digest of a state.

    Args:
      reports: number of group reports that have not expired.
    """
    return types.Digest(
        state.config_revision,
        state.instances_revision,
        _hash(_node_versions(state).items()),
        _hash(_domain_contents(state)),
        _hash(_suspicion_versions(state).items()),
        reports,
        state.evacuations.position,
    )


def differing_kinds(local: types.Digest, other: types.Digest) -> list[str]:
    """Return the kinds of state that may be newer at the neighbour."""
    kinds = []
    if other.config_revision > local.config_revision:
        kinds.append(CONFIG)
    if other.instances_revision > local.instances_revision:
        kinds.append(INSTANCES)
    if other.nodes != local.nodes:
        kinds.append(NODES)
    if other.domains != local.domains:
        kinds.append(DOMAINS)
    if other.suspicions != local.suspicions:
        kinds.append(SUSPICIONS)
    if other.evacuations > local.evacuations:
        kinds.append(EVACUATIONS)
    return kinds


def versions(state: fleet.FleetState, kind: str) -> list[Versions]:
    """Return messages with the local versions of one kind of state.

    Each fits in a frame.
    """
    local = _VERSIONS[kind](state)
    parts = _parts(local)
    if len(parts) == 1:
        return [types.Versions(kind, local)]
    firsts = ["", *(next(iter(part)) for part in parts[1:])]
    lasts = [*firsts[1:], ""]
    return [
        types.VersionsPart(kind, first, last, part)
        for first, last, part in zip(firsts, lasts, parts, strict=True)
    ]


def _parts(local: dict[str, int]) -> list[dict[str, int]]:
    """Return the versions in the order of their names, split by size."""
    parts: list[dict[str, int]] = [{}]
    size = 0
    for name, version in sorted(local.items()):
        entry_bytes = len(name.encode()) + VERSION_BYTES
        size += entry_bytes
        if size > MAX_PART_BYTES:
            parts.append({})
            size = entry_bytes
        parts[-1][name] = version
    return parts


@functools.singledispatch
def _covers(message: Versions, name: str) -> bool:
    """Return whether a message would contain the version of a name."""
    return True


@_covers.register
def _(message: types.VersionsPart, name: str) -> bool:
    is_before_last = not message.last or name < message.last
    return message.first <= name and is_before_last


def newer_messages(
    state: fleet.FleetState, message: Versions, now_s: float
) -> list[types.Message]:
    """Return messages for all values newer than the given versions."""
    if message.kind == CONFIG:
        return _newer_config(state, message.versions)
    local = _VERSIONS[message.kind](state)
    names = [
        name
        for name, version in local.items()
        if _covers(message, name) and version > message.versions.get(name, -1)
    ]
    return [_MESSAGES[message.kind](state, name, now_s) for name in names]


def _newer_config(
    state: fleet.FleetState, known: dict[str, int]
) -> list[types.Message]:
    """Return the configuration if it is newer, as changes where possible."""
    base = known.get(CONFIG, -1)
    if state.config_revision <= base:
        return []
    history = state.config_history
    changes = history.changes_since(base, known.get(CONTENT, 0))
    if changes is None:
        return [config_message(state)]
    packed = catalogue_deltas.pack(changes)
    return [types.ConfigDelta(base, state.config_revision, packed)]


def _hash(items: Iterable) -> int:
    text = repr(sorted(items)).encode()
    raw = hashlib.blake2b(text, digest_size=HASH_BYTES).digest()
    return int.from_bytes(raw, "big")


def _node_versions(state: fleet.FleetState) -> dict[str, int]:
    return {
        name: node.incarnation * _STATE_COUNT
        + fleet.NODE_STATE_RANK[node.state]
        for name, node in state.nodes.items()
    }


def _domain_versions(state: fleet.FleetState) -> dict[str, int]:
    return {name: item.version for name, item in state.domains.items()}


def _domain_contents(state: fleet.FleetState) -> list[tuple]:
    # Renewals of the lease are left out. They are nearly always in transit, and
    # the digests would nearly always differ.
    return [
        (
            name,
            _lease_key(item.value),
            item.value.get("next_group"),
            _generations(item.value),
            sorted(item.value.get("draining", {})),
        )
        for name, item in state.domains.items()
    ]


def _lease_key(value: dict) -> tuple:
    lease = value.get("lease") or {}
    return lease.get("holder"), lease.get("epoch")


def _generations(value: dict) -> list[tuple]:
    groups = value.get("groups", {})
    return sorted((name, g.get("generation")) for name, g in groups.items())


def _suspicion_versions(state: fleet.FleetState) -> dict[str, int]:
    return {name: item.crashes for name, item in state.suspicions.items()}


def _config_versions(state: fleet.FleetState) -> dict[str, int]:
    revision = state.config_revision
    content = state.config_history.digest(revision)
    return {CONFIG: revision} | ({CONTENT: content} if content else {})


def _instance_versions(state: fleet.FleetState) -> dict[str, int]:
    return {INSTANCES: state.instances_revision}


def _evacuation_versions(state: fleet.FleetState) -> dict[str, int]:
    position = state.evacuations.position
    return {EVACUATIONS: position} if position else {}


_VERSIONS: dict[str, Callable[[fleet.FleetState], dict[str, int]]] = {
    CONFIG: _config_versions,
    INSTANCES: _instance_versions,
    NODES: _node_versions,
    DOMAINS: _domain_versions,
    SUSPICIONS: _suspicion_versions,
    EVACUATIONS: _evacuation_versions,
}


def config_message(
    state: fleet.FleetState, name: str = "", now_s: float = 0.0
) -> types.ConfigUpdate:
    """Return the message of the configuration in force."""
    del name, now_s
    return types.ConfigUpdate(state.config_revision, state.config_value)


def domain_message(
    state: fleet.FleetState, name: str, now_s: float = 0.0
) -> types.DomainUpdate:
    """Return the message of a domain object."""
    del now_s
    item = state.domains[name]
    return types.DomainUpdate(item.domain, item.version, item.value)


def _instances_message(
    state: fleet.FleetState, name: str, now_s: float
) -> types.InstanceUpdate:
    del name, now_s
    return snapshots.instance_message(state)


def _node_message(
    state: fleet.FleetState, name: str, now_s: float
) -> types.NodeUpdate:
    del now_s
    return snapshots.node_message(state.nodes[name])


def _suspicion_message(
    state: fleet.FleetState, name: str, now_s: float
) -> types.SuspicionUpdate:
    return snapshots.suspicion_message(state.suspicions[name], now_s)


def _evacuation_message(
    state: fleet.FleetState, name: str, now_s: float
) -> types.EvacuationUpdate:
    del name, now_s
    return snapshots.evacuation_message(state)


_MESSAGES: dict[
    str, Callable[[fleet.FleetState, str, float], types.Message]
] = {
    CONFIG: config_message,
    INSTANCES: _instances_message,
    NODES: _node_message,
    DOMAINS: domain_message,
    SUSPICIONS: _suspicion_message,
    EVACUATIONS: _evacuation_message,
}


@functools.singledispatch
def apply_delta(
    message: types.Message, state: fleet.FleetState
) -> types.Message | None:
    """Return the message to apply for a delta, None if its base is missing."""
    return message


@apply_delta.register
def _(
    message: types.DomainDelta, state: fleet.FleetState
) -> types.Message | None:
    known = state.domains.get(message.domain)
    if known is None or known.version >= message.version:
        return None
    if renewal.content_key(message.domain, known.value) != message.base:
        return None
    value = known.value | message.changed
    return types.DomainUpdate(message.domain, message.version, value)


@apply_delta.register
def _(
    message: types.InstanceDelta, state: fleet.FleetState
) -> types.Message | None:
    # The state applies a delta of the list itself, without a walk over the
    # unchanged instances.
    local = state.instances_revision
    return message if fleet.is_delta_applicable(message, local) else None


@apply_delta.register
def _(
    message: types.ConfigDelta, state: fleet.FleetState
) -> types.Message | None:
    known = state.config_value.get(fleet.CATALOGUE_KEY)
    if known is None or message.base != state.config_revision:
        return None
    try:
        changes = catalogue_deltas.unpack(message.changes)
        catalogue = catalogue_deltas.patched(known, changes)
    except exceptions.MALFORMED_VALUE as exc:
        raise exceptions.MessageRejected("bad_value") from exc
    # As a ConfigUpdate, the message contains the revision twice.
    if changes.parts.get("revision") != message.revision:
        raise exceptions.MessageRejected("bad_value")
    value = {"revision": message.revision, fleet.CATALOGUE_KEY: catalogue}
    return types.ConfigUpdate(message.revision, value)


def is_ahead(
    message: types.DomainDelta | types.InstanceDelta, state: fleet.FleetState
) -> bool:
    """Return whether a delta leads to a newer version than the local one."""
    if isinstance(message, types.InstanceDelta):
        return message.revision > state.instances_revision
    known = state.domains.get(message.domain)
    return known is None or message.version > known.version
