"""Decide which probe reports are sent in full and which as a refresh.

A refresh carries the load and the age of an otherwise unchanged report.
"""

import attrs

from balsamlug import clock as clocks
from balsamlug.messages import refresh
from balsamlug.messages import types

# Reports expire after 3 s; at this interval one refresh may be lost.
REFRESH_S = 1.0
# Allows for probes that are slightly less than a second apart.
REFRESH_SLACK_S = 0.1
# Ticks of a report start at the wall clock time at this rate, so that a
# restarted prober starts above its earlier ticks.
TICKS_PER_S = 10
UNPROBED_GROUP_RETENTION_S = 60.0


@attrs.define
class _SentReport:
    """The report that was last sent about one group.

    Attributes:
      key: key of the full report.
    """

    key: bytes
    tick: int
    sent_s: float


@attrs.define
class Refresher:
    """Reports of this node as its peers have received them."""

    clock: clocks.Clock
    _sent: dict[str, _SentReport] = attrs.field(factory=dict)

    def kind(self, report: types.GroupReport) -> str:
        """Return "full", "refresh" or "" for a new report of this node."""
        now_s = self.clock.monotonic()
        key = refresh.report_key(report)
        sent = self._sent.get(report.group_id)
        if sent is None or sent.key != key:
            tick = self._first_tick() if sent is None else sent.tick + 1
            self._sent[report.group_id] = _SentReport(key, tick, now_s)
            return "full"
        if now_s - sent.sent_s < REFRESH_S - REFRESH_SLACK_S:
            return ""
        sent.tick += 1
        sent.sent_s = now_s
        return "refresh"

    def tick(self, group_id: str) -> int:
        """Return the tick of the last report sent about a group."""
        sent = self._sent.get(group_id)
        return sent.tick if sent is not None else 0

    def remove_expired(self) -> None:
        """Remove groups that this node no longer probes."""
        oldest_s = self.clock.monotonic() - UNPROBED_GROUP_RETENTION_S
        for group_id in list(self._sent):
            if self._sent[group_id].sent_s < oldest_s:
                del self._sent[group_id]

    def _first_tick(self) -> int:
        return self.clock.wall_ms() * TICKS_PER_S // clocks.MS_PER_S
