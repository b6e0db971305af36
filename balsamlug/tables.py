"""Entities held in tables, keyed by their identifiers."""

import enum

import attrs


class InstanceKind(enum.StrEnum):
    """What an instance runs."""

    ENGINE = "engine"
    SERVICE = "service"
    ENTRY = "entry"


class InstanceState(enum.StrEnum):
    """State of an instance in the platform's lagging list."""

    LIVE = "live"
    LEAVING = "leaving"


class NodeState(enum.StrEnum):
    """State of a node as its peers see it."""

    UP = "up"
    LEAVING = "leaving"
    DOWN = "down"


class MemberState(enum.StrEnum):
    """State of an instance in its group, as the list announces it."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@attrs.frozen
class Membership:
    """Group that an instance announces to be part of.

    Attributes:
      group: group id.
      rank: 0 is the head.
    """

    group: str
    generation: int
    rank: int
    state: MemberState
    model: str = ""


@attrs.frozen
class Announcement:
    """What an instance says of itself in the list or in a report.

    Attributes:
      membership: None while it is in no group.
      staged: models whose weights its host holds, the newest last.
      orders: number of orders it has begun; a restart sets it to 0.
      busy: whether an order is under way.
      active, queued: requests that it runs and that wait there.
    """

    membership: Membership | None = None
    staged: tuple[str, ...] = ()
    orders: int = 0
    busy: bool = False
    active: int = 0
    queued: int = 0


@attrs.frozen
class Instance:
    """One machine of the platform's list.

    Attributes:
      address: "ip:port" of the process that answers there.
      accelerators: number of accelerators.
      checks_orders: whether it checks who gives an order.
      service: service that it is a server of.
      slots: requests it runs at once.
      announcement: None where the list does not tell.
    """

    id: str
    incarnation: str
    kind: InstanceKind
    address: str
    fabric_domain: str
    failure_domain: str
    region: str
    accelerators: int = 0
    state: InstanceState = InstanceState.LIVE
    checks_orders: bool = False
    service: str = ""
    slots: int = 0
    announcement: Announcement | None = None


@attrs.frozen
class Group:
    """One replica: an assignment held in its fabric domain's object.

    Attributes:
      members: instance ids, the head first.
      generation: raised by every change of the members or the model.
      incarnations: of the members when they were assigned, in their order; an
        empty one is not checked.
      retiring: why the group takes no new work and is dissolved once it has
        no work in flight, empty when it stays.
    """

    id: str
    deployment: str
    generation: int
    members: tuple[str, ...]
    model: str
    version: str
    incarnations: tuple[str, ...] = ()
    retiring: str = ""


@attrs.frozen
class LoadReport:
    """Load of a group as its head reports it, with a lag.

    Attributes:
      capacity: requests the engine can run at once.
      age_ms: age of the figures when they were sent on.
    """

    running: int = 0
    queued: int = 0
    capacity: int = 0
    cached_tokens: int = 0
    age_ms: int = 0


@attrs.frozen
class GroupStatus:
    """Readiness of a group as observed at one moment.

    Attributes:
      head_address: "ip:port" requests are sent to.
      reason: why the group is not ready, empty when it is.
      observed_at_s: receiver's monotonic time, sender's age subtracted.
    """

    group_id: str
    deployment: str
    generation: int
    ready: bool
    reason: str
    head_address: str
    load: LoadReport
    observed_at_s: float


@attrs.frozen
class Node:
    """One entry instance that runs a router and a controller.

    Attributes:
      incarnation: increases with every start of the controller.
      peer_address: "ip:port" of the peer stream.
    """

    id: str
    incarnation: int
    region: str
    failure_domain: str
    peer_address: str
    state: NodeState = NodeState.UP


@attrs.frozen
class Suspicion:
    """How often upstreams crashed with a request in flight.

    Attributes:
      fingerprint: hash of the request.
      crashes: groups lost while the request was in flight there.
      seen_at_s: receiver's monotonic time of the last crash.
    """

    fingerprint: str
    crashes: int
    seen_at_s: float
