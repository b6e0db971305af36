"""Run non-idempotent service calls at most once.

The router claims the idempotency key of a call in the object API before it
dispatches the call to a service, and records the answer afterwards. See section
6.1 of the design page.
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import hashlib
import uuid

import attrs

from balsamlug import clock as clock_lib
from balsamlug import exceptions
from balsamlug.router import ledger_entries
from balsamlug.router import ledger_keys
from balsamlug.router import ledger_writer

FINGERPRINT_HEX_DIGITS = 16
# An answer waits at most this long for its record; after that it is sent to the
# caller and recorded in the background.
RECORD_WAIT_S = 0.25
RECORD_TIMEOUT_S = 3600.0
RECORD_RETRY_S = 1.0
IN_PROGRESS_RETRY_MS = 500
STORE_RETRY_MS = 1000
# Added to a service's timeout before a claim counts as abandoned.
ABANDONED_MARGIN_MS = 5000

Answer = tuple[int, dict[str, str], bytes]
Call = Callable[[], Awaitable[Answer]]


class Ledger:
    """Claim, dispatch and record non-idempotent calls.

    Args:
      router: id of this node, stored with its claims.
      retention_hours: returns the configured retention.
      on_event: called with the name of every decision, for the counters.
    """

    def __init__(
        self,
        writer: ledger_writer.LedgerWriter,
        clock: clock_lib.Clock,
        router: str,
        retention_hours: Callable[[], int],
        on_event: Callable[[str], None] = lambda event: None,
    ) -> None:
        self._writer = writer
        self._clock = clock
        self._router = router
        self._retention_hours = retention_hours
        self._on_event = on_event
        self._running: dict[ledger_keys.LedgerKey, _Running] = {}
        # Records that the object API has not stored yet.
        self._pending_records: dict[asyncio.Task, ledger_keys.LedgerKey] = {}

    async def run(
        self,
        customer: str,
        service: str,
        key: str,
        request_bytes: bytes,
        call: Call,
        timeout_ms: int,
    ) -> Answer:
        """Run a call, or return the recorded answer of an earlier run.

        Args:
          request_bytes: method, path and body; a call with the same key and
            other bytes is refused.
          call: dispatches once; raises UpstreamUnreachable when no upstream
            received the call.
          timeout_ms: maximum duration of one dispatch.

        Raises:
          Refusal: the call did not run, or its outcome is unknown.
        """
        ledger_key = ledger_keys.locate(
            customer,
            service,
            key,
            self._clock.wall_ms(),
            self._retention_hours(),
        )
        fingerprint = _fingerprint(request_bytes)
        running = self._running.get(ledger_key)
        if running is not None:
            return await self._join(running, fingerprint)
        running = _Running(fingerprint)
        self._running[ledger_key] = running
        # A caller that disconnects must not abort a call between its claim
        # and its record.
        running.task = asyncio.create_task(
            self._run_claimed(ledger_key, fingerprint, call, timeout_ms)
        )
        running.task.add_done_callback(
            lambda _: self._remove_running(ledger_key)
        )
        return await asyncio.shield(running.task)

    async def finish(self, timeout_s: float | None = None) -> None:
        """Wait for running calls and for records not stored yet."""
        running = {r.task for r in self._running.values() if r.task is not None}
        if running:
            await asyncio.wait(running, timeout=timeout_s)
        if self._pending_records:
            await asyncio.wait(set(self._pending_records), timeout=timeout_s)

    def observe_era(self, era: int) -> None:
        """Commit recent entries again if the store was restored meanwhile.

        Args:
          era: of the store, from any source.
        """
        self._writer.observe_era(era)

    def unrecorded_count(self) -> int:
        """Return the number of records not stored in the object API yet."""
        return len(self._pending_records)

    def _remove_running(self, ledger_key: ledger_keys.LedgerKey) -> None:
        running = self._running.pop(ledger_key)
        if not running.task.cancelled():
            # Retrieves the exception, as asyncio logs an error if every caller
            # has disconnected and nothing else retrieves it.
            running.task.exception()

    async def _join(self, running: "_Running", fingerprint: str) -> Answer:
        if running.fingerprint != fingerprint:
            raise exceptions.KeyReused("key was used with another request")
        self._on_event("joined")
        return await asyncio.shield(running.task)

    async def _run_claimed(
        self,
        ledger_key: ledger_keys.LedgerKey,
        fingerprint: str,
        call: Call,
        timeout_ms: int,
    ) -> Answer:
        attempt = uuid.uuid4().hex
        claim = ledger_entries.Claim(
            ledger_key.key_hash, attempt, self._router, fingerprint
        )
        result = await self._commit_claim(ledger_key, claim)
        if not isinstance(result, ledger_entries.Applied):
            return self._earlier_answer(result, timeout_ms)
        self._on_event("claimed")
        return await self._dispatch(ledger_key, attempt, call)

    async def _commit_claim(
        self, ledger_key: ledger_keys.LedgerKey, claim: ledger_entries.Claim
    ) -> ledger_entries.OperationResult:
        try:
            return await self._writer.submit(ledger_key.object_name, claim)
        except exceptions.StoreError as exc:
            # The claim may still take effect, which would block the key, so
            # it is released in the background.
            release = ledger_entries.Release(ledger_key.key_hash, claim.attempt)
            self._start_recording(ledger_key, release)
            self._on_event("store_unavailable")
            raise exceptions.StoreUnavailable(
                "the call cannot be claimed",
                STORE_RETRY_MS,
            ) from exc

    def _earlier_answer(
        self, result: ledger_entries.OperationResult, timeout_ms: int
    ) -> Answer:
        if isinstance(result, ledger_entries.RequestMismatch):
            raise exceptions.KeyReused("key was used with another request")
        return self._recorded_answer(result.entry, timeout_ms)

    def _recorded_answer(self, entry: dict, timeout_ms: int) -> Answer:
        state = ledger_entries.EntryState(entry["state"])
        if state is ledger_entries.EntryState.DONE:
            self._on_event("repeated")
            return _decode_response(entry["response"])
        abandoned_after_ms = timeout_ms + ABANDONED_MARGIN_MS
        age_ms = self._clock.wall_ms() - entry["claimed_at_ms"]
        if (
            state is ledger_entries.EntryState.CLAIMED
            and age_ms < abandoned_after_ms
        ):
            self._on_event("in_progress")
            raise exceptions.CallInProgress(
                "an earlier call with this key is running",
                IN_PROGRESS_RETRY_MS,
            )
        self._on_event("unknown")
        raise exceptions.OutcomeUnknown(
            "an earlier call with this key has no recorded answer"
        )

    async def _dispatch(
        self, ledger_key: ledger_keys.LedgerKey, attempt: str, call: Call
    ) -> Answer:
        try:
            status, headers, body = await call()
        except (exceptions.UpstreamUnreachable, exceptions.RateLimited):
            self._on_event("released")
            release = ledger_entries.Release(ledger_key.key_hash, attempt)
            await self._record(ledger_key, release)
            raise
        except Exception:
            self._on_event("outcome_unknown")
            unknown = ledger_entries.MarkUnknown(ledger_key.key_hash, attempt)
            await self._record(ledger_key, unknown)
            raise
        response = ledger_entries.Response(status, headers, _encode_body(body))
        complete = ledger_entries.Complete(
            ledger_key.key_hash, attempt, response
        )
        await self._record(ledger_key, complete)
        return status, headers, body

    async def _record(
        self,
        ledger_key: ledger_keys.LedgerKey,
        operation: ledger_entries.Operation,
    ) -> None:
        task = self._start_recording(ledger_key, operation)
        await asyncio.wait([task], timeout=RECORD_WAIT_S)

    def _start_recording(
        self,
        ledger_key: ledger_keys.LedgerKey,
        operation: ledger_entries.Operation,
    ) -> asyncio.Task:
        task = asyncio.create_task(
            self._record_with_retries(ledger_key, operation)
        )
        self._pending_records[task] = ledger_key
        task.add_done_callback(self._pending_records.pop)
        return task

    async def _record_with_retries(
        self,
        ledger_key: ledger_keys.LedgerKey,
        operation: ledger_entries.Operation,
    ) -> None:
        deadline_s = self._clock.monotonic() + RECORD_TIMEOUT_S
        while self._clock.monotonic() < deadline_s:
            try:
                await self._writer.submit(ledger_key.object_name, operation)
                return
            except exceptions.StoreError:
                self._on_event("record_delayed")
                await asyncio.sleep(RECORD_RETRY_S)
        self._on_event("record_lost")


@attrs.define
class _Running:
    fingerprint: str
    task: asyncio.Task | None = None


def _fingerprint(request_bytes: bytes) -> str:
    digest = hashlib.sha256(request_bytes).hexdigest()
    return digest[:FINGERPRINT_HEX_DIGITS]


def _encode_body(body: bytes) -> str | None:
    if len(body) > ledger_entries.MAX_RESPONSE_BYTES:
        return None
    return base64.b64encode(body).decode()


def _decode_response(response: dict) -> Answer:
    if response["body"] is None:
        raise exceptions.AnswerNotKept("the call ran; its answer is not kept")
    body = base64.b64decode(response["body"])
    return response["status"], response["headers"], body
