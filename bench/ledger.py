"""Measures store writes and latency of variants of the claim ledger.

The ledger claims non-idempotent calls in the store before they run. Start the
benchmark with
`python -m bench.ledger [--rate N] [--seconds N] [--seed N] [--json]`.
The store is in memory with a fixed latency for each call. Claims, batches and
conflicts come from the code of the router.
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
class Variant:
    """One variant of distributing claims over objects and routers.

    Attributes:
      shards: objects per time slot.
      owned: whether one router makes all claims of an object. A real system
        would forward the calls to it; the cost of that hop is not measured.
      opaque: whether keys contain no time.
    """

    name: str
    shards: int = 16
    owned: bool = False
    opaque: bool = False


VARIANTS = (
    Variant("one object for each call", opaque=True),
    Variant("batch, 1 shard", shards=1),
    Variant("batch, 4 shards", shards=4),
    Variant("batch, 16 shards"),
    Variant("batch, 256 shards", shards=256),
    Variant("batch, 16 shards, owner", owned=True),
    Variant("batch, 1 shard, owner", shards=1, owned=True),
)


def _key(index: int, opaque: bool) -> str:
    if opaque:
        return f"booking-{index}"
    time_ms = clocks.SystemClock().wall_ms()
    tail = random.Random(index).getrandbits(62)
    raw = (time_ms << 80) | (7 << 76) | (2 << 62) | tail
    return str(uuid.UUID(int=raw))


class _Run:
    def __init__(self, variant: Variant, seed: int) -> None:
        self.variant = variant
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

    def _choose_router(self, key: str) -> ledger.Ledger:
        if not self.variant.owned:
            return self.rng.choice(self.routers)
        now_ms = clocks.SystemClock().wall_ms()
        object_name = ledger_keys.locate(
            "c", "s", key, now_ms, RETENTION_HOURS
        ).object_name
        return self.routers[random.Random(object_name).randrange(ROUTERS)]

    async def run_call(self, index: int) -> None:
        key = _key(index, self.variant.opaque)
        started_s = time.monotonic()
        try:
            await self._choose_router(key).run(
                "c", "s", key, b"", _book, TIMEOUT_MS
            )
        except Exception:  # counted and printed
            self.failures += 1
            return
        self.latencies_ms.append((time.monotonic() - started_s) * 1000)

    async def load(self, rate: int, seconds: float) -> None:
        started_s = time.monotonic()
        calls = []
        for index in range(int(rate * seconds)):
            delay_s = started_s + index / rate - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            calls.append(asyncio.create_task(self.run_call(index)))
        await asyncio.gather(*calls)


async def _book() -> ledger.Answer:
    return 201, {"Content-Type": "application/json"}, b'{"booked": true}' * 8


def measure(variant: Variant, rate: int, seconds: float, seed: int) -> dict:
    """Run one variant and return the measured values."""
    ledger_keys.SHARDS = variant.shards
    run = _Run(variant, seed)
    asyncio.run(run.load(rate, seconds))
    percentiles = statistics.quantiles(run.latencies_ms, n=100)
    calls = len(run.latencies_ms)
    return {
        "way": variant.name,
        "calls": calls,
        "failures": run.failures,
        "writes_per_call": round(run.store.writes / calls, 2),
        "reads_per_call": round(run.store.reads / calls, 2),
        "conflicts": run.store.conflicts,
        "p50_ms": round(percentiles[49], 1),
        "p95_ms": round(percentiles[94], 1),
        "p99_ms": round(percentiles[98], 1),
    }


def main() -> None:
    """Measure every variant and print a table or JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    rows = [measure(w, args.rate, args.seconds, args.seed) for w in VARIANTS]
    if args.json:
        print(json.dumps(rows, indent=2))
        return
    for row in rows:
        print("  ".join(f"{name}={value}" for name, value in row.items()))


if __name__ == "__main__":
    main()
