"""Guards the checks of the soak under silent connections."""

import pytest

from soak import bounds
from soak import clients
from soak import disruptions
from soak import plan
from soak import silent_connections

LEFT_S = 100.0
LIMIT_S = LEFT_S + silent_connections.DRAIN_S
LEAVE = silent_connections.Leave("desk-0", LEFT_S, LIMIT_S + 1.0)


def _silenced(*times_s: float) -> disruptions.Disruptions:
    disrupted = disruptions.Disruptions()
    for at_s in times_s:
        fault = plan.Fault(plan.CONNECTIONS_SILENT, at_s, 0.0)
        disrupted.record(fault, at_s, at_s)
    return disrupted


def _late(time_s: float, disrupted, server: str = "desk-0") -> list[str]:
    arrival = bounds.Arrival(time_s, "desk-1-7", server, "z1")
    return LEAVE.late_arrivals([arrival], disrupted)


def test_request_that_reaches_a_server_too_long_after_its_leave_is_found():
    assert _late(LIMIT_S + 0.01, _silenced(LEFT_S - 3.1))
    assert not _late(LIMIT_S - 0.01, _silenced())
    assert not _late(LIMIT_S + 0.01, _silenced(), "desk-1")
    assert not _late(LEAVE.ended_s + 0.01, _silenced())


@pytest.mark.parametrize("silent_s", [LEFT_S - 2.9, LEFT_S + 0.1])
def test_late_request_of_a_disturbed_node_is_excused(silent_s):
    assert not _late(LIMIT_S + 0.01, _silenced(silent_s))


@pytest.mark.parametrize(
    ("status", "after_s", "silent_s", "found"),
    [
        (200, 2.1, 90.0, True),
        (200, 1.9, 90.0, False),
        (401, 2.1, 90.0, False),
        (503, 2.1, 90.0, False),
        (200, 2.1, LEFT_S, False),
    ],
)
def test_revoked_key_that_a_node_in_touch_takes_too_late_is_found(
    status, after_s, silent_s, found
):
    answer = clients.Answer(
        "chat-1-7", "chat", 1, status, {}, sent_s=LEFT_S + after_s
    )
    broken = silent_connections.late_keys(
        [("key", answer)], {"key": LEFT_S}, _silenced(silent_s)
    )
    assert bool(broken) == found


def test_servers_leave_when_the_store_is_stable_again():
    for seed in range(20):
        faults = silent_connections.draw(seed, 3, 2)
        assert faults == silent_connections.draw(seed, 3, 2)
        disrupted = _silenced(
            *(f.at_s for f in faults if f.kind == plan.CONNECTIONS_SILENT)
        )
        for fault in faults:
            if fault.kind == plan.SERVER_LEAVES:
                end_s = fault.at_s + fault.for_s
                assert disrupted.is_in_touch_throughout(0, fault.at_s, end_s)
