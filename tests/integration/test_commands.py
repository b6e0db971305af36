"""Guards the operators' commands against a fleet of real processes."""

import json
import subprocess
import sys

import pytest

from balsamlug_standins import serving
from tests.integration import checks

pytestmark = pytest.mark.integration

TOKENS = 200
COMMAND_TIMEOUT_S = 60


def balsamlug(*args):
    command = [sys.executable, "-m", "balsamlug", *args]
    return subprocess.run(
        command, capture_output=True, text=True, timeout=COMMAND_TIMEOUT_S
    )


def test_drain_releases_an_instance_and_cuts_no_stream(start_fleet):
    fleet = start_fleet(1, nodes=2, engines={"fabric-1": 3})
    node = f"{serving.HOST}:{fleet.nodes['node-1'].ports.admin}"
    platform = f"http://{serving.HOST}:{fleet.platform.port}"
    streams = checks.start_streams(fleet, fleet.nodes, 2, TOKENS, "drain")
    ((group_id, group),) = fleet.groups().items()
    member = group["members"][1]
    drained = balsamlug(
        *("drain", member, "--platform", platform, "--reason", "disk"),
        *("--node", node, "--wait", "40", "--json"),
    )
    assert drained.returncode == 0, drained.stderr
    assert json.loads(drained.stdout)["draining"]
    checks.assert_whole(streams)
    # The former generation must not have been cut and resumed elsewhere.
    assert all(stream.is_complete() for stream in streams)
    status = json.loads(balsamlug("status", "--node", node, "--json").stdout)
    domain = status["domains"]["fabric-1"]
    assert member not in domain["groups"][group_id]["members"]
    assert domain["draining"] == {member: "disk"}
    text = balsamlug("status", "--node", node).stdout
    assert f"not in use: {member}" in text
    why = balsamlug("explain", member, "--node", node)
    assert "drain" in why.stdout
    undone = balsamlug("drain", member, "--undo", "--platform", platform)
    assert undone.returncode == 0, undone.stderr
    # The next generation loads for about a second; four commands may be faster.
    fleet.wait_replaced(group_id, member)
    checks.assert_serves(fleet, fleet.nodes)


def test_unknown_instance_is_a_failure_and_no_traceback(start_fleet):
    fleet = start_fleet(1, nodes=1, engines={"fabric-1": 2})
    platform = f"http://{serving.HOST}:{fleet.platform.port}"
    done = balsamlug("drain", "nobody", "--platform", platform)
    assert done.returncode == 1
    assert "Traceback" not in done.stderr
    expected = "instance 'nobody' is not in the platform's list"
    assert expected in done.stderr
