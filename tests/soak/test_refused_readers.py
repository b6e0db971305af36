"""Guards the check of revoked keys while the store turns readers away."""

import pytest

from soak import clients
from soak import plan
from soak import refused_readers

REVOKED_S = 100.0
LIMIT_S = REVOKED_S + refused_readers.BOUND_S


def _late(sent_s: float, status: int = 200, **refusal: float) -> list[str]:
    answer = clients.Answer("chat-1-7", "chat", 1, status, {}, sent_s=sent_s)
    refusals = [refused_readers.Refusal(**refusal)] if refusal else []
    return refused_readers.late_keys(
        [("key", answer)], {"key": REVOKED_S}, refusals
    )


def test_revoked_key_that_a_served_node_takes_too_late_is_found():
    assert _late(LIMIT_S + 0.01)
    assert not _late(LIMIT_S - 0.01)
    assert not _late(LIMIT_S + 0.01, status=401)
    assert _late(LIMIT_S + 0.01, node=2, start_s=0.0, end_s=200.0)
    # The store served the node again before the revocation.
    assert _late(LIMIT_S + 0.01, node=1, start_s=0.0, end_s=REVOKED_S - 1)


@pytest.mark.parametrize(
    ("start_s", "end_s"),
    [(90.0, 101.0), (LIMIT_S - 1, LIMIT_S + 9), (101.0, 102.0)],
)
def test_revoked_key_that_a_refused_node_takes_is_excused(start_s, end_s):
    refusal = {"node": 1, "start_s": start_s, "end_s": end_s}
    assert not _late(LIMIT_S + 0.01, **refusal)


def test_each_refusal_lasts_until_the_bound_of_a_revocation_is_over():
    for seed in range(20):
        faults = refused_readers.draw(seed, 3)
        assert faults == refused_readers.draw(seed, 3)
        refusals = [f for f in faults if f.kind == plan.READERS_REFUSED]
        assert len(refusals) == 3
        assert {f.way for f in refusals} <= {*refused_readers.WAYS}
        for refusal in refusals:
            limits_s = [
                fault.at_s + refused_readers.BOUND_S
                for fault in faults
                if fault.kind == "revoke" and fault.at_s >= refusal.at_s - 0.5
            ]
            assert min(limits_s) < refusal.at_s + refusal.for_s
