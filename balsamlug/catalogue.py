"""What operators offer to callers: routes, services, models and customers."""

import enum
import functools

import attrs
import cattrs

from balsamlug.config import schema

# Loads that are under way while others finish, so that a slow report of one
# does not leave the weight store idle.
LOADS_AHEAD = 2.25
# Shares are fractions, weights are whole numbers.
SHARE_SCALE = 1000


class RouteKind(enum.StrEnum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@attrs.frozen
class Target:
    """One service of a route with its share of the requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Which requests go to which services, and how.

    Attributes:
      prefix: beginning of the path, with a slash at both ends.
      timeout_ms: longest time a request is kept waiting.
      target_ms: time to the answer, or to the first event of a stream.
      gap_ms: longest pause between two events of a stream.
      priority: 0 is the most urgent.
      max_attempts: upstreams that one request may be sent to.
      public: whether it needs no key.
      resumable: whether another upstream may continue a stream.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    kind: RouteKind
    timeout_ms: int
    target_ms: int
    gap_ms: int = 0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Tell whether a request that may have run may run again."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


@attrs.frozen
class Model:
    """A model and the groups that serve it.

    Attributes:
      group_size: instances of one group.
      share: part of the work that asks for it.
      pace: factor on all times of its groups.
      load_s: loading the weights onto a host.
      warm_s: joining a group when the host holds the weights.
    """

    name: str
    group_size: int
    share: float = 1.0
    pace: float = 1.0
    load_s: float = 0.0
    warm_s: float = 0.0


@attrs.frozen
class Engine:
    """Times and limits of the groups of a service.

    Attributes:
      slots: requests a group runs at once.
      kv_tokens: tokens its memory holds.
      steps_per_pass: token steps between two looks at the queue.
      step_ms: one token step without requests.
      request_ms: added to a step by each running request.
      context_ms_per_k: added to a step by each 1,000 tokens of context.
      prefill_tokens_per_ms: reading rate of prompts.
      pairs_ms_per_m: added to reading by each million pairs of tokens.
      loads_per_s: loads of weights that may begin in a second.
      loads_at_once: loads that do not slow each other.
      form_ms: from the order to open a group to its first request.
      usual_prompt_tokens, usual_answer_tokens: means of all requests.
    """

    slots: int
    kv_tokens: int
    steps_per_pass: int
    step_ms: float
    request_ms: float
    context_ms_per_k: float
    prefill_tokens_per_ms: float
    pairs_ms_per_m: float
    loads_per_s: float
    loads_at_once: int
    form_ms: float
    usual_prompt_tokens: float
    usual_answer_tokens: float
    models: tuple[Model, ...] = ()


@attrs.frozen
class Service:
    """A kind of upstream; one without an engine is a plain service."""

    name: str
    max_connections: int = 0
    engine: Engine | None = None


@attrs.frozen
class Customer:
    """A customer with the keys that name it.

    Attributes:
      priority: goes before the priority of a route; None without one.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@attrs.frozen
class CallerLimits:
    """Bounds on what a caller may send and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@attrs.frozen
class Catalogue:
    """One accepted revision of everything that is offered."""

    revision: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    customers: tuple[Customer, ...] = ()
    limits: CallerLimits = attrs.field(factory=CallerLimits)

    @functools.cached_property
    def _by_host(self) -> dict[str, list[Route]]:
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host.lower(), []).append(route)
        for routes in hosts.values():
            routes.sort(key=lambda r: -len(r.prefix))
        return hosts

    @functools.cached_property
    def _by_key(self) -> dict[str, Customer]:
        return {key: c for c in self.customers for key in c.keys}

    @functools.cached_property
    def _by_service(self) -> dict[str, Service]:
        return {s.name: s for s in self.services}

    @functools.cached_property
    def models(self) -> dict[str, tuple[Engine, Model]]:
        """Return every model by its name, with the engine that runs it."""
        engines = [s.engine for s in self.services if s.engine]
        return {m.name: (e, m) for e in engines for m in e.models}

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix."""
        name = host.lower().partition(":")[0]
        routes = self._by_host.get(name, ())
        return next((r for r in routes if path.startswith(r.prefix)), None)

    def customer(self, key: str) -> Customer | None:
        """Return the customer that owns a key."""
        return self._by_key.get(key)

    def service(self, name: str) -> Service | None:
        """Return a service by its name."""
        return self._by_service.get(name)

    def engines(self) -> list[tuple[str, Engine]]:
        """Return the services that run models, with their engines."""
        return [(s.name, s.engine) for s in self.services if s.engine]


_converter = cattrs.Converter()


def to_value(catalogue: Catalogue) -> dict:
    """Return a catalogue as plain values for messages between nodes."""
    return _converter.unstructure(catalogue)


def from_value(value: dict) -> Catalogue:
    """Return the catalogue in plain values.

    Raises:
      Exception: cattrs raises several types for values that do not fit.
    """
    return _converter.structure(value, Catalogue)


def settings(catalogue: Catalogue) -> schema.Settings:
    """Return the settings of group planning that a catalogue implies.

    Every model gets as many groups as the instances allow. Larger groups are
    placed first, because small ones fit into what remains.
    """
    limits = schema.Limits()
    deployments = {}
    for _, engine in catalogue.engines():
        loads = int(engine.loads_at_once * LOADS_AHEAD)
        limits = attrs.evolve(limits, max_loads=max(1, loads))
        ordered = sorted(engine.models, key=lambda m: -m.group_size)
        for priority, model in enumerate(ordered):
            deployments[model.name] = schema.Deployment(
                name=model.name,
                model=model.name,
                group_size=model.group_size,
                min_groups=0,
                priority=priority,
                slots=engine.slots,
                weight=max(1, round(model.share * SHARE_SCALE)),
            )
    return schema.Settings(limits=limits, deployments=deployments)
