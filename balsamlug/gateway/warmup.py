"""Keep cold instances within the rate that they accept from all nodes.

An instance that has just started answers slowly, and crashes when it gets far
more requests per second than its service declares. All nodes may see it idle
at the same moment, so a shared count would be known too late. Instead, each
node computes alone which nodes may send to a cold instance and how often. The
design is described in docs/design/warm-up.md.
"""

from collections.abc import Callable
from collections.abc import Sequence
import math
import random
from typing import TypeVar

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import hashing
from balsamlug import limit_table
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.gateway import cold_instances
from balsamlug.messages import types
from balsamlug.observability import metrics as metric

# Share of the bound that the nodes of one view use. Two disjoint views of the
# live nodes then stay within the bound together.
VIEW_SHARE = 0.5
# Fewer nodes that send more often use a little more of a small rate, but
# demand has to arrive at these few. More nodes are selected when they use at
# least this share of what the best number of nodes uses.
MIN_USED_SHARE = 0.9
# A lost node counts as part of the fleet for this time, because it may be
# behind a partition and send requests. Longer partitions count as losses.
LOST_RETENTION_S = 60.0
# Spreads the returns of callers that were refused at the same time.
REFUSAL_SPREAD_S = 0.25
# Time in a refusal by a node that is not selected. The caller reaches another
# node, and the selected nodes of a large fleet get a permit this often.
UNSELECTED_WAIT_S = 1.0
MAX_WAIT_S = 4.0
# Key of one life of an instance, as in `limit_table`.
Key = bytes

_T = TypeVar("_T")


@attrs.frozen
class Bound:
    """Bound of the requests in one second, as a multiple plus a constant."""

    overshoot: float
    slack: float

    def requests(self, per_s: float) -> float:
        """Return the most requests in one second for a declared rate."""
        return per_s * self.overshoot + self.slack


@attrs.frozen
class Share:
    """Nodes that may send to a cold instance.

    Attributes:
      nodes: number of selected nodes.
      interval_s: minimum time between two requests of one of them.
    """

    nodes: int
    interval_s: float


def permitted_per_s(per_s: float, bound: float, live: int, known: int) -> float:
    """Return how many requests per second the live nodes may send together.

    Args:
      per_s: declared rate of the service.
      bound: most requests in one second, from all nodes.
      live: number of live nodes in the view of this node.
      known: number of nodes, with those lost recently. Views that see few of
        them may be parts of a partitioned fleet, which share the bound.
    """
    return min(per_s, VIEW_SHARE * bound, bound * live / max(live, known))


def share(permitted: float, live: int) -> Share:
    """Return how many nodes send how often.

    In no second without jitter do they send more than is permitted.
    """
    if permitted < 1:
        # Many nodes that are alone do not send at regular distances, so that
        # single seconds have more requests than the mean.
        return Share(1, 1 / (VIEW_SHARE * permitted))
    per_node = {
        nodes: int(permitted / nodes)
        for nodes in range(1, min(live, int(permitted)) + 1)
    }
    most = max(nodes * count for nodes, count in per_node.items())
    nodes = max(
        nodes
        for nodes, count in per_node.items()
        if nodes * count >= MIN_USED_SHARE * most
    )
    return Share(nodes, 1 / per_node[nodes])


def is_selected(node: str, key: Key, nodes: Sequence[str], count: int) -> bool:
    """Return whether a node is among those that may send to an instance."""
    if node not in nodes:
        nodes = [*nodes, node]
    return node in hashing.rank(key.hex(), nodes)[:count]


@attrs.frozen
class Permit:
    """Permit to send one request to a cold instance.

    Attributes:
      previous_s: when the permit before was taken.
    """

    key: Key
    taken_s: float
    previous_s: float


class Permits:
    """Permits every request; used where no warm-up bound is configured."""

    def accepting(
        self, candidates: Sequence[_T], key_of: Callable[[_T], Key]
    ) -> list[_T]:
        """Return the candidates that may be sent a request now.

        Args:
          key_of: returns the key of the instance that receives the request.

        Raises:
          WarmingUp: all candidates are cold and without a permit.
        """
        del key_of
        return list(candidates)

    def may_take(self, key: Key) -> bool:
        """Return whether an instance may be sent a request now."""
        del key
        return True

    def take(self, key: Key) -> Permit | None:
        """Take the permit for a request to an instance, None if it is warm."""
        del key
        return None

    def settle(self, permit: Permit | None, counts: bool) -> None:
        """Record how an attempt ended.

        Args:
          counts: whether the request counts at the instance. If it does not,
            the permit is given back.
        """

    def on_update(self, message: types.Message) -> None:
        """Record what a message states of instances and nodes."""

    def expire(self) -> None:
        """Forget what is over."""


@attrs.define(eq=False)
class WarmupPermits(Permits):
    """Permits of one node for all cold instances.

    Attributes:
      _seeds: number of peers in the settings. A node that has just started
        may not have heard of the others yet.
      _sent_s: when the last permit for an instance was taken.
      _intervals: interval of this node for an instance, None if it is not
        selected; valid for the current view of the nodes.
    """

    _node: str
    _bound: Bound
    _state: fleet.FleetState
    _clock: clocks.Clock
    _rng: random.Random
    _metrics: metric.GatewayMetrics
    _seeds: int = 0
    _started_s: float = attrs.field(init=False)
    _cold: cold_instances.ColdInstances = attrs.field(
        factory=cold_instances.ColdInstances
    )
    _sent_s: dict[Key, float] = attrs.field(factory=dict)
    _intervals: dict[Key, float | None] = attrs.field(factory=dict)
    # Numbers of live and known nodes, and the live nodes.
    _view: tuple[tuple[int, int], list[tables.Node]] = ((0, 0), [])
    _lost_s: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._started_s = self._clock.monotonic()

    def accepting(
        self, candidates: Sequence[_T], key_of: Callable[[_T], Key]
    ) -> list[_T]:
        """Return the candidates that may be sent a request now.

        Raises:
          WarmingUp: all candidates are cold and without a permit.
        """
        if self._cold.is_empty:
            return list(candidates)
        try:
            waits = [self._wait_s(key_of(c)) for c in candidates]
        except Exception:  # A defect must not stop the service.
            eliot.write_traceback()
            return list(candidates)
        chosen = [
            c for c, wait_s in zip(candidates, waits, strict=True) if not wait_s
        ]
        if excluded := len(candidates) - len(chosen):
            self._metrics.warmup_exclusions.inc(excluded)
        if candidates and not chosen:
            raise self._refusal(waits)
        return chosen

    def may_take(self, key: Key) -> bool:
        """Return whether an instance may be sent a request now."""
        try:
            return not self._wait_s(key)
        except Exception:  # A defect must not stop the service.
            eliot.write_traceback()
            return True

    def take(self, key: Key) -> Permit | None:
        """Take the permit for a request to an instance, None if it is warm."""
        now_s = self._clock.monotonic()
        if not self._cold.find(key, now_s):
            return None
        permit = Permit(key, now_s, self._sent_s.get(key, -math.inf))
        self._sent_s[key] = now_s
        return permit

    def settle(self, permit: Permit | None, counts: bool) -> None:
        """Record how an attempt ended; give back a permit without use."""
        if permit is None:
            return
        if counts:
            self._metrics.warmup_requests.inc()
            self._cold.count(permit.key)
        elif self._sent_s.get(permit.key) == permit.taken_s:
            self._sent_s[permit.key] = permit.previous_s

    def on_update(self, message: types.Message) -> None:
        """Record what a message states of instances and nodes."""
        try:
            self._record(message)
        except Exception:  # A defect must not stop other listeners.
            eliot.write_traceback()

    def expire(self) -> None:
        """Forget instances that are warm, and nodes that were lost long ago."""
        now_s = self._clock.monotonic()
        for key, cold in self._cold.expire(now_s):
            self._sent_s.pop(key, None)
            self._intervals.pop(key, None)
            eliot.log_message(
                "warmup_ended",
                instance=cold.instance,
                service=cold.service,
                took_ms=round((now_s - cold.since_s) * clocks.MS_PER_S),
                sent=cold.sent,
            )
        self._lost_s = {
            node: lost_s
            for node, lost_s in self._lost_s.items()
            if now_s - lost_s < LOST_RETENTION_S
        }

    def _record(self, message: types.Message) -> None:
        instances = self._state.instances
        if isinstance(message, types.InstanceUpdate):
            self._observe(list(instances))
        elif isinstance(message, types.InstanceDelta):
            self._observe([raw["id"] for raw in message.changed])
        elif isinstance(message, types.ConfigUpdate):
            self._intervals.clear()
        elif isinstance(message, types.NodeUpdate):
            self._record_node(message)
        # A node may receive nothing but changes of the list for days.
        if self._cold.warm_count > len(instances):
            self._cold.retain(map(limit_table.instance_key, instances.values()))

    def _record_node(self, message: types.NodeUpdate) -> None:
        if message.state == tables.NodeState.DOWN:
            self._lost_s[message.node] = self._clock.monotonic()
        else:
            self._lost_s.pop(message.node, None)

    def _observe(self, names: Sequence[str]) -> None:
        now_s = self._clock.monotonic()
        for name in names:
            instance = self._state.instances.get(name)
            if instance is None:
                continue
            key = limit_table.instance_key(instance)
            change = self._cold.observe(key, instance, now_s)
            if change is None:
                continue
            if change is cold_instances.Change.COLD_AGAIN:
                # Requests of the last second were sent without permits.
                self._sent_s[key] = now_s
            self._log_start(key, instance, change)

    def _log_start(
        self,
        key: Key,
        instance: tables.Instance,
        change: cold_instances.Change,
    ) -> None:
        per_s = self._per_s(instance.service)
        if not per_s:
            return
        live, known = self._node_counts()
        eliot.log_message(
            "warmup_started",
            instance=instance.id,
            service=instance.service,
            cause=change,
            left_ms=instance.warmup_left_ms,
            per_s=per_s,
            bound=self._bound.requests(per_s),
            live=live,
            known=known,
            interval_s=self._interval_s(key, instance.service),
        )

    def _wait_s(self, key: Key) -> float:
        """Return the time to the next permit, infinite if there is none."""
        now_s = self._clock.monotonic()
        cold = self._cold.find(key, now_s)
        if cold is None or not self._per_s(cold.service):
            return 0.0
        interval_s = self._interval_s(key, cold.service)
        if interval_s is None:
            return math.inf
        last_s = max(self._started_s, self._sent_s.get(key, -math.inf))
        return max(0.0, last_s + interval_s - now_s)

    def _interval_s(self, key: Key, service: str) -> float | None:
        view = self._node_counts(), self._state.live_nodes()
        if view[0] != self._view[0] or view[1] is not self._view[1]:
            self._view = view
            self._intervals.clear()
        if key not in self._intervals:
            self._intervals[key] = self._computed_interval_s(key, service)
        return self._intervals[key]

    def _computed_interval_s(self, key: Key, service: str) -> float | None:
        per_s = self._per_s(service)
        live, known = self._node_counts()
        bound = self._bound.requests(per_s)
        shared = share(permitted_per_s(per_s, bound, live, known), live)
        names = [node.id for node in self._state.live_nodes()]
        if not is_selected(self._node, key, names, shared.nodes):
            return None
        if shared.interval_s > 1:
            # Nodes that are alone must not all send at the same moment.
            phase_s = self._rng.uniform(0, shared.interval_s)
            self._sent_s.setdefault(key, self._clock.monotonic() - phase_s)
        return shared.interval_s

    def _node_counts(self) -> tuple[int, int]:
        """Return the number of live and of known nodes."""
        live = max(1, len(self._state.live_nodes()))
        known = live + len(self._lost_s)
        age_s = self._clock.monotonic() - self._started_s
        if age_s < LOST_RETENTION_S:
            known = max(known, self._seeds)
        return live, known

    def _per_s(self, service: str) -> float:
        entry = self._state.catalogue.service(service)
        return entry.warmup_per_s if entry is not None else 0.0

    def _refusal(self, waits: Sequence[float]) -> exceptions.WarmingUp:
        # Another node may have a permit when this one has none.
        first_s = min(waits)
        if math.isinf(first_s):
            first_s = UNSELECTED_WAIT_S
        wait_s = min(MAX_WAIT_S, first_s)
        wait_s += self._rng.uniform(0, REFUSAL_SPREAD_S)
        return exceptions.WarmingUp(
            f"all {len(waits)} instances are warming up",
            math.ceil(wait_s * clocks.MS_PER_S),
        )
