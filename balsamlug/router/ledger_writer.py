"""Commit ledger operations as batched conditional updates of objects.

When the store is restored from a copy, it loses entries that it acknowledged.
Each router then commits the entries again that it wrote lately.
"""

import asyncio
from collections.abc import Callable
import random

import attrs
import eliot

from balsamlug import clock as clock_lib
from balsamlug import exceptions
from balsamlug.router import ledger_entries
from balsamlug.store import client
from balsamlug.store import positions

KIND = "ledger"
MAX_BATCH = 256
# An operation that is not committed within this time fails.
COMMIT_TIMEOUT_S = 3.0
BACKOFF_MIN_S = 0.005
BACKOFF_MAX_S = 0.25
# The objects stored or read least recently are evicted first, which are usually
# those of old slots.
MAX_CACHED_OBJECTS = 256
# How long the entries of a write are committed again if the store is restored.
# No copy is expected to be older.
LOST_WRITES_S = 60.0


@attrs.define
class _Pending:
    operation: ledger_entries.Operation
    future: asyncio.Future
    deadline_s: float


@attrs.define
class _Cached:
    version: int
    value: dict
    stored_s: float = float("-inf")


class LedgerWriter:
    """Commit operations, combining those on the same object in one update.

    Args:
      retention_hours: returns the configured retention.
      on_commit: called with the number of operations of each successful
        update.
    """

    def __init__(
        self,
        store: client.ObjectStore,
        clock: clock_lib.Clock,
        rng: random.Random,
        retention_hours: Callable[[], int],
        on_commit: Callable[[int], None] = lambda operations: None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng
        self._retention_hours = retention_hours
        self._on_commit = on_commit
        self._pending: dict[str, list[_Pending]] = {}
        self._cache: dict[str, _Cached] = {}
        # Object -> entries that the store may have lost.
        self._lost: dict[str, dict[str, dict]] = {}
        self._restoring: set[asyncio.Task] = set()
        self._era = 0
        self._tasks: dict[str, asyncio.Task] = {}

    async def submit(
        self,
        object_name: str,
        operation: ledger_entries.Operation,
    ) -> ledger_entries.OperationResult:
        """Commit an operation and return its result.

        Raises:
          StoreOutage: not committed in time; it may still take effect.
        """
        future = asyncio.get_running_loop().create_future()
        deadline_s = self._clock.monotonic() + COMMIT_TIMEOUT_S
        queue = self._pending.setdefault(object_name, [])
        queue.append(_Pending(operation, future, deadline_s))
        if object_name not in self._tasks:
            task = asyncio.create_task(self._commit_pending(object_name))
            self._tasks[object_name] = task
        return await future

    def observe_era(self, era: int) -> None:
        """Commit recent entries again if the store was restored meanwhile."""
        if era <= self._era:
            return
        self._era = era
        oldest_s = self._clock.monotonic() - LOST_WRITES_S
        names = [
            name
            for name, cached in self._cache.items()
            if cached.stored_s >= oldest_s
            and positions.era_of(cached.version) < era
        ]
        eliot.log_message("ledger_restored", era=era, objects=len(names))
        for name in names:
            self._forget(name)
            task = asyncio.create_task(self._restore(name))
            self._restoring.add(task)
            task.add_done_callback(self._restoring.discard)

    async def _restore(self, object_name: str) -> None:
        while object_name in self._lost:
            try:
                await self.submit(object_name, ledger_entries.Restore())
            except exceptions.StoreError:
                await asyncio.sleep(BACKOFF_MAX_S)

    def _forget(self, object_name: str) -> None:
        """Drop a cached object, whose entries the store may have lost."""
        cached = self._cache.pop(object_name, None)
        if cached is not None:
            lost = self._lost.setdefault(object_name, {})
            lost |= cached.value.get("claims", {})

    async def _commit_pending(self, object_name: str) -> None:
        try:
            while self._pending.get(object_name):
                await self._commit_batch(object_name)
        finally:
            self._tasks.pop(object_name, None)
            remaining = self._pending.pop(object_name, [])
            _fail_all(
                remaining, exceptions.StoreOutage("ledger writer stopped")
            )

    async def _commit_batch(self, object_name: str) -> None:
        backoff_s = BACKOFF_MIN_S
        while self._drop_expired(object_name):
            batch = self._pending[object_name][:MAX_BATCH]
            try:
                results = await self._commit_with_cache(object_name, batch)
            except exceptions.StoreError as exc:
                self._forget(object_name)
                backoff_s = await self._back_off(backoff_s, exc)
                continue
            del self._pending[object_name][: len(batch)]
            for item, result in zip(batch, results, strict=True):
                _resolve(item.future, result)
            return

    def _drop_expired(self, object_name: str) -> bool:
        now_s = self._clock.monotonic()
        queue = self._pending[object_name]
        expired = [item for item in queue if item.deadline_s <= now_s]
        queue[:] = [item for item in queue if item.deadline_s > now_s]
        _fail_all(
            expired,
            exceptions.StoreOutage("operation was not committed in time"),
        )
        return bool(queue)

    async def _commit_with_cache(
        self, object_name: str, batch: list[_Pending]
    ) -> list[ledger_entries.OperationResult]:
        self.observe_era(self._store.era)
        cached = self._cache.get(object_name)
        if cached is not None:
            results = await self._commit_to(object_name, cached, batch)
            if not _may_be_stale(results):
                return results
        current = await self._read(object_name)
        return await self._commit_to(object_name, current, batch)

    async def _commit_to(
        self, object_name: str, current: _Cached, batch: list[_Pending]
    ) -> list[ledger_entries.OperationResult]:
        claims = ledger_entries.with_lost(
            dict(current.value.get("claims", {})),
            self._lost.get(object_name, {}),
        )
        value = current.value | {"claims": claims}
        now_ms = self._clock.wall_ms()
        results = [
            ledger_entries.apply(item.operation, value, now_ms)
            for item in batch
        ]
        lost = self._lost.get(object_name, {})
        if _changed(batch, current.value, value, lost):
            ledger_entries.remove_expired_answers(
                value, now_ms, self._retention_hours()
            )
            await self._write(object_name, value, current.version, len(batch))
        self._lost.pop(object_name, None)
        return results

    async def _write(
        self, object_name: str, value: dict, version: int, operations: int
    ) -> None:
        new_version = await self._store.put(KIND, object_name, value, version)
        stored_s = self._clock.monotonic()
        self._cache_object(object_name, _Cached(new_version, value, stored_s))
        self._on_commit(operations)

    async def _read(self, object_name: str) -> _Cached:
        try:
            stored = await self._store.get(KIND, object_name)
            current = _Cached(stored.version, stored.value)
        except exceptions.StoreNotFound:
            current = _Cached(0, {"claims": {}})
        self._cache_object(object_name, current)
        return current

    def _cache_object(self, object_name: str, cached: _Cached) -> None:
        self._cache.pop(object_name, None)
        self._cache[object_name] = cached
        while len(self._cache) > MAX_CACHED_OBJECTS:
            del self._cache[next(iter(self._cache))]

    async def _back_off(
        self, backoff_s: float, exc: exceptions.StoreError
    ) -> float:
        wait_s = self._rng.uniform(0, backoff_s)
        if isinstance(exc, exceptions.StoreRateLimited):
            wait_s += exc.retry_after_ms / clock_lib.MS_PER_S
        await asyncio.sleep(wait_s)
        return min(backoff_s * 2, BACKOFF_MAX_S)


def _changed(
    batch: list[_Pending], before: dict, after: dict, lost: dict[str, dict]
) -> bool:
    old = before.get("claims", {})
    new = after["claims"]
    keys = {item.operation.key_hash for item in batch}.union(lost)
    return any(old.get(key) is not new.get(key) for key in keys)


def _may_be_stale(results: list[ledger_entries.OperationResult]) -> bool:
    claimed = str(ledger_entries.EntryState.CLAIMED)
    return any(
        isinstance(result, ledger_entries.AlreadyClaimed)
        and result.entry["state"] == claimed
        for result in results
    )


def _resolve(
    future: asyncio.Future, result: ledger_entries.OperationResult
) -> None:
    if not future.done():
        future.set_result(result)


def _fail_all(items: list[_Pending], exc: exceptions.StoreError) -> None:
    for item in items:
        if not item.future.done():
            item.future.set_exception(exc)
