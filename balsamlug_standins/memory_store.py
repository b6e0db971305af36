"""In-memory object store for tests and benchmarks in one process."""

import asyncio
import copy
import json
import random

import attrs

from balsamlug import exceptions
from balsamlug.store import client
from balsamlug.store import objects
from balsamlug.store import positions


@attrs.define
class StoreFaults:
    """Faults of the store; those of writes are probabilities.

    Attributes:
      lost_answer: the write takes effect, but its response is lost.
      lost_request: the write never takes effect, and the caller cannot
        distinguish this from a lost response.
      late_effect: like lost_request, but the write takes effect up to 50 ms
        later.
      outage: whether all calls fail.
    """

    lost_answer: float = 0.0
    lost_request: float = 0.0
    late_effect: float = 0.0
    outage: bool = False


class MemoryStore(client.ObjectStore):
    """Object store client without a network, with the faults of the real one.

    Args:
      latency_s: duration of each call.
    """

    def __init__(self, rng: random.Random, latency_s: float = 0.0) -> None:
        self.latency_s = latency_s
        self.faults = StoreFaults()
        self.writes = 0
        self.reads = 0
        self.conflicts = 0
        self.objects: dict[tuple[str, str], tuple[int, str]] = {}
        self._rng = rng
        self._late_writes: set[asyncio.Task] = set()

    async def get(self, kind: str, name: str) -> objects.StoredObject:
        """Return an object, see `ObjectStore.get`."""
        self.reads += 1
        await asyncio.sleep(self.latency_s)
        self._check_outage()
        if (kind, name) not in self.objects:
            raise exceptions.StoreNotFound
        version, raw = self.objects[kind, name]
        position = positions.position(self.era, version)
        return objects.StoredObject(kind, name, position, json.loads(raw))

    def restore(self, saved: dict[tuple[str, str], tuple[int, str]]) -> None:
        """Return to a copy of the objects; versions are given out again."""
        self.era += 1
        self.objects = dict(saved)

    async def put(
        self, kind: str, name: str, value: dict, expected_version: int
    ) -> int:
        """Write an object conditionally, see `ObjectStore.put`."""
        self.writes += 1
        value = copy.deepcopy(value)
        await asyncio.sleep(self.latency_s)
        self._check_outage()
        self._check_restored(expected_version)
        roll = self._rng.random()
        if roll < self.faults.lost_request:
            raise exceptions.StoreOutage("injected fault: the request was lost")
        roll -= self.faults.lost_request
        if roll < self.faults.late_effect:
            task = asyncio.create_task(
                self._apply_late(kind, name, value, expected_version)
            )
            self._late_writes.add(task)
            raise exceptions.StoreOutage(
                "injected fault: the request was delayed"
            )
        version = self._apply(kind, name, value, expected_version)
        if roll - self.faults.late_effect < self.faults.lost_answer:
            raise exceptions.StoreOutage(
                "injected fault: the response was lost"
            )
        return version

    async def delete(self, kind: str, name: str, expected_version: int) -> None:
        """Delete an object conditionally, see `ObjectStore.delete`."""
        await asyncio.sleep(self.latency_s)
        self._check_outage()
        version, _ = self.objects.get((kind, name), (0, ""))
        self._check_restored(expected_version)
        if version != positions.revision_of(expected_version):
            raise exceptions.StoreConflict(version)
        del self.objects[kind, name]

    def _check_outage(self) -> None:
        if self.faults.outage:
            raise exceptions.StoreOutage("down")

    async def _apply_late(self, *write) -> None:
        await asyncio.sleep(self._rng.uniform(0, 0.05))
        try:
            self._apply(*write)
        except exceptions.StoreConflict:
            return

    def _apply(
        self, kind: str, name: str, value: dict, expected_version: int
    ) -> int:
        version, _ = self.objects.get((kind, name), (0, ""))
        # As the real store, it does not know the era of the expected version.
        if version != positions.revision_of(expected_version):
            self.conflicts += 1
            raise exceptions.StoreConflict(version)
        self.objects[kind, name] = (version + 1, json.dumps(value))
        return positions.position(self.era, version + 1)
