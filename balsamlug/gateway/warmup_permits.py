"""Warm-up permits of one node, from its list of instances and of nodes."""

from collections.abc import Callable
from collections.abc import Sequence
import math
import random
from typing import TypeVar

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import limit_table
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.gateway import cold_instances
from balsamlug.gateway import warmup
from balsamlug.messages import types
from balsamlug.observability import metrics as metric

# A lost node counts as part of the fleet for this time, because it may be
# behind a partition and send requests. Longer partitions count as losses.
LOST_RETENTION_S = 60.0
# Spreads the returns of callers that were refused at the same time.
REFUSAL_SPREAD_S = 0.25
# Time in a refusal by a node that is not selected. The caller reaches another
# node, and the selected nodes of a large fleet get a permit this often.
UNSELECTED_WAIT_S = 1.0
MAX_WAIT_S = 4.0

Key = warmup.Key
Permit = warmup.Permit
_T = TypeVar("_T")


@attrs.define(eq=False)
class WarmupPermits(warmup.Permits):
    """Permits of one node for all cold instances.

    Attributes:
      _seeds: number of peers in the settings. A node that has just started
        may not have heard of the others yet.
      _sent_s: when the last permit for an instance was taken.
      _unpermitted_s: until when requests may have been sent to an instance
        without permits.
      _intervals: interval of this node for an instance, None if it is not
        selected; valid for the current view of the nodes.
    """

    _node: str
    _bound: warmup.Bound
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
    _unpermitted_s: dict[Key, float] = attrs.field(factory=dict)
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
            self._refresh_view()
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
        if self._cold.is_empty:
            return True
        try:
            self._refresh_view()
            return not self._wait_s(key)
        except Exception:  # A defect must not stop the service.
            eliot.write_traceback()
            return True

    def is_limited(self, key: Key) -> bool:
        """Return whether an instance is cold and its rate is limited."""
        cold = self._cold.find(key, self._clock.monotonic())
        return cold is not None and self._per_s(cold.service) > 0

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
            self._unpermitted_s.pop(key, None)
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
            if change is not cold_instances.Change.STARTED:
                # Requests of the last second were sent without permits, or to
                # the process before this one. Nodes that are alone draw when
                # they send next, so that they do not all send at once.
                self._unpermitted_s[key] = now_s
                self._sent_s.pop(key, None)
                self._intervals.pop(key, None)
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
        self._refresh_view()
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
        if interval_s <= 1:
            last_s = max(last_s, self._unpermitted_s.get(key, -math.inf))
        return max(0.0, last_s + interval_s - now_s)

    def _refresh_view(self) -> None:
        """Forget the intervals if the view of the nodes has changed."""
        view = self._node_counts(), self._state.live_nodes()
        if view[0] != self._view[0] or view[1] is not self._view[1]:
            self._view = view
            self._intervals.clear()

    def _interval_s(self, key: Key, service: str) -> float | None:
        if key not in self._intervals:
            self._intervals[key] = self._computed_interval_s(key, service)
        return self._intervals[key]

    def _computed_interval_s(self, key: Key, service: str) -> float | None:
        per_s = self._per_s(service)
        live, known = self._node_counts()
        bound = self._bound.requests(per_s)
        permitted = warmup.permitted_per_s(per_s, bound, live, known)
        shared = warmup.share(permitted, live)
        names = [node.id for node in self._state.live_nodes()]
        if not warmup.is_selected(self._node, key, names, shared.nodes):
            return None
        if shared.interval_s > 1:
            # Nodes that are alone must not all send at the same moment.
            now_s = self._clock.monotonic()
            from_s = max(now_s, self._unpermitted_s.get(key, -math.inf) + 1)
            phase_s = self._rng.uniform(0, shared.interval_s)
            self._sent_s.setdefault(key, from_s - phase_s)
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
