"""Message types of the streams between controllers and routers.

Each class has a wire tag and a version. Fields are encoded in declaration
order.
"""

from collections.abc import Callable
from typing import Any
from typing import ClassVar

import attrs


def _exact_type(cls: type) -> Callable:
    """Return a validator that rejects subclasses, such as bool for int.

    Thousands of messages are created per second, and this validator is five
    times faster than the validators of attrs.
    """

    def validate(instance: Any, attribute: attrs.Attribute, value: Any) -> None:
        if type(value) is not cls:
            raise TypeError(f"{attribute.name} is not of type {cls.__name__}")

    return validate


_INT = _exact_type(int)
_STR = _exact_type(str)
_BOOL = _exact_type(bool)
_DICT = _exact_type(dict)
_BYTES = _exact_type(bytes)
_LIST = _exact_type(list)
LOAD_LENGTH = 5


def _int() -> int:
    return attrs.field(validator=_INT)


def _str() -> str:
    return attrs.field(validator=_STR)


def _bool() -> bool:
    return attrs.field(validator=_BOOL)


def _dict() -> dict:
    return attrs.field(validator=_DICT)


def _list_of(validate_item: Callable) -> Callable:
    def validate(instance: Any, attribute: attrs.Attribute, value: Any) -> None:
        _LIST(instance, attribute, value)
        for item in value:
            validate_item(instance, attribute, item)

    return validate


def _check_load_length(
    instance: Any, attribute: attrs.Attribute, value: list
) -> None:
    if len(value) != LOAD_LENGTH:
        raise ValueError(f"{attribute.name} has {len(value)} numbers")


@attrs.frozen
class Message:
    """Base of all messages."""

    TAG: ClassVar[int] = 0
    VERSION: ClassVar[int] = 1


@attrs.frozen
class Hello(Message):
    """First message of a connection, in both directions.

    Attributes:
      role: "router" or "controller".
    """

    TAG = 1
    node: str = _str()
    incarnation: int = _int()
    role: str = _str()


@attrs.frozen
class Heartbeat(Message):
    """Proof that the sender is alive, for its neighbours."""

    TAG = 2
    node: str = _str()
    incarnation: int = _int()


@attrs.frozen
class NodeUpdate(Message):
    """State of a node; the highest incarnation wins.

    Attributes:
      cpu_milli: see `tables.Node`; earlier builds send none.
    """

    TAG = 3
    node: str = _str()
    incarnation: int = _int()
    state: str = _str()
    region: str = _str()
    failure_domain: str = _str()
    peer_address: str = _str()
    cpu_milli: int = attrs.field(validator=_INT, default=0)


@attrs.frozen
class ConfigUpdate(Message):
    """Accepted configuration; the value is that of `config/current`."""

    TAG = 4
    revision: int = _int()
    value: dict = _dict()


@attrs.frozen
class GroupReport(Message):
    """Readiness and load of one group as observed by one prober.

    Attributes:
      definite: whether a report of not ready is based on an answer or a refused
        connection of a member, and not only on the lack of an answer.
      age_ms: age of the observation when the report was sent.
      load: running, queued, capacity, cached_tokens, age_ms.
    """

    TAG = 5
    group_id: str = _str()
    prober: str = _str()
    deployment: str = _str()
    generation: int = _int()
    ready: bool = _bool()
    definite: bool = _bool()
    reason: str = _str()
    head_address: str = _str()
    load: list = attrs.field(validator=[_list_of(_INT), _check_load_length])
    age_ms: int = _int()
    tick: int = attrs.field(validator=_INT, default=0)


@attrs.frozen
class DomainUpdate(Message):
    """Domain object of a fabric domain; the highest version wins."""

    TAG = 6
    domain: str = _str()
    version: int = _int()
    value: dict = _dict()


@attrs.frozen
class InstanceUpdate(Message):
    """Instance list of the platform at a revision."""

    TAG = 7
    revision: int = _int()
    instances: list = attrs.field(validator=_list_of(_DICT))


@attrs.frozen
class SuspicionUpdate(Message):
    """Request that was in flight in a group that crashed."""

    TAG = 8
    fingerprint: str = _str()
    crashes: int = _int()
    age_ms: int = _int()


@attrs.frozen
class GroupFault(Message):
    """Report that a router lost its connection to a group during use."""

    TAG = 9
    group_id: str = _str()
    generation: int = _int()
    reason: str = _str()


@attrs.frozen
class RouterStats(Message):
    """Work of a router, sent to its controller once per second."""

    TAG = 10
    in_flight: int = _int()
    queued: int = _int()
    refusals: dict = _dict()
    draining: bool = _bool()


@attrs.frozen
class Leaving(Message):
    """Notice that the sender stops soon and accepts no new work."""

    TAG = 12
    node: str = _str()
    incarnation: int = _int()


@attrs.frozen
class Digest(Message):
    """Summary of the state of the sender.

    A neighbour that lacks a part of this state answers with Versions.

    Attributes:
      nodes, domains, suspicions: hashes over identifiers and versions.
      reports: number of group reports the sender holds.
      evacuations: position of the evacuated failure domains.
    """

    TAG = 20
    config_revision: int = _int()
    instances_revision: int = _int()
    nodes: int = _int()
    domains: int = _int()
    suspicions: int = _int()
    reports: int = _int()
    evacuations: int = attrs.field(validator=_INT, default=0)


@attrs.frozen
class Versions(Message):
    """Versions of one kind of state at the sender, which requests higher ones.

    Attributes:
      kind: kind of the state, see `membership.reconcile`.
      versions: identifier -> version.
    """

    TAG = 21
    kind: str = _str()
    versions: dict = _dict()


@attrs.frozen
class VersionsPart(Message):
    """Versions whose identifiers are in a range, where all exceed a frame.

    Attributes:
      kind: kind of the state, see `membership.reconcile`.
      first: smallest identifier of the range.
      last: smallest identifier after the range, empty for none.
      versions: identifier -> version.
    """

    TAG = 29
    kind: str = _str()
    first: str = _str()
    last: str = _str()
    versions: dict = _dict()


@attrs.frozen
class ReportRefresh(Message):
    """Refreshes of unchanged group reports, with new ages and loads.

    Attributes:
      tree: broadcast tree that carries this message.
      entries: packed entries, see `messages.refresh`.
    """

    TAG = 22
    tree: int = _int()
    entries: bytes = attrs.field(validator=_BYTES)


@attrs.frozen
class ReportRequest(Message):
    """Request for full reports after refreshes of unknown reports.

    Attributes:
      keys: concatenated report keys, see `messages.refresh`; empty requests all
        reports.
    """

    TAG = 23
    keys: bytes = attrs.field(validator=_BYTES)


@attrs.frozen
class DomainDelta(Message):
    """Changes of a domain object relative to known content.

    Attributes:
      base: hash of the content that the delta applies to, see
        `messages.renewal`; renewals of the lease do not change the hash.
      changed: changed top-level keys with their new values; always includes
        the lease.
    """

    TAG = 24
    domain: str = _str()
    base: bytes = attrs.field(validator=_BYTES)
    version: int = _int()
    changed: dict = _dict()


@attrs.frozen
class LeaseRefresh(Message):
    """Renewals of leases.

    Attributes:
      tree: broadcast tree that carries this message.
      entries: packed entries, see `messages.renewal`.
    """

    TAG = 28
    tree: int = _int()
    entries: bytes = attrs.field(validator=_BYTES)


@attrs.frozen
class InstanceDelta(Message):
    """Changes of the instance list since a revision.

    Attributes:
      base: revision that the delta applies to.
      changed: new or changed instances.
      removed: ids of instances that left the list.
    """

    TAG = 25
    base: int = _int()
    revision: int = _int()
    changed: list = attrs.field(validator=_list_of(_DICT))
    removed: list = attrs.field(validator=_list_of(_STR))


@attrs.frozen
class ConfigDelta(Message):
    """Changes of a catalogue since a revision, for a node that requested them.

    Attributes:
      base: revision that the delta applies to.
      changes: packed, see `catalogue_deltas`; they contain the revision.
    """

    TAG = 33
    base: int = _int()
    revision: int = _int()
    changes: bytes = attrs.field(validator=_BYTES)


@attrs.frozen
class PermitRequest(Message):
    """Request, release or renewal of a permit for a suspected fingerprint.

    Attributes:
      holder: unique name of the attempt that requests the permit.
      step: "ask", "release", or "renew" between controllers. Only "ask" is
        answered.
    """

    TAG = 26
    fingerprint: str = _str()
    holder: str = _str()
    step: str = _str()


@attrs.frozen
class PermitGrant(Message):
    """Answer to a PermitRequest whose step is "ask".

    Attributes:
      retry_after_ms: delay before the next request after a refusal.
    """

    TAG = 27
    fingerprint: str = _str()
    holder: str = _str()
    granted: bool = _bool()
    retry_after_ms: int = _int()


# The node has a path and tries to connect; another status follows.
TUNNEL_TRYING = "trying"
TUNNEL_OPEN = "open"
TUNNEL_REFUSED = "refused"
TUNNEL_UNREACHABLE = "unreachable"
# The node has no path itself, or no room.
TUNNEL_UNKNOWN = "unknown"
# The node does not know the upstream.
TUNNEL_UNLISTED = "unlisted"
TUNNEL_STATUSES = (
    TUNNEL_TRYING,
    TUNNEL_OPEN,
    TUNNEL_REFUSED,
    TUNNEL_UNREACHABLE,
    TUNNEL_UNKNOWN,
    TUNNEL_UNLISTED,
)


# The node has a path, and the upstream accepts no connection.
TUNNEL_FAILURES = frozenset({TUNNEL_REFUSED, TUNNEL_UNREACHABLE})


@attrs.frozen
class TunnelRequest(Message):
    """First message of a connection that leads to an upstream.

    Attributes:
      node: node that requests the tunnel.
      address: of the upstream.
    """

    TAG = 30
    node: str = _str()
    address: str = _str()


@attrs.frozen
class TunnelReply(Message):
    """Answer to a TunnelRequest.

    Attributes:
      status: one of `TUNNEL_STATUSES`.
      notices: fields of each `UpstreamNotice` that holds for the node that
        answers, and so for all that is sent through it; not yet validated.
    """

    TAG = 31
    status: str = _str()
    notices: list = attrs.field(factory=list, validator=_LIST)


@attrs.frozen
class UpstreamNotice(Message):
    """What an upstream has stated to the node that receives this message.

    Attributes:
      key: of one life of the upstream (`limit_table`).
      leaving: whether it leaves.
      pause_ms: how long it wants no requests of the node, 0 if it wants them.
    """

    TAG = 32
    key: bytes = attrs.field(validator=_BYTES)
    leaving: bool = _bool()
    pause_ms: int = _int()


@attrs.frozen
class EvacuationUpdate(Message):
    """Evacuated failure domains; the highest position wins.

    Attributes:
      position: of the object API, at which the set was read.
    """

    TAG = 34
    position: int = _int()
    domains: list = attrs.field(validator=_list_of(_STR))


@attrs.frozen
class StoreRead(Message):
    """Statement that the object API has answered a node that reads for others.

    Attributes:
      reader: name of a process of a node.
      tier: of the node, see `store_reads`.
      tick: number of the statement at that process, from 1.
      age_ms: age of the answer when the statement was sent.
    """

    TAG = 35
    reader: bytes = attrs.field(validator=_BYTES)
    tier: int = _int()
    tick: int = _int()
    age_ms: int = _int()


@attrs.frozen
class CrashedPrompt(Message):
    """Parts of a prompt that was in flight at a server that crashed.

    Attributes:
      crash: id of the crash, see `suspicions`.
      parts: packed hashes of the parts.
    """

    TAG = 36
    crash: str = _str()
    age_ms: int = _int()
    parts: bytes = attrs.field(validator=_BYTES)


TYPES: dict[int, type[Message]] = {
    cls.TAG: cls
    for cls in (
        Hello,
        Heartbeat,
        NodeUpdate,
        ConfigUpdate,
        GroupReport,
        DomainUpdate,
        InstanceUpdate,
        SuspicionUpdate,
        GroupFault,
        RouterStats,
        Leaving,
        Digest,
        Versions,
        VersionsPart,
        ReportRefresh,
        ReportRequest,
        DomainDelta,
        InstanceDelta,
        PermitRequest,
        PermitGrant,
        LeaseRefresh,
        TunnelRequest,
        TunnelReply,
        UpstreamNotice,
        ConfigDelta,
        EvacuationUpdate,
        StoreRead,
        CrashedPrompt,
    )
}
