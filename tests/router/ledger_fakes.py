"""Fake service and routers for the tests of the ledger."""

import asyncio
import collections
import random

import attrs

from balsamlug import clock as clock_lib
from balsamlug import exceptions
from balsamlug.router import ledger
from balsamlug.router import ledger_writer

TIMEOUT_MS = 1000
REQUEST = b"POST /book {}"


class FakeService:
    """Fake plain service that records which calls ran."""

    def __init__(self):
        self.runs = collections.Counter()
        self.callers_that_ran = set()
        self.failure = None
        self.gate = None

    def call(self, key, caller=None):
        async def run():
            if isinstance(self.failure, exceptions.UpstreamUnreachable):
                raise self.failure
            self.runs[key] += 1
            self.callers_that_ran.add(caller)
            if self.gate is not None:
                await self.gate.wait()
            await asyncio.sleep(0)
            if self.failure is not None:
                raise self.failure
            return 201, {"Content-Type": "text/plain"}, f"ran {key}".encode()

        return run


@attrs.define
class Router:
    """Ledger of one router with counters of its decisions."""

    ledger: ledger.Ledger
    events: collections.Counter

    async def book(self, service, key, request=REQUEST, caller=None):
        call = service.call(key, caller)
        return await self.ledger.run(
            "vedrina", "rentals", key, request, call, TIMEOUT_MS
        )


def make_router(store, seed=1, name="node-1", clock=None):
    events = collections.Counter()
    clock = clock or clock_lib.SystemClock()
    writer = ledger_writer.LedgerWriter(
        store, clock, random.Random(seed), lambda: 24
    )

    def count(event):
        events[event] += 1

    return Router(ledger.Ledger(writer, clock, name, lambda: 24, count), events)


def uuid7(time_ms, tail=1):
    raw = (time_ms << 80) | (7 << 76) | (2 << 62) | tail
    text = f"{raw:032x}"
    parts = (text[:8], text[8:12], text[12:16], text[16:20], text[20:])
    return "-".join(parts)
