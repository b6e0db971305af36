"""Read and write the objects of fabric domains in the platform's store."""

from collections.abc import Callable
import random

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import state as fleet
from balsamlug.messages import types
from balsamlug.ownership import lease as leases
from balsamlug.ownership import planner
from balsamlug.ownership import record as records
from balsamlug.store import client

KIND = "domain"


@attrs.define(eq=False)
class DomainObjects:
    """Calls of the store for domain objects; results go to all tables.

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
        seen: fleet.DomainObject | None,
        lease: leases.Lease,
        plan: planner.Plan | None,
    ) -> None:
        """Update the domain object conditionally and publish the result.

        Args:
          seen: version that lease and plan were made from. It may be older
            than the one this node knows when the write starts; the write must
            fail then, since another node may have become the holder.
        """
        domain = record.domain
        version, current = records.version_and_value(seen)
        version = 0 if record.deleted else version
        value = records.planned_value(current, plan) | {
            "lease": leases.to_value(lease)
        }
        sent_s = self._clock.monotonic()
        record.begin_write(lease.operation_id, sent_s)
        stored: list[dict] = []

        def applied(found: dict) -> bool:
            # An operator may have written after this write took effect, so
            # the value that was found counts and not the one that was sent.
            stored.append(found)
            return _operation(found) == lease.operation_id

        try:
            version = await self._store.commit(
                KIND, domain, value, version, applied
            )
        except exceptions.StoreConflict:
            record.pending.pop(lease.operation_id, None)
            await self.read(record)
        except exceptions.StoreError as exc:
            self._back_off(record, exc)
        else:
            record.allow_calls()
            self._publish(record, version, (stored or [value])[-1])
            _log_actions(domain, lease, plan)

    async def read(self, record: records.DomainRecord) -> bool:
        """Read the object and return whether that succeeded."""
        try:
            found = await self._store.get(KIND, record.domain)
        except exceptions.StoreNotFound:
            # Deleted by hand, if it existed; it is created again with the
            # groups that the engines carry.
            record.deleted = True
            return True
        except exceptions.StoreError as exc:
            self._back_off(record, exc)
            return False
        return self._publish(record, found.version, found.value)

    def _publish(
        self, record: records.DomainRecord, version: int, value: dict
    ) -> bool:
        """Tell everyone about a version; return whether its value is valid."""
        now_s = self._clock.monotonic()
        record.deleted = False
        update = types.DomainUpdate(record.domain, version, value)
        try:
            self._state.publish(update, now_s)
        except exceptions.ProtocolError as exc:
            self._back_off(record, exc)
            return False
        _, newest = records.version_and_value(
            self._state.domains.get(record.domain)
        )
        record.observe(newest, now_s)
        return True

    def _back_off(
        self, record: records.DomainRecord, exc: exceptions.BalsamlugError
    ) -> None:
        retry_s = 0.0
        if isinstance(exc, exceptions.StoreRateLimited):
            retry_s = exc.retry_after_ms / clocks.MS_PER_S
        record.delay_calls(
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


def _operation(value: dict) -> str:
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
