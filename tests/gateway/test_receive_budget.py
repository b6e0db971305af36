"""Guards against crowds of incomplete requests that displace ordinary ones."""

import attrs
import pytest

from balsamlug.gateway import receive_budget

MIB = 1024 * 1024
BODY_BYTES = 4 * MIB


@attrs.frozen
class Holder:
    name: str
    held_bytes: int
    progress_s: float = 0.0
    awaited: bool = True


def _shed(holders, excess_bytes, now_s=10.0):
    shed = receive_budget.to_shed(holders, excess_bytes, now_s)
    return [holder.name for holder in shed]


def test_ordinary_request_is_not_shed_beside_a_crowd():
    crowd = [Holder(f"c{n}", 200_000, 9.9) for n in range(96)]
    ordinary = Holder("ordinary", 4_000)
    shed = _shed([ordinary, *crowd], 90 * 200_000)
    assert len(shed) == 90
    assert "ordinary" not in shed


def test_request_that_holds_much_for_long_is_shed_first():
    holders = [
        Holder("fast", 2 * MIB, 9.9),
        Holder("slow", MIB),
        Holder("new", 100_000, 9.9),
    ]
    assert _shed(holders, 1) == ["slow"]
    assert _shed(holders, MIB + 1) == ["slow", "fast"]


def test_request_that_runs_is_shed_last():
    # Its connection would be closed for a request that was sent ahead.
    running = Holder("running", 100_000, -100.0, awaited=False)
    crowd = [Holder(f"c{n}", 4_000, 9.9) for n in range(20)]
    shed = _shed([running, *crowd], 40_000)
    assert len(shed) == 10
    assert "running" not in shed


def test_connections_that_hold_nothing_are_not_shed():
    assert not _shed([Holder("idle", 0)], MIB)


def test_nothing_is_shed_without_an_excess():
    assert not _shed([Holder("a", MIB)], 0)


@pytest.mark.parametrize("memory_mb", [0, 1, 64, 152, 200, 552, 100_000])
def test_budget_fits_the_machine_and_one_body(memory_mb):
    limits = receive_budget.derive(memory_mb, 0)
    assert BODY_BYTES + MIB <= limits.budget_bytes <= 24 * MIB


@pytest.mark.parametrize("max_fds", [0, 1, 256, 600, 1024, 1535, 8192, 2**30])
def test_descriptors_suffice_for_all_connections_at_once(max_fds):
    limits = receive_budget.derive(0, max_fds)
    assert limits.connections >= receive_budget.MIN_CONNECTIONS
    assert limits.tunnels >= receive_budget.MIN_TUNNELS
    if max_fds >= 600:
        used = 2 * limits.connections + 2 * limits.tunnels
        used += receive_budget.INTERNAL_DESCRIPTORS
        assert used <= max_fds - receive_budget.FILE_DESCRIPTORS


@pytest.mark.parametrize(
    ("chunk", "body", "expected"),
    [
        (2, 2_000, False),
        (2, 8_000, True),
        (16, 8_000, False),
        (256, BODY_BYTES, False),
        (64, BODY_BYTES, True),
        (65_536, BODY_BYTES, False),
    ],
)
def test_only_many_small_chunks_count_as_such(chunk, body, expected):
    framing = body // chunk * (len(f"{chunk:x}") + 4)
    is_small = receive_budget.has_small_chunks(body + framing, body)
    assert is_small is expected


@pytest.mark.parametrize(
    ("ages_s", "expected"),
    [
        # A single body is never refused.
        ([], True),
        ([0.0], True),
        ([0.0, 0.0], False),
        ([0.0] * 64, False),
        # Connections that send nothing must not keep others out.
        ([0.0, 5.0], True),
        ([5.0] * 64, True),
    ],
)
def test_small_chunks_are_refused_only_beside_others(ages_s, expected):
    others_s = [100.0 - age_s for age_s in ages_s]
    fits = receive_budget.fits_small_chunks(others_s, 100.0)
    assert fits is expected
