"""Forward the events of a stream to its caller and record their times."""

from collections.abc import Awaitable

import attrs

from balsamlug import clock as clocks
from balsamlug.gateway import attempt as attempts
from balsamlug.gateway import events
from balsamlug.gateway import failure_detector
from balsamlug.gateway import loads
from balsamlug.gateway import placement
from balsamlug.gateway import silence
from balsamlug.router import upstream


@attrs.define(eq=False, kw_only=True)
class EventForwardingRequest(silence.WatchedRequest):
    """A caller's request whose answer is a stream of events.

    Attributes:
      first_event_s: time from the receipt of the request to the start of its
        answer, None before that.
      _candidate: where the current attempt was placed.
      _event_chunks: number of event chunks received in the current attempt.
      _last_event_s: time of the last event of any attempt.
      _attempt_wait_ms, _attempt_target_ms: expected time to the first event of
        the attempt, and the time after which it is late.
      _attempt_is_late: whether the attempt waits behind those on time.
    """

    first_event_s: float | None = None
    _splitter: events.EventSplitter = attrs.field(factory=events.EventSplitter)
    _candidate: placement.Candidate | None = None
    _event_chunks: int = 0
    _last_event_s: float = 0.0
    _attempt_started_s: float = 0.0
    _attempt_wait_ms: float = 0.0
    _attempt_target_ms: float = 0.0
    _attempt_is_late: bool = False
    # Key in `Loads` while this request waits behind others with low urgency.
    _waiting_key: str = ""

    def _on_stream_data(
        self, resp: upstream.Response, data: bytes
    ) -> Awaitable[None] | None:
        self.ctx.detector.record_response()
        events_data = self._splitter.feed(data)
        if self._splitter.error:
            self._attempt.abort(attempts.Outcome.BROKEN)
        if not events_data:
            return None
        if self._splitter.progressed:
            self._record_event()
        if not self.responder.headers_sent:
            self._begin_response(resp)
        return self.responder.write(events_data)

    def _record_event(self) -> None:
        now_s = self.ctx.clock.monotonic()
        self.evidence.record_event()
        self._stop_waiting()
        if self._event_chunks:
            self._record_pause(now_s)
        else:
            self._record_first_event(now_s)
        if self._was_found_silent:
            self._report_progress(self._candidate)
        self._event_chunks += 1
        self._received_events += 1
        self._last_event_s = self._last_activity_s = now_s
        self._silence_limit_s = failure_detector.SILENCE_TIMEOUT_S

    def _record_first_event(self, now_s: float) -> None:
        """Record how long the current attempt took to its first event."""
        took_ms = (now_s - self._attempt_started_s) * clocks.MS_PER_S
        self.ctx.ramps.record_first_event(
            self._candidate.key,
            took_ms,
            self._attempt_wait_ms,
            self._attempt_target_ms,
        )
        # Late requests wait behind others, and resumed streams go first.
        if not (self._attempt_is_late or self.responder.headers_sent):
            self.ctx.admission.record_first_event(
                self._pool, self._attempt_wait_ms, took_ms
            )

    def _record_pause(self, now_s: float) -> None:
        """Record the pause since the last event of this attempt."""
        candidate = self._candidate
        key = candidate.group, candidate.generation
        pause_ms = (now_s - self._last_activity_s) * clocks.MS_PER_S
        # The candidate's own model already contains the factor of a slow group,
        # so the pause is compared with that of a healthy one.
        expected_ms = self.ctx.groups.expected_pass_ms(candidate)
        self.ctx.groups.speeds.record(key, pause_ms, expected_ms)

    def _begin_response(self, resp: upstream.Response) -> None:
        self.first_event_s = self.ctx.clock.monotonic() - self.req.received_s
        self.ctx.metrics.first_event_s.observe(self.first_event_s)
        self.may_have_run = True
        returned = self.ctx.headers.returned_headers(resp.headers)
        self.responder.begin(resp.status, returned, None)

    def _count_as_waiting(self, placed: placement.Placement) -> None:
        """Count a low-urgency attempt as waiting until its first event."""
        if self._attempt_is_late:
            self._waiting_key = loads.waiting_key(placed.candidate.group)
            self.ctx.loads.record_start(self._waiting_key)

    def _stop_waiting(self) -> None:
        if self._waiting_key:
            self.ctx.loads.record_end(self._waiting_key)
            self._waiting_key = ""
