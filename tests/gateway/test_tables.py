"""Guards against wrong totals of the counts and refusals of all nodes."""

from tornado import httputil

from balsamlug import clock as clocks
from balsamlug.gateway import loads
from balsamlug.gateway import messages
from balsamlug.gateway import recent_refusals


def _peer_counts(
    sequence: int, now_s: float, **counts: int
) -> loads.PeerCounts:
    return loads.PeerCounts(1, sequence, now_s, counts)


def test_local_and_peer_counts_are_added():
    table = loads.Loads()
    table.record_start("g")
    table.record_start("g")
    table.record_end("g")
    table.update_peer("n2", _peer_counts(1, 0.0, g=4))
    table.update_peer("n3", _peer_counts(1, 0.0, g=1))
    assert table.total("g", 0.5) == 6


def test_older_datagram_is_ignored():
    table = loads.Loads()
    table.update_peer("n2", _peer_counts(5, 0.0, g=4))
    table.update_peer("n2", _peer_counts(4, 0.1, g=9))
    assert table.total("g", 0.2) == 4


def test_restarted_node_replaces_its_former_counts():
    table = loads.Loads()
    table.update_peer("n2", _peer_counts(50, 0.0, g=4))
    table.update_peer("n2", loads.PeerCounts(2, 1, 0.1, {"g": 0}))
    assert table.total("g", 0.2) == 0


def test_counts_of_an_unresponsive_node_expire():
    table = loads.Loads()
    table.update_peer("n2", _peer_counts(1, 0.0, g=4))
    assert table.total("g", loads.PEER_LIFETIME_S + 0.1) == 0


def _request(request_id: str, body: bytes) -> messages.CallerRequest:
    return messages.CallerRequest(
        "POST",
        "/a/1",
        "h",
        httputil.HTTPHeaders(),
        body,
        messages.RequestMetadata(request_id, key="k"),
        0.0,
    )


def test_refused_request_is_recognised_by_another_node():
    clock = clocks.ManualClock()
    local_node, other_node = (
        recent_refusals.RecentRefusals(clock),
        recent_refusals.RecentRefusals(clock),
    )
    local_node.record(recent_refusals.fingerprint(_request("1", b"body")))
    other_node.merge(local_node.recent_local())
    clock.advance(0.7)
    assert (
        other_node.waited_s(recent_refusals.fingerprint(_request("2", b"body")))
        == 0.7
    )
    assert (
        other_node.waited_s(
            recent_refusals.fingerprint(_request("3", b"other"))
        )
        == 0
    )


def test_refusals_expire():
    clock = clocks.ManualClock()
    table = recent_refusals.RecentRefusals(clock)
    table.record("fp")
    clock.advance(recent_refusals.LIFETIME_S + 0.1)
    assert table.waited_s("fp") == 0
    assert not table.recent_local()
