"""Guards the bytes that nodes send while their suspicions keep differing."""

from balsamlug import retention
from balsamlug import state
from balsamlug.membership import pacing
from balsamlug.membership import reconcile
from balsamlug.messages import codec
from balsamlug.messages import types

DIGEST_S = 0.5
NEIGHBOURS = 8
DURATION_S = 600


def _frames(count: int) -> list[bytes]:
    fleet = state.FleetState("s")
    for i in range(count):
        name = f"{i:016x}@krovni-{i // 41}:{i}"
        fleet.publish(types.SuspicionUpdate(name, 1, 0), 0.0)
    messages = reconcile.versions(fleet, reconcile.SUSPICIONS)
    return [codec.encode(message) for message in messages]


def _sent(kind: str, frames: list[bytes], is_limited: bool) -> int:
    """Return how often a node sends frames whenever a digest differs."""
    requests, sent = pacing.Requests(), 0
    for tick in range(int(DURATION_S / DIGEST_S) * NEIGHBOURS):
        now_s = tick * DIGEST_S / NEIGHBOURS
        if requests.is_due(kind, now_s):
            requests.record(kind, frames, now_s, is_limited)
            sent += 1
    return sent


def test_tables_that_keep_differing_cost_at_most_a_kilobyte_a_second():
    for count in (200, retention.MAX_SUSPICIONS):
        frames = _frames(count)
        size = sum(map(len, frames))
        sent = _sent(reconcile.SUSPICIONS, frames, is_limited=True)
        assert sent > 1
        assert (sent - 1) * size <= DURATION_S * pacing.VERSIONS_BYTES_PER_S


def test_suspicions_below_the_limit_are_requested_from_every_neighbour():
    sent = _sent(reconcile.SUSPICIONS, _frames(2_000), is_limited=False)
    assert sent == DURATION_S / DIGEST_S * NEIGHBOURS


def test_large_values_are_requested_once_a_second():
    assert _sent(reconcile.CONFIG, [b""], is_limited=False) == DURATION_S
