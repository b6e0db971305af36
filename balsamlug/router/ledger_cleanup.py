"""Delete ledger objects of time slots that accept no more claims."""

import asyncio
from collections.abc import Callable

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug.router import ledger_keys
from balsamlug.router import ledger_writer
from balsamlug.store import client

# Keys are refused after one retention. A slot is deleted after two, so that a
# node whose clock is behind by up to one retention cannot run an old key again.
DELETE_AFTER_RETENTIONS = 2
PERIOD_S = ledger_keys.SLOT_MS / clocks.MS_PER_S


@attrs.define
class LedgerCleanup:
    """Delete the objects of each slot when they are due.

    Slots that become due while no router runs are never deleted; they only take
    up space.

    Attributes:
      is_responsible: returns whether this router deletes an object.
    """

    store: client.ObjectStore
    clock: clocks.Clock
    retention_hours: Callable[[], int]
    is_responsible: Callable[[str], bool]

    async def run(self) -> None:
        """Delete each slot when it becomes due."""
        while True:
            await asyncio.sleep(PERIOD_S)
            await self.delete_due()

    async def delete_due(self) -> int:
        """Delete this router's objects of the due slot and count them."""
        retention_ms = self.retention_hours() * ledger_keys.MS_PER_HOUR
        due_ms = self.clock.wall_ms() - DELETE_AFTER_RETENTIONS * retention_ms
        names = (
            ledger_keys.slot_name(due_ms, shard)
            for shard in range(ledger_keys.SHARDS)
        )
        deleted = 0
        for name in filter(self.is_responsible, names):
            deleted += await self._delete(name)
        return deleted

    async def _delete(self, name: str) -> bool:
        try:
            stored = await self.store.get(ledger_writer.KIND, name)
            await self.store.delete(ledger_writer.KIND, name, stored.version)
        except exceptions.StoreError:
            return False
        return True
