"""Entities of the state of the fleet, held in tables keyed by identifier.

Controllers and routers share these types; messages carry their fields.
"""

import enum

import attrs


class InstanceKind(enum.StrEnum):
    """Kind of process that an instance runs."""

    ENGINE = "engine"
    SERVICE = "service"
    ENTRY = "entry"


class InstanceState(enum.StrEnum):
    """State of an instance in the platform's list, which lags behind."""

    LIVE = "live"
    LEAVING = "leaving"


class NodeState(enum.StrEnum):
    """State of a node as observed by its peers."""

    UP = "up"
    LEAVING = "leaving"
    DOWN = "down"


class MemberState(enum.StrEnum):
    """State of an instance in its group, as announced in the list."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@attrs.frozen
class Membership:
    """Membership in a group, as an instance announces it.

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
    """State that an instance announces in the list or in a report.

    Attributes:
      membership: None while it is in no group.
      staged: models whose weights its host holds, the newest last.
      orders: number of orders it has started; a restart resets it to 0.
      busy: whether an order is in progress.
      active, queued: number of requests that it runs and that it has queued.
    """

    membership: Membership | None = None
    staged: tuple[str, ...] = ()
    orders: int = 0
    busy: bool = False
    active: int = 0
    queued: int = 0


@attrs.frozen
class Instance:
    """One machine in the platform's list.

    Attributes:
      address: "ip:port" on which its process listens.
      checks_orders: whether it verifies the sender of an order.
      service: name of the service that it is a server of.
      slots: number of requests that it runs at once.
      announcement: None where the list contains none.
      warmup_left_ms: how long it remained cold when it wrote its entry; 0 for
        a warm one.
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
    warmup_left_ms: int = 0


@attrs.frozen
class Group:
    """One replica: an assignment stored in the object of its fabric domain.

    Attributes:
      members: instance ids, the head first.
      generation: incremented by every change of the members or the model.
      incarnations: incarnations of the members at their assignment, in the
        order of the members; an empty one is not checked.
      retiring: why the group accepts no new work and is dissolved once it has
        no work in flight; empty when it is not retiring.
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
    """Load of a group as its head reports it, with a delay.

    Attributes:
      capacity: number of requests that the engine can run at once.
      age_ms: age of the measurement when the report was forwarded.
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
      head_address: "ip:port" to which requests are sent.
      reason: why the group is not ready, empty when it is ready.
      observed_at_s: time of the observation in the receiver's monotonic time:
        the time of receipt minus the age that the sender reported.
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
      cpu_milli: thousandths of a core that the node may use, 0 if not known.
    """

    id: str
    incarnation: int
    region: str
    failure_domain: str
    peer_address: str
    state: NodeState = NodeState.UP
    cpu_milli: int = 0


@attrs.frozen
class Suspicion:
    """Number of upstream crashes during which a request was in flight.

    Attributes:
      fingerprint: hash of the request.
      crashes: groups lost while the request was in flight there.
      seen_at_s: receiver's monotonic time of the last crash.
    """

    fingerprint: str
    crashes: int
    seen_at_s: float


def incarnation_key(incarnation: str) -> tuple[int, str]:
    """Return a sort key that orders decimal numbers in text by value."""
    return len(incarnation), incarnation
