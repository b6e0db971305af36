"""Runs short soaks with real processes, and seeds that failed before."""

import asyncio

import pytest

from soak import run
from soak import run_options

pytestmark = pytest.mark.integration

SERIES = 1
# Seed and series of runs that broke a promise, with the cause.
REGRESSIONS = {
    # SIGHUP ended a process that was still importing its modules.
    1: 2,
    # Equal requests that one loss interrupted were counted as several crashes.
    2: 2,
    # A server was ordered into another group before it had left the first.
    111: 2,
    # A restarted node attributed a crash to a request that other nodes had
    # served since.
    608032: 2,
}


def _run(seed: int, series: int, tmp_path, **options: bool | str) -> list[str]:
    return asyncio.run(
        run.run_seed(seed, series, tmp_path, run_options.Options(**options))
    ).broken


def test_promises_hold_in_a_short_run(tmp_path):
    assert not _run(20261204, SERIES, tmp_path)


def test_promises_hold_while_a_prompt_part_crashes_servers(tmp_path):
    assert not _run(20261204, SERIES, tmp_path, crashing_part=True)


def test_promises_hold_with_streams_that_end_with_their_connection(tmp_path):
    assert not _run(20261204, SERIES, tmp_path, unframed=True)


def test_promises_hold_when_the_store_returns_from_older_copies(tmp_path):
    assert not _run(20261204, SERIES, tmp_path, restored=True)


def test_promises_hold_while_sound_servers_are_silent(tmp_path):
    assert not _run(20261204, SERIES, tmp_path, silent=True)


def test_promises_hold_when_nodes_stop_while_sound_heads_are_silent(tmp_path):
    options = {"planned_stops": True, "slow_spares": True}
    assert not _run(20261205, SERIES, tmp_path, **options)


def test_promises_hold_when_versions_rise_by_large_steps(tmp_path):
    assert not _run(20261205, SERIES, tmp_path, large_steps=True)


def test_promises_hold_when_the_store_loses_generations_of_groups(tmp_path):
    assert not _run(20261205, SERIES, tmp_path, lost_generations=True)


def test_promises_hold_while_nodes_are_replaced_by_another_build(tmp_path):
    assert not _run(20261204, SERIES, tmp_path, production="HEAD")


def test_promises_hold_while_versions_come_in_series(tmp_path):
    assert not _run(20261206, SERIES, tmp_path, versions=True)


def test_promises_hold_when_nodes_stop_while_versions_come(tmp_path):
    options = {"planned_stops": True, "versions": True}
    assert not _run(20261206, SERIES, tmp_path, **options)


def test_promises_hold_while_a_failure_domain_is_evacuated(tmp_path):
    assert not _run(20261206, SERIES, tmp_path, evacuations=True)


def test_promises_hold_when_a_failure_domain_returns_cold(tmp_path):
    assert not _run(20261206, SERIES, tmp_path, cold=True)


def test_promises_hold_while_connections_go_silent_and_servers_leave(tmp_path):
    assert not _run(20261207, SERIES, tmp_path, silent_connections=True)


def test_promises_hold_when_versions_follow_silent_connections(tmp_path):
    options = {"silent_connections": True, "versions": True}
    assert not _run(20261208, SERIES, tmp_path, **options)


def test_promises_hold_while_the_store_turns_its_readers_away(tmp_path):
    assert not _run(71, SERIES, tmp_path, refused_readers=True)


def test_promises_hold_when_the_list_of_customers_is_empty_for_a_while(
    tmp_path,
):
    assert not _run(2, SERIES, tmp_path, customers=True)


def test_promises_hold_with_a_second_service_of_the_same_model(tmp_path):
    assert not _run(20261204, SERIES, tmp_path, two_services=True)


def test_promises_hold_while_a_part_of_long_prompts_crashes_servers(tmp_path):
    options = {"crashing_part": True, "long_prompts": True}
    assert not _run(20261204, SERIES, tmp_path, **options)


@pytest.mark.parametrize("seed", REGRESSIONS)
def test_promises_hold_in_runs_that_failed_before(seed, tmp_path):
    assert not _run(seed, REGRESSIONS[seed], tmp_path)
