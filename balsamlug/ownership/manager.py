"""Acquire and renew the leases of fabric domains and manage their groups.

The manager of each node runs on every tick. For each domain whose lease the
node holds, it plans the groups, writes them to the domain object and sends
the engines the orders that implement the stored groups.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import functools
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
from balsamlug.ownership import services
from balsamlug.ownership import views
from balsamlug.store import client

# Limits the store calls of one node, even if it holds every domain.
MAX_CALLS_PER_TICK = 4
# The first groups of a domain wait until no domain has had a new engine in the
# list for this time. Quotas of an incomplete list differ: two domains may each
# form the group that only one of them should have.
FIRST_FORMATION_QUIET_S = 1.0
# They wait for at most this time after the first engine of their domain.
FIRST_FORMATION_WAIT_S = 6.0


class Manager:
    """Run the lease, the planner and the orders of every domain.

    Args:
      observations: results of the local prober by instance.
      address: returns the address of an instance, empty if it is unknown.
      send: delivers an order to its instance.
      due: returns the orders that the state of a domain requires.
      fenced: whether upstreams refuse the orders of a former holder, so that
        a lease may be taken over as soon as its holder is reported as down.
      staged_only: whether spares load weights before they replace a member.
      formation_delay_s: time without a newly listed engine in a domain before
        groups are formed there. If it is not 0, the first groups of a domain
        also wait until the lists of all domains seem complete.
      prefers_warm_heads: see `views.Views`.
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
        formation_delay_s: float = 0.0,
        prefers_warm_heads: bool = False,
    ) -> None:
        self._node = node
        self._state = state
        self._store = store
        self._clock = clock
        self._rng = rng
        self._observations = observations
        self._address = address
        self._send = send
        self._due = due
        self._fenced = fenced
        self._staged_only = staged_only
        self._formation_delay_s = formation_delay_s
        self._objects = domain_objects.DomainObjects(
            state, store, clock, rng, self.rank
        )
        self._ranking = candidates.Ranking(node, state)
        self._dispatchers: dict[str, orders.Dispatcher] = {}
        self._deliveries: set[asyncio.Task] = set()
        self._stopping = False
        self.views = views.Views(state, prefers_warm_heads)
        self.records: dict[str, records.DomainRecord] = {}

    def tick(self) -> None:
        """Start the due orders and store calls without waiting for them."""
        now_s = self._clock.monotonic()
        self._ranking.refresh()
        self.views.refresh(now_s)
        for domain in self.views.domains():
            self._observe(domain, now_s)
        for record in self.records.values():
            if record.holds(now_s):
                self._send_orders(record, now_s)
        self._start_calls(now_s)

    def held_domains(self, now_s: float) -> list[records.DomainRecord]:
        """Return the records of the domains whose lease this node holds."""
        return [r for r in self.records.values() if r.holds(now_s)]

    def probe_intervals(self) -> dict[str, float]:
        """Return the probe interval of each instance probed as a holder."""
        now_s = self._clock.monotonic()
        intervals: dict[str, float] = {}
        for record in self.held_domains(now_s):
            intervals |= self.views.probe_intervals(record, self._node, now_s)
        return intervals

    def watched_groups(self) -> set[str]:
        """Return the groups whose readiness this node reports as a holder."""
        return {
            group.id
            for record in self.held_domains(self._clock.monotonic())
            for group in self.views.watched_groups(record.domain, self._node)
        }

    def _has_reachable_engine(self, domain: str) -> bool:
        """Return whether an engine answers or no group needs probes here."""
        observations = [
            self._observations.get(engine)
            for engine in self.views.engines(domain)
        ]
        if any(o is not None and o.failure is None for o in observations):
            return True
        return not self.views.watched_groups(domain, self._node)

    def rank(self, domain: str) -> int:
        """Return this node's rank among the candidates of a domain."""
        key = f"domain:{domain}"
        return self._ranking.rank(key, self.views.region(domain))

    async def wait_for_calls(self) -> None:
        """Wait until every store call and order in flight has ended."""
        store_calls = [
            r.store_call
            for r in self.records.values()
            if r.store_call is not None
        ]
        await asyncio.gather(
            *store_calls, *self._deliveries, return_exceptions=True
        )

    async def stop(self) -> None:
        """Stop sending orders, then release the leases."""
        self._stopping = True
        await self.wait_for_calls()
        await asyncio.gather(
            *(self._release(r) for r in self._records_with_current_epoch())
        )

    def _records_with_current_epoch(self) -> list[records.DomainRecord]:
        return [r for r in self.records.values() if r.has_current_epoch()]

    def _observe(self, domain: str, now_s: float) -> None:
        record = self.records.setdefault(domain, records.DomainRecord(domain))
        record.observe(self._state.domains.get(domain), now_s)
        record.record_engines(frozenset(self.views.engines(domain)), now_s)
        responded_or_idle = not record.holds(
            now_s
        ) or self._has_reachable_engine(domain)
        record.record_response(responded_or_idle, now_s)

    def _start_calls(self, now_s: float) -> None:
        """Start the due store calls, renewals first."""
        due = []
        for record in self.records.values():
            if record.store_call is not None and not record.store_call.done():
                continue
            if now_s >= record.next_call_s:
                due.append(record)
        due.sort(key=lambda r: (not r.has_current_epoch(), r.view.held_from_s))
        started = 0
        for record in due:
            if started >= MAX_CALLS_PER_TICK or self._stopping:
                return
            call = self._next_store_call(record, now_s)
            if call is not None:
                started += 1
                record.store_call = asyncio.create_task(call)

    def _next_store_call(self, record: records.DomainRecord, now_s: float):
        """Return the store call that a domain needs now, or None."""
        if record.has_current_epoch():
            return self._next_holder_call(record, now_s)
        if now_s < record.candidacy_paused_until_s:
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
        previous_holder = record.view.lease.holder
        if self._fenced and previous_holder == self._node:
            # This node acquired the lease before its last restart. Engines
            # refuse orders under the former epoch, and after the wait the
            # instance list shows the effects of the last orders.
            return (
                now_s - record.view.seen_at_s >= leases.RESTARTED_HOLDER_WAIT_S
            )
        if not self._fenced or rank:
            return False
        holder = self._state.nodes.get(previous_holder)
        is_down = holder is not None and holder.state is tables.NodeState.DOWN
        # A node that is wrongly reported as down still renews its leases.
        return is_down and leases.is_renewal_overdue(record.view, now_s)

    def _next_holder_call(self, record: records.DomainRecord, now_s: float):
        changed = False
        if record.holds(now_s) and record.are_engines_unreachable(now_s):
            record.pause_candidacy(now_s)
            return self._release(record)
        if record.holds(now_s):
            record.plan = self._plan(record, now_s)
            changed = bool(record.plan.actions)
        raise_epoch = record.required_epoch > record.view.lease.epoch
        # A restored object lacks what engines were ordered to do since.
        changed = changed or record.view.is_restored
        if changed or raise_epoch or leases.is_renewal_due(record.view, now_s):
            return self._renew(record)
        return None

    def _plan(self, record: records.DomainRecord, now_s: float) -> planner.Plan:
        groups = self.views.groups.of(record.domain)
        refused = record.refused_generations(groups, now_s)
        engines_settled = (
            now_s - record.last_engine_added_s >= self._formation_delay_s
        )
        if self._formation_delay_s and not groups:
            engines_settled &= self._is_list_settled(record, now_s)
        steps = planner.STEPS if engines_settled else planner.URGENT_STEPS
        planned = [
            self.views.planner_view(record, self._observations, now_s, service)
            for service in self.views.services(record.domain) or [services.ANY]
        ]
        return planner.plan_services(
            (
                attrs.evolve(
                    view,
                    staged_only=self._staged_only,
                    next_group=max(view.next_group, record.required_generation),
                    refused=refused,
                )
                for view in planned
            ),
            steps,
        )

    def _is_list_settled(
        self, record: records.DomainRecord, now_s: float
    ) -> bool:
        """Return whether the first groups of a domain may be formed."""
        if now_s - record.first_engine_s >= FIRST_FORMATION_WAIT_S:
            return True
        last_s = max(r.last_engine_added_s for r in self.records.values())
        return now_s - last_s >= FIRST_FORMATION_QUIET_S

    def _renew(self, record: records.DomainRecord):
        """Return the write that renews the lease, with the plan if valid.

        After the lease has expired, the holder renews it without a plan,
        because its observations may be out of date.
        """
        lease = leases.renewed(
            record.view.lease, self._operation_id(), self._era(record)
        )
        lease = attrs.evolve(
            lease, epoch=max(lease.epoch, record.required_epoch)
        )
        plan = record.plan if record.holds(self._clock.monotonic()) else None
        return self._objects.write(record, self._object(record), lease, plan)

    async def _take_over(self, record: records.DomainRecord) -> None:
        """Read the object and acquire the lease if it is still available.

        This node may have missed renewals. A read costs less than a write
        that fails.
        """
        if not await self._objects.read(record):
            return
        now_s = self._clock.monotonic()
        if self._may_take_over(record, now_s):
            lease = leases.acquired(
                record.view.lease,
                self._node,
                self._operation_id(),
                self._era(record),
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
        lease = leases.released(
            record.view.lease, self._operation_id(), self._era(record)
        )
        return self._objects.write(record, self._object(record), lease, None)

    def _era(self, record: records.DomainRecord) -> int:
        """Return the era of the store for the next write of an object."""
        return max(self._store.era, record.view.era)

    def _object(
        self, record: records.DomainRecord
    ) -> fleet.DomainObject | None:
        return self._state.domains.get(record.domain)

    def _send_orders(self, record: records.DomainRecord, now_s: float) -> None:
        """Send the orders for the stored groups, not for planned ones."""
        dispatcher = self._dispatchers.setdefault(
            record.domain,
            orders.Dispatcher(
                self._send,
                functools.partial(self._require_newer_epoch, record),
                functools.partial(self._require_newer_generation, record),
            ),
        )
        snapshot = self.views.snapshot(
            record, self._observations, self._address, now_s
        )
        due_orders = self._due(snapshot, now_s)
        for order in dispatcher.select(due_orders, now_s):
            task = asyncio.create_task(
                dispatcher.deliver(
                    order, self._permission(record, order.instance)
                )
            )
            self._deliveries.add(task)
            task.add_done_callback(self._deliveries.discard)

    def _permission(
        self, record: records.DomainRecord, instance: str
    ) -> Callable[[], bool]:
        """Return a check whether an order that is due now may still be sent."""
        assigned = self.views.groups.assignment(record.domain, instance)

        def may_send() -> bool:
            holds = record.holds(self._clock.monotonic())
            current = self.views.groups.assignment(record.domain, instance)
            return not self._stopping and holds and current == assigned

        return may_send

    def _require_newer_epoch(
        self, record: records.DomainRecord, engine_number: int
    ) -> None:
        """Require an epoch above the one in an engine's fencing number.

        An engine has a higher epoch if the domain object was deleted and its
        epochs started again. The write of a node that is no longer the holder
        fails because of the object's version.
        """
        _, value = records.version_and_value(
            self._state.domains.get(record.domain)
        )
        last_generation = value.get("next_group", 1) - 1
        local_number = group_table.fencing(
            record.view.lease.epoch, last_generation
        )
        if engine_number > local_number:
            record.required_epoch = max(
                record.required_epoch, group_table.epoch_of(engine_number) + 1
            )

    def _require_newer_generation(
        self, record: records.DomainRecord, order: orders.Order
    ) -> None:
        """Require a newer generation of the group of a refused join."""
        join = order.body
        record.record_refused_generation(
            join.group, join.generation, self._rng, self._clock.monotonic()
        )
        eliot.log_message(
            "generation_refused",
            domain=record.domain,
            instance=order.instance,
            group=join.group,
            generation=join.generation,
            required=record.required_generation,
        )

    def _operation_id(self) -> str:
        return str(uuid.UUID(int=self._rng.getrandbits(128)))
