"""Guards operators against sending a configuration that cannot work."""

import copy
import json

import pytest
from typer import testing

from balsamlug import application
from balsamlug import catalogue as catalogues
from balsamlug.commands import exits
from balsamlug.config import checks
from balsamlug.platform import configuration
from balsamlug.platform import configuration_file
from balsamlug.store import client
from balsamlug.store import objects
from tests import odd_values
from tests.platform import samples


def _change(path: tuple, value: object, spec: dict | None = None) -> dict:
    """Return the sample with one value replaced or appended."""
    changed = copy.deepcopy(spec or samples.CONFIGURATION)
    *parents, last = path
    part = changed
    for step in parents:
        part = part[step]
    if last == "+":
        part.append(value)
    else:
        part[last] = value
    return changed


def _found(spec: dict, **terms: int) -> set[tuple[str, str]]:
    catalogue = configuration.decode(spec)
    found = checks.check(catalogue, checks.CallerTerms(**terms))
    return {(finding.code, finding.entry) for finding in found}


def _places(spec: object) -> list[str]:
    with pytest.raises(configuration_file.UnreadableConfiguration) as caught:
        configuration_file.decode(spec)
    return [problem.place for problem in caught.value.problems]


def _paths(value: object, path: tuple = ()) -> list[tuple]:
    """Return the paths of all values in a JSON value, without its root."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    paths = []
    for step, item in items:
        paths.append((*path, step))
        if isinstance(item, dict | list):
            paths += _paths(item, (*path, step))
    return paths


@pytest.fixture
def invoke(tmp_path):
    app = application.build_app(("config",))

    def run(spec: object, *args: str) -> testing.Result:
        file = tmp_path / "new.json"
        text = spec if isinstance(spec, str) else json.dumps(spec)
        file.write_text(text)
        arguments = ["config", "check", str(file), *args]
        return testing.CliRunner().invoke(app, arguments)

    return run


ROUTE = samples.CONFIGURATION["Routes"][1]
FAULTS = [
    (("Routes", "+"), ROUTE | {"Name": "r-3"}, "shadowed_route", "route r-3"),
    (
        ("Routes", "+"),
        # Hosts are compared without regard to case.
        ROUTE | {"Name": "r-3", "Hostname": "FICU95.example"},
        "shadowed_route",
        "route r-3",
    ),
    (("Routes", "+"), ROUTE, "duplicate_name", "route r-2"),
    (("Routes", 1, "Hostname"), "a:80", "unmatchable_route", "route r-2"),
    (("Routes", 1, "PathPrefix"), "x/", "unmatchable_route", "route r-2"),
    (("Routes", 1, "Service"), "no", "unknown_service", "route r-2"),
    (("Routes", 1, "TargetLatencyMs"), 801, "target_over_timeout", "route r-2"),
    (("Routes", 0, "GapTargetMs"), 8001, "target_over_timeout", "route r-1"),
    (("Routes", 1, "TimeoutMs"), 0, "invalid_value", "route r-2"),
    (("Routes", 1, "StreamResume"), True, "resumable_call", "route r-2"),
    (("Services", "+"), {"Name": "s"}, "unused_service", "service s"),
    (
        ("Tenants", "+"),
        {"Name": "t", "ApiKeys": ["k2"]},
        "shared_key",
        "customer t",
    ),
    (("Tenants", 0, "ApiKeys"), [""], "empty_key", "customer hule930"),
    (("Tenants", 0, "ApiKeys"), [], "no_key", "customer hule930"),
    (("Tenants",), [], "no_customers", "route r-1"),
    (
        ("Services", 0, "Engine", "Models"),
        [],
        "no_model",
        "service huvo11a",
    ),
    (
        ("Services", 0, "Engine", "BatchSlots"),
        0,
        "invalid_value",
        "service huvo11a",
    ),
    (("Limits", "MaxBodyBytes"), -1, "invalid_value", "limits"),
    (("Limits", "MaxBodyBytes"), 0, "invalid_value", "limits"),
    (
        ("Routes", 0, "TrafficSplit"),
        [
            {"Service": "huvo11a", "Weight": 0},
            {"Service": "wuno96b", "Weight": 0},
        ],
        "no_weight",
        "route r-1",
    ),
]


@pytest.mark.parametrize(("path", "value", "code", "entry"), FAULTS)
def test_each_fault_is_found_alone(path, value, code, entry):
    assert _found(_change(path, value)) == {(code, entry)}


def test_sound_configuration_has_no_findings():
    assert not _found(samples.CONFIGURATION, max_wait_ms=8000)


def test_timeout_over_the_wait_of_callers_is_found():
    found = _found(samples.CONFIGURATION, max_wait_ms=7999)
    assert found == {("timeout_over_wait", "route r-1")}


def test_differences_name_fields_and_never_keys():
    before = configuration.decode(samples.CONFIGURATION)
    spec = _change(("Services", 0, "Engine", "BatchSlots"), 15)
    spec = _change(("Tenants", 0, "ApiKeys"), ["k1", "secret"], spec)
    spec = _change(("Routes", "+"), ROUTE | {"Name": "r-3"}, spec)
    spec = _change(("Version",), 8, spec)
    found = checks.compare(configuration.decode(spec), before)
    assert [(f.severity, f.entry) for f in found] == [
        ("change", "route r-3"),
        ("change", "service huvo11a"),
        ("change", "customer hule930"),
    ]
    assert found[1].message.startswith("engine.slots: ")
    assert found[2].message == "keys: 1 added, 1 removed"


def test_change_without_a_newer_revision_is_an_error():
    # Nodes would ignore it, and the operator would take it for applied.
    before = configuration.decode(samples.CONFIGURATION)
    after = configuration.decode(_change(("Routes",), []))
    assert checks.compare(after, before)[0].code == "revision_not_newer"
    assert not checks.compare(before, before)


@pytest.mark.parametrize(
    ("path", "value", "place"),
    [
        (("Version",), "7", "Version"),
        (("Routes",), {}, "Routes"),
        (("Routes", 1), 3, "Routes[1]"),
        # The nodes' decoder would take this text for true.
        (("Routes", 0, "Public"), "false", "Routes[0].Public"),
        (("Routes", 0, "RouteType"), "x", "Routes[0].RouteType"),
        (
            ("Routes", 0, "TrafficSplit", 1, "Weight"),
            "x",
            "Routes[0].TrafficSplit[1].Weight",
        ),
        # It would be taken for four keys of one character each.
        (("Tenants", 0, "ApiKeys"), "keys", "Tenants[0].ApiKeys"),
        (("Limits", "MaxBodyBytes"), "x", "Limits.MaxBodyBytes"),
        (("Services", 1, "MaxConnections"), 2**70, "Services[1]"),
        (("Services", 1, "Name"), "\ud800", "Services[1]"),
        # The nodes would serve without the bound that it is meant to set.
        (("Services", 1, "WarmupPerS"), "17", "Services[1].WarmupPerS"),
        (("Services", 1, "WarmupS"), -1, "Services[1].WarmupS"),
    ],
)
def test_malformed_input_is_reported_with_its_place(path, value, place):
    assert _places(_change(path, value)) == [place]


def test_all_malformed_entries_are_reported():
    spec = _change(("Routes", 0, "TimeoutMs"), "x")
    spec = _change(("Services", 1), None, spec)
    assert _places(spec) == ["Routes[0].TimeoutMs", "Services[1]"]


@pytest.mark.parametrize("path", _paths(samples.CONFIGURATION), ids=str)
def test_odd_values_never_lead_to_a_traceback(path):
    catalogue = configuration.decode(samples.CONFIGURATION)
    template = json.dumps(_change(path, "ODD")).encode()
    for value in odd_values.VALUES.values():
        try:
            odd = configuration_file.parse(template.replace(b'"ODD"', value))
        except configuration_file.UnreadableConfiguration as exc:
            assert exc.problems
            continue
        checks.check(odd)
        checks.compare(odd, catalogue)


def test_exit_codes(invoke):
    assert invoke(samples.CONFIGURATION).exit_code == 0
    assert invoke(_change(("Tenants",), [])).exit_code == exits.FAILURE
    for text in ("", "{", '{"Version": NaN}', "[" * 100_000, "[]", "\0"):
        result = invoke(text)
        assert result.exit_code == exits.UNREADABLE, text[:20]
        assert isinstance(result.exception, SystemExit)


@pytest.mark.parametrize(
    "path",
    [
        ("Limits", "MaxHeaderBytes"),
        ("Limits", "HeaderTimeoutMs"),
        ("Limits", "IdleTimeoutMs"),
        ("Routes", 0, "MaxAttempts"),
        ("Routes", 0, "TargetLatencyMs"),
        ("Services", 0, "Engine", "Stride"),
        ("Services", 0, "Engine", "LoadsPerS"),
        ("Services", 0, "Engine", "loads_at_once"),
        ("Services", 0, "Engine", "Models", 0, "size"),
        ("Services", 0, "Engine", "Models", 0, "pace"),
    ],
    ids=lambda path: path[-1],
)
def test_zero_that_nodes_take_for_absent_is_reported(path):
    (place,) = _places(_change(path, 0))
    assert place.endswith(path[-1])


def test_older_version_than_that_in_force_is_an_error_without_differences():
    before = configuration.decode(samples.CONFIGURATION | {"Version": 8})
    older = configuration.decode(samples.CONFIGURATION)
    assert [f.code for f in checks.compare(older, before)] == [
        "revision_not_newer"
    ]
    assert not checks.compare(before, before)


@pytest.mark.parametrize(
    ("path", "place"),
    [
        (("Tenats",), "Tenats"),
        (("Limits", "MaxBody"), "Limits.MaxBody"),
        (("Routes", 1, "Timeout"), "Routes[1].Timeout"),
        (("Routes", 0, "TrafficSplit", 0, "w"), "Routes[0].TrafficSplit[0].w"),
        (("Services", 0, "Engine", "x"), "Services[0].Engine.x"),
        (
            ("Services", 0, "Engine", "Models", 0, "x"),
            "Services[0].Engine.Models[0].x",
        ),
        (("Tenants", 0, "Keys"), "Tenants[0].Keys"),
    ],
)
def test_field_that_does_not_exist_is_found(invoke, path, place):
    done = invoke(_change(path, 1))
    assert done.exit_code == exits.FAILURE
    assert f"{place}: is ignored by nodes" in done.output


def test_differences_alone_are_no_findings(invoke, tmp_path):
    # Each rollout differs from the version in force.
    former = tmp_path / "former.json"
    former.write_text(json.dumps({"Spec": samples.CONFIGURATION}))
    newer = _change(("Version",), 8)
    newer = _change(("Routes", 0, "TimeoutMs"), 7000, newer)
    result = invoke(newer, "--against", str(former), "--json")
    assert result.exit_code == 0
    printed = json.loads(result.stdout)
    assert printed["ok"]
    assert printed["findings"] == [
        {
            "code": "changed",
            "severity": "change",
            "entry": "route r-1",
            "message": "timeout_ms: 8000 -> 7000",
        }
    ]


def test_compares_with_the_store(invoke, monkeypatch):
    async def get(self, kind: str, name: str) -> objects.StoredObject:
        assert (kind, name) == ("config", "main")
        return objects.StoredObject(kind, name, 1, samples.CONFIGURATION)

    monkeypatch.setattr(client.ObjectStore, "get", get)
    result = invoke(
        _change(("Version",), 8) | {"Limits": {}},
        *("--in-force", "--platform", "http://127.0.0.1:9"),
    )
    default = catalogues.CallerLimits().idle_timeout_ms
    assert f"idle_timeout_ms: 9000 -> {default}" in result.stdout


def test_unreachable_store_has_its_own_exit_code(invoke):
    result = invoke(
        samples.CONFIGURATION,
        *("--in-force", "--platform", "http://127.0.0.1:9"),
    )
    assert result.exit_code == exits.UNREACHABLE
