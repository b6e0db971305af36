"""Operators' drain marks in the objects of fabric domains."""

import asyncio
import random

from balsamlug import exceptions
from balsamlug.store import client

KIND = "domain"
ATTEMPTS = 20
# Lease renewals change the object every two seconds, so conflicts are common.
BACKOFF_MAX_S = 0.1


async def set_mark(
    store: client.ObjectStore, instance_id: str, reason: str
) -> str:
    """Mark an instance as draining and return its fabric domain.

    Raises:
      StoreNotFound: the instance, or the object of its domain, is not known.
      StoreError: the object API failed.
    """
    domain = await _domain_of(store, instance_id)
    await _update(store, domain, instance_id, reason)
    return domain


async def clear_mark(store: client.ObjectStore, instance_id: str) -> str:
    """Remove the mark of an instance and return its fabric domain.

    Raises:
      StoreNotFound: the instance, or the object of its domain, is not known.
      StoreError: the object API failed.
    """
    domain = await _domain_of(store, instance_id)
    await _update(store, domain, instance_id, None)
    return domain


async def _domain_of(store: client.ObjectStore, instance_id: str) -> str:
    listed = await store.instances()
    for instance in listed.instances:
        if instance["id"] == instance_id:
            return instance["fabric_domain"]
    raise exceptions.StoreNotFound(f"no instance {instance_id!r}")


async def _update(
    store: client.ObjectStore,
    domain: str,
    instance_id: str,
    reason: str | None,
) -> None:
    rng = random.Random()
    for _ in range(ATTEMPTS):
        stored = await store.get(KIND, domain)
        value = _marked(stored.value, instance_id, reason)
        if value == stored.value:
            return
        try:
            await store.put(KIND, domain, value, stored.version)
        except (exceptions.StoreConflict, exceptions.StoreOutage):
            # The next read tells whether a write without answer took effect.
            await asyncio.sleep(rng.uniform(0, BACKOFF_MAX_S))
            continue
        return
    raise exceptions.StoreOutage("the mark could not be committed")


def _marked(value: dict, instance_id: str, reason: str | None) -> dict:
    draining = dict(value.get("draining", {}))
    if reason is None:
        draining.pop(instance_id, None)
    else:
        draining[instance_id] = reason
    return value | {"draining": draining}
