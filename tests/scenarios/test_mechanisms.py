"""Show that each scenario fails without the mechanism it is meant for.

A checker that finds nothing in any run would prove nothing.
"""

import pathlib

from balsamlug import state
from balsamlug.health import readiness
from balsamlug.ownership import lease
from tests.scenarios import language
from tests.scenarios import runner

CASES = pathlib.Path(__file__).parent / "cases"
SEED = 1


def violations(name):
    text = (CASES / f"{name}.scenario").read_text()
    # Without the cache of run_text, which knows nothing of the patches.
    return runner.run_text.__wrapped__(text, SEED)


def kinds(found):
    return {line.split()[0] for line in found}


def test_i1_needs_observations_that_expire(monkeypatch):
    monkeypatch.setattr(state, "REPORT_LIFETIME_S", 60.0)
    assert "I1" in kinds(violations("cut_off_node"))


def test_i1_needs_the_reports_of_every_member(monkeypatch):
    monkeypatch.setattr(readiness, "mismatch", lambda *args: "")
    assert "I1" in kinds(violations("late_orders_unfenced"))


def test_i6_needs_announcements_of_leaving(monkeypatch):
    monkeypatch.setattr(readiness, "_announced_departure", lambda *args: "")
    assert "I6" in kinds(violations("leaving_without_spare"))


def test_exclusion_needs_the_holder_to_stop_by_its_own_clock(monkeypatch):
    monkeypatch.setattr(lease, "holds", lambda view, now_s: view is not None)
    assert "lease" in kinds(violations("paused_holder"))


def test_checker_sees_an_instance_in_two_groups():
    run = runner.Run(
        language.parse((CASES / "head_dies.scenario").read_text()), SEED
    )
    runner.asyncio.run(run.play())
    groups = run.fleet.groups("d1")
    first, second = sorted(groups)[:2]
    groups[second]["members"] = groups[first]["members"]
    run.fleet.store.edit("d1", groups=groups)
    run.steps.append(run._step())
    assert "I2" in kinds(runner.checker.violations(run.steps))
