"""Fair queueing of work between customers, by estimated cost.

The scheduler holds admitted work here until a group has a free slot.
"""

import collections
from collections.abc import Iterator

import attrs

from balsamlug.router import work as work_lib


@attrs.define(eq=False)
class CustomerQueue:
    """Queued work of one customer, with one queue for each priority.

    Attributes:
      weight: share relative to other customers.
      virtual_time: virtual time at which the next work starts.
      cost: estimated cost of all queued work.
      count: number of queued entries.
      queues: priority -> queued entries, in order.
      costs: priority -> estimated cost of the queued work.
    """

    weight: float = 1.0
    virtual_time: float = 0.0
    cost: float = 0.0
    count: int = 0
    queues: dict[int, collections.deque[work_lib.Entry]] = attrs.field(
        factory=dict
    )
    costs: dict[int, float] = attrs.field(factory=dict)

    def add(self, entry: work_lib.Entry, *, front: bool) -> None:
        """Add work at the back or the front of the queue of its priority."""
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
        """Remove work from any position."""
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
        """Return the queued cost served before new work of a priority."""
        return sum(c for p, c in self.costs.items() if p <= priority)


@attrs.define
class FairQueue:
    """Start-time fair queueing over customers.

    The customer with the lowest virtual time is served next. Starting work
    advances the virtual time of its customer by cost over weight, so over time
    every backlogged customer is served in proportion to its weight.

    Attributes:
      active: customers with queued work.
    """

    active: dict[str, CustomerQueue] = attrs.field(factory=dict)
    _idle: dict[str, CustomerQueue] = attrs.field(factory=dict)
    _virtual_time: float = 0.0

    def __len__(self) -> int:
        return sum(q.count for q in self.active.values())

    def __bool__(self) -> bool:
        return bool(self.active)

    def entries(self) -> Iterator[work_lib.Entry]:
        """Yield all queued entries."""
        for customer in self.active.values():
            for queue in customer.queues.values():
                yield from queue

    def count(self, customer: str) -> int:
        """Return the number of queued entries of a customer."""
        queue = self.active.get(customer)
        return queue.count if queue else 0

    def push(self, entry: work_lib.Entry, *, front: bool = False) -> None:
        """Add work; a customer gains no credit for the time it was idle."""
        name = entry.work.customer
        queue = self.active.get(name)
        if queue is None:
            queue = self._idle.pop(name, None) or CustomerQueue()
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
            self.active[name] = queue
        queue.weight = max(entry.work.weight, 1e-3)
        queue.add(entry, front=front)

    def customers(self) -> list[CustomerQueue]:
        """Return the customers with queued work, in the order of service."""
        return sorted(self.active.values(), key=lambda q: q.virtual_time)

    def peek(self) -> work_lib.Entry:
        """Return the entry that is served next."""
        return min(self.active.values(), key=lambda q: q.virtual_time).head()

    def start(self, entry: work_lib.Entry) -> None:
        """Remove work that starts and charge its cost to the customer."""
        queue = self.active[entry.work.customer]
        self._virtual_time = max(self._virtual_time, queue.virtual_time)
        queue.virtual_time += entry.cost / queue.weight
        self.remove(entry)

    def remove(self, entry: work_lib.Entry) -> None:
        """Remove work without charging its customer."""
        name = entry.work.customer
        queue = self.active[name]
        queue.remove(entry)
        if not queue.count:
            self._idle[name] = self.active.pop(name)

    def charge(self, customer: str, cost: float) -> None:
        """Charge the difference between actual and estimated cost."""
        queue = self.active.get(customer) or self._idle.get(customer)
        if queue:
            queue.virtual_time += cost / queue.weight

    def cost_ahead(self, work: work_lib.Work) -> float:
        """Estimate the cost that is served before new work starts.

        While a customer is served cost C, fair queueing serves every other
        customer at most C in the ratio of the weights.
        """
        queue = self.active.get(work.customer)
        queue_ahead = queue.cost_ahead(work.priority) if queue else 0.0
        start = max(queue.virtual_time if queue else 0.0, self._virtual_time)
        start += queue_ahead / max(work.weight, 1e-3)
        return queue_ahead + sum(
            min(other.cost, max(0.0, start - other.virtual_time) * other.weight)
            for other in self.active.values()
            if other is not queue
        )
