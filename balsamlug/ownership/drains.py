"""Set and clear the drain marks of instances in domain objects.

`balsamlug drain` writes the marks; the planner of the domain's holder reads
them and replaces the marked members.
"""

import asyncio
import random

from balsamlug import exceptions
from balsamlug.store import client

KIND = "domain"
MAX_ATTEMPTS = 20
# The holder renews its lease in the object every 2 s, so conflicts are common.
MAX_BACKOFF_S = 0.1


async def set_mark(
    store: client.ObjectStore, instance_id: str, reason: str
) -> str:
    """Mark an instance as draining and return its fabric domain.

    Raises:
      StoreNotFound: the instance, or the object of its domain, is not known.
      StoreError: the object API failed.
    """
    domain = await _domain_of(store, instance_id)
    await _write_mark(store, domain, instance_id, reason)
    return domain


async def clear_mark(store: client.ObjectStore, instance_id: str) -> str:
    """Remove the mark of an instance and return its fabric domain.

    Raises:
      StoreNotFound: the instance, or the object of its domain, is not known.
      StoreError: the object API failed.
    """
    domain = await _domain_of(store, instance_id)
    await _write_mark(store, domain, instance_id, None)
    return domain


async def _domain_of(store: client.ObjectStore, instance_id: str) -> str:
    listed = await store.instances()
    for instance in listed.instances:
        if instance["id"] == instance_id:
            return instance["fabric_domain"]
    raise exceptions.StoreNotFound(
        f"instance {instance_id!r} is not in the platform's list"
    )


async def _write_mark(
    store: client.ObjectStore,
    domain: str,
    instance_id: str,
    reason: str | None,
) -> None:
    rng = random.Random()
    for _ in range(MAX_ATTEMPTS):
        stored = await store.get(KIND, domain)
        value = _with_drain_mark(stored.value, instance_id, reason)
        if value == stored.value:
            return
        try:
            await store.put(KIND, domain, value, stored.version)
        except (exceptions.StoreConflict, exceptions.StoreOutage):
            # The next read shows whether a write without a response took
            # effect.
            await asyncio.sleep(rng.uniform(0, MAX_BACKOFF_S))
            continue
        return
    raise exceptions.StoreOutage(
        "drain mark not confirmed in the domain object:"
        " too many attempts failed"
    )


def _with_drain_mark(value: dict, instance_id: str, reason: str | None) -> dict:
    draining = dict(value.get("draining", {}))
    if reason is None:
        draining.pop(instance_id, None)
    else:
        draining[instance_id] = reason
    return value | {"draining": draining}
