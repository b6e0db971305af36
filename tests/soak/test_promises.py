"""Guards the checker of the soak.

A checker that misses a kind of broken promise would let every run pass.
"""

import asyncio
import json
import pathlib

import attrs
import pytest

from balsamlug_standins import processes
from soak import bounds
from soak import builds
from soak import clients
from soak import disruptions
from soak import environment
from soak import layout
from soak import logs
from soak import plan
from soak import promises
from soak import run
from soak import run_options
from soak import servers

SEALED = {"x-attempt-id": "r", "x-server-seal": "seal.i-1"}


def _answer(
    kind: str = promises.STREAM,
    status: int = 200,
    headers: dict | None = None,
    body: bytes = promises.EVENTS,
    complete: bool = True,
) -> clients.Answer:
    headers = SEALED if headers is None else headers
    return clients.Answer("r", kind, 0, status, headers, body, complete)


def _fault(kind: str, at_s: float, target: int = 0) -> tuple[plan.Fault, ...]:
    return (plan.Fault(kind, at_s, 1.0, target),)


def _disrupted(*faults: plan.Fault) -> disruptions.Disruptions:
    disrupted = disruptions.Disruptions()
    for fault in faults:
        disrupted.record(fault, fault.at_s, fault.at_s + fault.for_s)
    return disrupted


def _find_violations(
    *answers: clients.Answer, runs: dict | None = None
) -> list[str]:
    record = servers.Record()
    record.runs.update(runs or {})
    checker = promises.PromiseChecker(record)
    for answer in answers:
        checker.check_answer(answer)
    return checker.finish()


@pytest.mark.parametrize(
    "answer",
    [
        _answer(),
        _answer(body=promises.EVENTS[:30], complete=False),
        _answer(promises.BOOKING, body=b'{"booked": "r"}'),
        _answer(
            status=503, headers={"x-attempt-id": "r", "retry-after": "0.5"}
        ),
        _answer(status=0, headers={}, body=b"", complete=False),
    ],
)
def test_kept_promises_are_not_reported(answer):
    assert not _find_violations(answer)


@pytest.mark.parametrize(
    "answer",
    [
        _answer(body=promises.EVENTS[:30]),
        _answer(body=promises.EVENTS[5:], complete=False),
        _answer(body=promises.EVENTS + promises.EVENTS, complete=False),
        _answer(headers={"x-attempt-id": "r"}),
        _answer(headers=SEALED | {"x-attempt-id": "other"}),
        _answer(promises.BOOKING, body=b'{"booked": "other"}'),
        _answer(status=503, headers={"x-attempt-id": "r"}),
        _answer(status=502, headers={}),
    ],
)
def test_broken_answers_are_reported(answer):
    assert _find_violations(answer)


def test_a_refusal_of_a_request_that_ran_is_reported():
    refusal = _answer(
        status=503, headers={"x-attempt-id": "r", "retry-after": "0.5"}
    )
    assert _find_violations(refusal, runs={"r": 1})


def test_a_booking_that_ran_twice_is_reported():
    assert _find_violations(runs={f"{promises.BOOKING}-1": 2})


def test_a_revoked_key_that_is_accepted_again_is_reported():
    checker = promises.PromiseChecker(servers.Record())
    checker.check_revoked_key("old", _answer(status=401, headers={}))
    checker.check_revoked_key("old", _answer())
    assert checker.finish()


@pytest.mark.parametrize(("sent_s", "is_broken"), [(1.0, False), (2.3, True)])
def test_a_revoked_key_is_taken_again_only_by_a_later_request(
    sent_s, is_broken
):
    """Guards against false reports of streams that began before a refusal."""
    checker = promises.PromiseChecker(servers.Record())
    refusal = _answer(status=401, headers={})
    checker.check_revoked_key(
        "old", attrs.evolve(refusal, sent_s=2.0, ended_s=2.1)
    )
    checker.check_revoked_key(
        "old", attrs.evolve(_answer(), sent_s=sent_s, ended_s=2.5)
    )
    assert bool(checker.finish()) == is_broken


@pytest.mark.parametrize(
    ("sent_s", "ended_s", "ran", "is_broken"),
    [
        (2.9, 6.8, True, False),
        (2.9, 6.5, True, True),
        (3.2, 6.8, True, True),
        (3.2, 6.8, False, False),
        (-1.0, 1.5, True, True),
        # Its deadline was over.
        (2.5, 6.6, True, False),
    ],
)
def test_a_cut_request_is_reported_unless_the_stop_excuses_it(
    sent_s, ended_s, ran, is_broken
):
    checker = promises.PromiseChecker(servers.Record())
    stop_s, grace_s = 100.0, 8.0
    answer = attrs.evolve(
        _answer(status=0, headers={}, body=b"", complete=False),
        sent_s=stop_s + sent_s,
        ended_s=stop_s + ended_s,
    )
    checker.check_answer(answer)
    if ran:
        checker.record.runs["r"] += 1
    stops = [(0, stop_s), (1, stop_s + 1.0)]
    assert bool(checker.cut_requests(stops, grace_s)) is is_broken


def test_a_node_that_stops_between_two_pieces_of_a_head_names_no_request():
    refusal = _answer(status=503, headers={"retry-after": "0.5"})
    assert _find_violations(refusal)
    assert not _find_violations(attrs.evolve(refusal, split=True))


def _find_closed(
    count: int = 4,
    disturbed: tuple[plan.Fault, ...] = (),
    crashes: tuple[float, ...] = (),
    broken_off: tuple[str, ...] = (),
    **changes,
) -> list[str]:
    """Return the violations of requests from 10 to 11 s that ran and were cut.

    Args:
      changes: what differs in the requests.
    """
    checker = promises.PromiseChecker(servers.Record())
    checker.record.broken_off.update(broken_off)
    for number in range(count):
        answer = attrs.evolve(
            _answer(body=b"", complete=False),
            request_id=f"r{number}",
            sent_s=10.0,
            ended_s=11.0,
            kept=True,
        )
        checker.check_answer(attrs.evolve(answer, **changes))
        checker.record.runs[f"r{number}"] += 1
    disrupted = _disrupted(*disturbed)
    return checker.closed_requests(disrupted, list(crashes))


@pytest.mark.parametrize(
    "seen",
    [
        {},
        {"status": 0, "headers": {}},
        {"disturbed": _fault("node_kill", 5)},
        {"disturbed": _fault("node_kill", 9, target=1)},
        {"disturbed": _fault("version", 10)},
        {"disturbed": _fault("server_silent", 10)},
        {"crashes": (9.9, 11.1)},
    ],
)
def test_requests_that_nodes_in_touch_closed_are_reported(seen):
    assert len(_find_closed(**seen)) == 4


@pytest.mark.parametrize(
    "seen",
    [
        {"count": 3},
        {"kept": False},
        {"complete": True},
        {"request_id": "not passed on"},
        {"disturbed": _fault("node_kill", 9)},
        {"disturbed": _fault("node_kill", 10.5)},
        {"disturbed": _fault("store_down", 7)},
        {"disturbed": _fault("server_dark", 9)},
        {"crashes": (10.5,)},
        {"broken_off": ("r0",)},
    ],
)
def test_requests_that_may_be_closed_are_not_reported(seen):
    assert not _find_closed(**seen)


@pytest.mark.parametrize(
    ("changes", "is_broken"),
    [
        ({}, True),
        ({"whole_s": 10.9}, False),
        ({"whole_s": 0.0}, False),
        ({"status": 503}, False),
        ({"request_id": "ran"}, False),
    ],
)
def test_a_whole_request_without_an_answer_is_reported(changes, is_broken):
    checker = promises.PromiseChecker(servers.Record())
    checker.record.runs["ran"] += 1
    answer = attrs.evolve(
        _answer(status=0, headers={}, body=b"", complete=False),
        sent_s=10.0,
        whole_s=10.5,
        ended_s=11.0,
    )
    checker.check_answer(attrs.evolve(answer, **changes))
    assert bool(checker.unanswered_requests()) is is_broken


def test_versions_are_drawn_beside_the_other_faults():
    drawn = plan.draw_versions(7, 2)
    assert drawn == plan.draw_versions(7, 2)
    assert drawn != plan.draw_versions(8, 2)
    variants = [f.variant for f in plan.draw_versions(7, 20)]
    assert {v.added_routes for v in variants} == set(plan.ADDED_ROUTES)
    assert {v.idle_ms for v in variants} == set(plan.IDLE_LIMITS_MS)
    assert {v.head_ms for v in variants} == set(plan.HEAD_LIMITS_MS)
    kinds = {f.kind for f in plan.draw_faults(7, 20, nodes=3, servers=8)}
    assert plan.VERSION not in kinds


def test_no_node_dies_when_a_run_with_planned_stops_replaces_them():
    options = run_options.Options(
        planned_stops=True, versions=True, production="HEAD"
    )
    for seed in range(50):
        kinds = {f.kind for f in run.planned_faults(seed, 2, options)}
        assert {"node_term", plan.VERSION, plan.UPGRADE} <= kinds
        assert "node_kill" not in kinds


def test_a_seed_always_gives_the_same_faults():
    plans = [plan.draw_faults(7, 2, nodes=3, servers=8) for _ in range(2)]
    assert plans[0] == plans[1]
    assert len(plans[0]) == 2 * plan.FAULTS_PER_SERIES


def test_evacuations_and_cold_restarts_leave_the_other_faults_of_a_seed():
    """Guards the seeds that failed before against other faults."""
    options = run_options.Options(evacuations=True, cold=True)
    for seed in range(20):
        usual = run.planned_faults(seed, 2, run_options.DEFAULT_OPTIONS)
        faults = run.planned_faults(seed, 2, options)
        assert faults[: len(usual)] == usual
        added = [fault.kind for fault in faults[len(usual) :]]
        assert added == 2 * [plan.EVACUATION] + 2 * [plan.COLD_RESTART]


def test_a_crashing_part_is_drawn_beside_the_other_faults():
    drawn = plan.draw_crashing_part(7, 2)
    assert drawn == plan.draw_crashing_part(7, 2)
    assert drawn != plan.draw_crashing_part(8, 2)
    last_s = 2 * plan.SERIES_S + plan.MAX_FAULT_S
    assert drawn.at_s + drawn.for_s >= last_s + plan.CRASHING_PART_MIN_REST_S
    kinds = {f.kind for f in plan.draw_faults(7, 20, nodes=3, servers=8)}
    assert plan.CRASHING_PART not in kinds


def _find_crashing_part_violations(
    late: int = 0,
    crashes: int = 6,
    began: int = 25,
    sent: int = 25,
    faults: tuple[plan.Fault, ...] = (),
) -> list[str]:
    """Return the violations of a fault from 10 to 30 s that crashed servers.

    The fifth crash is at 11 s. Late requests arrive from 14.1 s on, and the
    sound requests that count are sent from 17.1 s on.
    """
    disrupted = _disrupted(*faults)
    sound = [promises.Sound(5 + n / 100, 0, True) for n in range(30)]
    sound += [promises.Sound(12 + n / 100, 0, False) for n in range(300)]
    sound += [promises.Sound(17.1 + n / 100, 0, n < began) for n in range(sent)]
    observed = promises.CrashingPart(
        10,
        30,
        [11 - (4 - n) / 10 for n in range(crashes)],
        [(13.9, 0)] * 20 + [(14.1 + n / 100, 0) for n in range(late)],
        sound,
        disrupted,
    )
    return observed.violations()


def _find_late(faults: tuple[plan.Fault, ...]) -> list[str]:
    return _find_crashing_part_violations(late=4, faults=faults)


@pytest.mark.parametrize(
    "seen",
    [{}, {"late": 3}, {"late": 9, "crashes": 4}, {"began": 13}, {"began": 25}],
)
def test_kept_promises_under_a_crashing_part_are_not_reported(seen):
    assert not _find_crashing_part_violations(**seen)


@pytest.mark.parametrize(
    "seen", [{"late": 4}, {"began": 12}, {"began": 9, "sent": 20}]
)
def test_broken_promises_under_a_crashing_part_are_reported(seen):
    assert len(_find_crashing_part_violations(**seen)) == 1


def test_too_few_sound_requests_are_not_compared():
    assert not _find_crashing_part_violations(began=0, sent=19)


@pytest.mark.parametrize(
    "faults",
    [
        (),
        _fault("node_kill", 13, target=1),
        _fault("node_kill", 9),
        _fault("server_dark", 13),
        _fault("node_hup", 13),
        _fault("revoke", 13),
    ],
)
def test_late_arrivals_from_nodes_in_touch_are_reported(faults):
    assert _find_late(faults)


@pytest.mark.parametrize(
    "faults",
    [
        _fault("node_kill", 13),
        _fault("caller_link", 12),
        _fault("store_down", 13, target=1),
    ],
)
def test_late_arrivals_from_other_nodes_are_not_reported(faults):
    assert not _find_late(faults)


def test_sound_requests_beside_a_lost_server_are_not_compared():
    faults = _fault("server_dark", 13)
    assert not _find_crashing_part_violations(began=0, faults=faults)


def _draw_upgrades(seeds: range) -> list[tuple[plan.Fault, ...]]:
    return [plan.draw_upgrade(seed, 2, nodes=3) for seed in seeds]


def test_every_upgrade_replaces_nodes_one_after_the_other():
    for faults in _draw_upgrades(range(100)):
        steps = [f for f in faults if f.kind in plan.BUILD_KINDS]
        upgraded = [f.target for f in steps if f.kind == plan.UPGRADE]
        returned = [f.target for f in steps if f.kind == plan.ROLLBACK]
        assert len(set(upgraded)) == len(upgraded)
        assert returned == upgraded[::-1] if returned else len(upgraded) == 3
        assert all(f.kind == plan.UPGRADE for f in steps[: len(upgraded)])


def test_upgrades_include_rollbacks_and_deaths_of_both_builds():
    drawn = _draw_upgrades(range(100))
    assert drawn == _draw_upgrades(range(100))
    kinds = [{f.kind for f in faults} for faults in drawn]
    assert any(plan.ROLLBACK in k for k in kinds)
    assert any(plan.ROLLBACK not in k for k in kinds)
    assert any("node_kill" in k for k in kinds)
    assert any("node_kill" not in k for k in kinds)


def _find_logged(tmp_path, *messages: dict) -> list[str]:
    lines = ["not a log line", *(json.dumps(message) for message in messages)]
    (tmp_path / "node-0.out").write_text("\n".join(lines))
    return logs.find_violations(tmp_path)


def _closed_link(reason: str) -> dict:
    return {"message_type": "peer_protocol_error", "reason": reason}


@pytest.mark.parametrize(
    "messages",
    [
        [{"message_type": "task_failed", "task": "watch"}],
        [_closed_link("unknown_type")] * 3,
    ],
)
def test_failed_tasks_and_links_closed_again_and_again_are_reported(
    messages, tmp_path
):
    assert len(_find_logged(tmp_path, *messages)) == 1


@pytest.mark.parametrize(
    "messages",
    [
        [{"message_type": "started"}],
        [_closed_link("no_hello")] * 2 + [_closed_link("truncated")],
    ],
)
def test_single_closed_links_are_not_reported(messages, tmp_path):
    assert not _find_logged(tmp_path, *messages)


@pytest.mark.parametrize(
    ("time_s", "zone", "disturbed", "is_broken"),
    [
        (104.9, "z1", (), False),
        (105.1, "z1", (), True),
        (105.1, "z0", (), False),
        (111.9, "z1", (), True),
        (112.1, "z1", (), False),
        # The node was disturbed until 4 s before, or not for that long.
        (107.0, "z1", _fault("node_pause", 102.1), False),
        (107.0, "z1", _fault("node_pause", 101.9), True),
        (107.0, "z1", _fault("node_pause", 102.1, target=2), True),
        (107.0, "z1", _fault("caller_link", 105.0), True),
        (107.0, "z1", _fault(plan.GENERATIONS_LOST, 105.0), False),
        # An unstable store extends the bound, and does so by 6 s at most.
        (107.0, "z1", _fault("store_cut", 105.0), False),
        (111.1, "z1", _fault("store_down", 109.0), True),
    ],
)
def test_a_late_request_to_an_evacuated_zone_is_reported(
    time_s, zone, disturbed, is_broken
):
    evacuation = bounds.Evacuation("z1", 100.0, 112.0, 5.0)
    arrival = bounds.Arrival(time_s, "chat-0-7", "i-1", zone)
    disrupted = _disrupted(*disturbed)
    assert bool(evacuation.late_arrivals([arrival], disrupted)) == is_broken


@pytest.mark.parametrize(
    ("times_s", "disturbed", "is_broken"),
    [
        ([10.1, 10.2, 10.9], (), True),
        ([10.1, 10.2, 11.2], (), False),
        # One request came before the restart, or after the warm-up.
        ([9.9, 10.2, 10.3], (), False),
        ([15.9, 15.95, 16.1], (), False),
        ([10.1, 10.2, 10.9], _fault("server_link", 10.0), False),
        ([10.1, 10.2, 10.9], _fault("server_link", 10.0, target=1), True),
        ([10.1, 10.2, 10.9], _fault("node_pause", 10.0), True),
    ],
)
@pytest.mark.parametrize("is_booking", [False, True])
def test_too_many_requests_to_a_cold_server_are_reported(
    times_s, disturbed, is_broken, is_booking
):
    kind = servers.BookingServer if is_booking else servers.RecordingMember
    server = kind("s-0", None, record=servers.Record())
    server.warmup.spans.append((10.0, 16.0))
    server.arrivals += [(time_s, "chat-1-7") for time_s in times_s]
    disrupted = _disrupted(*disturbed)
    excess = bounds.excess_requests(server, 0, 2, disrupted)
    assert bool(excess) == is_broken
    server.misdirected.add((times_s[1], "chat-1-7"))
    assert not bounds.excess_requests(server, 0, 2, disrupted)


@pytest.mark.parametrize(
    ("arrival_s", "has_returned"), [(1.0, False), (2.5, True)]
)
def test_a_zone_without_requests_after_its_evacuation_does_not_serve(
    arrival_s, has_returned
):
    record = servers.Record()
    env = environment.Environment(
        None, None, record, promises.PromiseChecker(record)
    )
    env.evacuations.append(bounds.Evacuation("z1", 0.0, 2.0, 1.0))
    for number in range(layout.DOMAINS):
        member = servers.RecordingMember(f"i-{number}", None, zone=f"z{number}")
        member.group = {"Name": "g", "epoch": 1, "State": "open"}
        member.arrivals.append((arrival_s if number else 9.0, "chat-1-7"))
        env.members.append(member)
    assert asyncio.run(env.is_serving()) == has_returned


class _EndedProcess:
    output = pathlib.Path("node-0.out")

    def running(self) -> bool:
        return False


def test_a_process_that_ended_by_itself_is_reported():
    record = servers.Record()
    env = environment.Environment(
        None, None, record, promises.PromiseChecker(record)
    )
    env.check_running(environment.Node(0, _EndedProcess(), None, None))
    assert env.checker.finish()


def test_a_build_runs_the_package_of_its_commit(tmp_path):
    build = builds.export("HEAD", tmp_path)
    process = processes.Process("node-0", ["balsamlug", "--help"], tmp_path)
    build.use(process)
    assert process.root == build.root
    assert (process.root / "balsamlug" / "__main__.py").exists()
    assert process.output.name.startswith("node-0-")
    builds.Build().use(process)
    assert process.root == processes.ROOT
    assert process.output == tmp_path / "node-0.out"


@pytest.mark.parametrize(
    ("request_id", "service", "is_found"),
    [
        ("chat-1-7", "model-service", False),
        ("poisonous-1-7", "model-service", False),
        ("talk-1-7", "model-service", True),
        ("talk-1-7", servers.SECOND_SERVICE, False),
        ("chat-1-7", servers.SECOND_SERVICE, True),
        ("poisonous-1-7", servers.SECOND_SERVICE, True),
    ],
)
def test_request_at_a_server_of_another_service_is_found(
    request_id, service, is_found
):
    member = servers.RecordingMember("i-0", None, service=service)
    member.arrivals.append((1.0, request_id))
    assert bool(promises.misrouted([member])) == is_found


@pytest.mark.parametrize("other", ["model-service", servers.SECOND_SERVICE])
def test_group_of_two_services_is_found(other):
    record = servers.Record()
    peers = {}
    for name, service in (("i-0", "model-service"), ("i-1", other)):
        peers[name] = servers.RecordingMember(
            name, None, service=service, peers=peers, record=record
        )
    head = peers["i-0"]
    head.group = {"Name": "d0-1", "epoch": 1, "State": "ready"}
    head.members = tuple(peers)
    record.ready.update((name, "d0-1", 1) for name in peers)
    head._check_group()
    assert bool(record.violations) == (other != "model-service")
