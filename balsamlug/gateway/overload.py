"""State of the admission control, and its effect on requests.

`admission` holds the decision. New requests of a model are counted by priority
and route in `Loads`, so that datagrams carry the counts to all nodes; requests
by customer are counted at this node alone.
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import random

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug.gateway import admission
from balsamlug.gateway import loads
from balsamlug.gateway import placement
from balsamlug.gateway import predictions

# New requests count for this time. A shorter one follows a burst sooner; at a
# hundred requests per second this one is accurate to a tenth.
OFFERED_WINDOW_S = 1.0
# A node of a large fleet receives a few requests per second, of which one
# customer sends only some. With 4 s, 0.81 of the calls of customers within
# their share were served beside one with ten times its share, with 8 s 0.83.
CUSTOMER_WINDOW_S = 8.0
# Limits the memory and the time of one decision on a node under a flood.
MAX_RECENT = 2000
REFUSAL_REASONS = {
    admission.NO_TIME: "the first event would be late",
    admission.NO_SHARE: "more requests than the groups can serve on time",
    admission.RETURNED: "no capacity is left over for late requests",
}


@attrs.frozen
class Source:
    """Where a request comes from.

    Attributes:
      attempted: whether an attempt of the request was started before.
    """

    request: str
    route: str
    customer: str
    attempted: bool = False


class PlainChoice:
    """Place requests without admission control."""

    def choose(
        self,
        work: placement.Work,
        candidates: Sequence[placement.Candidate],
        rng: random.Random,
        unreported: float,
        source: Source,
    ) -> placement.Placement:
        """Return the group of a request; see `placement.choose`."""
        del source
        return placement.choose(work, candidates, rng, unreported)

    def record_first_event(
        self, model: str, predicted_ms: float, measured_ms: float
    ) -> None:
        """Record how long a new request took to its first event."""

    def tick(self) -> None:
        """Stop counting what is too old."""


@attrs.define
class OverloadControl(PlainChoice):
    """Place requests with admission control.

    Attributes:
      lag_s: returns the usual age of the counts of other nodes.
      count: called with the reason of each decision.
    """

    _loads: loads.Loads
    _clock: clocks.Clock
    lag_s: Callable[[], float]
    count: Callable[[str], None]
    log: Callable[..., None] = eliot.log_message
    _offered: collections.deque[tuple[float, str]] = attrs.field(
        factory=collections.deque
    )
    _customers: collections.deque[tuple[float, str, str]] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_RECENT)
    )
    _errors: predictions.PredictionErrors = attrs.field(
        default=attrs.Factory(
            lambda self: predictions.PredictionErrors(self._clock),
            takes_self=True,
        )
    )

    def choose(
        self,
        work: placement.Work,
        candidates: Sequence[placement.Candidate],
        rng: random.Random,
        unreported: float,
        source: Source,
    ) -> placement.Placement:
        """Return the group of a request.

        Raises:
          NoReadyGroup: no group of the model is ready.
          QueueFull: the request does not run now.
        """
        if source.attempted or work.resumed or not candidates:
            return placement.choose(work, candidates, rng, unreported)
        try:
            # Configurations may state any integer. A negative one would put
            # late requests before those that can be on time.
            priority = min(placement.MAX_URGENCY, max(0, work.priority))
            work = attrs.evolve(
                work,
                priority=priority,
                correction_ms=self._errors.correction_ms(work.model),
            )
            demand = self._demand(work, candidates, source)
            decision = admission.decide(
                work, candidates, demand, rng, unreported
            )
        except Exception:  # A defect here must not refuse requests.
            eliot.write_traceback()
            return placement.choose(work, candidates, rng, unreported)
        self.count(decision.reason)
        if decision.placement is not None:
            return decision.placement
        self._log_refusal(work, decision, demand, source)
        raise exceptions.QueueFull(
            REFUSAL_REASONS[decision.reason], decision.retry_after_ms
        )

    def record_first_event(
        self, model: str, predicted_ms: float, measured_ms: float
    ) -> None:
        """Record how long a new request took to its first event."""
        self._errors.record(model, predicted_ms, measured_ms)

    def tick(self) -> None:
        """Stop counting what is too old."""
        now_s = self._clock.monotonic()
        while self._offered and now_s - self._offered[0][0] > OFFERED_WINDOW_S:
            self._loads.record_end(self._offered.popleft()[1])
        while (
            self._customers
            and now_s - self._customers[0][0] > CUSTOMER_WINDOW_S
        ):
            self._customers.popleft()

    def _demand(
        self,
        work: placement.Work,
        candidates: Sequence[placement.Candidate],
        source: Source,
    ) -> admission.Demand:
        """Count a request that may be on time, and return the demand."""
        self.tick()
        now_s = self._clock.monotonic()
        prefix = loads.offered_key(work.model)
        own_route = loads.name_digest(source.route)
        if not work.retried and admission.may_be_on_time(work, candidates):
            key = f"{prefix}{work.priority}/{own_route}"
            self._loads.record_start(key)
            self._offered.append((now_s, key))
            if source.customer:
                self._customers.append((now_s, work.model, source.customer))
        offered = {}
        for key, count in self._loads.totals(prefix, now_s).items():
            priority, _, route = key.removeprefix(prefix).partition("/")
            if priority.isdecimal():
                rate_per_s = max(0, count) / OFFERED_WINDOW_S
                offered[int(priority), route] = rate_per_s
        return admission.Demand(
            offered,
            collections.Counter(
                customer
                for _, model, customer in self._customers
                if model == work.model
            ),
            own_route,
            source.customer,
            self.lag_s() * clocks.MS_PER_S,
        )

    def _log_refusal(
        self,
        work: placement.Work,
        decision: admission.Decision,
        demand: admission.Demand,
        source: Source,
    ) -> None:
        self.log(
            "admission_decided",
            request=source.request,
            route=source.route,
            customer=source.customer,
            reason=decision.reason,
            model=work.model,
            priority=work.priority,
            target_left_ms=round(work.target_left_ms),
            share=round(decision.share, 3),
            capacity_per_s=round(decision.capacity_per_s, 1),
            offered_per_s=round(decision.offered_per_s, 1),
            left_per_s=round(decision.left_per_s, 1),
            late_waiting=decision.waiting,
            customer_requests=demand.customers.get(source.customer, 0),
            retry_after_ms=decision.retry_after_ms,
        )
