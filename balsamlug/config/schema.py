"""Sections of the configuration and the settings parsed from them."""

import attrs

from balsamlug.config import options

DAY_HOURS = 24
MILLI = 1000
LIMITS = {
    "max_body_kb": options.integer(1, 65_536, default=1024),
    "max_queue": options.integer(1, 100_000, default=256),
    "stream_buffer_kb": options.integer(1, 65_536, default=256),
    "retention_hours": options.integer(1, 30 * DAY_HOURS, default=DAY_HOURS),
    "max_loads": options.integer(1, 100_000, default=64),
}
DEPLOYMENT = {
    "model": options.text(),
    "version": options.name(default="1"),
    "group_size": options.integer(1, 1024),
    "min_groups": options.integer(0, 10_000, default=1),
    "max_groups": options.integer(0, 10_000, default=10_000),
    "priority": options.integer(0, 9, default=5),
    "slots": options.integer(1, 10_000, default=16),
}
CUSTOMER = {
    "key": options.text(),
    "weight": options.integer(1, 1000, default=1),
    "priority": options.integer(0, 9, default=5),
    "deadline_ms": options.integer(1, 3_600_000, default=30_000),
    "deployments": options.names(),
}
ROLE = {
    "priority": options.integer(0, 9, default=5),
    "deadline_ms": options.integer(1, 3_600_000, default=30_000),
}
SERVICE = {
    "addresses": options.addresses(minimum=1),
    "idempotent": options.boolean(default=False),
    "timeout_ms": options.integer(1, 3_600_000, default=10_000),
}
NODE = {
    "id": options.name(),
    "site": options.name(),
    "region": options.name(),
    "failure_domain": options.name(),
    "address": options.ip(),
    "caller_port": options.integer(1, options.MAX_PORT),
    "control_port": options.integer(1, options.MAX_PORT),
    "peer_port": options.integer(1, options.MAX_PORT),
    "admin_port": options.integer(1, options.MAX_PORT),
    "platform": options.url(),
    "peers": options.addresses(default=()),
    "log_file": options.text(default="-"),
}
ENTRY = {
    "id": options.name(),
    "failure_domain": options.name(),
    "region": options.name(),
    "address": options.ip(),
    "caller_address": options.addresses(minimum=1),
    "admin_address": options.addresses(minimum=1),
    "peer_address": options.addresses(minimum=1),
    "platform_address": options.addresses(minimum=1),
    "peer_listen_port": options.integer(0, options.MAX_PORT, default=0),
    "peers": options.addresses(default=()),
    "metrics_port": options.integer(0, options.MAX_PORT, default=0),
    "grace_s": options.integer(1, 3_600, default=8),
    "retry_share": options.number(0.0, 1.0, default=0.1),
    "retry_window_s": options.number(0.1, 3_600.0, default=30.0),
    "retry_allowance": options.number(0.0, 1e6, default=240.0),
    "evacuate_ms": options.or_empty(options.integer(0, 600_000), default=0),
    "warmup_overshoot": options.or_empty(
        options.number(0.0, 100.0, default=0.0), default=None
    ),
    "warmup_slack": options.or_empty(
        options.number(0.0, 1e6, default=0.0), default=None
    ),
    "unread_mb": options.integer(0, 65_536, default=0),
    "adaptive_ramp": options.boolean(default=False),
    "memory_mb": options.or_empty(
        options.integer(0, 2**20, default=0), default=0
    ),
    "max_fds": options.or_empty(
        options.integer(0, 2**30, default=0), default=0
    ),
    "overload_control": options.boolean(default=False),
    "cpu_share": options.or_empty(
        options.number(0.0, 4_096.0, default=0.0), default=0.0
    ),
    "cpu_cores": options.or_empty(
        options.integer(0, 4_096, default=0), default=0
    ),
}


@attrs.frozen
class Limits:
    """Limits of every node.

    Attributes:
      max_loads: instances of the site that may load weights at once, so that
        the rate limit of the weight store is not exceeded.
    """

    max_body_kb: int = 1024
    max_queue: int = 256
    stream_buffer_kb: int = 256
    retention_hours: int = DAY_HOURS
    max_loads: int = 64


@attrs.frozen
class Deployment:
    """A model and the groups that serve it.

    Attributes:
      group_size: instances of one group.
      priority: 0 is the most urgent.
      slots: requests that one group runs concurrently.
      weight: share of the instances relative to other deployments; 0 means
        the weight of its customers.
      service: service whose engines serve it, empty for all engines.
    """

    name: str
    model: str
    group_size: int
    version: str = "1"
    min_groups: int = 1
    max_groups: int = 10_000
    priority: int = 5
    slots: int = 16
    weight: int = 0
    service: str = ""


@attrs.frozen
class Customer:
    """A customer with its deployments and default terms.

    Attributes:
      weight: share of the queue relative to other customers.
      priority: 0 is the most urgent.
      deadline_ms: maximum time to the first token.
    """

    name: str
    key: str
    deployments: tuple[str, ...]
    weight: int = 1
    priority: int = 5
    deadline_ms: int = 30_000


@attrs.frozen
class Role:
    """A class of requests of a customer."""

    customer: str
    name: str
    priority: int = 5
    deadline_ms: int = 30_000


@attrs.frozen
class Service:
    """A plain service, which runs no models."""

    name: str
    addresses: tuple[str, ...]
    idempotent: bool = False
    timeout_ms: int = 10_000


@attrs.frozen
class Settings:
    """The complete configuration of a site, with tables keyed by name."""

    limits: Limits = attrs.field(factory=Limits)
    deployments: dict[str, Deployment] = attrs.field(factory=dict)
    customers: dict[str, Customer] = attrs.field(factory=dict)
    roles: dict[tuple[str, str], Role] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)

    def customer_by_key(self, key: str) -> Customer | None:
        """Return the customer with a bearer key."""
        matches = (c for c in self.customers.values() if c.key == key)
        return next(matches, None)


@attrs.frozen
class NodeSettings:
    """Settings of the processes of one node, read from a file.

    Attributes:
      cpu_milli: thousandths of a core that the node may use, 0 if not known.
      peer_listen_port: port on which links are accepted if a proxy or an
        address translation listens on `peer_port`, 0 if none does.
    """

    id: str
    site: str
    region: str
    failure_domain: str
    address: str
    caller_port: int
    control_port: int
    peer_port: int
    admin_port: int
    platform: str
    peers: tuple[str, ...] = ()
    log_file: str = "-"
    cpu_milli: int = 0
    peer_listen_port: int = 0

    @property
    def link_port(self) -> int:
        """Return the port on which links of peers are accepted."""
        return self.peer_listen_port or self.peer_port


@attrs.frozen
class EntrySettings:
    """Settings of an entry process, read from a file.

    Attributes:
      caller_address, admin_address, peer_address, platform_address: one
        "ip:port" each.
      peer_listen_port: port on which links of peers are accepted, 0 for that
        of `peer_address`.
      metrics_port: additional port of the pages of `admin_address`, 0 for
        none.
      grace_s: time from SIGTERM to SIGKILL.
      retry_share, retry_window_s, retry_allowance: bound of the retries of all
        nodes together, as a share of the requests plus a constant.
      evacuate_ms: time after its acknowledgement from which the evacuation of
        a failure domain must hold, 0 if operators evacuate none.
      warmup_overshoot, warmup_slack: bound of the requests to a cold instance
        in one second from all nodes, as a multiple of the declared rate plus a
        constant. Without the first, or with 0, there is no bound.
      unread_mb: bound of what is held for callers that do not read, 0 for
        none.
      adaptive_ramp: whether requests in flight at a group that has just started
        are limited while other groups have free slots.
      memory_mb: memory of the machine, 0 if it is not known.
      max_fds: descriptors that the process may open, 0 for its soft limit.
      overload_control: whether admission control decides which requests run.
      cpu_share, cpu_cores: cores of the machine and the share of each that the
        process may use, 0 if not known. In a large fleet, the nodes that may
        use most add up the loads of all.
    """

    id: str
    failure_domain: str
    region: str
    address: str
    caller_address: tuple[str, ...]
    admin_address: tuple[str, ...]
    peer_address: tuple[str, ...]
    platform_address: tuple[str, ...]
    peers: tuple[str, ...] = ()
    peer_listen_port: int = 0
    metrics_port: int = 0
    grace_s: int = 8
    retry_share: float = 0.1
    retry_window_s: float = 30.0
    retry_allowance: float = 240.0
    evacuate_ms: int = 0
    warmup_overshoot: float | None = None
    warmup_slack: float | None = None
    unread_mb: int = 0
    adaptive_ramp: bool = False
    memory_mb: int = 0
    max_fds: int = 0
    overload_control: bool = False
    cpu_share: float = 0.0
    cpu_cores: int = 0

    @property
    def admin_port(self) -> int:
        """Return the port that serves readiness and metrics."""
        return _port(self.admin_address)

    def node(self) -> NodeSettings:
        """Return the settings as NodeSettings, as the controller expects."""
        return NodeSettings(
            id=self.id,
            site=self.region,
            region=self.region,
            failure_domain=self.failure_domain,
            address=self.address,
            caller_port=_port(self.caller_address),
            control_port=_port(self.admin_address),
            peer_port=_port(self.peer_address),
            admin_port=_port(self.admin_address),
            platform=f"http://{self.platform_address[0]}",
            peers=self.peers,
            cpu_milli=round(self.cpu_share * self.cpu_cores * MILLI),
            peer_listen_port=self.peer_listen_port,
        )


def _port(address: tuple[str, ...]) -> int:
    return int(address[0].rpartition(":")[2])
