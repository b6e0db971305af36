"""Store writes and added latency of ways to claim non-idempotent calls.

Run as `python -m bench.ledger [--rate N] [--seconds N] [--seed N] [--json]`.
The store is in memory with a fixed latency for each call; the claims, batches
and conflicts are those of the product.
"""

import argparse
import asyncio
import json
import random
import statistics
import time
import uuid

import attrs

from balsamlug import clock as clocks
from balsamlug.router import ledger
from balsamlug.router import ledger_keys
from balsamlug.router import ledger_writer
from balsamlug_standins import memory_store

ROUTERS = 12
STORE_LATENCY_S = 0.003
RETENTION_HOURS = 24
TIMEOUT_MS = 10_000


@attrs.frozen
class Way:
    """One way to place claims.

    Attributes:
      shards: objects of one time slot.
      owned: whether all claims of an object are made at one router, as
        forwarding to an owner would do, without the cost of the extra hop.
      opaque: whether keys carry no time.
    """

    name: str
    shards: int = 16
    owned: bool = False
    opaque: bool = False


WAYS = (
    Way("one object for each call", opaque=True),
    Way("batch, 1 shard", shards=1),
    Way("batch, 4 shards", shards=4),
    Way("batch, 16 shards"),
    Way("batch, 256 shards", shards=256),
    Way("batch, 16 shards, owner", owned=True),
    Way("batch, 1 shard, owner", shards=1, owned=True),
)


def _key(index: int, opaque: bool) -> str:
    if opaque:
        return f"booking-{index}"
    time_ms = clocks.SystemClock().wall_ms()
    tail = random.Random(index).getrandbits(62)
    raw = (time_ms << 80) | (7 << 76) | (2 << 62) | tail
    return str(uuid.UUID(int=raw))


class _Run:
    def __init__(self, way: Way, seed: int) -> None:
        self.way = way
        self.rng = random.Random(seed)
        self.store = memory_store.MemoryStore(self.rng, STORE_LATENCY_S)
        self.latencies_ms: list[float] = []
        self.failures = 0
        self.routers = [self._router(i) for i in range(ROUTERS)]

    def _router(self, index: int) -> ledger.Ledger:
        clock = clocks.SystemClock()
        rng = random.Random(self.rng.random())
        writer = ledger_writer.LedgerWriter(
            self.store, clock, rng, lambda: RETENTION_HOURS
        )
        return ledger.Ledger(
            writer, clock, f"node-{index}", lambda: RETENTION_HOURS
        )

    def _choose(self, key: str) -> ledger.Ledger:
        if not self.way.owned:
            return self.rng.choice(self.routers)
        now_ms = clocks.SystemClock().wall_ms()
        place = ledger_keys.locate(
            "c", "s", key, now_ms, RETENTION_HOURS
        ).object_name
        return self.routers[random.Random(place).randrange(ROUTERS)]

    async def one(self, index: int) -> None:
        key = _key(index, self.way.opaque)
        started = time.monotonic()
        try:
            await self._choose(key).run("c", "s", key, b"", _book, TIMEOUT_MS)
        except Exception:  # counted and shown in the table
            self.failures += 1
            return
        self.latencies_ms.append((time.monotonic() - started) * 1000)

    async def load(self, rate: int, seconds: float) -> None:
        started = time.monotonic()
        calls = []
        for index in range(int(rate * seconds)):
            delay_s = started + index / rate - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            calls.append(asyncio.create_task(self.one(index)))
        await asyncio.gather(*calls)


async def _book() -> ledger.Answer:
    return 201, {"Content-Type": "application/json"}, b'{"booked": true}' * 8


def measure(way: Way, rate: int, seconds: float, seed: int) -> dict:
    """Return the figures of one way."""
    ledger_keys.SHARDS = way.shards
    run = _Run(way, seed)
    asyncio.run(run.load(rate, seconds))
    cuts = statistics.quantiles(run.latencies_ms, n=100)
    calls = len(run.latencies_ms)
    return {
        "way": way.name,
        "calls": calls,
        "failures": run.failures,
        "writes_per_call": round(run.store.writes / calls, 2),
        "reads_per_call": round(run.store.reads / calls, 2),
        "conflicts": run.store.conflicts,
        "p50_ms": round(cuts[49], 1),
        "p95_ms": round(cuts[94], 1),
        "p99_ms": round(cuts[98], 1),
    }


def main() -> None:
    """Measure every way and print a table or JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    rows = [measure(w, args.rate, args.seconds, args.seed) for w in WAYS]
    if args.json:
        print(json.dumps(rows, indent=2))
        return
    for row in rows:
        print("  ".join(f"{name}={value}" for name, value in row.items()))


if __name__ == "__main__":
    main()
