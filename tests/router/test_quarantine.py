"""Guards against a request that crashes one group after another."""

import asyncio
import json

import pytest

from balsamlug.messages import types
from balsamlug.router import isolation
from balsamlug.router import relay
from balsamlug.router import requests as parsing
from balsamlug.router import scheduler as schedulers
from tests import cluster as clusters
from tests.router import fakes
from tests.router import test_completions

POISON = {
    "model": "chat",
    "prompt": fakes.CRASH_PROMPT,
    "max_tokens": 40,
    "stream": True,
}
# Upper bound of the time from a request to its first tokens on a busy machine.
START_S = 10.0
REFUSED_REASON = "e1 refuses connections"


def harmless(number: int) -> dict:
    return POISON | {"prompt": f"innocent {number}"}


def run(scenario, engines):
    async def main():
        async with fakes.harness(engines) as h:
            for engine in h.engines:
                engine.delay_s = 0.01
            await scenario(h)

    asyncio.run(main())


def crashed_engines(h) -> int:
    return sum(POISON["prompt"] in prompts(e) for e in h.engines)


def prompts(engine) -> list[str]:
    return [r["prompt"] for r in engine.requests]


def test_crashing_request_loses_two_groups_and_other_requests_are_served():
    async def scenario(h):
        tasks = [
            asyncio.create_task(h.post(harmless(i), headers=fakes.AUTH))
            for i in range(12)
        ]
        await asyncio.sleep(0.05)
        _, body = await h.post(POISON)
        error = json.loads(body.decode().split("data: ")[-1])["error"]
        assert (error["code"], error["outcome"]) == ("quarantined", "unknown")
        assert crashed_engines(h) == 2
        resp, body = await h.post(POISON)
        assert resp.status == 422
        assert json.loads(body)["error"]["outcome"] == "not_run"
        assert crashed_engines(h) == 2
        for task in tasks:
            _, body = await task
            text = test_completions.streamed_text(body)
            assert text == fakes.answer(40)

    run(scenario, 4)


def test_crash_is_counted_though_a_successor_answers_at_the_address():
    async def scenario(h):
        for engine in h.engines:
            engine.on_crash_prompt = "restart"
        _, body = await h.post(POISON)
        error = json.loads(body.decode().split("data: ")[-1])["error"]
        assert (error["code"], error["outcome"]) == ("quarantined", "unknown")
        assert crashed_engines(h) == 2

    run(scenario, 4)


def test_cut_stream_of_a_live_engine_is_not_counted():
    async def scenario(h):
        for index, engine in enumerate(h.engines):
            engine.on_crash_prompt = "cut"
            engine.status = fakes.status(group=f"g{index}", generation=1)
        await h.post(POISON)
        resp, _ = await h.post(POISON)
        assert resp.status != 422

    run(scenario, 4)


def test_permit_is_released_after_every_node_knows_the_second_crash(
    monkeypatch,
):
    monkeypatch.setattr(isolation, "PERMIT_RELEASE_DELAY_S", 0.3)
    monkeypatch.setattr(relay, "SUSPICION_SPREAD_S", 0.0)

    async def scenario(h):
        steps = []
        grant = h.router.permits.send

        def record(message) -> None:
            if not message.fingerprint.startswith("group "):
                steps.append(message.step)
            grant(message)

        h.router.permits.send = record
        await h.post(POISON)
        assert crashed_engines(h) == 2
        assert steps == ["ask"]
        await asyncio.sleep(0.4)
        assert steps == ["ask", "release"]

    run(scenario, 3)


def test_refusal_is_delayed_until_other_nodes_know_of_the_crash(monkeypatch):
    # The caller may repeat the request at once, through another node.
    monkeypatch.setattr(relay, "SUSPICION_SPREAD_S", 0.5)

    async def scenario(h):
        clock = h.router.clock
        crashed_s = []
        h.router.fleet.subscribe(
            lambda message: (
                crashed_s.append(clock.monotonic())
                if isinstance(message, types.SuspicionUpdate)
                else None
            )
        )
        await h.post(POISON)
        assert clock.monotonic() - crashed_s[-1] >= 0.5

    run(scenario, 3)


class StuckPlacer:
    """Placer whose first group does not start any work."""

    def __init__(self, h) -> None:
        self.statuses = [h.router.fleet.group_status(g, 0.0) for g in ("g0",)]
        self.later = [h.router.fleet.group_status("g1", 0.0)]

    def ready_groups(self, deployment):
        return self.statuses

    async def place(self, work):
        if "g0" not in work.exclude:
            self.statuses = self.statuses + self.later
            await asyncio.sleep(10)
        return schedulers.Start(work.id, "g1", "", 1, 0)

    def finished(self, work_id, outcome) -> None:
        raise AssertionError("released work that was not started")


def test_suspected_request_leaves_a_group_that_does_not_start_it(monkeypatch):
    monkeypatch.setattr(isolation, "CLAIM_TIMEOUT_S", 0.05)

    async def scenario(h):
        work = schedulers.Work(
            "w", "c", "chat", 5, 1, h.router.clock.monotonic() + 5, 1, 1, "fp"
        )
        update = types.SuspicionUpdate("fp", 1, 0)
        h.router.fleet.publish(update, h.router.clock.monotonic())
        placer = StuckPlacer(h)
        start = await h.router.runtime.isolation.place(work, placer, False)
        assert start.group_id == "g1"
        held = h.router.permits.send.__self__.held
        assert held == {"fp": "w", "group g1": "w"}

    run(scenario, 2)


class OpenPlacer:
    """Placer that starts work in its first group that is not excluded."""

    def __init__(self, h, names) -> None:
        self.statuses = [h.router.fleet.group_status(g, 0.0) for g in names]

    def ready_groups(self, deployment):
        return self.statuses

    async def place(self, work):
        names = (s.group_id for s in self.statuses)
        group_id = next(n for n in names if n not in work.exclude)
        return schedulers.Start(work.id, group_id, "", 1, 0)


@pytest.mark.parametrize("refused", [["g0"], ["g0", "g1"]])
def test_suspected_requests_of_a_router_do_not_claim_one_group(refused):
    # A request that is refused one group must not overwrite the claim that
    # another request made while the first waited for that refusal.
    async def scenario(h):
        isolated = h.router.runtime.isolation
        held = h.router.permits.send.__self__.held
        held |= {f"group {name}": "other" for name in refused}
        placer = OpenPlacer(h, ["g0", "g1"])
        tasks = {}
        for fingerprint in ("f0", "f1"):
            now_s = h.router.clock.monotonic()
            update = types.SuspicionUpdate(fingerprint, 1, 0)
            h.router.fleet.publish(update, now_s)
            work = schedulers.Work(
                fingerprint, "c", "chat", 5, 1, now_s + 5, 1, 1, fingerprint
            )
            tasks[asyncio.create_task(isolated.place(work, placer, False))] = (
                work
            )
        await asyncio.sleep(2 * isolation.CLAIM_RETRY_S)
        if held["group g1"] == "other":
            del held["group g1"]
        while tasks:
            done, waiting = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            (task,) = done
            work = tasks.pop(task)
            assert (await task).group_id == "g1"
            assert held["group g1"] == work.id
            await asyncio.sleep(2 * isolation.CLAIM_RETRY_S)
            assert not any(t.done() for t in waiting)
            isolated.release("g1", work)
        assert held == {"group g0": "other"}

    run(scenario, 2)


def test_concurrent_copies_of_a_crashing_request_lose_two_groups():
    async def scenario(h):
        first = asyncio.create_task(h.post(POISON))
        async with asyncio.timeout(5):
            while not h.router.fleet.suspicions:
                await asyncio.sleep(0.005)
        await asyncio.gather(first, *(h.post(POISON) for _ in range(6)))
        assert crashed_engines(h) == 2

    run(scenario, 5)


def test_suspected_requests_never_share_a_group():
    async def scenario(h):
        requests = [harmless(i) | {"max_tokens": 5} for i in range(6)]
        for req in requests:
            suspect(h, req)
        shared = []

        async def observe() -> None:
            while True:
                shared.append(max(len(e.running) for e in h.engines))
                await asyncio.sleep(0.002)

        watcher = asyncio.create_task(observe())
        answers = await asyncio.gather(*(h.post(r) for r in requests))
        watcher.cancel()
        assert max(shared) == 1
        for _, body in answers:
            text = test_completions.streamed_text(body)
            assert text == fakes.answer(5)

    run(scenario, 2)


def suspect(h, req) -> None:
    parsed = parsing.parse(json.dumps(req).encode(), chat=False)
    update = types.SuspicionUpdate(parsed.fingerprint(), 1, 0)
    h.router.fleet.publish(update, h.router.clock.monotonic())


def test_dead_member_ends_idle_streams_and_suspects_their_requests(monkeypatch):
    async def scenario(h):
        shared = ["stall:2"]
        for engine in h.engines:
            engine.steps = shared
        task = asyncio.create_task(h.post(harmless(1)))
        await clusters.until(lambda: any(e.stalled for e in h.engines), START_S)
        index = 0 if h.engines[0].stalled else 1
        h.report(index, ready=False, reason=REFUSED_REASON)
        _, body = await task
        text = test_completions.streamed_text(body)
        assert text == fakes.answer(40)
        assert [s.crashes for s in h.router.fleet.suspicions.values()] == [1]

    run(scenario, 2)


def test_idle_stream_of_a_draining_group_is_not_ended():
    async def scenario(h):
        h.engines[0].steps = ["stall:1"]
        task = asyncio.create_task(h.post(harmless(1)))
        await clusters.until(lambda: h.engines[0].stalled, START_S)
        h.report(0, ready=False, reason="e1 is draining")
        await asyncio.sleep(1.4)
        assert h.router.runtime.attempts
        assert not h.router.fleet.suspicions
        task.cancel()

    run(scenario, 1)


def test_crash_that_ends_an_unframed_stream_raises_a_suspicion():
    async def scenario(h):
        shared = ["unframed:1"]
        for engine in h.engines:
            engine.steps = shared
        await h.post({"model": "chat", "prompt": "p", "max_tokens": 3})
        assert [s.crashes for s in h.router.fleet.suspicions.values()] == [1]

    run(scenario, 2)


def test_complete_answer_clears_a_suspected_request():
    async def scenario(h):
        req = harmless(1) | {"max_tokens": 5}
        suspect(h, req)
        (fingerprint,) = h.router.fleet.suspicions
        assert h.router.runtime.isolation.crashes(fingerprint) == 1
        await h.post(req)
        assert h.router.runtime.isolation.crashes(fingerprint) == 0

    run(scenario, 2)


def test_crash_that_two_routers_report_counts_once():
    async def scenario(h):
        isolated = h.router.runtime.isolation
        start = schedulers.Start("w", "g0", "", 1, 0)
        isolated.record_attempt("a", start, "fp")
        h.router.fleet.publish(types.SuspicionUpdate("fp@g0:1", 1, 0), 0.0)
        isolated.record_crash("g0", 1, "test")
        assert isolated.crashes("fp") == 1
        isolated.check("fp")

    run(scenario, 1)
