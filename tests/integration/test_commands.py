"""Guards the operators' commands: drain, status and explain on a real fleet."""

import json
import subprocess
import sys

import pytest

from balsamlug_standins import serving
from tests.integration import checks

pytestmark = pytest.mark.integration

TOKENS = 200
COMMAND_TIMEOUT_S = 60


def run_balsamlug(*args):
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
    drained = run_balsamlug(
        *("drain", member, "--platform", platform, "--reason", "disk"),
        *("--node", node, "--wait", "40", "--json"),
    )
    assert drained.returncode == 0, drained.stderr
    assert json.loads(drained.stdout)["draining"]
    checks.assert_complete(streams)
    # The drain must not interrupt a stream of the former generation, not even
    # one that another group then resumes.
    assert all(stream.is_complete() for stream in streams)
    status = json.loads(
        run_balsamlug("status", "--node", node, "--json").stdout
    )
    domain = status["domains"]["fabric-1"]
    assert member not in domain["groups"][group_id]["members"]
    assert domain["draining"] == {member: "disk"}
    text = run_balsamlug("status", "--node", node).stdout
    assert f"not in use: {member}" in text
    explanation = run_balsamlug("explain", member, "--node", node)
    assert "drain" in explanation.stdout
    undone = run_balsamlug("drain", member, "--undo", "--platform", platform)
    assert undone.returncode == 0, undone.stderr
    # The next generation loads for about a second, which may take longer than
    # the four commands.
    fleet.wait_replaced(group_id, member)
    checks.assert_serves(fleet, fleet.nodes)


def test_drain_of_an_unknown_instance_fails_without_a_traceback(start_fleet):
    fleet = start_fleet(1, nodes=1, engines={"fabric-1": 2})
    platform = f"http://{serving.HOST}:{fleet.platform.port}"
    drained = run_balsamlug("drain", "nobody", "--platform", platform)
    assert drained.returncode == 1
    assert "Traceback" not in drained.stderr
    expected = "instance 'nobody' is not in the platform's list"
    assert expected in drained.stderr
