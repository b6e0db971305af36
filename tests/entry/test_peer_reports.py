"""Guards against engines that are lost or used by hearsay alone."""

import asyncio

import attrs
import pytest

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import state
from balsamlug import tables
from balsamlug.entry import peer_reports
from balsamlug.gateway import failure_detector
from balsamlug.health import listed as listing


@attrs.define(eq=False)
class _Node:
    """One node whose only engine "a" answers it or not."""

    answers: bool
    changes: list[bool] = attrs.field(factory=list)
    listed: listing.Listed = attrs.field(init=False)
    reports: peer_reports.PeerReports = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        fleet = state.FleetState("s")
        fleet.instances["a"] = tables.Instance(
            "a",
            "1",
            tables.InstanceKind.ENGINE,
            "h:1",
            "d",
            "z",
            "",
            announcement=tables.Announcement(),
        )
        clock = clocks.ManualClock(100.0)
        self.listed = listing.Listed(fleet, clock)
        detector = failure_detector.Detector(self.listed, clock, self._report)
        self.reports = peer_reports.PeerReports(
            self.listed, detector, lambda: self.changes.append(True)
        )

    async def _report(
        self, instance: str, address: str
    ) -> tuple[str, tables.Announcement]:
        if not self.answers:
            raise exceptions.UpstreamUnreachable(address)
        return "1", tables.Announcement()


@pytest.mark.parametrize("answers", [True, False])
def test_reported_loss_counts_only_if_this_node_gets_no_answer(answers):
    async def main():
        node = _Node(answers)
        node.reports.on_unresponsive("a")
        await asyncio.sleep(0.05)
        assert node.listed.is_suspect("a") is not answers
        assert bool(node.changes) is not answers

    asyncio.run(main())


@pytest.mark.parametrize("answers", [True, False])
def test_reported_return_counts_only_if_this_node_gets_an_answer(answers):
    async def main():
        node = _Node(answers)
        node.listed.suspect("a")
        node.reports.on_responding("a", tables.Announcement())
        await asyncio.sleep(0.05)
        assert node.listed.is_suspect("a") is not answers
        assert bool(node.changes) is answers

    asyncio.run(main())
