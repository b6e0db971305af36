"""Plan of the faults of a run, drawn from its seed.

A seed always gives the same faults, so that a failed run can be repeated. A
change to the order of the random draws changes the faults of every seed.
"""

import random

import attrs

# Faults of one series overlap; series follow each other without a pause.
SERIES_S = 6.0
FAULTS_PER_SERIES = 5
MIN_FAULT_S = 0.3
MAX_FAULT_S = 4.0

NODE_KINDS = (
    "node_kill",
    "node_pause",
    "node_term",
    "node_hup",
    "store_cut",
    "caller_link",
)
SERVER_KINDS = ("server_dark", "server_link")
# Not drawn with the other kinds, whose draws would change.
CRASHING_PART = "crashing_part"
# It outlasts the other faults by this time, so that all nodes are in touch and
# requests later than 6 s after a fault can be compared.
CRASHING_PART_MIN_REST_S = 10.0
CRASHING_PART_MAX_REST_S = 14.0
# Likewise.
STORE_RESTORED = "store_restored"
MIN_COPY_AGE_S = 1.0
MAX_COPY_AGE_S = 9.0
# Likewise.
SERVER_SILENT = "server_silent"
SILENCES_PER_SERIES = 3
MIN_SILENCE_S = 0.5
MAX_SILENCE_S = 2.0
# Likewise. Planned stops, with silences of sound heads in their grace period.
HEAD_SILENT = "head_silent"
STOPS_PER_SERIES = 2
SILENCES_PER_STOP = 3
MIN_HEAD_SILENCE_S = 1.0
MAX_HEAD_SILENCE_S = 1.4
# Likewise. The store returns from a copy that lacks generations of groups while
# all nodes are killed.
GENERATIONS_LOST = "generations_lost"
# Likewise. A node is replaced by one of the present or of the earlier build.
UPGRADE = "upgrade"
ROLLBACK = "rollback"
BUILD_KINDS = (UPGRADE, ROLLBACK)
ROLLBACK_SHARE = 0.4
DEATHS_SHARE = 0.5
# Likewise. The operator writes versions in quick series.
VERSION = "version"
VERSION_BURSTS_PER_SERIES = 3
VERSIONS_PER_BURST = (2, 6)
VERSION_BURST_S = 1.0
IDLE_LIMITS_MS = (1_000, 2_500, 5_000, 60_000)
HEAD_LIMITS_MS = (500, 2_000, 10_000)
# Not less than the deadline that callers state.
STREAM_TIMEOUTS_MS = (4_000, 5_000, 20_000)
BOOKING_TIMEOUTS_MS = (1_000, 2_000, 20_000)
ADDED_ROUTES = (0, 3, 400)
# Likewise. The operator evacuates one failure domain beside the other faults,
# then another. This one outlasts the other faults and its bound of 5 s, so that
# it is also seen with all nodes in contact, which takes 4 s.
EVACUATION = "evacuation"
MAX_EVACUATION_AT_S = 3.0
EVACUATIONS_S = (6.0, 9.0)
EVACUATION_RESTS_S = (5.0, 8.0)
# Likewise. All servers of one failure domain restart together and are cold.
COLD_RESTART = "cold_restart"
# Likewise. Open connections go silent for good, and servers leave.
CONNECTIONS_SILENT = "connections_silent"
SERVER_LEAVES = "server_leaves"
# Likewise. The store turns away the nodes that read it, and half way through
# the time no others, those that read it then in their place, or those as well.
READERS_REFUSED = "readers_refused"
NEXT_READERS = ("none", "instead", "too")
# Likewise. A version without the usual customer, and back.
CUSTOMERS_CHANGE = "customers_change"
STORE_KINDS = ("store_down", "store_loses_answers", "store_forgets", "revoke")
LINK_FAULTS = (
    {"delay_ms": 150.0},
    {"reset": True},
    {"cut": "to_target"},
    {"cut": "to_caller"},
    {"drop": True},
    {"half_open": True},
    {"lose_answers": 2},
)


@attrs.frozen
class Variant:
    """What differs between versions of the configuration.

    Attributes:
      idle_ms, head_ms: limits on how long a connection may be idle and a head
        may take.
      stream_timeout_ms, booking_timeout_ms: timeouts of the routes.
      added_routes: number of routes that no caller uses.
    """

    idle_ms: int
    head_ms: int
    stream_timeout_ms: int
    booking_timeout_ms: int
    added_routes: int


@attrs.frozen
class Fault:
    """One planned fault.

    Attributes:
      at_s: start in seconds after the start of the first series.
      for_s: duration in seconds.
      target: index of the node or server.
      link: faults of the proxied link, used by the kinds that affect a link.
      variant: of the version that the operator writes.
      share: of the connections that go silent.
      is_announced: whether a server that leaves reports that it drains; else
        its entry is removed.
      way: how the store turns nodes away, or what customers a version has.
      restarts: whether all nodes restart after a version.
      long_prompts: whether requests with a crashing part have long prompts.
      next_readers: one of `NEXT_READERS`.
    """

    kind: str
    at_s: float
    for_s: float
    target: int = 0
    link: dict = attrs.field(factory=dict)
    variant: Variant | None = None
    share: float = 1.0
    is_announced: bool = True
    way: str = ""
    restarts: bool = False
    next_readers: str = ""
    long_prompts: bool = False


def draw_faults(
    seed: int, series: int, nodes: int, servers: int
) -> tuple[Fault, ...]:
    """Return the faults of a run, in the order of their start."""
    rng = random.Random(seed)
    faults = [
        _draw_fault(rng, number * SERIES_S, nodes, servers)
        for number in range(series)
        for _ in range(FAULTS_PER_SERIES)
    ]
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def draw_crashing_part(
    seed: int, series: int, long_prompts: bool = False
) -> Fault:
    """Return the requests with a crashing part of a run, a draw of its own."""
    rng = random.Random(f"{CRASHING_PART}-{seed}")
    at_s = rng.uniform(0, series * SERIES_S)
    rest_s = rng.uniform(CRASHING_PART_MIN_REST_S, CRASHING_PART_MAX_REST_S)
    end_s = series * SERIES_S + MAX_FAULT_S + rest_s
    return Fault(CRASHING_PART, at_s, end_s - at_s, long_prompts=long_prompts)


def draw_restorations(seed: int, series: int) -> tuple[Fault, ...]:
    """Return two returns of the store from older copies, draws of their own."""
    rng = random.Random(f"{STORE_RESTORED}-{seed}")
    return tuple(
        Fault(
            STORE_RESTORED,
            rng.uniform(0, series * SERIES_S),
            rng.uniform(MIN_COPY_AGE_S, MAX_COPY_AGE_S),
        )
        for _ in range(2)
    )


def draw_silences(seed: int, series: int, servers: int) -> tuple[Fault, ...]:
    """Return the silences of sound servers of a run, draws of their own."""
    rng = random.Random(f"{SERVER_SILENT}-{seed}")
    return tuple(
        Fault(
            SERVER_SILENT,
            rng.uniform(0, series * SERIES_S),
            rng.uniform(MIN_SILENCE_S, MAX_SILENCE_S),
            rng.randrange(servers),
        )
        for _ in range(SILENCES_PER_SERIES * series)
    )


def draw_planned_stops(
    seed: int, series: int, nodes: int, grace_s: float
) -> tuple[Fault, ...]:
    """Return stops, reloads and revisions of a run without other faults."""
    rng = random.Random(f"planned_stops-{seed}")
    faults = []
    for number in range(STOPS_PER_SERIES * series):
        start_s = number * SERIES_S + rng.uniform(0, SERIES_S)
        pause_s = rng.uniform(MIN_FAULT_S, 1.0)
        faults.append(
            Fault("node_term", start_s, pause_s, rng.randrange(nodes))
        )
        faults.append(Fault("node_hup", start_s, 0.0, rng.randrange(nodes)))
        faults.append(Fault("revoke", start_s + rng.uniform(0, grace_s), 0.0))
        faults += [
            Fault(
                HEAD_SILENT,
                start_s + rng.uniform(0, grace_s),
                rng.uniform(MIN_HEAD_SILENCE_S, MAX_HEAD_SILENCE_S),
                rng.randrange(nodes),
            )
            for _ in range(SILENCES_PER_STOP)
        ]
    return tuple(faults)


def draw_lost_generations(seed: int, series: int) -> Fault:
    """Return a return of the store without the last generations of groups."""
    rng = random.Random(f"{GENERATIONS_LOST}-{seed}")
    at_s = rng.uniform(0, series * SERIES_S)
    return Fault(GENERATIONS_LOST, at_s, rng.uniform(MIN_FAULT_S, 1.0))


def draw_versions(seed: int, series: int) -> tuple[Fault, ...]:
    """Return the versions of a run in quick series, draws of their own."""
    rng = random.Random(f"{VERSION}-{seed}")
    bursts = VERSION_BURSTS_PER_SERIES * series
    starts_s = [rng.uniform(0, series * SERIES_S) for _ in range(bursts)]
    return tuple(
        Fault(
            VERSION,
            at_s + rng.uniform(0, VERSION_BURST_S),
            0.0,
            variant=_draw_variant(rng),
        )
        for at_s in starts_s
        for _ in range(rng.randint(*VERSIONS_PER_BURST))
    )


def draw_evacuations(seed: int, series: int, domains: int) -> tuple[Fault, ...]:
    """Return the evacuations of two failure domains, draws of their own."""
    rng = random.Random(f"{EVACUATION}-{seed}")
    at_s = rng.uniform(0, MAX_EVACUATION_AT_S)
    first = Fault(
        EVACUATION, at_s, rng.uniform(*EVACUATIONS_S), rng.randrange(domains)
    )
    at_s += first.for_s + rng.uniform(0, 1)
    faults_end_s = series * SERIES_S + MAX_FAULT_S
    end_s = max(faults_end_s, at_s + 5.0) + rng.uniform(*EVACUATION_RESTS_S)
    other = (first.target + 1) % domains
    return first, Fault(EVACUATION, at_s, end_s - at_s, other)


def draw_cold_restarts(
    seed: int, series: int, domains: int
) -> tuple[Fault, ...]:
    """Return a restart of a failure domain in each series."""
    rng = random.Random(f"{COLD_RESTART}-{seed}")
    return tuple(
        Fault(
            COLD_RESTART,
            number * SERIES_S + rng.uniform(0, SERIES_S),
            rng.uniform(MIN_FAULT_S, MAX_FAULT_S),
            rng.randrange(domains),
        )
        for number in range(series)
    )


def draw_version_step(rng: random.Random) -> int:
    """Return the step of a version; the operator's steps have no limit."""
    return rng.choice((1, 7, 1_001, 8_996, 2**31, 10**12))


def draw_upgrade(seed: int, series: int, nodes: int) -> tuple[Fault, ...]:
    """Return the replacements of nodes by another build, draws of their own.

    In some runs the upgraded nodes go back, the last one first. In some runs a
    node of each build dies between two replacements.
    """
    rng = random.Random(f"{UPGRADE}-{seed}")
    order = rng.sample(range(nodes), nodes)
    steps = [(UPGRADE, node) for node in order]
    if rng.random() < ROLLBACK_SHARE:
        upgraded = order[: rng.randint(1, nodes)]
        steps = steps[: len(upgraded)]
        steps += [(ROLLBACK, node) for node in reversed(upgraded)]
    times_s = sorted(rng.uniform(0, series * SERIES_S) for _ in steps)
    faults = [
        Fault(kind, at_s, rng.uniform(0, MIN_FAULT_S), node)
        for (kind, node), at_s in zip(steps, times_s, strict=True)
    ]
    if rng.random() < DEATHS_SHARE:
        faults += [
            Fault(
                "node_kill",
                rng.uniform(times_s[0], times_s[-1]),
                rng.uniform(MIN_FAULT_S, MAX_FAULT_S),
                node,
            )
            for node in (order[0], order[-1])
        ]
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _draw_variant(rng: random.Random) -> Variant:
    return Variant(
        rng.choice(IDLE_LIMITS_MS),
        rng.choice(HEAD_LIMITS_MS),
        rng.choice(STREAM_TIMEOUTS_MS),
        rng.choice(BOOKING_TIMEOUTS_MS),
        rng.choice(ADDED_ROUTES),
    )


def _draw_fault(
    rng: random.Random, series_start_s: float, nodes: int, servers: int
) -> Fault:
    kind = rng.choice(NODE_KINDS + SERVER_KINDS + STORE_KINDS)
    targets = nodes if kind in NODE_KINDS else servers
    return Fault(
        kind,
        series_start_s + rng.uniform(0, SERIES_S),
        rng.uniform(MIN_FAULT_S, MAX_FAULT_S),
        rng.randrange(targets),
        rng.choice(LINK_FAULTS),
    )
