"""Received group reports: their age, their order and the derived status.

The state of the fleet holds one report for each group and prober.
"""

import attrs

from balsamlug import clock as clocks
from balsamlug import tables
from balsamlug.messages import types

# A group whose last ready report is older receives no new work.
REPORT_LIFETIME_S = 3.0
# Expired reports are retained for this time, so that a refresh can renew them
# without the full report. A prober whose wall clock was set back at its restart
# sends lower ticks, and its reports are accepted only after this time.
REPORT_RETENTION_S = 30.0


@attrs.define
class ReceivedReport:
    """A report of a prober and the time of its observation.

    Attributes:
      report: the last full report.
      observed_at_s: time of the observation in the receiver's monotonic time:
        the time of receipt minus the age that the sender reported.
      tick, load: values of the last refresh. They are stored outside of the
        report, because a copy of the report at each refresh takes most of the
        time of the refresh.
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
    current: ReceivedReport,
) -> bool:
    """Return whether a report replaces the current one of the same prober."""
    if message.generation != current.report.generation:
        return message.generation > current.report.generation
    if not message.tick or not current.tick:
        return observed_at_s > current.observed_at_s
    # The age does not decide when both have a tick: it does not include the
    # time that a message spends in a socket, so an old report could circulate
    # as a recent one.
    return message.tick > current.tick


def report_message(received: ReceivedReport, now_s: float) -> types.GroupReport:
    """Return the message of a report with its current age."""
    age_ms = max(0, int((now_s - received.observed_at_s) * clocks.MS_PER_S))
    return attrs.evolve(
        received.report, age_ms=age_ms, tick=received.tick, load=received.load
    )


def unobserved(group_id: str) -> tables.GroupStatus:
    """Return the status of a group without a recent report."""
    return tables.GroupStatus(
        group_id, "", 0, False, "not observed", "", tables.LoadReport(), 0.0
    )


def status(received: ReceivedReport) -> tables.GroupStatus:
    """Return the status of a group according to one report."""
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
