"""Guards the exit codes and the output that scripts depend on."""

import json

import pytest
from typer import testing

from balsamlug import application
from balsamlug import exceptions
from balsamlug.commands import admin_client
from balsamlug.commands import exits
from balsamlug.config import revisions

VALID_BASE = "[deployment:chat]\nmodel = m\ngroup_size = 2\n"
STATUS = {
    "config_revision": 3,
    "domains": {
        "d1": {
            "holder": "n1",
            "epoch": 2,
            "groups": {
                "d1-1": {
                    "deployment": "chat",
                    "members": ["e0", "e1"],
                    "ready": False,
                    "reason": "e1 is silent",
                }
            },
            "idle": [
                {
                    "instance": "e2",
                    "reason": "spare",
                    "text": "kept as a spare",
                    "detail": "",
                }
            ],
            "draining": {"e1": "operator"},
        }
    },
}


@pytest.fixture
def invoke():
    app = application.build_app(application.COMMANDS)
    runner = testing.CliRunner()
    return lambda *args: runner.invoke(app, list(args))


@pytest.mark.parametrize("name", application.COMMANDS)
def test_every_command_has_help(invoke, name):
    assert invoke(name, "--help").exit_code == 0


def test_check_reports_all_problems_as_json(invoke, tmp_path):
    base = tmp_path / "base.ini"
    base.write_text("[deployment:chat]\ngroup_size = 0\n")
    result = invoke("config", "check", "--base", str(base), "--json")
    assert result.exit_code == exits.INVALID_CONFIG
    problems = json.loads(result.stdout)["problems"]
    assert {p["option"] for p in problems} == {"model", "group_size"}
    assert {p["file"] for p in problems} == {str(base)}


def test_check_of_a_missing_file_is_a_usage_error(invoke):
    assert invoke("config", "check", "--base", "/absent").exit_code == 2


def test_unreachable_platform_has_its_own_exit_code(invoke, tmp_path):
    base = tmp_path / "base.ini"
    base.write_text(VALID_BASE)
    result = invoke(
        *("config", "apply", "--base", str(base), "--revision", "0"),
        *("--platform", "http://127.0.0.1:9"),
    )
    assert result.exit_code == exits.UNREACHABLE


def test_conflict_has_its_own_exit_code(invoke, tmp_path, monkeypatch):
    async def raise_conflict(*args):
        raise exceptions.ConfigConflict(0, 1)

    monkeypatch.setattr(revisions, "apply", raise_conflict)
    base = tmp_path / "base.ini"
    base.write_text(VALID_BASE)
    result = invoke(
        *("config", "apply", "--base", str(base), "--revision", "0"),
        *("--platform", "http://127.0.0.1:9"),
    )
    assert result.exit_code == exits.CONFLICT


def test_apply_prints_only_json(invoke, tmp_path, monkeypatch):
    async def commit(*args):
        return 4

    monkeypatch.setattr(revisions, "apply", commit)
    base = tmp_path / "base.ini"
    base.write_text(VALID_BASE)
    result = invoke(
        *("config", "apply", "--base", str(base), "--revision", "3"),
        *("--platform", "http://127.0.0.1:9", "--json"),
    )
    assert json.loads(result.stdout) == {"revision": 4}


def test_status_names_groups_members_and_idle_instances(invoke, monkeypatch):
    monkeypatch.setattr(admin_client, "fetch", lambda node, path: STATUS)
    text = invoke("status", "--node", "127.0.0.1:1").stdout
    assert "group d1-1 (chat): not ready: e1 is silent" in text
    assert "members: e0, e1" in text
    assert "not in use: e2: kept as a spare" in text
    assert "draining: e1: operator" in text


def test_status_of_an_unreachable_node(invoke):
    result = invoke("status", "--node", "127.0.0.1:9")
    assert result.exit_code == exits.UNREACHABLE
