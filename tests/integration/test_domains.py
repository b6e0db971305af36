"""Guards I2 and I3 while a fabric domain is unreachable.

No instance may be in two groups (I2), and every caller must get the complete
answer to its own request (I3).
"""

import pytest

from tests.integration import checks

pytestmark = pytest.mark.integration

TOKENS = 150
RECOVERY_TIMEOUT_S = 30.0


def test_unreachable_domain_loses_no_answer_and_recovers(start_fleet):
    fleet = start_fleet(
        2,
        nodes=2,
        engines={"fabric-1": 2, "fabric-2": 3},
        proxied=("engines",),
    )
    unreachable = [
        name for name in fleet.engines if name.startswith("fabric-2")
    ]
    streams = checks.start_streams(fleet, fleet.nodes, 4, TOKENS, "domain")
    for name in unreachable:
        fleet.set_faults(name, drop=True)
    checks.assert_complete(streams)
    checks.assert_serves(fleet, fleet.nodes)
    fleet.wait_until(
        lambda: all(
            _ready_domains(fleet, n) == {"fabric-1"} for n in fleet.nodes
        ),
        "loss of the domain",
    )
    for name in unreachable:
        fleet.set_faults(name)
    fleet.wait_groups(2, RECOVERY_TIMEOUT_S)
    checks.assert_disjoint(fleet)
    checks.assert_serves(fleet, fleet.nodes)


def _ready_domains(fleet, node):
    return {
        member.rpartition("-")[0]
        for group in fleet.ready_groups(node).values()
        for member in group["members"]
    }
