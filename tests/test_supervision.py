"""Guards a process against an unexpected error in one of its tasks."""

import asyncio

import pytest

from balsamlug import supervision
from balsamlug.entry import registration
from tests.entry import fleet as fleets
from tests.router import fakes
from tests.router import test_completions

RECOVERY_S = 10.0


class _FailsOnce:
    """Raises an unexpected error at the first call and counts the others."""

    def __init__(self, original) -> None:
        self.original = original
        self.failed = False
        self.calls = 0

    def __call__(self, *args, **kwargs):
        if not self.failed:
            self.failed = True
            raise RuntimeError("defect")
        self.calls += 1
        return self.original(*args, **kwargs)


async def _wait_for_call(defect: _FailsOnce) -> None:
    async with asyncio.timeout(RECOVERY_S):
        while not defect.calls:
            await asyncio.sleep(0.02)


def test_task_that_returns_is_not_started_again():
    starts = []

    async def task():
        starts.append(1)
        if len(starts) == 1:
            raise RuntimeError("defect")

    asyncio.run(supervision.run("t", task))
    assert len(starts) == 2


ENTRY_STEPS = [
    ("exchange", "tick"),
    ("doubtful_prober", "tick"),
    ("state", "expire"),
    ("manager", "tick"),
    ("watchers", "_changes"),
    ("store", "instances"),
]


@pytest.mark.parametrize(("part", "step"), ENTRY_STEPS)
def test_entry_process_continues_after_an_error_in_a_task(
    part, step, monkeypatch
):
    async def main():
        async with fleets.running() as fleet:
            await fleet.ready()
            owner = getattr(fleet.nodes[0], part)
            defect = _fail_once(monkeypatch, owner, step)
            fleet.api.write("domain", "unrelated", {"lease": {}})
            fleet.api.write("servers", "other", {"Service": "x"})
            await _wait_for_call(defect)
            assert (await fleet.send_request()).code == 200
        monkeypatch.undo()

    asyncio.run(main())


def _fail_once(monkeypatch, owner, step: str) -> _FailsOnce:
    """Let the next call of a method of one object fail."""
    original = getattr(type(owner), step)
    defect = _FailsOnce(getattr(owner, step))
    monkeypatch.setattr(
        type(owner),
        step,
        lambda self, *args, **kwargs: (
            defect(*args, **kwargs)
            if self is owner
            else original(self, *args, **kwargs)
        ),
    )
    return defect


def test_registration_continues_after_an_error(monkeypatch):
    async def main():
        async with fleets.running() as fleet:
            registered = fleet.nodes[0].registration
            defect = _fail_once(monkeypatch, registered, "_discover")
            await _wait_for_call(defect)
        monkeypatch.undo()

    monkeypatch.setattr(registration, "REFRESH_S", 0.05)
    asyncio.run(main())


def test_router_continues_after_an_error_in_a_loop(monkeypatch):
    async def main():
        async with fakes.harness(1) as h:
            defect = _fail_once(monkeypatch, h.router.fleet, "expire")
            await _wait_for_call(defect)
            resp, _ = await h.post(test_completions.REQ)
            assert resp.status == 200

    asyncio.run(main())
