"""Shows that the checker reports a violation once a mechanism is disabled.

Guards against a checker or scenarios that would pass whatever balsamlug does.
"""

import pathlib

from balsamlug import state
from balsamlug.health import readiness
from balsamlug.ownership import lease
from tests.scenarios import language
from tests.scenarios import runner

CASES = pathlib.Path(__file__).parent / "cases"
SEED = 1


def run_case(name):
    text = (CASES / f"{name}.scenario").read_text()
    # Bypasses the cache of run_text, whose results were made without patches.
    return runner.run_text.__wrapped__(text, SEED)


def kinds(violations):
    """Return the first words of violations, such as I1 or lease."""
    return {line.split()[0] for line in violations}


def test_i1_is_violated_when_observations_do_not_expire(monkeypatch):
    monkeypatch.setattr(state, "REPORT_LIFETIME_S", 60.0)
    assert "I1" in kinds(run_case("cut_off_node"))


def test_i1_is_violated_when_member_reports_are_not_compared(monkeypatch):
    monkeypatch.setattr(readiness, "mismatch", lambda *args: "")
    assert "I1" in kinds(run_case("late_orders_unfenced"))


def test_i6_is_violated_when_leaving_is_not_announced(monkeypatch):
    monkeypatch.setattr(readiness, "_announced_departure", lambda *args: "")
    assert "I6" in kinds(run_case("leaving_without_spare"))


def test_lease_exclusion_is_violated_when_a_holder_ignores_expiry(monkeypatch):
    monkeypatch.setattr(lease, "holds", lambda view, now_s: view is not None)
    assert "lease" in kinds(run_case("paused_holder"))


def test_checker_sees_an_instance_in_two_groups():
    run = runner.ScenarioRun(
        language.parse((CASES / "head_dies.scenario").read_text()), SEED
    )
    runner.asyncio.run(run.execute())
    groups = run.fleet.groups("d1")
    first, second = sorted(groups)[:2]
    groups[second]["members"] = groups[first]["members"]
    run.fleet.store.edit("d1", groups=groups)
    run.steps.append(run.snapshot())
    assert "I2" in kinds(runner.checker.find_violations(run.steps))
