"""Guards I8: an accepted configuration is in force within seconds.

No node may return to an earlier revision.
"""

import pytest

from balsamlug_standins import control
from balsamlug_standins import fleet_spec
from balsamlug_standins import processes
from balsamlug_standins import serving
from tests.integration import checks

pytestmark = pytest.mark.integration

IN_FORCE_S = 6.0
RESTART_TIMEOUT_S = 20.0
COMMAND_TIMEOUT_S = 20.0
EXIT_CONFLICT = 4
OPERATORS = ("olga", "omar")
NEW_CUSTOMER = "\n[customer:coach]\nkey = key-coach\ndeployments = chat\n"


def test_one_of_two_concurrent_config_commits_wins(start_fleet, tmp_path):
    fleet = start_fleet(1, nodes=2, engines={"fabric-1": 2})
    base = control.get(fleet.platform.port, "/objects/config/current")["value"]
    operators = []
    for name in OPERATORS:
        path = tmp_path / f"{name}.ini"
        customer = NEW_CUSTOMER.replace("coach", name)
        path.write_text(base["base"] + customer)
        arguments = ["balsamlug", "config", "apply", "--base", str(path)]
        arguments += ["--revision", "1", "--author", name, "--platform"]
        arguments += [f"http://{serving.HOST}:{fleet.platform.port}"]
        operators.append(processes.Process(name, arguments, tmp_path))
    for operator in operators:
        operator.start()
    codes = [operator.wait_ended(COMMAND_TIMEOUT_S) for operator in operators]
    assert sorted(codes) == [0, EXIT_CONFLICT]
    winner, loser = OPERATORS if codes[0] == 0 else OPERATORS[::-1]
    fleet.wait_until(lambda: _is_in_force(fleet, 2), "revision 2", IN_FORCE_S)
    for node in fleet.nodes:
        assert fleet.caller(node, winner).complete("won", 5).is_complete()
        refused = fleet.caller(node, loser).complete("lost", 5)
        assert refused.error["code"] == "unknown_customer"


def _commit_revision(fleet, revision):
    """Commit a revision with one more customer."""
    path = "/objects/config/current"
    current = control.get(fleet.platform.port, path)
    value = fleet_spec.config_value(
        revision, current["value"]["base"] + NEW_CUSTOMER, {fleet_spec.SITE: ""}
    )
    body = {"value": value, "expected_version": current["version"]}
    assert control.call(fleet.platform.port, path, "PUT", body)[0] == 200


def _is_in_force(fleet, revision):
    return all(
        node.status()["config_revision"] == revision
        for node in fleet.nodes.values()
        if node.running()
    )


def test_revision_reaches_all_nodes_also_one_without_the_store(start_fleet):
    fleet = start_fleet(
        1, nodes=3, engines={"fabric-1": 2}, proxied=("platform",)
    )
    fleet.set_faults("node-3-platform", drop=True)
    _commit_revision(fleet, 2)
    fleet.wait_until(lambda: _is_in_force(fleet, 2), "revision 2", IN_FORCE_S)
    for node in fleet.nodes:
        completion = fleet.caller(node, "coach").complete("tide log", 10)
        assert completion.is_complete(), completion.summary()


def test_node_restarted_in_an_outage_receives_the_revision(start_fleet):
    fleet = start_fleet(1, nodes=3, engines={"fabric-1": 2})
    _commit_revision(fleet, 2)
    fleet.wait_until(lambda: _is_in_force(fleet, 2), "revision 2", IN_FORCE_S)
    control.post(fleet.platform.port, "/control/faults", outage="refuse")
    node = fleet.nodes["node-3"]
    node.controller.kill()
    node.router.kill()
    node.controller.start()
    node.router.start()
    fleet.wait_until(
        lambda: _serves_new_customer(fleet, "node-3"),
        "service",
        RESTART_TIMEOUT_S,
    )
    assert node.status()["config_revision"] == 2
    checks.assert_serves(fleet, fleet.nodes)


def _serves_new_customer(fleet, node):
    return fleet.caller(node, "coach").complete("again", 2).is_complete()
