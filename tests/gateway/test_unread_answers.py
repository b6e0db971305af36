"""Guards the memory of a node against callers that do not read."""

import attrs
import pytest

from balsamlug import clock as clocks
from balsamlug.gateway import unread_answers
from balsamlug.observability import metrics as metric

MB = 1024 * 1024
BOUND = 24 * MB


@attrs.define(eq=False)
class Answer:
    """Answer to a caller that takes bytes only when a test says so."""

    held_bytes: int
    request_id: str = ""
    request_bytes: int = 0
    taken_bytes: int = 0
    broken_off: bool = False
    connection: object = attrs.field(factory=object)

    def take(self, size: int) -> None:
        self.taken_bytes += size
        self.held_bytes -= size

    def break_off(self) -> None:
        self.broken_off = True
        self.held_bytes = 0


@attrs.define(eq=False)
class Node:
    """Unread answers with timers that run when a test advances the time."""

    clock: clocks.ManualClock = attrs.field(factory=clocks.ManualClock)
    metrics: metric.GatewayMetrics = attrs.field(factory=metric.GatewayMetrics)
    due: list = attrs.field(factory=list)
    unread: unread_answers.UnreadAnswers = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.unread = unread_answers.UnreadAnswers(
            self.clock, BOUND, self.metrics, self._schedule
        )

    def _schedule(self, delay_s: float, callback) -> None:
        self.due.append((self.clock.monotonic() + delay_s, callback))

    def wait(self, seconds: float, step=lambda: None) -> None:
        """Advance the time; call a function every 0.1 s."""
        for _ in range(round(seconds * 10)):
            step()
            self.run_due()
            self.clock.advance(0.1)

    def run_due(self) -> None:
        now_s = self.clock.monotonic()
        due = [item for item in self.due if item[0] <= now_s]
        self.due = [item for item in self.due if item[0] > now_s]
        for _, callback in due:
            callback()

    def add(self, *answers: Answer) -> None:
        for answer in answers:
            self.unread.add(answer)

    def broken_off(self, reason: str) -> float:
        name = "balsamlug_unread_broken_off_total"
        labels = {"reason": reason}
        return self.metrics.registry.get_sample_value(name, labels) or 0


@pytest.fixture
def node() -> Node:
    return Node()


def test_500_streams_that_are_not_read_stay_within_the_bound(node):
    streams = [Answer(256 * 1024) for _ in range(500)]
    for stream in streams:
        node.add(stream)
        node.run_due()
        assert node.unread.total_bytes <= BOUND
    node.wait(3)
    assert node.unread.total_bytes <= BOUND * unread_answers.STALLED_SHARE
    assert node.broken_off("stalled")
    assert sum(s.broken_off for s in streams) < 500


def test_slow_but_steady_caller_outlives_those_that_do_not_read(node):
    steady = Answer(4 * MB)
    node.add(steady)
    node.wait(1)
    stalled = [Answer(4 * MB) for _ in range(4)]
    node.add(*stalled)
    # 10 kB/s, in steps of one segment.
    node.wait(3, lambda: steady.take(1000))
    assert not steady.broken_off
    assert [s.broken_off for s in stalled] == [True, True, False, False]


def test_longest_waiting_is_broken_off_first_at_the_bound(node):
    answers = [Answer(7 * MB) for _ in range(4)]
    for answer in answers:
        node.add(answer)
        node.wait(0.1)
    assert [a.broken_off for a in answers] == [True, False, False, False]
    assert node.broken_off("bound") == 1


def test_small_answer_is_never_broken_off_because_of_large_ones(node):
    small = Answer(2000)
    node.add(small)
    node.wait(1)
    node.add(*(Answer(8 * MB) for _ in range(20)))
    node.wait(5)
    assert not small.broken_off


def test_single_answer_over_the_bound_is_sent(node):
    alone = Answer(2 * BOUND)
    node.add(alone)
    node.wait(5)
    assert not alone.broken_off


def test_request_bodies_count(node):
    answers = [Answer(100_000, request_bytes=4 * MB) for _ in range(10)]
    node.add(*answers)
    node.run_due()
    assert sum(a.broken_off for a in answers) == 5


def test_caller_that_takes_nothing_expires_without_load(node):
    stalled, steady = Answer(MB), Answer(MB)
    node.add(stalled, steady)
    node.wait(59, lambda: steady.take(1))
    assert not stalled.broken_off
    node.wait(2, lambda: steady.take(1))
    assert stalled.broken_off
    assert not steady.broken_off
    assert node.broken_off("expired") == 1


def test_answers_that_were_read_or_closed_are_forgotten(node):
    answer = Answer(MB, connection="c")
    node.add(answer)
    answer.held_bytes = 0
    # The next answer on the same connection.
    node.add(Answer(2 * MB, connection="c"))
    assert node.unread.total_bytes == 2 * MB
    following = Answer(0, connection="c")
    node.add(following)
    node.wait(1)
    assert node.unread.total_bytes == 0
    assert not node.due


def test_defect_does_not_end_the_answer(node):
    broken = Answer(MB, connection=[])  # not hashable
    node.add(broken)
    assert not broken.broken_off
