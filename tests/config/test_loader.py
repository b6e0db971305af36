"""Guards against invalid settings that are accepted or reported one by one."""

import pathlib

import pytest
from returns import result

from balsamlug.config import loader
from balsamlug.config import schema

BASE = """
[limits]
max_queue = 64
[deployment:chat]
model = surf-7b
group_size = 2
[customer:vedrina]
key = k1
deployments = chat
[role:vedrina/door]
priority = 0
[service:rentals]
addresses = 127.0.0.1:9000
"""
ENTRY = """[entry]
id = n
failure_domain = z
region = r
address = 127.0.0.1
caller_address = 127.0.0.1:1
admin_address = 127.0.0.1:2
peer_address = 127.0.0.1:3
platform_address = 127.0.0.1:4
"""


def problems(base, overlay=""):
    loaded = loader.load(base, overlay, ("base.ini", "site.ini"))
    assert isinstance(loaded, result.Failure)
    return loaded.failure().problems


def test_overlay_replaces_single_options():
    loaded = loader.load(BASE, "[deployment:chat]\ngroup_size = 4\n")
    chat = loaded.unwrap().deployments["chat"]
    assert (chat.group_size, chat.model) == (4, "surf-7b")


def test_every_problem_is_reported_with_its_file_and_what_is_allowed():
    base = BASE + "[deployment:plan]\ngroup_size = none\nsize = 3\n"
    by_location = {
        (p.file, p.section, p.option): p
        for p in problems(base, "[limits]\nmax_queue = 0\n")
    }
    assert set(by_location) == {
        ("base.ini", "deployment:plan", "model"),
        ("base.ini", "deployment:plan", "group_size"),
        ("base.ini", "deployment:plan", "size"),
        ("site.ini", "limits", "max_queue"),
    }
    assert all(problem.allowed for problem in by_location.values())


@pytest.mark.parametrize(
    ("text", "section", "option"),
    [
        ("[customer:x]\nkey=k1\ndeployments=chat", "customer:x", "key"),
        ("[customer:x]\nkey=k2\ndeployments=no", "customer:x", "deployments"),
        ("[role:nobody/x]\n", "role:nobody/x", ""),
        ("[role:vedrina]\n", "role:vedrina/", ""),
        ("[limits:x]\n", "limits:x", ""),
        ("[oddity]\n", "oddity", ""),
        ("[service:s]\naddresses=host:1", "service:s", "addresses"),
        ("[service:s]\naddresses=", "service:s", "addresses"),
        ("[service:s]\naddresses=1.2.3.4:70000", "service:s", "addresses"),
        ("[deployment:chat]\nmax_groups=0", "deployment:chat", "max_groups"),
        ("no section", "", ""),
        ("[limits]\nmax_queue=1\nmax_queue=2", "", ""),
    ],
)
def test_invalid_section_or_option_is_reported(text, section, option):
    assert (section, option) in {
        (p.section, p.option) for p in problems(BASE, text)
    }


def test_node_settings_report_all_problems(tmp_path):
    path = tmp_path / "node.ini"
    path.write_text("[node]\nid = a b\naddress = localhost\n[other]\n")
    loaded = loader.load_node(path)
    options = {p.option for p in loaded.failure().problems}
    assert {"id", "address", "site", "platform", "caller_port", ""} <= options


def test_missing_node_file_is_reported_as_a_problem(tmp_path):
    loaded = loader.load_node(tmp_path / "absent.ini")
    assert isinstance(loaded, result.Failure)


def test_configuration_page_names_every_option():
    page = pathlib.Path("docs/configuration.md").read_text()
    tables = (
        schema.LIMITS,
        schema.DEPLOYMENT,
        schema.CUSTOMER,
        schema.ROLE,
        schema.SERVICE,
        schema.NODE,
    )
    missing = [o for table in tables for o in table if f"`{o}`" not in page]
    assert not missing


def _entry(tmp_path, more: str):
    path = tmp_path / "entry.ini"
    path.write_text(ENTRY + more)
    return loader.load_entry(path).unwrap()


def test_empty_bound_of_cold_instances_is_off(tmp_path):
    entry = _entry(tmp_path, "warmup_overshoot =\nwarmup_slack =\n")
    assert entry == _entry(tmp_path, "")
    assert entry.warmup_overshoot is None
    assert not entry.adaptive_ramp
    entry = _entry(tmp_path, "warmup_overshoot = 1.5\nadaptive_ramp = yes\n")
    assert entry.warmup_overshoot == 1.5
    assert entry.adaptive_ramp
