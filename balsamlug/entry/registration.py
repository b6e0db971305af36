"""Register this node in the platform's store, where other nodes find it."""

import asyncio

import attrs
import eliot

from balsamlug import addresses
from balsamlug import exceptions
from balsamlug.config import schema
from balsamlug.membership import nodes
from balsamlug.store import client
from balsamlug.store import objects

KIND = "nodes"
RETRY_S = 1.0
# Nodes discover each other over their links. The store is listed again only to
# find the nodes of the other side after a network partition.
REFRESH_S = 20.0


@attrs.define(eq=False)
class Registration:
    """Write the local address once and discover those of other nodes."""

    _settings: schema.NodeSettings
    _store: client.ObjectStore
    _table: nodes.NodeTable

    async def run(self) -> None:
        """Register, then list the nodes periodically."""
        while True:
            try:
                await self._register()
                break
            except exceptions.StoreError as exc:
                _log_failure(exc)
                await asyncio.sleep(RETRY_S)
        while True:
            try:
                await self._discover()
            except exceptions.StoreError as exc:
                _log_failure(exc)
            await asyncio.sleep(REFRESH_S)

    async def _register(self) -> None:
        value = {
            "address": f"{self._settings.address}:{self._settings.peer_port}",
            "failure_domain": self._settings.failure_domain,
        }
        stored = await self._stored_registration()
        if stored is not None and stored.value == value:
            return
        version = stored.version if stored is not None else 0
        await self._store.put(KIND, self._settings.id, value, version)

    async def _stored_registration(self) -> objects.StoredObject | None:
        try:
            return await self._store.get(KIND, self._settings.id)
        except exceptions.StoreNotFound:
            return None

    async def _discover(self) -> None:
        changes = await self._store.list(KIND)
        if self._settings.id not in {item.name for item in changes.items}:
            # The store may have been restored from before the registration.
            await self._register()
        registered = {
            item.value["address"]
            for item in changes.items
            if isinstance(item.value, dict)
            and addresses.is_address(item.value.get("address"))
        }
        self._table.known_addresses |= registered


def _log_failure(exc: exceptions.StoreError) -> None:
    eliot.log_message(
        "store_call_failed",
        kind=KIND,
        error=type(exc).__name__,
        detail=str(exc),
    )
