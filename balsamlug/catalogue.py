"""Catalogue of what operators offer: routes, services, models and customers.

The gateway selects the route, service and customer of a request from it, and
controllers plan groups by the settings derived from it.
"""

import enum
import functools

import attrs
import cattrs

from balsamlug import clock as clocks
from balsamlug.config import schema

# Concurrent loads of weights, as a multiple of those that do not slow each
# other. The surplus keeps the weight store busy when the report of a completed
# load is late.
LOAD_CONCURRENCY_FACTOR = 2.25
# Factor from the share of a model, a fraction, to its weight, an integer.
SHARE_SCALE = 1000


class RouteKind(enum.StrEnum):
    """Kind of the requests on a route: whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@attrs.frozen
class Target:
    """A service of a route with its share of the requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Rule that sends requests of a host and path to services.

    Attributes:
      prefix: path prefix, with a slash at both ends.
      timeout_ms: maximum time until a request is answered or refused.
      target_ms: target time to the answer, or to the first event of a stream.
      gap_ms: target for the longest pause between two events of a stream.
      priority: 0 is the most urgent.
      max_attempts: number of upstreams that one request may be sent to.
      public: whether requests need no key.
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
        """Return whether a request that may have run may run again."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


@attrs.frozen
class Model:
    """A model and the groups that serve it.

    Attributes:
      group_size: number of instances in one group.
      share: part of the work that requests this model.
      pace: factor on all times of its groups.
      load_s: time to load the weights onto a host.
      warm_s: time to join a group when the host holds the weights.
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
      slots: number of requests that a group runs at once.
      kv_tokens: number of tokens that the KV cache of a group holds.
      steps_per_pass: token steps between two checks of the queue.
      step_ms: time of one token step without requests.
      request_ms: time added to a step by each running request.
      context_ms_per_k: time added to a step by each 1,000 tokens of context.
      prefill_tokens_per_ms: prefill rate of prompts.
      pairs_ms_per_m: time added to the prefill by each million token pairs.
      loads_per_s: loads of weights that may start in a second.
      loads_at_once: number of loads that do not slow each other.
      form_ms: time from the order to open a group to its first request.
      usual_prompt_tokens, usual_answer_tokens: means over all requests.
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
    """A kind of upstream; without an engine it is a plain service.

    Attributes:
      warmup_per_s: requests per second that a cold instance accepts from all
        nodes together; 0 means no limit.
      warmup_s: how long an instance is cold after a start during traffic.
    """

    name: str
    max_connections: int = 0
    engine: Engine | None = None
    warmup_per_s: float = 0.0
    warmup_s: float = 0.0


@attrs.frozen
class Customer:
    """A customer with the keys that identify it.

    Attributes:
      priority: overrides the priority of a route; None when not set.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@attrs.frozen
class CallerLimits:
    """Limits on the size and the duration of what a caller sends."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@attrs.frozen
class Catalogue:
    """One accepted revision of all routes, services, customers and limits.

    Attributes:
      lists_customers: whether there is a list of customers, which may be empty.
        Values of earlier builds do not state it.
    """

    revision: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    customers: tuple[Customer, ...] = ()
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    lists_customers: bool = False

    @property
    def needs_keys(self) -> bool:
        """Return whether requests on routes that are not public need a key."""
        return self.lists_customers or bool(self.customers)

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
    def longest_timeout_s(self) -> float:
        """Return the longest timeout of a route, 0 without routes."""
        timeouts_ms = (route.timeout_ms for route in self.routes)
        return max(timeouts_ms, default=0) / clocks.MS_PER_S

    @functools.cached_property
    def models(self) -> dict[tuple[str, str], tuple[Engine, Model]]:
        """Return the engine and the model by the names of service and model."""
        return {
            (service, model.name): (engine, model)
            for service, engine in self.engines()
            for model in engine.models
        }

    def model(self, service: str, name: str) -> tuple[Engine, Model] | None:
        """Return the engine and the model of a name that a service runs."""
        return self.models.get((service, name))

    def pool(self, service: str, model: str) -> str:
        """Return the name of the groups that serve a model of a service.

        It is that of the model, unless other services have one of this name.
        """
        others = (s for s, name in self.models if name == model)
        return model if set(others) <= {service} else f"{service}/{model}"

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix."""
        name = host.lower().partition(":")[0]
        routes = self._by_host.get(name, ())
        return next((r for r in routes if path.startswith(r.prefix)), None)

    def customer(self, key: str) -> Customer | None:
        """Return the customer that a key identifies."""
        return self._by_key.get(key)

    def service(self, name: str) -> Service | None:
        """Return a service by its name."""
        return self._by_service.get(name)

    def engines(self) -> list[tuple[str, Engine]]:
        """Return the services that run models, with their engines."""
        return [(s.name, s.engine) for s in self.services if s.engine]


_converter = cattrs.Converter()
# Parts of a catalogue that are lists, and the types of their items.
ITEM_TYPES = {"routes": Route, "services": Service, "customers": Customer}


def has_unclear_keys(value: dict) -> bool:
    """Return whether plain values do not tell if requests need a key.

    Earlier builds state an empty list of customers and none in the same way.
    """
    return not value.get("customers") and "lists_customers" not in value


def to_value(catalogue: Catalogue) -> dict:
    """Convert a catalogue to plain values for messages between nodes."""
    return _converter.unstructure(catalogue)


def from_value(
    value: dict, known: dict | None = None, built: Catalogue | None = None
) -> Catalogue:
    """Convert plain values of a message to a catalogue.

    Args:
      known: value of an earlier version. What the value shares with it is not
        converted again.
      built: catalogue of the known value.

    Raises:
      Exception: a value has the wrong type; cattrs raises several types.
    """
    plain = {k: v for k, v in value.items() if k not in ITEM_TYPES}
    items = {}
    for section in ITEM_TYPES.keys() & value.keys():
        converted = {}
        if known is not None and section in known:
            before = zip(known[section], getattr(built, section), strict=True)
            converted = {id(raw): item for raw, item in before}
        items[section] = tuple(
            converted.get(id(raw))
            or _converter.structure(raw, ITEM_TYPES[section])
            for raw in value[section]
        )
    return attrs.evolve(_converter.structure(plain, Catalogue), **items)


def settings(catalogue: Catalogue) -> schema.Settings:
    """Return the group planning settings derived from a catalogue.

    Every model gets as many groups as the instances allow. Larger groups are
    placed first, because smaller ones fit into the remaining instances.
    """
    limits = schema.Limits()
    deployments = {}
    if engines := catalogue.engines():
        # All services load weights from one store.
        at_once = min(engine.loads_at_once for _, engine in engines)
        loads = int(at_once * LOAD_CONCURRENCY_FACTOR)
        limits = attrs.evolve(limits, max_loads=max(1, loads))
    for service, engine in engines:
        ordered = sorted(engine.models, key=lambda m: -m.group_size)
        for priority, model in enumerate(ordered):
            pool = catalogue.pool(service, model.name)
            deployments[pool] = schema.Deployment(
                name=model.name,
                model=model.name,
                group_size=model.group_size,
                min_groups=0,
                priority=priority,
                slots=engine.slots,
                weight=max(1, round(model.share * SHARE_SCALE)),
                service=service,
            )
    return schema.Settings(limits=limits, deployments=deployments)
