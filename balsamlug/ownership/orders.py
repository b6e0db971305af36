"""Compute and send the orders that bring engines to their assignment."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import json

import attrs
from tornado import httpclient
from tornado import simple_httpclient

from balsamlug import http_status
from balsamlug import tables
from balsamlug.health import observations as obs
from balsamlug.health import readiness
from balsamlug.ownership import groups as group_table

ORDER_TIMEOUT_S = 2.0
# An order is repeated until the engine reports the ordered state. A shorter
# interval would repeat orders whose effect no probe has reported yet.
REPEAT_INTERVAL_S = 1.5
MAX_CLIENTS = 200
STALE_FENCING_STATUS = 409
# Not a status of HTTP, so that no engine can send it: the engine has had a
# higher generation than that of the order.
STALE_GENERATION_STATUS = -1


@attrs.frozen
class Order:
    """Order for one instance.

    Attributes:
      loads: whether the order starts a load of weights.
      permitted: whether the sender still holds the lease, and the assignment
        of the instance is still that of the order.
    """

    instance: str
    address: str
    body: dict
    loads: bool = False
    permitted: Callable[[], bool] = attrs.field(default=lambda: True, eq=False)


@attrs.frozen
class DomainSnapshot:
    """Inputs of the orders of a domain.

    Attributes:
      last_generation: highest generation assigned in the domain.
      max_loads: instances of the domain that may load weights at once.
      priorities: priority of each deployment, 0 is the most urgent.
      unformed: members of each model in groups that the domain lacks, by
        service.
      services: service of each engine.
      group_services: service of each group.
    """

    groups: Mapping[str, tables.Group]
    observations: Mapping[str, obs.Observation]
    addresses: Mapping[str, str]
    epoch: int
    last_generation: int
    max_loads: int
    priorities: Mapping[str, int] = attrs.field(factory=dict)
    unformed: Mapping[str, collections.Counter[str]] = attrs.field(factory=dict)
    services: Mapping[str, str] = attrs.field(factory=dict)
    group_services: Mapping[str, str] = attrs.field(factory=dict)

    def is_mixed(self, group: tables.Group) -> bool:
        """Return whether a member belongs to another service than the group."""
        service = self.group_services.get(group.id, "")
        return any(
            self.services.get(m, service) != service for m in group.members
        )


def due(snapshot: DomainSnapshot, now_s: float) -> list[Order]:
    """Return the orders that are due now."""
    return _join_orders(snapshot, now_s) + _leave_orders(snapshot, now_s)


def _join_orders(snapshot: DomainSnapshot, now_s: float) -> list[Order]:
    groups = [
        g
        for g in snapshot.groups.values()
        if not g.retiring and _all_answer(g, snapshot, now_s)
    ]
    free_loads = snapshot.max_loads - count_loading(snapshot.observations)
    joins = []
    for group in sorted(groups, key=lambda g: _load_order_key(g, snapshot)):
        for order in _group_join_orders(group, snapshot):
            if order.loads and free_loads <= 0:
                continue
            free_loads -= order.loads
            joins.append(order)
    return joins


def _all_answer(
    group: tables.Group, snapshot: DomainSnapshot, now_s: float
) -> bool:
    """Return whether every member answers.

    While a member does not answer, the group will wait or change again, so
    loads of the other members would be wasted.
    """
    observations = [snapshot.observations.get(m) for m in group.members]
    return all(o is not None and o.problem(now_s) is None for o in observations)


def _load_order_key(
    group: tables.Group, snapshot: DomainSnapshot
) -> tuple[int, float, str]:
    """Return a sort key that restores the most instances per load."""
    missing = sum(
        not _holds_weights(group, rank, snapshot)
        for rank in range(len(group.members))
    )
    share = missing / len(group.members)
    return snapshot.priorities.get(group.deployment, 10), share, group.id


def _group_join_orders(
    group: tables.Group, snapshot: DomainSnapshot
) -> list[Order]:
    return [
        _join_order(group, rank, snapshot)
        for rank, member in enumerate(group.members)
        if not readiness.assigned(
            group, rank, snapshot.observations[member].status
        )
    ]


def _join_order(
    group: tables.Group, rank: int, snapshot: DomainSnapshot
) -> Order:
    member = group.members[rank]
    body = {
        "fencing": group_table.fencing(snapshot.epoch, group.generation),
        "kind": "join",
        "group": group.id,
        "generation": group.generation,
        "rank": rank,
        "members": list(group.members),
        "addresses": [snapshot.addresses.get(m, "") for m in group.members],
        "model": group.model,
        "version": group.version,
    }
    loads = not _holds_weights(group, rank, snapshot)
    return Order(member, snapshot.addresses.get(member, ""), body, loads)


def _holds_weights(
    group: tables.Group, rank: int, snapshot: DomainSnapshot
) -> bool:
    observation = snapshot.observations[group.members[rank]]
    status = observation.status
    held = (status.model, status.version, status.rank, len(status.members))
    assigned = (group.model, group.version, rank, len(group.members))
    return held == assigned


def count_loading(observations: Mapping[str, obs.Observation]) -> int:
    """Return how many instances are loading weights."""
    return sum(
        o.status is not None and o.status.state is obs.EngineState.LOADING
        for o in observations.values()
    )


def _leave_orders(snapshot: DomainSnapshot, now_s: float) -> list[Order]:
    """Return orders for instances that report a group but belong to none."""
    assigned = {m for g in snapshot.groups.values() for m in g.members}
    return [
        _leave_order(instance, observation.status, snapshot)
        for instance, observation in snapshot.observations.items()
        if instance not in assigned
        and observation.problem(now_s) is None
        and observation.status.group
    ]


def _leave_order(
    instance: str, status: obs.EngineStatus, snapshot: DomainSnapshot
) -> Order:
    fencing = group_table.fencing(snapshot.epoch, snapshot.last_generation)
    body = {
        "fencing": fencing,
        "kind": "leave",
        "group": status.group,
        "generation": status.generation,
        "rank": status.rank,
        "members": [],
        "addresses": [],
        "model": "",
        "version": "",
    }
    return Order(instance, snapshot.addresses.get(instance, ""), body)


class HttpOrderSender:
    """Sends orders to engines over HTTP."""

    def __init__(self) -> None:
        self._http = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    async def send(self, order: Order) -> tuple[int, dict]:
        """Send an order and return the status and body of the response.

        Raises:
          OSError, HTTPError: no response arrived.
          ValueError: the response is not JSON, or its status is malformed.
        """
        resp = await self._http.fetch(
            f"http://{order.address}/v1/orders",
            method="POST",
            headers={"Content-Type": "application/json"},
            body=json.dumps(order.body),
            connect_timeout=ORDER_TIMEOUT_S,
            request_timeout=ORDER_TIMEOUT_S,
            follow_redirects=False,
            raise_error=False,
        )
        if resp.code == 599:
            resp.rethrow()
        if not http_status.is_final(resp.code):
            raise ValueError(f"malformed status {resp.code}")
        return resp.code, json.loads(resp.body)

    def close(self) -> None:
        """Close the HTTP client."""
        self._http.close()


class Dispatcher:
    """Sends due orders and repeats each after an interval.

    An instance gets one order at a time: what the next one must be depends on
    the answer to the order before.

    Args:
      send: delivers one order.
      on_stale_fencing: called with the higher fencing number of an engine that
        rejects an order as stale.
      on_stale_generation: called with an order whose generation is lower than
        one that the engine has had.
    """

    def __init__(
        self,
        send: Callable,
        on_stale_fencing: Callable[[int], None],
        on_stale_generation: Callable[[Order], None] = lambda order: None,
    ) -> None:
        self._send = send
        self._on_stale_fencing = on_stale_fencing
        self._on_stale_generation = on_stale_generation
        self._last_sent: dict[str, tuple[float, dict]] = {}
        self._in_delivery: set[str] = set()

    def select(self, orders: Iterable[Order], now_s: float) -> list[Order]:
        """Return the orders to send now and record them as sent."""
        orders_by_instance = {o.instance: o for o in orders if o.address}
        for instance in self._last_sent.keys() - orders_by_instance.keys():
            del self._last_sent[instance]
        selected = [
            o for o in orders_by_instance.values() if self._is_due(o, now_s)
        ]
        for order in selected:
            self._last_sent[order.instance] = now_s, order.body
        return selected

    async def deliver(self, order: Order, may_send: Callable) -> None:
        """Send one order if it is still permitted."""
        self._in_delivery.add(order.instance)
        try:
            await self._deliver(order, may_send)
        finally:
            self._in_delivery.discard(order.instance)

    async def _deliver(self, order: Order, may_send: Callable) -> None:
        if not may_send():
            return
        try:
            status, body = await self._send(
                attrs.evolve(order, permitted=may_send)
            )
        except (httpclient.HTTPError, OSError, ValueError):
            return
        if status == STALE_FENCING_STATUS:
            self._on_stale_fencing(int(body.get("fencing", 0)))
        elif status == STALE_GENERATION_STATUS:
            self._on_stale_generation(order)

    def _is_due(self, order: Order, now_s: float) -> bool:
        if order.instance in self._in_delivery:
            return False
        sent_s, body = self._last_sent.get(order.instance, (None, {}))
        if sent_s is None or body != order.body:
            return True
        return now_s - sent_s >= REPEAT_INTERVAL_S
