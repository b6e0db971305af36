"""Read and write the domain objects in the platform's object store.

A domain object holds the lease, the groups and the drain marks of a fabric
domain. The holder changes it with conditional updates.
"""

from collections.abc import Callable
import random

import attrs
import eliot

from balsamlug import announcements
from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import state as fleet
from balsamlug.messages import types
from balsamlug.ownership import lease as leases
from balsamlug.ownership import planner
from balsamlug.ownership import record as records
from balsamlug.store import client

KIND = "domain"
# A higher generation that an engine announces is taken for an error.
MAX_ANNOUNCED_GENERATION = 2**48


@attrs.define(eq=False)
class DomainObjects:
    """Store calls for domain objects; each result is published to all nodes.

    Args:
      rank: returns this node's rank among the candidates of a domain.
    """

    _state: fleet.FleetState
    _store: client.ObjectStore
    _clock: clocks.Clock
    _rng: random.Random
    _rank: Callable[[str], int]

    async def write(
        self,
        record: records.DomainRecord,
        base: fleet.DomainObject | None,
        lease: leases.Lease,
        plan: planner.Plan | None,
    ) -> None:
        """Update the domain object conditionally and publish the result.

        Args:
          base: version that the lease and the plan are based on. If this node
            has received a newer version by the time the write starts, the
            write must fail, since another node may have become the holder.
        """
        domain = record.domain
        version, current = records.version_and_value(base)
        is_restored = base is not None and base.is_restored
        if is_restored or (
            record.deleted and (version or self._announces_groups(domain))
        ):
            # The plan may be based on an older version than the lost one.
            plan = None
            current = self._with_unused_generations(domain, current)
        version = 0 if record.deleted else version
        value = records.planned_value(current, plan) | {
            "lease": leases.to_value(lease)
        }
        sent_s = self._clock.monotonic()
        record.begin_write(lease.operation_id, sent_s)
        stored: list[dict] = []

        def is_applied(stored_value: dict) -> bool:
            # An operator may have changed the object after this write took
            # effect, so the stored value is published and not the sent one.
            stored.append(stored_value)
            return _operation_id_of(stored_value) == lease.operation_id

        try:
            version = await self._store.commit(
                KIND, domain, value, version, is_applied
            )
        except exceptions.StoreConflict as exc:
            record.pending.pop(lease.operation_id, None)
            if await self.read(record) and not self._is_newer(record, base):
                # The next write would fail in the same way.
                self._back_off(record, exc)
        except exceptions.StoreError as exc:
            self._back_off(record, exc)
        else:
            record.reset_backoff()
            self._publish(record, version, (stored or [value])[-1])
            _log_actions(domain, lease, plan)

    def _announces_groups(self, domain: str) -> bool:
        return bool(self._announced_generations(domain))

    def _announced_generations(self, domain: str) -> list[int]:
        members = [
            announcements.membership_of(instance)
            for instance in self._state.instances.values()
            if instance.fabric_domain == domain
        ]
        return [member.generation for member in members if member is not None]

    def _with_unused_generations(self, domain: str, value: dict) -> dict:
        """Return a value whose next generation was never assigned before.

        A generation of a group must not get a second list of members: an
        engine announces the generation and not the list. Engines refuse lower
        generations than they have had.
        """
        announced = [
            generation
            for generation in self._announced_generations(domain)
            if generation <= MAX_ANNOUNCED_GENERATION
        ]
        highest = max(value.get("next_group", 1), *announced, 0)
        skipped = self._rng.choice(records.SKIPPED_GENERATIONS)
        return value | {"next_group": highest + skipped}

    def _is_newer(
        self, record: records.DomainRecord, base: fleet.DomainObject | None
    ) -> bool:
        current = self._state.domains.get(record.domain)
        known = [0 if obj is None else obj.version for obj in (current, base)]
        return record.deleted or known[0] > known[1]

    async def read(self, record: records.DomainRecord) -> bool:
        """Read the object and return whether the read succeeded."""
        try:
            stored = await self._store.get(KIND, record.domain)
        except exceptions.StoreNotFound:
            # An existing object can only have been deleted by an operator.
            # The next write creates it again with the groups of the last
            # version that this node has received.
            record.deleted = True
            return True
        except exceptions.StoreError as exc:
            self._back_off(record, exc)
            return False
        return self._publish(record, stored.version, stored.value)

    def _publish(
        self, record: records.DomainRecord, version: int, value: dict
    ) -> bool:
        """Publish a version to all nodes; return whether its value is valid."""
        now_s = self._clock.monotonic()
        record.deleted = False
        try:
            update = types.DomainUpdate(record.domain, version, value)
            self._state.publish(update, now_s)
        except (exceptions.ProtocolError, TypeError) as exc:
            self._back_off(record, exc)
            return False
        record.observe(self._state.domains.get(record.domain), now_s)
        return True

    def _back_off(self, record: records.DomainRecord, exc: Exception) -> None:
        retry_s = 0.0
        if isinstance(exc, exceptions.StoreRateLimited):
            retry_s = exc.retry_after_ms / clocks.MS_PER_S
        record.back_off(
            self._clock.monotonic(),
            self._rank(record.domain),
            self._rng,
            retry_s,
        )
        eliot.log_message(
            "domain_call_failed",
            domain=record.domain,
            error=type(exc).__name__,
        )


def _operation_id_of(value: dict) -> str:
    return value.get("lease", {}).get("operation_id", "")


def _log_actions(
    domain: str, lease: leases.Lease, plan: planner.Plan | None
) -> None:
    for action in plan.actions if plan is not None else ():
        eliot.log_message(
            "group_changed",
            domain=domain,
            epoch=lease.epoch,
            group=action.group_id,
            action=str(action.kind),
            cause=action.cause,
        )
