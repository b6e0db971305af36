"""Guards servers against crashing parts that lie far back in a prompt."""

import attrs
import pytest

from balsamlug import clock as clocks
from balsamlug import crashed_prompts
from balsamlug import exceptions
from balsamlug import proofs
from balsamlug import quarantine
from balsamlug import state
from balsamlug import suspicions
from balsamlug.messages import codec
from balsamlug.messages import types

LIMITS = suspicions.Limits()
SHARED = [f"part:shared{number}" for number in range(1000)]
BAD = "part:bad"


@attrs.define
class _Node:
    """A node that passes all it publishes on to the others."""

    clock: clocks.ManualClock
    peers: list["_Node"] = attrs.field(factory=list)
    fleet: state.FleetState = attrs.field(factory=lambda: state.FleetState("s"))
    table: quarantine.Quarantine = attrs.field(init=False)
    published: list[types.Message] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.table = quarantine.Quarantine(self.fleet, self.clock)
        self.fleet.subscribe(self._pass_on)

    def _pass_on(self, message: types.Message) -> None:
        self.published.append(message)
        for peer in self.peers:
            peer.fleet.publish(message, self.clock.monotonic())

    def crash(self, number: int, *subjects: str) -> None:
        self.clock.advance(1.0)
        self.table.record_crash([f"fp{number}", *subjects], "g", number)

    def prove(self, *subjects: str) -> None:
        self.table.record_proof(subjects, self.clock.monotonic())

    def is_refused(self, *subjects: str) -> bool:
        try:
            self.table.check(subjects)
        except exceptions.SuspectedRequest:
            return True
        return False


def _fleet(count: int = 3) -> list[_Node]:
    clock = clocks.ManualClock(100.0)
    nodes = [_Node(clock) for _ in range(count)]
    for node in nodes:
        node.peers += [other for other in nodes if other is not node]
    return nodes


def _fresh(number: int, count: int) -> list[str]:
    return [f"part:fresh{number}x{n}" for n in range(count)]


@pytest.mark.parametrize("place", [0, 31, 32, 63, 300, 1000])
def test_part_at_any_place_is_refused_by_all_nodes_after_three_crashes(place):
    nodes = _fleet()
    for node in nodes:
        node.prove(*SHARED[:place])
    for number, node in enumerate(nodes):
        node.crash(number, *SHARED[:place], BAD)
    assert all(node.is_refused(*SHARED[:place], BAD) for node in nodes)
    assert not any(node.is_refused(*SHARED[:place]) for node in nodes)


def test_part_between_parts_that_no_other_request_has_is_refused():
    nodes = _fleet()
    for number, node in enumerate(nodes):
        fresh = _fresh(number, 240)
        node.crash(number, *fresh[:40], BAD, *fresh[40:])
    fresh = _fresh(9, 240)
    assert all(node.is_refused(*fresh, BAD) for node in nodes)
    assert not any(node.is_refused(*fresh) for node in nodes)


def test_part_at_changing_places_is_refused():
    nodes = _fleet()
    for number, (node, place) in enumerate(
        zip(nodes, (0, 100, 31), strict=True)
    ):
        fresh = _fresh(number, 200)
        node.crash(number, *fresh[:place], BAD, *fresh[place:])
    assert all(node.is_refused(BAD) for node in nodes)


def test_crashes_that_an_earlier_build_reports_by_name_count():
    (node,) = _fleet(1)
    for number in range(2):
        name = suspicions.Name(BAD, suspicions.Kind.CRASH, f"g:{number}")
        update = types.SuspicionUpdate(str(name), suspicions.SUSPECTED, 0)
        node.fleet.publish(update, node.clock.monotonic())
    assert not node.is_refused(BAD)
    node.crash(2, *_fresh(0, 100), BAD)
    assert node.is_refused(BAD)


def test_parts_that_only_another_node_knows_to_be_sound_are_served():
    nodes = _fleet()
    nodes[0].prove(*SHARED[:100])
    for number in range(LIMITS.quarantined):
        nodes[1].crash(number, *SHARED[:100], BAD)
    # Nodes answer to what they heard when they handle their next request.
    for _ in range(3):
        for node in nodes:
            node.is_refused()
    assert all(node.is_refused(*SHARED[:100], BAD) for node in nodes)
    assert not any(node.is_refused(*SHARED[:100]) for node in nodes)


def test_proof_after_the_crashes_clears_further_parts_on_all_nodes():
    nodes = _fleet()
    for number in range(LIMITS.quarantined):
        nodes[0].crash(number, *SHARED[:100])
    assert all(node.is_refused(*SHARED[:100]) for node in nodes)
    nodes[1].clock.advance(1.0)
    nodes[1].prove(*SHARED[:100])
    assert not any(node.is_refused(*SHARED[:100]) for node in nodes)


def test_prompts_of_a_thousand_new_parts_do_not_push_out_other_records():
    nodes = _fleet()
    nodes[0].prove("part:sound")
    nodes[0].prove("part:sound")
    for number in range(LIMITS.quarantined):
        nodes[0].crash(number, BAD)
    for number in range(100):
        parts = _fresh(number, 1000)
        nodes[number % 3].prove(*parts)
        nodes[number % 3].crash(1000 + number, *_fresh(-number, 1000))
    # A test of the part may be due.
    assert all(node.table.quarantined([BAD]) for node in nodes)
    assert nodes[0].table._was_sound("part:sound")


def test_crash_publishes_few_suspicions_and_four_bytes_for_a_further_part():
    (node,) = _fleet(1)
    node.crash(0, *_fresh(0, 1000))
    singles = [
        m for m in node.published if isinstance(m, types.SuspicionUpdate)
    ]
    (common,) = [
        m for m in node.published if isinstance(m, types.CrashedPrompt)
    ]
    assert len(singles) == 1 + quarantine.MAX_PARTS
    further = 1000 - quarantine.MAX_PARTS
    assert len(codec.encode(common)) < 4 * further + 50


def test_many_common_parts_are_published_in_limited_number():
    (node,) = _fleet(1)
    for number in range(LIMITS.quarantined):
        node.crash(number, *SHARED)
    node.is_refused()
    published = {
        suspicions.parse(m.fingerprint).subject
        for m in node.published
        if isinstance(m, types.SuspicionUpdate)
    }
    parts = [s for s in published if s.startswith(suspicions.HASHED_PART)]
    assert len(parts) == quarantine.MAX_PARTS


def _message(number: int, count: int) -> types.CrashedPrompt:
    parts = range(number * count, (number + 1) * count)
    (message,) = crashed_prompts.messages(f"g:{number}", 0, parts)
    return message


def test_memory_for_parts_is_limited_and_keeps_the_newest():
    prompts = crashed_prompts.CrashedPrompts()
    for number in range(200):
        assert prompts.add(_message(number, 1000), now_s=10.0 * number)
    assert sum(len(p.parts) for p in prompts) <= crashed_prompts.MAX_PARTS
    assert prompts.crashes({199_500})
    assert not prompts.crashes({500})


def test_node_passes_on_a_limited_number_of_parts():
    prompts = crashed_prompts.CrashedPrompts()
    taken = sum(prompts.add(_message(n, 1000), now_s=1.0) for n in range(100))
    assert taken == crashed_prompts.PARTS_AT_ONCE // 1000
    assert not prompts.add(_message(200, 1000), now_s=1.1)
    assert prompts.add(_message(200, 1000), now_s=2.1)


def test_parts_are_passed_on_once():
    prompts = crashed_prompts.CrashedPrompts()
    message = _message(1, 10)
    assert prompts.add(message, now_s=5.0)
    assert not prompts.add(message, now_s=5.1)
    again = prompts.message(message.crash, message.parts, now_s=5.25)
    assert again == attrs.evolve(message, age_ms=250)


def test_prompt_with_more_parts_than_a_frame_holds_is_sent_in_messages():
    count = 2 * crashed_prompts.MAX_MESSAGE_PARTS + 1
    messages = list(crashed_prompts.messages("g:1", 0, range(count)))
    assert all(codec.encode(message) for message in messages)
    parts = [suspicions.unpack_parts(message.parts) for message in messages]
    assert frozenset().union(*parts) == frozenset(range(count))


def test_subject_that_looks_like_a_hash_is_hashed():
    for name in ("part:~", "part:~xyz", "part:~0123456", "part:~012345678"):
        assert suspicions.part_hash(name) < 2**32
    assert suspicions.key("part:~01234567") == "part:~01234567"


def test_proofs_are_limited_and_new_ones_drop_no_repeated_ones():
    known = proofs.Proofs()
    for began_s in (1.0, 2.0):
        known.record("shared", began_s)
    for number in range(2 * proofs.MAX_PROOFS):
        known.record(f"new{number}", 3.0)
    assert known.time("shared") == 2.0
    assert "new0" not in known
    assert len(known._once) == proofs.MAX_PROOFS
