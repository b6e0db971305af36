"""Message types of the streams between controllers and routers.

Each class has a wire tag and a version. Fields travel in declaration order.
"""

from collections.abc import Callable
from typing import Any
from typing import ClassVar

import attrs


def _exactly(cls: type) -> Callable:
    """Return a validator that rejects subclasses, such as bool for int.

    Messages are made thousands of times a second, and this is five times
    faster than the validators of attrs.
    """

    def validate(instance: Any, attribute: attrs.Attribute, value: Any) -> None:
        if type(value) is not cls:
            raise TypeError(f"{attribute.name} is no {cls.__name__}")

    return validate


_INT = _exactly(int)
_STR = _exactly(str)
_BOOL = _exactly(bool)
_DICT = _exactly(dict)
_BYTES = _exactly(bytes)
_LIST = _exactly(list)
LOAD_LENGTH = 5


def _int() -> int:
    return attrs.field(validator=_INT)


def _str() -> str:
    return attrs.field(validator=_STR)


def _bool() -> bool:
    return attrs.field(validator=_BOOL)


def _dict() -> dict:
    return attrs.field(validator=_DICT)


def _list_of(member: Callable) -> Callable:
    def validate(instance: Any, attribute: attrs.Attribute, value: Any) -> None:
        _LIST(instance, attribute, value)
        for item in value:
            member(instance, attribute, item)

    return validate


def _load_length(
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
    """Sign of life between neighbours."""

    TAG = 2
    node: str = _str()
    incarnation: int = _int()


@attrs.frozen
class NodeUpdate(Message):
    """State of a node; the highest incarnation wins."""

    TAG = 3
    node: str = _str()
    incarnation: int = _int()
    state: str = _str()
    region: str = _str()
    failure_domain: str = _str()
    peer_address: str = _str()


@attrs.frozen
class ConfigUpdate(Message):
    """An accepted configuration; value as in `config/current`."""

    TAG = 4
    revision: int = _int()
    value: dict = _dict()


@attrs.frozen
class GroupReport(Message):
    """Readiness and load of one group, as one prober sees it.

    Attributes:
      definite: a not-ready report rests on an answer or a refused connection
        of a member, and not only on its silence.
      age_ms: age of the observation when it was sent.
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
    load: list = attrs.field(validator=[_list_of(_INT), _load_length])
    age_ms: int = _int()
    tick: int = attrs.field(validator=_INT, default=0)


@attrs.frozen
class DomainUpdate(Message):
    """Object of a fabric domain; the highest version wins."""

    TAG = 6
    domain: str = _str()
    version: int = _int()
    value: dict = _dict()


@attrs.frozen
class InstanceUpdate(Message):
    """The platform's list of instances at a revision."""

    TAG = 7
    revision: int = _int()
    instances: list = attrs.field(validator=_list_of(_DICT))


@attrs.frozen
class SuspicionUpdate(Message):
    """A request was in flight in a group that crashed."""

    TAG = 8
    fingerprint: str = _str()
    crashes: int = _int()
    age_ms: int = _int()


@attrs.frozen
class GroupFault(Message):
    """A router lost its connection to a group while using it."""

    TAG = 9
    group_id: str = _str()
    generation: int = _int()
    reason: str = _str()


@attrs.frozen
class RouterStats(Message):
    """Work of a router, sent to its controller every second."""

    TAG = 10
    in_flight: int = _int()
    queued: int = _int()
    refusals: dict = _dict()
    draining: bool = _bool()


@attrs.frozen
class Leaving(Message):
    """The sender stops soon and takes no new work."""

    TAG = 12
    node: str = _str()
    incarnation: int = _int()


@attrs.frozen
class Digest(Message):
    """Summary of what the sender knows.

    A neighbour that knows less about a class answers with Versions.

    Attributes:
      nodes, domains, suspicions: hashes over identifiers and versions.
      reports: number of group reports the sender holds.
    """

    TAG = 20
    config_revision: int = _int()
    instances_revision: int = _int()
    nodes: int = _int()
    domains: int = _int()
    suspicions: int = _int()
    reports: int = _int()


@attrs.frozen
class Versions(Message):
    """Versions the sender holds of one class; it asks for higher ones.

    Attributes:
      kind: class of the state, see `membership.reconcile`.
      versions: identifier -> version.
    """

    TAG = 21
    kind: str = _str()
    versions: dict = _dict()


@attrs.frozen
class ReportRefresh(Message):
    """Group reports that still hold, with new ages and loads.

    Attributes:
      tree: broadcast tree that carries this message.
      entries: packed entries, see `messages.refresh`.
    """

    TAG = 22
    tree: int = _int()
    entries: bytes = attrs.field(validator=_BYTES)


@attrs.frozen
class ReportWanted(Message):
    """The sender got refreshes of reports that it does not hold.

    Attributes:
      keys: concatenated report keys, see `messages.refresh`; empty for all.
    """

    TAG = 23
    keys: bytes = attrs.field(validator=_BYTES)


@attrs.frozen
class DomainDelta(Message):
    """Parts of a domain object that changed since a known content.

    Attributes:
      base: hash of the content that the delta applies to, see
        `messages.renewal`; renewals of the lease do not change it.
      changed: top-level keys with their new values, always with the lease.
    """

    TAG = 24
    domain: str = _str()
    base: bytes = attrs.field(validator=_BYTES)
    version: int = _int()
    changed: dict = _dict()


@attrs.frozen
class LeaseRefresh(Message):
    """Leases that were renewed.

    Attributes:
      tree: broadcast tree that carries this message.
      entries: packed entries, see `messages.renewal`.
    """

    TAG = 28
    tree: int = _int()
    entries: bytes = attrs.field(validator=_BYTES)


@attrs.frozen
class InstanceDelta(Message):
    """Instances that changed since a revision of the list.

    Attributes:
      base: revision that the delta applies to.
      changed: new or changed instances.
      removed: ids that left the list.
    """

    TAG = 25
    base: int = _int()
    revision: int = _int()
    changed: list = attrs.field(validator=_list_of(_DICT))
    removed: list = attrs.field(validator=_list_of(_STR))


@attrs.frozen
class PermitRequest(Message):
    """A router asks to run a suspected fingerprint, or gives a permit back.

    Attributes:
      holder: unique name of the attempt that asks.
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
      retry_after_ms: when to ask again after a refusal.
    """

    TAG = 27
    fingerprint: str = _str()
    holder: str = _str()
    granted: bool = _bool()
    retry_after_ms: int = _int()


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
        ReportRefresh,
        ReportWanted,
        DomainDelta,
        InstanceDelta,
        PermitRequest,
        PermitGrant,
        LeaseRefresh,
    )
}
