"""Orders that bring the engines of a domain to their assignment."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import json

import attrs
from tornado import httpclient
from tornado import simple_httpclient

from balsamlug import tables
from balsamlug.health import observations as obs
from balsamlug.health import readiness
from balsamlug.ownership import groups as group_table

ORDER_TIMEOUT_S = 2.0
# An order is repeated until the engine reports what was ordered; shorter
# intervals would repeat orders whose effect no probe has seen yet.
REPEAT_INTERVAL_S = 1.5
MAX_CLIENTS = 200
STALE_FENCING_STATUS = 409


@attrs.frozen
class Order:
    """One order for one instance."""

    instance: str
    address: str
    body: dict
    loads: bool = False


@attrs.frozen
class Situation:
    """What the orders of a domain depend on.

    Attributes:
      last_number: highest generation given out in the domain.
      max_loads: instances of the domain that may load weights at once.
      priorities: of the deployments, 0 is the most urgent.
    """

    groups: Mapping[str, tables.Group]
    observations: Mapping[str, obs.Observation]
    addresses: Mapping[str, str]
    epoch: int
    last_number: int
    max_loads: int
    priorities: Mapping[str, int] = attrs.field(factory=dict)


def due(situation: Situation, now_s: float) -> list[Order]:
    """Return the orders that are needed now."""
    return _joins(situation, now_s) + _leaves(situation, now_s)


def _joins(situation: Situation, now_s: float) -> list[Order]:
    groups = [
        g
        for g in situation.groups.values()
        if not g.retiring and _all_answer(g, situation, now_s)
    ]
    room = situation.max_loads - loading(situation.observations)
    joins = []
    for group in sorted(groups, key=lambda g: _load_key(g, situation)):
        for order in _group_joins(group, situation):
            if order.loads and room <= 0:
                continue
            room -= order.loads
            joins.append(order)
    return joins


def _all_answer(
    group: tables.Group, situation: Situation, now_s: float
) -> bool:
    """Return whether every member answers.

    While one does not, the group will change again or wait, and a load of
    the others would be pointless.
    """
    found = [situation.observations.get(m) for m in group.members]
    return all(o is not None and o.problem(now_s) is None for o in found)


def _load_key(
    group: tables.Group, situation: Situation
) -> tuple[int, float, str]:
    """Order loads so that the most instances return for each of them."""
    missing = sum(
        not _holds_weights(group, rank, situation)
        for rank in range(len(group.members))
    )
    share = missing / len(group.members)
    return situation.priorities.get(group.deployment, 10), share, group.id


def _group_joins(group: tables.Group, situation: Situation) -> list[Order]:
    return [
        _join(group, rank, situation)
        for rank, member in enumerate(group.members)
        if not readiness.assigned(
            group, rank, situation.observations[member].status
        )
    ]


def _join(group: tables.Group, rank: int, situation: Situation) -> Order:
    member = group.members[rank]
    body = {
        "fencing": group_table.fencing(situation.epoch, group.generation),
        "kind": "join",
        "group": group.id,
        "generation": group.generation,
        "rank": rank,
        "members": list(group.members),
        "addresses": [situation.addresses.get(m, "") for m in group.members],
        "model": group.model,
        "version": group.version,
    }
    loads = not _holds_weights(group, rank, situation)
    return Order(member, situation.addresses.get(member, ""), body, loads)


def _holds_weights(
    group: tables.Group, rank: int, situation: Situation
) -> bool:
    observation = situation.observations[group.members[rank]]
    status = observation.status
    held = (status.model, status.version, status.rank, len(status.members))
    wanted = (group.model, group.version, rank, len(group.members))
    return held == wanted


def loading(observations: Mapping[str, obs.Observation]) -> int:
    """Return how many instances are loading weights."""
    return sum(
        o.status is not None and o.status.state is obs.EngineState.LOADING
        for o in observations.values()
    )


def _leaves(situation: Situation, now_s: float) -> list[Order]:
    """Release instances that still report a group but belong to none."""
    assigned = {m for g in situation.groups.values() for m in g.members}
    return [
        _leave(instance, observation.status, situation)
        for instance, observation in situation.observations.items()
        if instance not in assigned
        and observation.problem(now_s) is None
        and observation.status.group
    ]


def _leave(
    instance: str, status: obs.EngineStatus, situation: Situation
) -> Order:
    fencing = group_table.fencing(situation.epoch, situation.last_number)
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
    return Order(instance, situation.addresses.get(instance, ""), body)


class HttpOrders:
    """Send orders over HTTP."""

    def __init__(self) -> None:
        self._http = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    async def send(self, address: str, body: dict) -> tuple[int, dict]:
        """Return status and body of the answer.

        Raises:
          OSError, HTTPError: no answer arrived.
          ValueError: the answer is not JSON.
        """
        resp = await self._http.fetch(
            f"http://{address}/v1/orders",
            method="POST",
            headers={"Content-Type": "application/json"},
            body=json.dumps(body),
            connect_timeout=ORDER_TIMEOUT_S,
            request_timeout=ORDER_TIMEOUT_S,
            follow_redirects=False,
            raise_error=False,
        )
        if resp.code == 599:
            resp.rethrow()
        return resp.code, json.loads(resp.body)

    def close(self) -> None:
        """Close the HTTP client."""
        self._http.close()


class Dispatcher:
    """Send due orders, each again after an interval.

    Args:
      send: delivers one order.
      on_stale: told the fencing number an engine answered with.
    """

    def __init__(self, send: Callable, on_stale: Callable[[int], None]) -> None:
        self._send = send
        self._on_stale = on_stale
        self._sent_s: dict[str, tuple[float, dict]] = {}

    def select(self, orders: Iterable[Order], now_s: float) -> list[Order]:
        """Return the orders to send now and note them as sent."""
        wanted = {o.instance: o for o in orders if o.address}
        for instance in self._sent_s.keys() - wanted.keys():
            del self._sent_s[instance]
        selected = [o for o in wanted.values() if self._is_due(o, now_s)]
        for order in selected:
            self._sent_s[order.instance] = now_s, order.body
        return selected

    async def deliver(self, order: Order, may_send: Callable) -> None:
        """Send one order if the lease is still held at this moment."""
        if not may_send():
            return
        try:
            status, body = await self._send(order.address, order.body)
        except (httpclient.HTTPError, OSError, ValueError):
            return
        if status == STALE_FENCING_STATUS:
            self._on_stale(int(body.get("fencing", 0)))

    def _is_due(self, order: Order, now_s: float) -> bool:
        sent_s, body = self._sent_s.get(order.instance, (None, {}))
        if sent_s is None or body != order.body:
            return True
        return now_s - sent_s >= REPEAT_INTERVAL_S
