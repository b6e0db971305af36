"""Guards servers against crashing parts, and sound parts against refusals."""

import attrs
import pytest

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import hashing
from balsamlug import quarantine
from balsamlug import quarantine_turns
from balsamlug import snapshots
from balsamlug import state
from balsamlug import suspects
from balsamlug import suspicions
from balsamlug.gateway import evidence
from balsamlug.gateway import messages
from balsamlug.messages import types

LIMITS = suspicions.Limits()
# Longest delay of a test in a fleet of one node.
TEST_S = quarantine.TEST_DELAY_S + quarantine_turns.MIN_SPREAD_S


@attrs.define
class _Node:
    clock: clocks.ManualClock = attrs.field(
        factory=lambda: clocks.ManualClock(100.0)
    )
    fleet: state.FleetState = attrs.field(factory=lambda: state.FleetState("s"))
    table: quarantine.Quarantine = attrs.field(init=False)
    tests: list[suspicions.Name] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.table = quarantine.Quarantine(self.fleet, self.clock)

    def crash(self, *subjects: str, age_s: float = 0.0) -> None:
        generation = len(self.fleet.suspicions)
        crashed_s = self.clock.monotonic() - age_s
        self.table.record_crash(subjects, "g", generation, crashed_s)
        self.table.end_tests(self.tests)
        self.tests = []

    def prove(self, *subjects: str) -> None:
        self.table.record_proof(subjects, self.clock.monotonic())

    def is_refused(self, *subjects: str) -> bool:
        try:
            self.tests = self.table.admit(subjects)
        except exceptions.SuspectedRequest:
            return True
        return False


def _crash_times(node: _Node, count: int, *subjects: str) -> None:
    for _ in range(count):
        node.crash(*subjects)


def test_subjects_are_the_request_and_all_parts_but_the_last():
    parts = [messages.PromptPart(n, 1) for n in ("a", "b", "a", "own")]
    assert evidence.subjects("fp", parts) == ("fp", "part:a", "part:b")


def test_long_or_unusual_part_has_a_short_name():
    part = messages.PromptPart("@?" + "x" * 1000, 1)
    _, name = evidence.subjects("fp", [part, part])
    assert len(name) < 40
    assert not set("@?") & set(name)


def test_different_requests_with_a_crashing_part_are_refused():
    node = _Node()
    for number in range(LIMITS.quarantined):
        node.crash(f"fp{number}", "bad")
    assert node.is_refused("another", "bad")
    assert not node.is_refused("another", "sound")


def test_refusal_names_the_subject():
    node = _Node()
    _crash_times(node, LIMITS.quarantined, "bad")
    with pytest.raises(exceptions.SuspectedRequest, match="bad"):
        node.table.check(["bad"])


def test_unconfirmed_crash_of_the_request_itself_counts():
    node = _Node()
    _crash_times(node, LIMITS.quarantined - 1, "bad")
    node.table.check(["bad"])
    with pytest.raises(exceptions.SuspectedRequest):
        node.table.check(["bad"], ["other:1"])


def test_part_that_was_sound_and_became_harmful_is_refused():
    node = _Node()
    for _ in range(20):
        node.prove("bad")
        node.clock.advance(1.0)
    _crash_times(node, LIMITS.quarantined, "bad")
    assert node.is_refused("bad")


def test_answer_that_began_before_a_crash_does_not_clear_the_part():
    node = _Node()
    began_s = node.clock.monotonic()
    node.clock.advance(0.5)
    _crash_times(node, LIMITS.quarantined, "bad")
    node.clock.advance(1.0)
    node.table.record_proof(["bad"], began_s)
    assert node.is_refused("bad")


def test_crash_reported_after_a_later_proof_is_cleared_on_all_nodes():
    one, two = _Node(), _Node()
    two.clock.advance(5.0)
    two.prove("sound")
    sent = []
    two.fleet.subscribe(sent.append)
    _crash_times(one, LIMITS.quarantined, "sound")
    one.clock.advance(5.0)
    for message in snapshots.messages(one.fleet, one.clock.monotonic()):
        two.fleet.publish(message, two.clock.monotonic())
    assert not two.is_refused("sound")
    for message in sent:
        one.fleet.publish(message, one.clock.monotonic())
    assert not one.is_refused("sound")


def test_sound_part_in_three_crashes_is_served_after_a_test():
    node = _Node()
    _crash_times(node, LIMITS.quarantined, "sound")
    assert node.is_refused("sound")
    node.clock.advance(TEST_S)
    assert not node.is_refused("sound")
    assert node.is_refused("sound"), "a second test beside the first"
    node.prove("sound")
    assert not node.is_refused("sound")


def test_announced_test_lets_other_nodes_wait():
    one, two = _Node(), _Node()
    one.fleet.subscribe(lambda message: two.fleet.publish(message, 100.0))
    _crash_times(one, LIMITS.quarantined, "sound")
    one.clock.advance(TEST_S)
    two.clock.advance(TEST_S)
    one.fleet.subscribe(
        lambda message: two.fleet.publish(message, two.clock.monotonic())
    )
    assert not one.is_refused("sound")
    assert two.is_refused("sound")


@pytest.mark.parametrize(
    ("subject", "was_sound", "late_tests"),
    [
        ("part:bad", True, LIMITS.late_tests),
        ("part:bad", False, 0),
        ("fp", True, 0),
    ],
)
def test_tests_of_a_harmful_subject_are_bounded(subject, was_sound, late_tests):
    """Guards the platform's bound of three requests after five crashes."""
    node = _Node()
    if was_sound:
        node.prove(subject)
        node.clock.advance(1.0)
    _crash_times(node, LIMITS.quarantined, subject)
    tests = 0
    for _ in range(600):
        node.clock.advance(1.0)
        if not node.is_refused(subject):
            tests += 1
            node.clock.advance(0.3)
            node.crash(subject)
    assert tests == LIMITS.untested - LIMITS.quarantined + late_tests


def test_only_one_node_makes_the_late_tests_of_a_part():
    nodes = [_Node() for _ in range(5)]
    for number, node in enumerate(nodes):
        node.table.node = f"n{number}"
        for other in range(len(nodes)):
            update = types.NodeUpdate(
                f"n{other}", 1, "up", "r", "d", "127.0.0.1:1"
            )
            node.fleet.publish(update, 0.0)
        node.prove("part:a")
        node.clock.advance(1.0)
        _crash_times(node, LIMITS.untested, "part:a")
        node.clock.advance(TEST_S)
    assert sum(not node.is_refused("part:a") for node in nodes) == 1


def test_last_tests_of_a_sound_part_are_not_used_up_by_a_harmful_one():
    node = _Node()
    node.prove("part:sound")
    node.clock.advance(1.0)
    _crash_times(node, LIMITS.untested, "part:sound", "part:bad")
    node.clock.advance(TEST_S)
    assert node.is_refused("part:sound", "part:bad")
    assert not node.is_refused("part:sound")


def test_time_in_the_refusal_is_that_of_the_next_test():
    node = _Node()
    _crash_times(node, LIMITS.quarantined, "sound")
    with pytest.raises(exceptions.SuspectedRequest) as refusal:
        node.table.check(["sound"])
    node.clock.advance(refusal.value.retry_after_ms / clocks.MS_PER_S)
    assert node.table.check(["sound"]) == ["sound"]


def test_quarantine_without_tests_ends_when_its_crashes_expire():
    node = _Node()
    _crash_times(node, LIMITS.untested, "fp")
    node.clock.advance(state.SUSPICION_LIFETIME_S - 1.0)
    assert node.is_refused("fp")
    node.clock.advance(2.0)
    assert not node.is_refused("fp")


def test_sound_part_is_tested_though_the_testing_node_never_saw_it():
    """Guards sound parts of which only some nodes have a proof."""
    nodes = [_Node() for _ in range(5)]
    names = [f"n{number}" for number in range(len(nodes))]
    tester = hashing.rank("part:a", names)[0]
    for name, node in zip(names, nodes, strict=True):
        node.table.node = name
        for other in names:
            update = types.NodeUpdate(other, 1, "up", "r", "d", "127.0.0.1:1")
            node.fleet.publish(update, 0.0)
        if name != tester:
            node.prove("part:a")
        node.clock.advance(1.0)
        _crash_times(node, LIMITS.untested, "part:a")
        # A test is due, and still up to one node.
        node.clock.advance(TEST_S)
        # The next request announces the proof.
        node.is_refused("part:a")
    for node in nodes:
        for message in snapshots.messages(node.fleet, node.clock.monotonic()):
            for other in nodes:
                other.fleet.publish(message, other.clock.monotonic())
    assert not all(node.is_refused("part:a") for node in nodes)


def test_sound_part_is_not_refused_for_crashes_of_a_part_that_never_was_sound():
    node = _Node()
    node.prove("part:sound")
    node.clock.advance(1.0)
    _crash_times(node, LIMITS.untested, "part:sound", "part:bad")
    assert not node.is_refused("part:sound", "part:own")
    assert node.is_refused("part:sound", "part:bad")


def test_part_that_turned_bad_is_not_excused_by_parts_of_single_requests():
    """Guards retries, in which other parts of a request share its crashes."""
    node = _Node()
    node.prove("part:bad")
    node.clock.advance(1.0)
    for number in range(3):
        _crash_times(node, LIMITS.quarantined, "part:bad", f"part:own-{number}")
    assert node.is_refused("part:bad", "part:new")


def test_crashing_part_is_not_tested_again_every_hour():
    """Guards the platform's bound, which has no time after which it ends."""
    node = _Node()
    crashes_s, late = [], 0
    for _ in range(3 * 720):
        node.clock.advance(5.0)
        if node.is_refused("part:bad"):
            continue
        now_s = node.clock.monotonic()
        late += len(crashes_s) >= 5 and now_s > crashes_s[4] + 3.0
        node.crash("part:bad")
        crashes_s.append(now_s)
    assert late <= 3


def test_node_that_starts_later_knows_a_part_that_crashed_hours_before():
    """Guards the bound on late requests against restarts in turn."""
    node = _Node()
    _crash_times(node, LIMITS.untested, "part:bad")
    node.crash("part:other")
    node.clock.advance(state.SUSPICION_LIFETIME_S + 60.0)
    node.fleet.expire(node.clock.monotonic())
    later = _Node(clock=node.clock)
    for message in snapshots.messages(node.fleet, node.clock.monotonic()):
        later.fleet.publish(message, node.clock.monotonic())
    for known in (node, later):
        assert not known.is_refused("part:bad")
        assert not known.is_refused("part:other")
    later.crash("part:bad")
    assert later.is_refused("part:bad")
    assert not any("other" in name for name in later.fleet.suspicions)


def test_quarantine_of_a_part_that_crashed_again_ends():
    node = _Node()
    _crash_times(node, LIMITS.untested, "part:bad")
    node.clock.advance(state.SUSPICION_LIFETIME_S + 1.0)
    node.crash("part:bad")
    node.clock.advance(1.9 * state.SUSPICION_LIFETIME_S)
    assert node.is_refused("part:bad")
    node.clock.advance(0.2 * state.SUSPICION_LIFETIME_S)
    assert not node.is_refused("part:bad")
    node.prove("part:bad")
    _crash_times(node, LIMITS.quarantined - 1, "part:bad")
    assert not node.is_refused("part:bad")


def test_test_without_an_outcome_counts_as_a_crash_of_a_request():
    """Guards against tests that are repeated before their crash is found."""
    node = _Node()
    _crash_times(node, LIMITS.quarantined, "fp")
    tests = 0
    for _ in range(600):
        node.clock.advance(1.0)
        tests += not node.is_refused("fp")
    assert tests == LIMITS.untested - LIMITS.quarantined


def test_late_tests_are_known_to_a_node_that_starts_later():
    """Guards the bound on late tests against a restart of the one tester."""
    node = _Node()
    node.prove("part:a")
    node.clock.advance(1.0)
    _crash_times(node, LIMITS.untested, "part:a")
    for _ in range(LIMITS.late_tests):
        node.clock.advance(TEST_S)
        assert not node.is_refused("part:a")
        node.crash("part:a")
    later = _Node(clock=node.clock)
    for message in snapshots.messages(node.fleet, node.clock.monotonic()):
        later.fleet.publish(message, node.clock.monotonic())
    later.prove("part:b")
    later.clock.advance(TEST_S)
    assert later.is_refused("part:a")


def test_request_is_tested_again_after_tests_that_did_not_run():
    node = _Node()
    _crash_times(node, LIMITS.quarantined, "fp")
    for _ in range(2 * LIMITS.untested):
        node.clock.advance(TEST_S)
        assert not node.is_refused("fp")
        node.table.end_tests(node.tests)


def _open_checks(node: _Node, *subjects: str) -> list[suspicions.Name]:
    now_s = node.clock.monotonic()
    return [
        check
        for number in range(LIMITS.quarantined)
        for check in node.table.open_check(subjects, f"i@{number}:1", now_s)
    ]


def test_request_is_refused_while_it_is_checked_whether_servers_crashed():
    node = _Node()
    checks = _open_checks(node, "fp", "part:a")
    assert node.is_refused("fp")
    assert not node.is_refused("part:a")
    node.table.close_checks(checks)
    assert not node.is_refused("fp")


def test_crash_that_is_also_checked_counts_once():
    node = _Node()
    now_s = node.clock.monotonic()
    for number in range(LIMITS.quarantined - 1):
        node.table.open_check(["fp"], f"i:{number}", now_s)
        node.table.record_crash(["fp"], "i", number, now_s)
    assert node.table.crashes("fp", ["i:0"]) == LIMITS.quarantined - 1
    assert not node.is_refused("fp")


def test_proof_ends_the_checks_of_earlier_attempts():
    node = _Node()
    _open_checks(node, "fp")
    node.clock.advance(0.5)
    node.prove("fp")
    assert not node.is_refused("fp")


def test_check_of_a_stopped_node_expires():
    node = _Node()
    _open_checks(node, "fp")
    node.clock.advance(suspects.CHECK_LIFETIME_S + 0.1)
    assert not node.is_refused("fp")


@pytest.mark.parametrize("kind", suspicions.Kind)
def test_event_may_contain_the_separators_of_names(kind):
    name = suspicions.Name("fp", kind, "i@1%2?3!:4")
    assert suspicions.parse(str(name)) == name
