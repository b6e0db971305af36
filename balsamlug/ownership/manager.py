"""Hold the leases of fabric domains and keep their groups as planned."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import random
import uuid

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.health import observations as obs
from balsamlug.ownership import candidates
from balsamlug.ownership import domain_objects
from balsamlug.ownership import groups as group_table
from balsamlug.ownership import lease as leases
from balsamlug.ownership import orders
from balsamlug.ownership import planner
from balsamlug.ownership import record as records
from balsamlug.ownership import views
from balsamlug.store import client

# Bounds the calls of one node, also when it holds every domain.
MAX_CALLS_PER_TICK = 4


class Manager:
    """Run lease, planner and orders of every domain on each tick.

    Args:
      observations: of this node's prober.
      address: returns the address of an instance, empty if it is unknown.
      send: delivers an order to an address.
      due: returns the orders that a situation needs.
      fenced: whether upstreams refuse the orders of a former holder, so that
        a lease may be taken over as soon as its holder is known to be down.
      staged_only: whether spares load weights before they replace a member.
      settle_s: no group is formed while engines of a domain still appear.
    """

    def __init__(
        self,
        node: str,
        state: fleet.FleetState,
        store: client.ObjectStore,
        clock: clocks.Clock,
        rng: random.Random,
        observations: Mapping[str, obs.Observation],
        address: Callable[[str], str],
        send: Callable,
        due: Callable = orders.due,
        fenced: bool = False,
        staged_only: bool = False,
        settle_s: float = 0.0,
    ) -> None:
        self._node = node
        self._state = state
        self._clock = clock
        self._rng = rng
        self._observations = observations
        self._address = address
        self._send = send
        self._due = due
        self._fenced = fenced
        self._staged_only = staged_only
        self._settle_s = settle_s
        self._objects = domain_objects.DomainObjects(
            state, store, clock, rng, self.rank
        )
        self._ranking = candidates.Ranking(node, state)
        self._dispatchers: dict[str, orders.Dispatcher] = {}
        self._deliveries: set[asyncio.Task] = set()
        self._stopping = False
        self.views = views.Views(state)
        self.records: dict[str, records.DomainRecord] = {}

    def tick(self) -> None:
        """Start what is due for every domain; never waits."""
        now_s = self._clock.monotonic()
        self._ranking.refresh()
        self.views.refresh()
        for domain in self.views.domains():
            self._observe(domain, now_s)
        for record in self.records.values():
            if record.holds(now_s):
                self._send_orders(record, now_s)
        self._start_calls(now_s)

    def held(self, now_s: float) -> list[records.DomainRecord]:
        """Return the domains whose lease this node holds."""
        return [r for r in self.records.values() if r.holds(now_s)]

    def targets(self) -> dict[str, float]:
        """Return the instances this node probes as a holder, and how often."""
        now_s = self._clock.monotonic()
        wanted: dict[str, float] = {}
        for record in self.held(now_s):
            wanted |= self.views.targets(record, self._node, now_s)
        return wanted

    def watched_groups(self) -> set[str]:
        """Return the groups that this node reports on as a holder."""
        return {
            group.id
            for record in self.held(self._clock.monotonic())
            for group in self.views.watched_groups(record.domain, self._node)
        }

    def _hears(self, domain: str) -> bool:
        """Return whether any engine answers, or no group needs this node."""
        found = [
            self._observations.get(engine)
            for engine in self.views.engines(domain)
        ]
        if any(o is not None and o.failure is None for o in found):
            return True
        return not self.views.watched_groups(domain, self._node)

    def rank(self, domain: str) -> int:
        """Return this node's rank among the candidates of a domain."""
        key = f"domain:{domain}"
        return self._ranking.rank(key, self.views.region(domain))

    async def settle(self) -> None:
        """Wait until every call and order in flight has ended."""
        steps = [r.step for r in self.records.values() if r.step is not None]
        await asyncio.gather(*steps, *self._deliveries, return_exceptions=True)

    async def stop(self) -> None:
        """Stop acting, then hand the leases back."""
        self._stopping = True
        await self.settle()
        await asyncio.gather(*(self._release(r) for r in self._owned()))

    def _owned(self) -> list[records.DomainRecord]:
        return [r for r in self.records.values() if r.owns_epoch()]

    def _observe(self, domain: str, now_s: float) -> None:
        record = self.records.setdefault(domain, records.DomainRecord(domain))
        _, value = records.version_and_value(self._state.domains.get(domain))
        record.observe(value, now_s)
        record.note_engines(frozenset(self.views.engines(domain)), now_s)
        heard = not record.holds(now_s) or self._hears(domain)
        record.note_heard(heard, now_s)

    def _start_calls(self, now_s: float) -> None:
        """Start the store calls that are due, renewals first."""
        due = []
        for record in self.records.values():
            if record.step is not None and not record.step.done():
                continue
            if now_s >= record.next_call_s:
                due.append(record)
        due.sort(key=lambda r: (not r.owns_epoch(), r.view.held_from_s))
        started = 0
        for record in due:
            if started >= MAX_CALLS_PER_TICK or self._stopping:
                return
            call = self._due_call(record, now_s)
            if call is not None:
                started += 1
                record.step = asyncio.create_task(call)

    def _due_call(self, record: records.DomainRecord, now_s: float):
        """Return the store call a domain needs now, or None."""
        if record.owns_epoch():
            return self._holder_call(record, now_s)
        if now_s < record.unfit_until_s:
            return None
        if self._may_take_over(record, now_s):
            return self._take_over(record)
        return None

    def _may_take_over(
        self, record: records.DomainRecord, now_s: float
    ) -> bool:
        rank = self.rank(record.domain)
        if leases.may_take_over(record.view, rank, now_s):
            return True
        former = record.view.lease.holder
        if self._fenced and former == self._node:
            # Of an earlier life; its next orders will be refused, and what
            # its last ones did is in the list by then.
            return now_s - record.view.seen_at_s >= leases.OWN_WAIT_S
        if not self._fenced or rank:
            return False
        holder = self._state.nodes.get(former)
        down = holder is not None and holder.state is tables.NodeState.DOWN
        # A node that was called down by mistake still renews its leases.
        return down and leases.missed_renewal(record.view, now_s)

    def _holder_call(self, record: records.DomainRecord, now_s: float):
        changed = False
        if record.holds(now_s) and record.is_cut_off(now_s):
            record.hand_over(now_s)
            return self._release(record)
        if record.holds(now_s):
            record.plan = self._plan(record, now_s)
            changed = bool(record.plan.actions)
        raise_epoch = record.required_epoch > record.view.lease.epoch
        if changed or raise_epoch or leases.renewal_due(record.view, now_s):
            return self._renew(record)
        return None

    def _plan(self, record: records.DomainRecord, now_s: float) -> planner.Plan:
        view = self.views.planner_view(record, self._observations, now_s)
        view = attrs.evolve(view, staged_only=self._staged_only)
        settled = now_s - record.grown_s >= self._settle_s
        steps = planner.STEPS if settled else planner.URGENT_STEPS
        return planner.plan(view, steps)

    def _renew(self, record: records.DomainRecord):
        """Return the write of a renewal with a new plan, if there is one.

        A lapsed holder renews without a plan: its observations may be old.
        """
        lease = leases.renewed(record.view.lease, self._operation_id())
        lease = attrs.evolve(
            lease, epoch=max(lease.epoch, record.required_epoch)
        )
        plan = record.plan if record.holds(self._clock.monotonic()) else None
        return self._objects.write(record, self._object(record), lease, plan)

    async def _take_over(self, record: records.DomainRecord) -> None:
        """Read the object, and take the lease if it is still free.

        This node may have missed renewals; a read costs less than a write
        that fails.
        """
        if not await self._objects.read(record):
            return
        now_s = self._clock.monotonic()
        if self._may_take_over(record, now_s):
            lease = leases.taken(
                record.view.lease, self._node, self._operation_id()
            )
            eliot.log_message(
                "lease_wanted",
                domain=record.domain,
                epoch=lease.epoch,
                former=record.view.lease.holder,
                unchanged_s=now_s - record.view.seen_at_s,
            )
            await self._objects.write(record, self._object(record), lease, None)

    def _release(self, record: records.DomainRecord):
        lease = leases.released(record.view.lease, self._operation_id())
        return self._objects.write(record, self._object(record), lease, None)

    def _object(
        self, record: records.DomainRecord
    ) -> fleet.DomainObject | None:
        return self._state.domains.get(record.domain)

    def _send_orders(self, record: records.DomainRecord, now_s: float) -> None:
        """Send the orders for the groups that are stored, not planned ones."""
        dispatcher = self._dispatchers.setdefault(
            record.domain,
            orders.Dispatcher(
                self._send, lambda number: self._note_stale(record, number)
            ),
        )
        situation = self.views.situation(
            record, self._observations, self._address, now_s
        )
        wanted = self._due(situation, now_s)
        for order in dispatcher.select(wanted, now_s):
            task = asyncio.create_task(
                dispatcher.deliver(order, lambda: self._may_send(record))
            )
            self._deliveries.add(task)
            task.add_done_callback(self._deliveries.discard)

    def _may_send(self, record: records.DomainRecord) -> bool:
        return not self._stopping and record.holds(self._clock.monotonic())

    def _note_stale(self, record: records.DomainRecord, number: int) -> None:
        """Raise the epoch above the one that an engine has seen.

        That happens when a domain object was deleted and its epochs started
        again. A node that is no longer the holder fails on the version.
        """
        _, value = records.version_and_value(
            self._state.domains.get(record.domain)
        )
        last_number = value.get("next_group", 1) - 1
        own = group_table.fencing(record.view.lease.epoch, last_number)
        if number > own:
            record.required_epoch = group_table.epoch_of(number) + 1

    def _operation_id(self) -> str:
        return str(uuid.UUID(int=self._rng.getrandbits(128)))
