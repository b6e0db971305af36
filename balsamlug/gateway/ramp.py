"""Limit the requests in flight at a group that has just started.

All nodes see a new or recovered group idle at the same moment. The limit on its
requests in flight, over all nodes, starts low, grows while first events arrive
about as fast as the engine model predicts, and shrinks when they are late or
requests are refused. Nodes count first events and exchange the sums with the
counts in flight. The design is described in docs/design/slow-start.md.
"""

from collections.abc import Callable
from collections.abc import Sequence
import math
import random
from typing import ClassVar

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import limit_table
from balsamlug import state as fleet
from balsamlug.gateway import loads
from balsamlug.gateway import placement
from balsamlug.observability import metrics as metric

# Requests in flight that a new group starts with.
START_LIMIT = 4.0
MIN_LIMIT = 2.0
# The limit applies while other groups have free slots for this multiple of the
# requests that all nodes send until they hear of each other. In trials without
# a network, a limit that always applied made requests wait in front of free
# slots and earned 0.43 instead of 0.66 of the value when all groups started.
HEADROOM = 1.0
BACKOFF_FACTOR = 0.5
# The effect of a lower limit shows in first events after this time.
BACKOFF_INTERVAL_S = 0.5
# A first event counts as late from this multiple of the prediction plus a
# margin on. The prediction does not contain the prompts that other nodes sent
# within the last report interval.
LATE_FACTOR = 2.0
LATE_MARGIN_MS = 100.0
# Of a group that uses less than this share of its limit, first events do not
# show that it can take more.
USED_SHARE = 0.5
# A group that others use to this share of its slots, and of which no node
# counts first events, has started before this node.
IN_USE_SHARE = 0.5
# A ramp ends after this time at the latest. A group that is slow for longer is
# known to be slow from the pauses between its events (`speeds`), and while all
# groups are overloaded, late first events say nothing of a new one.
MAX_RAMP_S = 10.0
# A node to which more groups are new than it knows has started or was cut off.
# It takes the groups that it sees for this time from then on as established.
SETTLE_S = 3.0
# A group that is not complete in two checks, one per second, has recovered when
# it is complete again.
ABSENT_S = 1.5
# Counts of first events are sent for this time after the end of a ramp, since
# other nodes may end theirs later.
EVIDENCE_LIFETIME_S = 5.0
# Time over which the offered requests of a model are averaged.
OFFERED_DECAY_S = 4.0
# Group id and generation.
GroupKey = tuple[str, int]


@attrs.frozen
class Evidence:
    """First events of a group since its start, counted by all nodes.

    Attributes:
      late: late first events and refused requests.
    """

    on_time: int = 0
    late: int = 0


@attrs.define
class Ramp:
    """Limit on the requests in flight at one group, as one node knows it."""

    started_s: float
    limit: float = START_LIMIT
    seen: Evidence = attrs.field(factory=Evidence)
    backed_off_s: float = -math.inf

    def update(self, evidence: Evidence, now_s: float) -> None:
        """Grow by each new first event on time, shrink after late ones.

        The counts of a lost node expire, so they may also decrease.
        """
        on_time = max(0, evidence.on_time - self.seen.on_time)
        late = max(0, evidence.late - self.seen.late)
        self.seen = Evidence(
            max(evidence.on_time, self.seen.on_time),
            max(evidence.late, self.seen.late),
        )
        if late and now_s - self.backed_off_s >= BACKOFF_INTERVAL_S:
            self.limit = max(MIN_LIMIT, self.limit * BACKOFF_FACTOR)
            self.backed_off_s = now_s
        elif not late:
            self.limit += on_time

    def end_cause(self, slots: int, others: int, now_s: float) -> str:
        """Return why the ramp has ended, empty if it has not.

        Args:
          others: requests in flight that other nodes have sent.
        """
        if self.limit >= slots:
            return "slots"
        is_unseen = self.seen == Evidence()
        if is_unseen and others >= max(2 * START_LIMIT, IN_USE_SHARE * slots):
            return "in_use"
        return "time" if now_s - self.started_s >= MAX_RAMP_S else ""


def probability(limit: float, in_flight: int, expected: float) -> float:
    """Return the probability with which a node uses the room of a group.

    All nodes see the same room until they hear of each other, so each uses it
    with the probability at which the expected requests of all nodes fill it.

    Args:
      expected: requests that all nodes would send to the group meanwhile.
    """
    room = limit - in_flight
    return 0.0 if room < 1 else min(1.0, room / max(1.0, expected))


class Ramps:
    """Admits every request; used where slow start is off."""

    def accepting(
        self,
        candidates: Sequence[placement.Candidate],
        model: str,
        resumed: bool,
    ) -> list[placement.Candidate]:
        """Return the groups that may be sent a request now.

        Args:
          resumed: whether the caller has received a part of the answer.
        """
        del model, resumed
        return list(candidates)

    def record_first_event(
        self,
        key: GroupKey,
        took_ms: float,
        predicted_ms: float,
        target_left_ms: float,
    ) -> None:
        """Record the time from sending a request to its first event.

        Args:
          target_left_ms: time that was left until the event is late for the
            caller.
        """

    def record_refused(self, key: GroupKey) -> None:
        """Record that a group has refused a request."""

    def observe(self, complete: Callable[[], Sequence[GroupKey]]) -> None:
        """Record which groups are complete now; called every second."""


@attrs.define
class _Group:
    """A group that has been complete since it was first seen.

    Attributes:
      ramp: None when it has ended.
    """

    seen_s: float
    ramp: Ramp | None
    ended_s: float = -math.inf

    def end(self, now_s: float) -> None:
        """End the ramp, if there is one."""
        if self.ramp is not None:
            self.ramp, self.ended_s = None, now_s


@attrs.define(eq=False)
class AdaptiveRamps(Ramps):
    """Ramps of the groups that one node knows.

    Attributes:
      headroom: see `HEADROOM`.
      _lag_s: returns how late the counts of other nodes are.
      _is_cold: returns whether the rate of a head is limited (`warmup`).
    """

    headroom: ClassVar[float] = HEADROOM
    _fleet: fleet.FleetState
    _loads: loads.Loads
    _clock: clocks.Clock
    _rng: random.Random
    _metrics: metric.GatewayMetrics
    _lag_s: Callable[[], float]
    _is_cold: Callable[[bytes], bool] = lambda key: False
    _groups: dict[GroupKey, _Group] = attrs.field(factory=dict)
    _settled_from_s: float = -math.inf
    _offered: dict[str, limit_table.Count] = attrs.field(factory=dict)

    def accepting(
        self,
        candidates: Sequence[placement.Candidate],
        model: str,
        resumed: bool,
    ) -> list[placement.Candidate]:
        """Return the groups that may be sent a request now."""
        try:
            chosen = self._choose(candidates, model)
        except Exception:  # A defect must not stop the service.
            eliot.write_traceback()
            return list(candidates)
        if resumed:
            return list(candidates)
        if excluded := len(candidates) - len(chosen):
            self._metrics.ramp_limits_reached.inc(excluded)
        return chosen

    def record_first_event(
        self,
        key: GroupKey,
        took_ms: float,
        predicted_ms: float,
        target_left_ms: float,
    ) -> None:
        """Record the time from sending a request to its first event."""
        ramp = self._ramp(key)
        if ramp is None:
            return
        tolerated_ms = LATE_FACTOR * predicted_ms + LATE_MARGIN_MS
        if took_ms > max(tolerated_ms, target_left_ms):
            self._loads.local[loads.late_key(*key)] += 1
            return
        in_flight = self._loads.total(key[0], self._clock.monotonic())
        if in_flight >= USED_SHARE * ramp.limit:
            self._loads.local[loads.on_time_key(*key)] += 1

    def record_refused(self, key: GroupKey) -> None:
        """Record that a group has refused a request."""
        if self._ramp(key) is not None:
            self._loads.local[loads.late_key(*key)] += 1

    def observe(self, complete: Callable[[], Sequence[GroupKey]]) -> None:
        """Record which groups are complete now; called every second."""
        now_s = self._clock.monotonic()
        present = complete()
        self._register(present, now_s)
        for key in present:
            self._groups[key].seen_s = now_s
        for key, group in list(self._groups.items()):
            if now_s - group.seen_s > ABSENT_S:
                del self._groups[key]
                self._drop_evidence(key)
            elif (
                group.ramp is None
                and now_s - group.ended_s > EVIDENCE_LIFETIME_S
            ):
                self._drop_evidence(key)

    def _choose(
        self, candidates: Sequence[placement.Candidate], model: str
    ) -> list[placement.Candidate]:
        if not candidates:
            # The caller states the model, which may not exist.
            return []
        now_s = self._clock.monotonic()
        offered = self._offered.setdefault(model, limit_table.Count(0.0, now_s))
        # Without this request, the mean over all nodes is not biased.
        own_per_s = offered.at(now_s, OFFERED_DECAY_S) / OFFERED_DECAY_S
        offered.add(1, now_s, OFFERED_DECAY_S)
        self._register([c.key for c in candidates], now_s)
        for candidate in candidates:
            if self._is_cold(candidate.limit_key):
                # Its declared rate limits it until it is warm.
                self._groups[candidate.key].end(now_s)
        limits = {c.key: self._limit(c, now_s) for c in candidates}
        nodes = max(1, len(self._fleet.live_nodes()))
        expected = own_per_s * nodes * self._lag_s()
        free = sum(
            max(0, c.model.slots - c.in_flight)
            for c in candidates
            if limits[c.key] is None
        )
        if free < self.headroom * max(1.0, expected):
            return list(candidates)
        open_count = sum(
            limits[c.key] is not None and limits[c.key] - c.in_flight >= 1
            for c in candidates
        )
        expected /= max(1, open_count)
        return [
            c
            for c in candidates
            if limits[c.key] is None
            or self._rng.random()
            < probability(limits[c.key], c.in_flight, expected)
        ]

    def _register(self, keys: Sequence[GroupKey], now_s: float) -> None:
        """Record complete groups, and start the ramps of new ones.

        Args:
          keys: some of the complete groups, or all.
        """
        new = [key for key in keys if key not in self._groups]
        if len(new) > len(self._groups):
            self._settled_from_s = now_s + SETTLE_S
        starts = now_s >= self._settled_from_s
        for key in new:
            self._groups[key] = _Group(now_s, Ramp(now_s) if starts else None)
            if starts:
                eliot.log_message(
                    "ramp_started",
                    group=key[0],
                    generation=key[1],
                    limit=START_LIMIT,
                    in_flight=self._loads.total(key[0], now_s),
                    known=len(self._groups),
                )

    def _limit(
        self, candidate: placement.Candidate, now_s: float
    ) -> float | None:
        """Return the limit of a group, None if it has none."""
        key = candidate.key
        group = self._groups[key]
        ramp = group.ramp
        if ramp is None:
            return None
        ramp.update(self._evidence(key, now_s), now_s)
        others = candidate.in_flight - self._loads.local[key[0]]
        cause = ramp.end_cause(candidate.model.slots, others, now_s)
        if not cause:
            return ramp.limit
        group.end(now_s)
        eliot.log_message(
            "ramp_ended",
            group=key[0],
            generation=key[1],
            cause=cause,
            limit=round(ramp.limit, 1),
            slots=candidate.model.slots,
            took_ms=round((now_s - ramp.started_s) * clocks.MS_PER_S),
            on_time=ramp.seen.on_time,
            late=ramp.seen.late,
        )
        return None

    def _ramp(self, key: GroupKey) -> Ramp | None:
        group = self._groups.get(key)
        return group.ramp if group is not None else None

    def _evidence(self, key: GroupKey, now_s: float) -> Evidence:
        return Evidence(
            self._loads.total(loads.on_time_key(*key), now_s),
            self._loads.total(loads.late_key(*key), now_s),
        )

    def _drop_evidence(self, key: GroupKey) -> None:
        self._loads.local.pop(loads.on_time_key(*key), None)
        self._loads.local.pop(loads.late_key(*key), None)
