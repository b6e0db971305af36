"""Guards the choice of the neighbour from which a large value is requested."""

import pytest

from balsamlug import clock as clocks
from balsamlug.membership import connection
from balsamlug.membership import large_values
from balsamlug.membership import pacing
from balsamlug.membership import reconcile

WAIT_S = pacing.LARGE_VALUE_INTERVAL_S
KINDS = (reconcile.CONFIG, reconcile.INSTANCES)


class Node:
    """Links of one node, and the requests that it has sent."""

    def __init__(self, *peers: str) -> None:
        self.clock = clocks.ManualClock()
        self.links = {
            peer: connection.Link(peer, 1, None, True, 0.0, 0.0, 0.0, 0.0)
            for peer in peers
        }
        self.known = 1
        self.sent: list[str] = []
        self.requests = pacing.Requests()
        self.values = large_values.LargeValues(
            self.requests, self.links, self.clock, lambda kind: self.known,
            self._send,
        )  # fmt: skip

    def _send(self, link: connection.Link, kind: str) -> None:
        self.requests.record(kind, [], self.clock.monotonic(), False)
        self.sent.append(link.peer)

    def announce(self, peer: str, kind: str, revision: int) -> None:
        self.values.announce(self.links[peer], kind, revision)

    def close(self, peer: str) -> None:
        self.values.link_closed(self.links.pop(peer))


@pytest.mark.parametrize("kind", KINDS)
def test_value_is_requested_from_one_neighbour_at_a_time(kind):
    node = Node("a", "b")
    node.announce("a", kind, 2)
    node.announce("b", kind, 2)
    node.values.tick()
    assert node.sent == ["a"]


@pytest.mark.parametrize("kind", KINDS)
def test_value_is_requested_elsewhere_when_a_link_ends_or_is_silent(kind):
    node = Node("a", "b", "c")
    for peer in node.links:
        node.announce(peer, kind, 2)
    node.close("a")
    assert node.sent == ["a", "b"]
    node.clock.advance(WAIT_S)
    node.values.tick()
    assert node.sent == ["a", "b", "c"]


@pytest.mark.parametrize("kind", KINDS)
def test_value_is_requested_from_a_neighbour_before_other_nodes(kind):
    node = Node("first", "other", "neighbour")
    for peer in node.links:
        node.announce(peer, kind, 2)
    node.links["other"].last_received_s = 2.0
    node.links["neighbour"].last_neighbour_s = 1.0
    node.close("first")
    assert node.sent == ["first", "neighbour"]


@pytest.mark.parametrize("kind", KINDS)
def test_neighbour_that_did_not_answer_is_asked_only_after_its_announcement(
    kind,
):
    node = Node("a")
    node.announce("a", kind, 2)
    for _ in range(5):
        node.clock.advance(WAIT_S)
        node.values.tick()
    assert node.sent == ["a"]
    node.announce("a", kind, 2)
    assert node.sent == ["a", "a"]


def test_version_announced_during_a_request_is_requested_after_the_answer():
    node = Node("a", "b")
    node.announce("a", reconcile.CONFIG, 2)
    node.announce("b", reconcile.CONFIG, 3)
    node.known = 2
    node.values.answered(reconcile.CONFIG)
    assert node.sent == ["a", "b"]


def test_list_is_requested_at_most_once_in_its_interval():
    node = Node("a", "b")
    node.announce("a", reconcile.INSTANCES, 2)
    node.announce("b", reconcile.INSTANCES, 3)
    node.known = 2
    node.values.answered(reconcile.INSTANCES)
    assert node.sent == ["a"]
    node.clock.advance(WAIT_S)
    node.values.tick()
    assert node.sent == ["a", "b"]


def test_value_that_is_known_meanwhile_is_not_requested_again():
    node = Node("a", "b")
    node.announce("a", reconcile.CONFIG, 2)
    node.announce("b", reconcile.CONFIG, 2)
    node.known = 2
    node.close("a")
    assert node.sent == ["a"]
