"""Guards against healthy groups that are declared lost, and missed losses."""

import asyncio
import time

import attrs
import pytest

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import state
from balsamlug import tables
from balsamlug.gateway import failure_detector
from balsamlug.health import listed as listing

GROUP = tables.Group("d-1", "m", 4, ("a", "b", "c"), "m", "1")


class _Engines:
    """Answers report requests of engines by address."""

    def __init__(self, *unresponsive: str) -> None:
        self.unresponsive = set(unresponsive)
        self.calls: list[str] = []
        self.announcement = tables.Announcement()

    async def report(
        self, instance: str, address: str
    ) -> tuple[str, tables.Announcement]:
        self.calls.append(address)
        if address in self.unresponsive:
            raise exceptions.UpstreamUnreachable(address)
        return "1", self.announcement


def _detector(
    engines: _Engines,
) -> tuple[failure_detector.Detector, listing.Listed]:
    fleet, clock = state.FleetState("s"), clocks.ManualClock(now_s=100.0)
    fleet.instances = {
        name: tables.Instance(
            name,
            "1",
            tables.InstanceKind.ENGINE,
            name,
            "d",
            "z",
            "",
            announcement=tables.Announcement(),
        )
        for name in GROUP.members
    }
    listed = listing.Listed(fleet, clock)
    return failure_detector.Detector(listed, clock, engines.report), listed


def _check(
    engines: _Engines, upstream_responds: bool = False
) -> tuple[bool, list[str]]:
    lost: list[str] = []

    async def main() -> bool:
        detector, _ = _detector(engines)
        detector.on_lost = lost.append
        if upstream_responds:
            detector.record_response()
        return await detector.is_lost(GROUP, "test")

    return asyncio.run(main()), lost


def test_unresponsive_member_is_found():
    assert _check(_Engines("b")) == (True, ["b"])


def test_group_whose_members_all_answer_is_not_lost():
    assert _check(_Engines()) == (False, [])


class _HeldEngines(_Engines):
    """Engines that leave a probe without an answer until it times out."""

    held: asyncio.Event | None = None

    async def report(self, instance, address):
        if self.held is not None:
            held, self.held = self.held, None
            await held.wait()
            raise TimeoutError
        return await super().report(instance, address)


@pytest.mark.parametrize(
    ("still_silent", "answered"), [([], ["b"]), (["b"], [])]
)
def test_suspect_is_probed_when_its_group_progresses(still_silent, answered):
    # Otherwise a group with a sound member is formed again when the request
    # that had waited for the member ends.
    engines = _HeldEngines("b")
    reported: list[str] = []

    async def main() -> bool:
        detector, listed = _detector(engines)
        detector.on_answered = reported.append
        assert await detector.is_lost(GROUP, "test")
        # A probe that was sent during the silence still runs, and fails.
        engines.held = held = asyncio.Event()
        late = asyncio.create_task(detector.probe("b"))
        while engines.held is not None:
            await asyncio.sleep(0)
        engines.calls.clear()
        engines.unresponsive = set(still_silent)
        detector.record_progress(GROUP)
        held.set()
        assert not await late
        async with asyncio.timeout(5):
            while detector._verifications:
                await asyncio.sleep(0)
        assert set(engines.calls) == {"b"}
        return listed.is_suspect("b")

    assert asyncio.run(main()) is bool(still_silent)
    assert reported == answered


class _RelayedEngines(_Engines):
    """Engines of which some are probed through a node that ends."""

    async def report(self, instance, address):
        try:
            return await super().report(instance, address)
        except exceptions.UpstreamUnreachable as exc:
            raise exceptions.RelayLost("the tunnel ended") from exc


def test_member_that_is_probed_through_an_ending_node_is_not_suspected():
    assert _check(_RelayedEngines("b"), upstream_responds=True) == (False, [])


class _SlowEngines(_Engines):
    """Engines that do not answer while the process of the node is paused."""

    def __init__(self, pause_s: float) -> None:
        super().__init__()
        self.pause_s = pause_s
        self.clock: clocks.ManualClock | None = None

    async def report(self, instance, address):
        if address == "b":
            self.clock.advance(self.pause_s)
            await asyncio.sleep(60)
        return await super().report(instance, address)


@pytest.mark.parametrize(("pause_s", "is_lost"), [(0.3, True), (0.8, False)])
def test_probe_that_timed_out_while_the_process_was_paused_is_no_evidence(
    pause_s, is_lost
):
    engines = _SlowEngines(pause_s)

    async def main() -> bool:
        detector, _ = _detector(engines)
        engines.clock = detector._clock
        return await detector.is_lost(GROUP, "test")

    assert asyncio.run(main()) is is_lost


class _HangingEngines(_Engines):
    """Engines that answer after a short time, or never."""

    async def report(self, instance, address):
        await asyncio.sleep(60 if address in self.unresponsive else 0.01)
        return await super().report(instance, address)


@pytest.mark.parametrize("unresponsive", [(), ("b",)])
@pytest.mark.parametrize("held_s", [0.32, 0.37, 0.45])
def test_answers_that_arrive_while_the_loop_is_busy_show_no_loss(
    unresponsive, held_s
):
    engines = _HangingEngines(*unresponsive)
    lost: list[str] = []

    async def main() -> None:
        detector, _ = _detector(engines)
        detector._clock = clocks.SystemClock()
        detector.on_lost = lost.append
        detector.record_response()
        loop = asyncio.get_running_loop()
        loop.call_later(0.005, time.sleep, held_s)
        await detector.is_lost(GROUP, "test")

    asyncio.run(main())
    assert not set(lost) - set(unresponsive)


def test_engine_that_does_not_answer_after_a_busy_loop_is_lost():
    engines = _HangingEngines("b")

    async def main() -> bool:
        detector, _ = _detector(engines)
        detector._clock = clocks.SystemClock()
        loop = asyncio.get_running_loop()
        loop.call_later(0.005, time.sleep, 0.25)
        return await detector.is_lost(GROUP, "test")

    assert asyncio.run(main())


@pytest.mark.parametrize("is_up", [True, False])
def test_probe_that_timed_out_counts_only_while_the_path_is_up(is_up):
    engines = _SlowEngines(0.3)

    async def is_path_up(address, since_s):
        return is_up

    async def main() -> bool:
        detector, _ = _detector(engines)
        engines.clock = detector._clock
        detector.is_path_up = is_path_up
        return await detector.is_lost(GROUP, "test")

    assert asyncio.run(main()) is is_up


def test_node_without_any_response_suspects_its_own_path():
    assert _check(_Engines("a", "b", "c")) == (False, [])


def test_all_members_are_lost_while_other_upstreams_answer():
    is_lost, lost = _check(_Engines("a", "b", "c"), upstream_responds=True)
    assert is_lost
    assert sorted(lost) == ["a", "b", "c"]


@pytest.mark.parametrize("streams", [2, 20])
def test_silent_streams_of_a_group_share_one_probe_per_member(streams):
    engines = _Engines("b")

    async def main() -> list[bool]:
        detector, _ = _detector(engines)
        checks = (detector.is_lost(GROUP, "test") for _ in range(streams))
        return await asyncio.gather(*checks)

    assert asyncio.run(main()) == [True] * streams
    assert sorted(engines.calls) == ["a", "b", "c"]


def test_new_generation_is_probed_separately():
    engines = _Engines("b")
    newer = tables.Group("d-1", "m", 5, ("a", "c"), "m", "1")

    async def main() -> tuple[bool, bool]:
        detector, _ = _detector(engines)
        first = await detector.is_lost(GROUP, "test")
        return first, await detector.is_lost(newer, "test")

    assert asyncio.run(main()) == (True, False)


@pytest.mark.parametrize(
    ("unresponsive", "incarnation", "expected"),
    [
        (("a",), "1", True),
        (("b",), "1", False),
        ((), "1", False),
        ((), "0", True),
        (("a", "b", "c"), "1", False),
    ],
    ids=["head", "member", "none", "head_restarted", "failure_domain"],
)
def test_only_the_end_of_a_head_alone_counts_as_its_crash(
    unresponsive, incarnation, expected
):
    async def main() -> bool:
        detector, _ = _detector(_Engines(*unresponsive))
        detector.record_response()
        return await detector.has_head_crashed(GROUP, incarnation)

    assert asyncio.run(main()) is expected


def test_crash_is_found_though_the_head_has_left_the_list():
    """Guards the record of a crash after the group was repaired."""

    async def main() -> bool:
        detector, listed = _detector(_Engines())
        del listed._state.instances["a"]
        return await detector.has_head_crashed(GROUP, "1")

    assert asyncio.run(main())


def test_answer_of_another_life_at_the_address_never_counts_for_an_engine():
    # Its report must not make the second probe compare with itself.
    class Successor(_Engines):
        async def report(self, instance, address):
            return "2", self.announcement

    async def main() -> list[bool]:
        detector, _ = _detector(Successor())
        return [await detector.probe("b") for _ in range(2)]

    assert asyncio.run(main()) == [False, False]


@pytest.mark.parametrize(
    ("cause", "expected"),
    [(ConnectionRefusedError(), True), (TimeoutError(), False)],
    ids=["refused", "silent"],
)
def test_crash_of_a_group_of_one_is_found_without_other_upstreams(
    cause, expected
):
    """Guards the record of crashes in a fleet with hardly any requests."""

    async def report(instance: str, address: str):
        raise exceptions.UpstreamUnreachable(address) from cause

    async def main() -> bool:
        detector, _ = _detector(_Engines())
        detector._fetch_report = report
        group = attrs.evolve(GROUP, members=("a",))
        return await detector.has_head_crashed(group, "1")

    assert asyncio.run(main()) is expected
