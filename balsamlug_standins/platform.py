"""Stand-in for the platform: object API and instance list."""

import asyncio
import collections
import json
import pathlib
import time
from typing import Annotated

import attrs
from tornado import web
import typer

from balsamlug_standins import instances
from balsamlug_standins import objects
from balsamlug_standins import serving

WRITES_PER_S = 400
READS_PER_S = 2000
MAX_WATCH_MS = 60_000
HANG_POLL_S = 0.05


@attrs.define
class Faults:
    """Faults of the object API and of the instance list.

    Attributes:
      outage: "" for none, "refuse" to answer with 503, "hang" not to answer
        until the outage ends.
      delay_ms: delay before the effect of every call, so a write whose caller
        timed out still takes effect.
      lose_answers: number of next writes that take effect without a response.
      lose_kind: kind of objects whose responses are lost, "" for any.
      instances_outage: whether an outage includes the instance list.
      writes_per_s: rate limit of puts and deletes.
      reads_per_s: rate limit of all other calls.
    """

    outage: str = ""
    delay_ms: int = 0
    lose_answers: int = 0
    lose_kind: str = ""
    instances_outage: bool = True
    writes_per_s: float = WRITES_PER_S
    reads_per_s: float = READS_PER_S


@attrs.define
class TokenBucket:
    """Token bucket whose capacity is the allowance of one second."""

    tokens: float | None = None
    filled_at_s: float = attrs.field(factory=time.monotonic)

    def take(self, rate: float) -> int:
        """Take a token and return 0, or the ms until one is available."""
        now_s = time.monotonic()
        available = rate if self.tokens is None else self.tokens
        available = min(rate, available + (now_s - self.filled_at_s) * rate)
        self.filled_at_s = now_s
        if available < 1:
            self.tokens = available
            return max(1, int((1 - available) / rate * 1000))
        self.tokens = available - 1
        return 0


@attrs.define
class Platform:
    """State of the platform stand-in.

    Attributes:
      calls: number of calls by kind of object and kind of call, including
        refused ones.
      refused: number of refused calls by reason.
    """

    store: objects.Objects = attrs.field(factory=objects.Objects)
    instance_list: instances.InstanceList = attrs.field(
        factory=instances.InstanceList
    )
    faults: Faults = attrs.field(factory=Faults)
    reads: TokenBucket = attrs.field(factory=TokenBucket)
    writes: TokenBucket = attrs.field(factory=TokenBucket)
    calls: dict[str, collections.Counter] = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )
    refused: collections.Counter = attrs.field(factory=collections.Counter)

    def wake_watches(self) -> None:
        """Wake waiting watches, so that they fail if an outage has begun."""
        self.store.changed.notify()
        self.instance_list.changed.notify()


class ApiHandler(serving.JsonHandler):
    """Base class of calls that are counted and subject to faults."""

    call = "get"

    def initialize(self, platform: Platform) -> None:
        """Store the state."""
        self.platform = platform

    async def admit(self, call: str, kind: str) -> bool:
        """Count a call; return False if it has been refused."""
        self.platform.calls[kind][call] += 1
        if not await self._admit_unless_outage(call):
            return False
        wait_ms = self._rate_wait_ms(call)
        if wait_ms:
            self.platform.refused["rate_limited"] += 1
            self.answer(
                {"error": "rate_limited", "retry_after_ms": wait_ms}, 429
            )
            return False
        await asyncio.sleep(self.platform.faults.delay_ms / 1000)
        return True

    def answer_write(self, kind: str, body: dict) -> None:
        """Answer a write, or drop the connection if its response is lost."""
        faults = self.platform.faults
        if faults.lose_answers > 0 and faults.lose_kind in ("", kind):
            faults.lose_answers -= 1
            self.drop()
            return
        self.answer(body)

    async def answer_watch(self, call: str, body: dict) -> None:
        """Answer a watch, or refuse it if an outage has begun."""
        if await self._admit_unless_outage(call):
            self.answer(body)

    def timeout_s(self) -> float:
        """Return the time that a watch may wait."""
        requested_ms = int(self.get_query_argument("timeout_ms", "0"))
        return min(requested_ms, MAX_WATCH_MS) / 1000

    def _active_outage(self, call: str) -> str:
        faults = self.platform.faults
        if call == "instances" and not faults.instances_outage:
            return ""
        return faults.outage

    async def _admit_unless_outage(self, call: str) -> bool:
        if not self._active_outage(call):
            return True
        self.platform.refused["outage"] += 1
        while self._active_outage(call) == "hang":
            await asyncio.sleep(HANG_POLL_S)
        self.answer({"error": "unavailable"}, 503)
        return False

    def _rate_wait_ms(self, call: str) -> int:
        faults = self.platform.faults
        if call in ("put", "delete"):
            return self.platform.writes.take(faults.writes_per_s)
        return self.platform.reads.take(faults.reads_per_s)


class ObjectHandler(ApiHandler):
    """One object."""

    async def get(self, kind: str, name: str) -> None:
        """Return the object."""
        if not await self.admit("get", kind):
            return
        item = self.platform.store.get(kind, name)
        if item is None:
            self.answer({"error": "not_found"}, 404)
            return
        self.answer(item)

    async def put(self, kind: str, name: str) -> None:
        """Write the object if it has the expected version."""
        if not await self.admit("put", kind):
            return
        body = self.body_json()
        store = self.platform.store
        try:
            version = store.put(
                kind, name, body["value"], body["expected_version"]
            )
        except objects.Conflict as exc:
            self.answer({"error": "conflict", "version": exc.version}, 409)
        except objects.ValueTooLarge:
            self.answer({"error": "value_too_large"}, 413)
        except KeyError:
            self.answer({"error": "malformed"}, 400)
        else:
            self.answer_write(kind, {"version": version})

    async def delete(self, kind: str, name: str) -> None:
        """Delete the object if it has the expected version."""
        if not await self.admit("delete", kind):
            return
        expected = int(self.get_query_argument("expected_version"))
        try:
            self.platform.store.delete(kind, name, expected)
        except objects.Conflict as exc:
            self.answer({"error": "conflict", "version": exc.version}, 409)
        else:
            self.answer_write(kind, {})


class KindHandler(ApiHandler):
    """All objects of a kind."""

    async def get(self, kind: str) -> None:
        """List the objects."""
        if await self.admit("list", kind):
            self.answer(self.platform.store.list(kind))


class WatchHandler(ApiHandler):
    """Changes of a kind."""

    async def get(self, kind: str) -> None:
        """Wait for changes."""
        if not await self.admit("watch", kind):
            return
        since = int(self.get_query_argument("since", "0"))
        changes = await self.platform.store.watch(
            kind,
            since,
            self.timeout_s(),
            lambda: bool(self._active_outage("watch")),
        )
        await self.answer_watch("watch", changes)


class InstancesHandler(ApiHandler):
    """Published instance list."""

    async def get(self) -> None:
        """Return the list, after a change if a revision is given."""
        if not await self.admit("instances", "instances"):
            return
        since = self.get_query_argument("since", None)
        if since is None:
            self.answer(self.platform.instance_list.view())
            return
        view = await self.platform.instance_list.wait(
            int(since),
            self.timeout_s(),
            lambda: bool(self._active_outage("instances")),
        )
        await self.answer_watch("instances", view)


class ControlInstancesHandler(serving.JsonHandler):
    """Control of the instance list."""

    def initialize(self, platform: Platform) -> None:
        """Store the state."""
        self.platform = platform

    def post(self) -> None:
        """Set the lag, update instances by id, remove instances."""
        body = self.body_json()
        instance_list = self.platform.instance_list
        instance_list.lag_ms = body.get("lag_ms", instance_list.lag_ms)
        for instance_id in body.get("remove", ()):
            instance_list.remove(instance_id)
        instance_list.update(body.get("instances", []))
        self.answer(
            {"actual": list(instance_list.actual.values())}
            | instance_list.view()
        )


class ControlCountersHandler(serving.JsonHandler):
    """Counters of the calls."""

    def initialize(self, platform: Platform) -> None:
        """Store the state."""
        self.platform = platform

    def get(self) -> None:
        """Return the calls by kind and the refused calls by reason."""
        calls = {kind: dict(c) for kind, c in self.platform.calls.items()}
        self.answer({"calls": calls, "refused": dict(self.platform.refused)})


class ControlObjectsHandler(serving.JsonHandler):
    """All objects for checks, bypassing faults and rate limits."""

    def initialize(self, platform: Platform) -> None:
        """Store the state."""
        self.platform = platform

    def get(self) -> None:
        """Return the objects by kind and name."""
        self.answer({"objects": self.platform.store.table})


def application(platform: Platform) -> web.Application:
    """Return the HTTP application of a platform."""
    state = {"platform": platform}
    return web.Application(
        [
            (r"/objects/([^/]+)/([^/]+)", ObjectHandler, state),
            (r"/objects/([^/]+)", KindHandler, state),
            (r"/watch/([^/]+)", WatchHandler, state),
            (r"/instances", InstancesHandler, state),
            (
                r"/control/faults",
                serving.SettingsHandler,
                {
                    "settings": platform.faults,
                    "on_change": platform.wake_watches,
                },
            ),
            (r"/control/instances", ControlInstancesHandler, state),
            (r"/control/counters", ControlCountersHandler, state),
            (r"/control/objects", ControlObjectsHandler, state),
        ],
        log_function=lambda handler: None,
    )


def main(
    port: Annotated[int, typer.Option()],
    instance_list: Annotated[pathlib.Path | None, typer.Option()] = None,
    lag_ms: Annotated[int, typer.Option()] = 0,
) -> None:
    """Run the platform; --instance-list names a JSON file of instances."""

    async def serve() -> None:
        platform = Platform()
        if instance_list is not None:
            platform.instance_list.update(json.loads(instance_list.read_text()))
        platform.instance_list.lag_ms = lag_ms
        await serving.run("platform", application(platform), port)

    asyncio.run(serve())


if __name__ == "__main__":
    typer.run(main)
