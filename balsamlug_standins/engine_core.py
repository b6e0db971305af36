"""Engine stand-in without its HTTP handlers."""

import asyncio
import json
import os
import pathlib
import time

import attrs
from tornado import httpclient
from tornado import simple_httpclient

from balsamlug_standins import assignment
from balsamlug_standins import batching
from balsamlug_standins import caching
from balsamlug_standins import engine_settings

MEMBER_CHECK_S = 0.2
# All members compute each token together, so the head produces no token unless
# all of them have responded recently.
MEMBER_STALL_S = 0.5
CRASH_EXIT_CODE = 70
NOT_CHECKED = "members_not_checked"


# Without slots, because __attrs_post_init__ adds attributes that are no fields.
@attrs.define(slots=False)
class Engine:
    """Engine with its assignment, batcher, prefix cache and member checks.

    Attributes:
      record_file: file that receives a JSON line for each start and end of a
        run, so that the record survives a crash of the process.
      unavailable_reason: why the group cannot run requests, "" when all
        members respond.
      draining_since_ms: wall clock time when the engine began draining, or 0.
    """

    instance: str
    incarnation: str
    settings: engine_settings.EngineSettings
    record_file: pathlib.Path | None = None
    unavailable_reason: str = NOT_CHECKED
    draining_since_ms: int = 0
    exports: dict[str, dict] = attrs.field(factory=dict)
    _members_checked_at_s: float = 0.0
    _load_report: dict = attrs.field(factory=dict)
    _load_reported_at_s: float = 0.0
    _recorded_states: dict[int, str] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.cache = caching.PrefixCache(self.settings)
        self.batcher = batching.Batcher(self.settings, self.cache)
        self.assignment = assignment.Assignment(
            self.settings, self._on_assignment_change
        )
        self._http = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=1000
        )

    def refusal(self, req: dict) -> tuple[int, str] | None:
        """Return HTTP status and error code if a request cannot run here."""
        current = self.assignment
        requested = (req.get("group"), req.get("generation"))
        if not current.is_head() or requested != (
            current.group,
            current.generation,
        ):
            return 409, "wrong_group"
        if current.state != "ready":
            return 503, "loading"
        if self.unavailable_reason:
            return 503, self.unavailable_reason
        return None

    def status(self) -> dict:
        """Return the body of /v1/status."""
        current = self.assignment
        return {
            "instance": self.instance,
            "incarnation": self.incarnation,
            "state": current.reported_state(),
            "group": current.group,
            "generation": current.generation,
            "rank": current.rank,
            "members": current.members,
            "model": current.model,
            "version": current.version,
            "fencing": self.settings.fencing,
            "load": self._load_report,
            "load_age_ms": int(
                (time.monotonic() - self._load_reported_at_s) * 1000
            ),
        }

    def record(self) -> dict:
        """Return all runs and all orders, for checks."""
        return {
            "instance": self.instance,
            "incarnation": self.incarnation,
            "draining_since_ms": self.draining_since_ms,
            "requests": [run.record() for run in self.batcher.runs],
            "orders": self.assignment.orders,
        }

    def export_kv(self, request_id: str) -> dict | None:
        """Return the KV cache of a request that ran here or was imported."""
        for run in reversed(self.batcher.runs):
            if run.request_id == request_id:
                model = [self.assignment.model, self.assignment.version]
                return {
                    "request_id": request_id,
                    "prompt": run.prompt,
                    "next_index": run.next_index,
                    "model": model,
                }
        return self.cache.imported.get(request_id)

    async def run(self) -> None:
        """Run steps, member checks and load reports until cancelled."""
        await asyncio.gather(
            self._step_loop(), self._member_loop(), self._load_loop()
        )

    async def _step_loop(self) -> None:
        last_step_s = time.monotonic()
        while True:
            await asyncio.sleep(self.settings.token_interval_ms / 1000)
            now_s = time.monotonic()
            if not self._stalled(now_s):
                self.batcher.step(now_s - last_step_s)
            last_step_s = now_s
            self._write_record()
            self._crash_if_marked()

    def _stalled(self, now_s: float) -> bool:
        if len(self.assignment.members) <= 1:
            return False
        return (
            bool(self.unavailable_reason)
            or now_s - self._members_checked_at_s > MEMBER_STALL_S
        )

    def _crash_if_marked(self) -> None:
        marker = self.settings.crash_marker
        if not marker:
            return
        for run in self.batcher.runs_in_state("running"):
            produced = run.next_index - run.resume_from
            if (
                marker in run.prompt
                and produced >= self.settings.crash_after_tokens
            ):
                os._exit(CRASH_EXIT_CODE)

    async def _member_loop(self) -> None:
        while True:
            started_s = time.monotonic()
            if self.assignment.is_head() and self.assignment.state == "ready":
                await self._check_members(started_s)
            if self.settings.draining and not self.draining_since_ms:
                self.draining_since_ms = batching.wall_ms()
            await asyncio.sleep(MEMBER_CHECK_S)

    async def _check_members(self, started_s: float) -> None:
        current = self.assignment
        checked = (current.group, current.generation)
        other_addresses = current.addresses[1:]
        problems = await asyncio.gather(
            *(
                self._member_problem(address, checked)
                for address in other_addresses
            )
        )
        if checked != (current.group, current.generation):
            return
        self.unavailable_reason = next((p for p in problems if p), "")
        if self.unavailable_reason:
            self.batcher.fail_all(self.unavailable_reason)
        else:
            self._members_checked_at_s = started_s

    async def _member_problem(self, address: str, expected: tuple) -> str:
        timeout_s = self.settings.member_timeout_ms / 1000
        try:
            resp = await self._http.fetch(
                f"http://{address}/v1/status",
                connect_timeout=timeout_s,
                request_timeout=timeout_s,
            )
            body = json.loads(resp.body)
        except (OSError, httpclient.HTTPError):
            return "member_lost"
        in_group = (body["group"], body["generation"]) == expected
        if in_group and body["state"] in ("ready", "draining"):
            return ""
        return "member_not_in_group"

    async def _load_loop(self) -> None:
        while True:
            self._load_report = {
                "running": len(self.batcher.runs_in_state("running")),
                "queued": len(self.batcher.runs_in_state("queued")),
                "capacity": self.settings.capacity,
                "cached_tokens": self.cache.cached_tokens(),
            }
            self._load_reported_at_s = time.monotonic()
            await asyncio.sleep(self.settings.load_lag_ms / 1000)

    def _on_assignment_change(self, reason: str) -> None:
        self.batcher.fail_all(reason)
        self.unavailable_reason = NOT_CHECKED

    def _write_record(self) -> None:
        if self.record_file is None:
            return
        changed = [
            run
            for run in self.batcher.runs
            if self._recorded_states.get(run.sequence) != run.state
            and run.state != "queued"
        ]
        if not changed:
            return
        with self.record_file.open("a") as out:
            for run in changed:
                self._recorded_states[run.sequence] = run.state
                entry = {"incarnation": self.incarnation} | run.record()
                out.write(json.dumps(entry) + "\n")
