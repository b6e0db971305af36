"""Received group reports, their age and their order."""

import attrs

from balsamlug import clock as clocks
from balsamlug import tables
from balsamlug.messages import types

# A group whose last ready report is older takes no new work.
REPORT_LIFETIME_S = 3.0
# Old reports are kept for a while, so that a refresh can revive them without
# the full report. A prober whose wall clock was set back at its restart has
# lower ticks, and is heard after this time.
REPORT_KEEP_S = 30.0


@attrs.define
class ReceivedReport:
    """A report of a prober and when its observation was made.

    Attributes:
      report: as it was last received in full.
      observed_at_s: receiver's monotonic time, the sender's age subtracted.
      tick, load: of the last refresh. They stand outside of the report, since
        a copy of it at each refresh takes most of the time of a refresh.
    """

    report: types.GroupReport
    observed_at_s: float
    tick: int = attrs.field()
    load: list[int] = attrs.field()

    @tick.default
    def _first_tick(self) -> int:
        return self.report.tick

    @load.default
    def _first_load(self) -> list[int]:
        return self.report.load


def is_newer(
    message: types.GroupReport,
    observed_at_s: float,
    known: ReceivedReport,
) -> bool:
    """Return whether a report replaces a known one of the same prober."""
    if message.generation != known.report.generation:
        return message.generation > known.report.generation
    if not message.tick or not known.tick:
        return observed_at_s > known.observed_at_s
    # Age does not decide between ticks: the time that a message spends in a
    # socket is not part of its age, so an old report could circulate as fresh.
    return message.tick > known.tick


def report_message(received: ReceivedReport, now_s: float) -> types.GroupReport:
    """Return a report with the age that it has now."""
    age_ms = max(0, int((now_s - received.observed_at_s) * clocks.MS_PER_S))
    return attrs.evolve(
        received.report, age_ms=age_ms, tick=received.tick, load=received.load
    )


def unobserved(group_id: str) -> tables.GroupStatus:
    """Return the status of a group without a fresh report."""
    return tables.GroupStatus(
        group_id, "", 0, False, "not observed", "", tables.LoadReport(), 0.0
    )


def status(received: ReceivedReport) -> tables.GroupStatus:
    """Return the status of a group as one report has it."""
    report = received.report
    return tables.GroupStatus(
        report.group_id,
        report.deployment,
        report.generation,
        report.ready,
        report.reason,
        report.head_address,
        tables.LoadReport(*received.load),
        received.observed_at_s,
    )
