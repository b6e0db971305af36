"""Continuous batching of the engine stand-in.

Each step produces one token for every running request.
"""

import asyncio
import itertools
import time

import attrs

from balsamlug_standins import answers
from balsamlug_standins import caching
from balsamlug_standins import engine_settings

FINAL_STATES = ("done", "cancelled", "failed", "disconnected", "refused")


@attrs.define(eq=False)
class Run:
    """One request on the engine and its outcome.

    Attributes:
      next_index: index of the next token to produce.
      state: queued, running, or one of FINAL_STATES.
      prefill_s: remaining prefill time.
      tokens: queue of produced tokens; None marks the end of the run.
    """

    request_id: str
    prompt: str
    max_tokens: int
    priority: int
    resume_from: int
    group: str
    generation: int
    sequence: int
    received_at_ms: int
    next_index: int = 0
    state: str = "queued"
    reason: str = ""
    prefill_s: float = 0.0
    started_at_ms: int = 0
    ended_at_ms: int = 0
    tokens: asyncio.Queue = attrs.field(factory=asyncio.Queue)

    def has_ended(self) -> bool:
        """Return whether the run is in a final state."""
        return self.state in FINAL_STATES

    def end(self, state: str, reason: str = "") -> None:
        """Set the final state and wake the reader of the tokens."""
        if self.has_ended():
            return
        self.state = state
        self.reason = reason
        self.ended_at_ms = wall_ms()
        self.tokens.put_nowait(None)

    def record(self) -> dict:
        """Return the run as an entry of the engine's record."""
        return attrs.asdict(
            self,
            filter=lambda field, _: field.name not in ("tokens", "prefill_s"),
        )


@attrs.define
class Batcher:
    """All runs of an engine, in order of arrival."""

    settings: engine_settings.EngineSettings
    cache: caching.PrefixCache
    runs: list[Run] = attrs.field(factory=list)
    _sequence: itertools.count = attrs.field(factory=itertools.count)

    def submit(self, req: dict) -> Run:
        """Queue a request.

        Raises:
          KeyError, TypeError, ValueError: a field is missing or malformed.
        """
        resume_from = int(req.get("resume_from") or 0)
        run = Run(
            request_id=str(req["request_id"]),
            prompt=str(req["prompt"]),
            max_tokens=int(req["max_tokens"]),
            priority=int(req.get("priority", 0)),
            resume_from=resume_from,
            group=str(req.get("group")),
            generation=int(req.get("generation") or 0),
            sequence=next(self._sequence),
            received_at_ms=wall_ms(),
            next_index=resume_from,
        )
        self.runs.append(run)
        return run

    def runs_in_state(self, state: str) -> list[Run]:
        """Return the runs that are in a state."""
        return [run for run in self.runs if run.state == state]

    def cancel(self, request_id: str) -> int:
        """Cancel the active runs of a request and return their number."""
        cancellable = [
            run
            for run in self.runs
            if run.request_id == request_id and not run.has_ended()
        ]
        for run in cancellable:
            run.end("cancelled")
        return len(cancellable)

    def fail_all(self, reason: str) -> None:
        """Fail all queued and running requests."""
        for run in self.runs:
            run.end("failed", reason)

    def step(self, elapsed_s: float) -> None:
        """Admit queued requests and produce one token per running request."""
        self._admit()
        for run in self.runs_in_state("running"):
            run.prefill_s -= elapsed_s
            if run.prefill_s <= 0:
                self._produce_token(run)

    def _admit(self) -> None:
        free = self.settings.capacity - len(self.runs_in_state("running"))
        queued = self.runs_in_state("queued")
        queued.sort(key=lambda run: (run.priority, run.sequence))
        for run in queued[: max(0, free)]:
            run.state = "running"
            run.started_at_ms = wall_ms()
            uncached = self.cache.store_prompt(run.request_id, run.prompt)
            run.prefill_s = uncached * self.settings.prefill_ms_per_1k / 1e6

    def _produce_token(self, run: Run) -> None:
        if run.next_index >= run.max_tokens:
            run.end("done")
            return
        text = answers.token(run.prompt, run.next_index)
        run.tokens.put_nowait({"index": run.next_index, "text": text})
        run.next_index += 1
        if run.next_index >= run.max_tokens:
            run.end("done")


def wall_ms() -> int:
    """Return the wall clock time, which all stand-ins of a machine share."""
    return int(time.time() * 1000)
