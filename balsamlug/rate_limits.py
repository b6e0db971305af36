"""Keep to the rates that servers state to accept from all nodes together.

Every node counts what it sends to a limited server and hears the counts of the
others late. A node that hears from none uses an equal share of the rate.
"""

from collections.abc import Callable
from collections.abc import Sequence
import itertools
import math
import random
from typing import TypeVar

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import limit_table

# Limit on Retry-After. Callers wait for a third of their remaining time at
# most.
MAX_WAIT_S = 4.0
# Share of a burst by which resumed streams may exceed the limit.
RESUMED_SHARE = 0.25
# Share of a burst that the least urgent requests leave to more urgent ones,
# when some were refused within `RESERVE_S`.
RESERVED_SHARE = 0.2
RESERVE_S = 2.0
LEAST_URGENT = 9
# Part of a deviation from the limit that is corrected until the nodes hear of
# each other.
ROOM_GAIN = 0.5
# With fewer requests than this until then, a whole request of room is used at
# once.
MIN_EXPECTED = ROOM_GAIN
# Share of the rate that is left unused for each second that counts are late:
# the number of requests in a window then varies more.
UNUSED_PER_LAG_S = 0.1
MAX_UNUSED = 0.5
MAX_EXPONENT = 60.0

_T = TypeVar("_T")


@attrs.frozen
class _Moment:
    """What the decision on a request depends on besides the servers.

    Attributes:
      lag_s: how late the counts of other nodes are.
      decay_s: time in which counts decay to 1/e.
      nodes: number of live nodes.
      is_alone: whether nothing is known of what the other nodes send.
      addition: share of a burst that is added to the limit, by the urgency of
        the request.
    """

    now_s: float
    lag_s: float
    decay_s: float
    nodes: int
    is_alone: bool
    addition: float

    @property
    def used_share(self) -> float:
        """Return the share of a rate that is used."""
        return 1 - min(MAX_UNUSED, UNUSED_PER_LAG_S * self.lag_s)


@attrs.define(eq=False)
class RateLimits:
    """Decides which servers a request may be sent to.

    Attributes:
      table: limits and counts.
      nodes: returns the number of live nodes, with this one.
    """

    table: limit_table.LimitTable
    _clock: clocks.Clock
    _rng: random.Random
    nodes: Callable[[], int]
    # Scope that has had candidates -> requests that were to be sent.
    _offered: dict[str, limit_table.Count] = attrs.field(factory=dict)
    # Urgency -> refused requests.
    _refused: dict[int, limit_table.Count] = attrs.field(factory=dict)

    def accepting(
        self,
        candidates: Sequence[_T],
        key_of: Callable[[_T], bytes],
        scope: str = "",
        urgency: int = 0,
        resumed: bool = False,
    ) -> list[_T]:
        """Return the candidates that may be sent a request now.

        Args:
          key_of: returns the key of a candidate in the table.
          scope: names the requests that share these candidates.
          urgency: 0 is the most urgent.
          resumed: whether the caller has received a part of the answer.

        Raises:
          RateLimited: all of them have reached their limits.
        """
        if not candidates and scope not in self._offered:
            # Callers state the name of the model, which may not exist. Only
            # scopes that have had candidates are counted.
            return []
        keys = [key_of(c) for c in candidates]
        rates = [self.table.rate(key) for key in keys]
        if all(rate is None for rate in rates):
            self._add(self._offered, scope)
            return list(candidates)
        moment = self._moment(urgency, resumed)
        expected = self._expected(scope, keys, moment)
        self._add(self._offered, scope)
        rooms = [
            self._room(key, rate, moment)
            for key, rate in zip(keys, rates, strict=True)
        ]
        if resumed:
            chosen = [room >= 1 for room in rooms]
        else:
            chosen = self._draw(rates, rooms, expected, moment)
        if any(chosen):
            return list(itertools.compress(candidates, chosen))
        raise self._refusal(rates, rooms, urgency, moment)

    def _moment(self, urgency: int, resumed: bool) -> _Moment:
        now_s = self._clock.monotonic()
        nodes = max(1, self.nodes())
        silent_s = now_s - self.table.heard_s
        return _Moment(
            now_s,
            self.table.lag_s(),
            self.table.decay_s(),
            nodes,
            nodes > 1 and silent_s > limit_table.COUNT_LIFETIME_S,
            self._addition(urgency, resumed, now_s),
        )

    def _addition(self, urgency: int, resumed: bool, now_s: float) -> float:
        if resumed:
            return RESUMED_SHARE
        if any(
            other < urgency and now_s - count.at_s < RESERVE_S
            for other, count in self._refused.items()
        ):
            return -RESERVED_SHARE * min(1, urgency / LEAST_URGENT)
        return 0.0

    def _add(self, counts: dict, key: str | int) -> None:
        now_s = self._clock.monotonic()
        count = counts.setdefault(key, limit_table.Count(0.0, now_s))
        count.add(1, now_s, self.table.decay_s())

    def _expected(
        self, scope: str, keys: Sequence[bytes], moment: _Moment
    ) -> float:
        """Return the requests of all nodes until they hear of each other."""
        now_s, decay_s, lag_s = moment.now_s, moment.decay_s, moment.lag_s
        offered = self._offered.get(scope)
        own = 0.0 if offered is None else offered.at(now_s, decay_s)
        served = sum(
            self.table.own(key, now_s, decay_s)
            + self.table.others(key, now_s, decay_s, lag_s)
            for key in keys
        )
        return max(own * moment.nodes, served) / decay_s * lag_s

    def _room(self, key: bytes, rate: float | None, moment: _Moment) -> float:
        """Return how many requests may be sent to a server now."""
        if rate is None:
            return math.inf
        now_s, decay_s, lag_s = moment.now_s, moment.decay_s, moment.lag_s
        others = 0.0
        if moment.is_alone:
            rate /= moment.nodes
        else:
            others = self.table.others(key, now_s, decay_s, lag_s)
        burst = rate * decay_s * moment.used_share
        allowed = _steady_count(burst) + 1 + moment.addition * burst
        return allowed - self.table.own(key, now_s, decay_s) - others

    def _draw(
        self,
        rates: Sequence[float | None],
        rooms: Sequence[float],
        expected: float,
        moment: _Moment,
    ) -> list[bool]:
        """Return which servers this request may be sent to.

        All nodes see the same room. If each of them used it, they would exceed
        it together, so each takes it with the probability at which the expected
        requests of the fleet use it up.
        """
        expected = max(expected, MIN_EXPECTED)
        # Requests that all nodes may send to each server meanwhile.
        shares = [
            _share(rate, room, moment)
            for rate, room in zip(rates, rooms, strict=True)
        ]
        total = sum(shares)
        if math.isinf(total):
            return [self._rng.random() < share / expected for share in shares]
        if not total or self._rng.random() >= total / expected:
            return [False] * len(shares)
        # Two choices let the load decide, and few nodes choose the same server.
        picks = self._rng.choices(range(len(shares)), shares, k=2)
        return [number in picks for number in range(len(shares))]

    def _refusal(
        self,
        rates: Sequence[float],
        rooms: Sequence[float],
        urgency: int,
        moment: _Moment,
    ) -> exceptions.RateLimited:
        """Return a refusal with the time at which there is probably room."""
        self._add(self._refused, urgency)
        first_s = min(
            (1 - room) / rate for room, rate in zip(rooms, rates, strict=True)
        )
        # Requests of this urgency or a higher one that were refused before and
        # will return, at all nodes.
        ahead = moment.nodes * sum(
            count.at(moment.now_s, moment.decay_s)
            for other, count in self._refused.items()
            if other <= urgency
        )
        turn_s = ahead / sum(rates) * self._rng.random()
        wait_s = min(MAX_WAIT_S, max(0.0, first_s) + turn_s)
        return exceptions.RateLimited(
            f"all {len(rates)} servers have reached their limits",
            max(1, round(wait_s * clocks.MS_PER_S)),
        )


def _share(rate: float | None, room: float, moment: _Moment) -> float:
    if rate is None:
        return math.inf
    steady = rate * moment.used_share * moment.lag_s
    return max(0.0, steady + ROOM_GAIN * room)


def _steady_count(burst: float) -> float:
    """Return the count just before each request at exactly the rate.

    Args:
      burst: rate times the decay time.
    """
    # Requests 1 / rate apart raise the count from c to c + 1, and it decays to
    # c in between.
    spacing = min(MAX_EXPONENT, 1 / burst)
    return 1 / math.expm1(spacing)
