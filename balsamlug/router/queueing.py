"""Waiting work, shared fairly between customers by estimated cost."""

import collections
from collections.abc import Iterator

import attrs

from balsamlug.router import work as work_lib


@attrs.define(eq=False)
class CustomerQueue:
    """Waiting work of one customer, one queue for each priority.

    Attributes:
      weight: share relative to other customers.
      virtual: virtual time at which the next work starts.
      cost: estimated cost of everything that waits.
      costs: the same by priority.
    """

    weight: float = 1.0
    virtual: float = 0.0
    cost: float = 0.0
    count: int = 0
    queues: dict[int, collections.deque[work_lib.Entry]] = attrs.field(
        factory=dict
    )
    costs: dict[int, float] = attrs.field(factory=dict)

    def add(self, entry: work_lib.Entry, *, front: bool) -> None:
        """Append work to the queue of its priority."""
        priority = entry.work.priority
        queue = self.queues.setdefault(priority, collections.deque())
        (queue.appendleft if front else queue.append)(entry)
        self.costs[priority] = self.costs.get(priority, 0.0) + entry.cost
        self.cost += entry.cost
        self.count += 1

    def head(self) -> work_lib.Entry:
        """Return the oldest work of the most urgent priority."""
        return self.queues[min(self.queues)][0]

    def remove(self, entry: work_lib.Entry) -> None:
        """Take work out, wherever it stands."""
        priority = entry.work.priority
        queue = self.queues[priority]
        if queue[0] is entry:
            queue.popleft()
        else:
            queue.remove(entry)
        self.costs[priority] -= entry.cost
        self.cost -= entry.cost
        self.count -= 1
        if not queue:
            del self.queues[priority], self.costs[priority]

    def cost_ahead(self, priority: int) -> float:
        """Return the cost that is served before new work of a priority."""
        return sum(c for p, c in self.costs.items() if p <= priority)


@attrs.define
class FairQueue:
    """Start-time fair queueing over customers.

    The customer with the lowest virtual time is next. Starting work moves
    the customer's virtual time by cost over weight, so over time every
    backlogged customer gets cost in proportion to its weight.
    """

    active: dict[str, CustomerQueue] = attrs.field(factory=dict)
    _idle: dict[str, CustomerQueue] = attrs.field(factory=dict)
    _virtual: float = 0.0

    def __len__(self) -> int:
        return sum(q.count for q in self.active.values())

    def __bool__(self) -> bool:
        return bool(self.active)

    def entries(self) -> Iterator[work_lib.Entry]:
        """Yield everything that waits."""
        for customer in self.active.values():
            for queue in customer.queues.values():
                yield from queue

    def count(self, customer: str) -> int:
        """Return how much work of a customer waits."""
        queue = self.active.get(customer)
        return queue.count if queue else 0

    def push(self, entry: work_lib.Entry, *, front: bool = False) -> None:
        """Add work; a customer that was idle gains no credit for it."""
        name = entry.work.customer
        queue = self.active.get(name)
        if queue is None:
            queue = self._idle.pop(name, None) or CustomerQueue()
            queue.virtual = max(queue.virtual, self._virtual)
            self.active[name] = queue
        queue.weight = max(entry.work.weight, 1e-3)
        queue.add(entry, front=front)

    def customers(self) -> list[CustomerQueue]:
        """Return the waiting customers, the next one first."""
        return sorted(self.active.values(), key=lambda q: q.virtual)

    def peek(self) -> work_lib.Entry:
        """Return the work that is next."""
        return min(self.active.values(), key=lambda q: q.virtual).head()

    def start(self, entry: work_lib.Entry) -> None:
        """Take out work that starts and charge its customer."""
        queue = self.active[entry.work.customer]
        self._virtual = max(self._virtual, queue.virtual)
        queue.virtual += entry.cost / queue.weight
        self.remove(entry)

    def remove(self, entry: work_lib.Entry) -> None:
        """Take out work without a charge."""
        name = entry.work.customer
        queue = self.active[name]
        queue.remove(entry)
        if not queue.count:
            self._idle[name] = self.active.pop(name)

    def charge(self, customer: str, cost: float) -> None:
        """Correct a customer's account once the true cost is known."""
        queue = self.active.get(customer) or self._idle.get(customer)
        if queue:
            queue.virtual += cost / queue.weight

    def cost_ahead(self, work: work_lib.Work) -> float:
        """Estimate the cost that is served before new work would start.

        Until a customer has been served cost C, fair queueing serves every
        other customer at most C in the ratio of the weights.
        """
        own = self.active.get(work.customer)
        own_ahead = own.cost_ahead(work.priority) if own else 0.0
        start = max(own.virtual if own else 0.0, self._virtual)
        start += own_ahead / max(work.weight, 1e-3)
        return own_ahead + sum(
            min(other.cost, max(0.0, start - other.virtual) * other.weight)
            for other in self.active.values()
            if other is not own
        )
