"""Watch the attempts of a stream for silence, and end those that are lost."""

import asyncio

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug.gateway import attempt as attempts
from balsamlug.gateway import failure_detector
from balsamlug.gateway import group_choice
from balsamlug.gateway import loads
from balsamlug.gateway import placement

Outcome = attempts.Outcome


@attrs.define(eq=False, kw_only=True)
class WatchedRequest(group_choice.PlacedRequest):
    """A caller's request whose silent attempts are replaced by others.

    Attributes:
      _last_activity_s: start of the current attempt, or its last event.
      _silence_limit_s: silence after which the group is probed.
      _was_found_silent: whether a member of the group was unresponsive since
        the last event of the attempt.
    """

    _last_activity_s: float = 0.0
    _silence_limit_s: float = failure_detector.SILENCE_TIMEOUT_S
    _was_found_silent: bool = False
    # Key in `Loads` while no other attempt may follow the current one.
    _bound_key: str = ""

    async def _watch(
        self, attempt: attempts.Attempt, candidate: placement.Candidate
    ) -> None:
        """Abort the attempt at the deadline or when its group is lost."""
        while True:
            now_s = self.ctx.clock.monotonic()
            if now_s >= self.deadline_s:
                attempt.abort(Outcome.TIMED_OUT)
                return
            silent_s = now_s - self._last_activity_s
            if silent_s >= self._silence_limit_s:
                try:
                    outcome = await self._check_silence(
                        attempt, candidate, silent_s
                    )
                except Exception:  # The deadline must hold after a defect.
                    eliot.write_traceback()
                    outcome = None
                    self._silence_limit_s = (
                        silent_s + failure_detector.PROBE_INTERVAL_S
                    )
                if outcome is not None:
                    attempt.abort(outcome)
                    return
                continue
            delay_s = min(
                self._silence_limit_s - silent_s, self.deadline_s - now_s
            )
            await asyncio.sleep(max(delay_s, 0.01))

    async def _check_silence(
        self,
        attempt: attempts.Attempt,
        candidate: placement.Candidate,
        silent_s: float,
    ) -> Outcome | None:
        """Return why to abort a silent attempt, None to continue it."""
        active_s = self._last_activity_s
        reason = f"no event for {silent_s * clocks.MS_PER_S:.0f} ms"
        group = self._assigned_group(candidate)
        is_lost = group is None or await self.ctx.detector.is_lost(
            group, reason
        )
        other = None
        if is_lost and self._assigned_group(candidate) is not None:
            other = await self._find_responding_group(candidate)
        is_path_lost = not is_lost and await self._is_path_lost(
            attempt, candidate
        )
        if self._last_activity_s != active_s:
            if is_lost:
                self._report_progress(candidate)
            return None
        self._was_found_silent = is_lost
        if self._assigned_group(candidate) is None:
            return Outcome.GROUP_LOST
        if other is not None and self._reserve(other):
            return Outcome.GROUP_LOST
        if (
            is_path_lost
            and self._has_place(candidate)
            and self._reserve_retry()
        ):
            return Outcome.PATH_LOST
        if is_lost:
            self._count_if_bound(candidate)
            self._log_kept(candidate.group, silent_s)
        delay_s = (
            group_choice.PLACEMENT_RETRY_S
            if is_lost
            else failure_detector.PROBE_INTERVAL_S
        )
        self._silence_limit_s = silent_s + delay_s
        return None

    def _report_progress(self, candidate: placement.Candidate) -> None:
        """Report an event of a group that was found silent."""
        self._was_found_silent = False
        group = self._assigned_group(candidate)
        if group is not None:
            self.ctx.detector.record_progress(group)

    async def _is_path_lost(
        self, attempt: attempts.Attempt, candidate: placement.Candidate
    ) -> bool:
        """Return whether a silent attempt may have lost only its connection."""
        connector = self.ctx.connector
        if not attempt.relay:
            return connector.monitor.lost_s is not None
        return await connector.is_relay_lost(attempt.relay, candidate.address)

    async def _is_broken_by_path(
        self, answer: attempts.Answer, candidate: placement.Candidate
    ) -> bool:
        """Return whether a path broke off an attempt that none may follow."""
        is_last = not self.servers.allows_another()
        is_cut = (
            answer.outcome is Outcome.BROKEN and not answer.response.complete
        )
        if not (is_last and is_cut and self._may_continue()):
            return False
        connector = self.ctx.connector
        if relay := answer.response.relay:
            return await connector.is_relay_lost(relay, candidate.address)
        now_s = self.ctx.clock.monotonic()
        return not await connector.monitor.is_up(candidate.address, now_s)

    def _count_if_bound(self, candidate: placement.Candidate) -> None:
        """Count the attempt if none may follow it now."""
        if not self._bound_key and not self._may_reserve():
            self._bound_key = loads.bound_key(candidate.group)
            self.ctx.loads.record_start(self._bound_key)

    def _stop_bound(self) -> None:
        if self._bound_key:
            self.ctx.loads.record_end(self._bound_key)
            self._bound_key = ""
