"""Guards the operator's configuration against wrong decoding."""

import itertools

import pytest

from balsamlug import catalogue as catalogues
from balsamlug import catalogue_deltas
from balsamlug import exceptions
from balsamlug import plausibility
from balsamlug import state
from balsamlug import validation
from balsamlug.messages import codec
from balsamlug.messages import types
from balsamlug.platform import configuration
from tests.platform import samples


def _applied() -> state.FleetState:
    value = configuration.value(samples.CONFIGURATION)
    message = types.ConfigUpdate(value["revision"], value)
    validation.check(message)
    fleet = state.FleetState("site")
    assert fleet.publish(message, 0.0)
    return fleet


def test_longest_prefix_matches():
    catalogue = _applied().catalogue
    assert catalogue.route("ficu95.example", "/lohu930/x").name == "r-1"
    assert catalogue.route("ficu95.example:80", "/lohu930/deep/x").name == "r-2"
    assert catalogue.route("other.example", "/lohu930/x") is None
    assert catalogue.route("ficu95.example", "/lohu930") is None


def test_kind_of_a_route_decides_whether_it_is_repeatable():
    stream, call = _applied().catalogue.routes
    assert stream.kind is catalogues.RouteKind.STREAM
    assert stream.repeatable
    assert call.kind is catalogues.RouteKind.NON_IDEMPOTENT
    assert not call.repeatable
    assert [t.service for t in stream.targets] == ["huvo11a", "wuno96b"]


def test_key_identifies_its_customer():
    catalogue = _applied().catalogue
    assert catalogue.customer("k2").name == "hule930"
    assert catalogue.customer("k3") is None


def test_largest_model_becomes_the_first_deployment():
    settings = _applied().settings
    large, small = (
        settings.deployments["daka510000"],
        settings.deployments["rada7437b5"],
    )
    assert (large.group_size, small.group_size) == (6, 3)
    assert large.priority < small.priority
    assert large.weight > small.weight


def test_older_revision_never_replaces_a_newer_one():
    fleet = _applied()
    older = samples.CONFIGURATION | {"Version": 6, "Routes": []}
    value = configuration.value(older)
    assert not fleet.publish(types.ConfigUpdate(6, value), 0.0)
    assert fleet.catalogue.revision == 7


def _service(**fields) -> catalogues.Service:
    raw = samples.CONFIGURATION["Services"][1] | fields
    spec = samples.CONFIGURATION | {"Services": [raw]}
    value = configuration.value(spec)[state.CATALOGUE_KEY]
    return catalogues.from_value(value).services[0]


def test_warm_up_of_a_service_is_decoded():
    service = _service(WarmupPerS=17, WarmupS=20.5)
    assert (service.warmup_per_s, service.warmup_s) == (17, 20.5)


@pytest.mark.parametrize(
    "figure", ["17", None, True, -1, float("inf"), float("nan"), 10**400, []]
)
def test_malformed_warm_up_does_not_reject_the_configuration(figure):
    service = _service(WarmupPerS=figure, WarmupS=figure)
    assert (service.warmup_per_s, service.warmup_s) == (0, 0)


def test_value_of_an_earlier_build_has_no_warm_up():
    value = configuration.value(samples.CONFIGURATION)[state.CATALOGUE_KEY]
    for service in value["services"]:
        del service["warmup_per_s"], service["warmup_s"]
    assert catalogues.from_value(value).services[0].warmup_per_s == 0


WITHOUT_TENANTS = {
    k: v for k, v in samples.CONFIGURATION.items() if k != "Tenants"
}


@pytest.mark.parametrize(
    ("spec", "needs_keys"),
    [
        (samples.CONFIGURATION, True),
        (samples.CONFIGURATION | {"Tenants": []}, True),
        (samples.CONFIGURATION | {"Tenants": None}, False),
        (WITHOUT_TENANTS, False),
    ],
    ids=["customers", "empty", "null", "absent"],
)
def test_empty_list_of_customers_differs_from_none_between_nodes(
    spec, needs_keys
):
    value = configuration.value(spec)
    message = types.ConfigUpdate(value["revision"], value)
    received = codec.decode_body(codec.encode_body(message))
    fleet = state.FleetState("site")
    plausibility.check_jump(received, fleet)
    assert fleet.publish(received, 0.0)
    assert fleet.catalogue.needs_keys is needs_keys


def test_changes_between_versions_tell_an_empty_list_of_customers_from_none():
    values = [
        configuration.value(spec)[state.CATALOGUE_KEY]
        for spec in (
            WITHOUT_TENANTS,
            samples.CONFIGURATION | {"Tenants": []},
            samples.CONFIGURATION,
            samples.CONFIGURATION | {"Tenants": []},
            WITHOUT_TENANTS,
        )
    ]
    for base, value in itertools.pairwise(values):
        changes = catalogue_deltas.changes(base, value)
        packed = catalogue_deltas.pack(changes)
        assert (
            catalogue_deltas.patched(base, catalogue_deltas.unpack(packed))
            == value
        )


def test_unclear_need_of_keys_of_an_earlier_build_is_read_from_the_store():
    value = configuration.value(samples.CONFIGURATION | {"Tenants": []})
    del value[state.CATALOGUE_KEY]["lists_customers"]
    fleet = state.FleetState("site")
    with pytest.raises(exceptions.MessageRejected):
        plausibility.check_jump(types.ConfigUpdate(7, value), fleet)
    assert fleet.unconfirmed == {plausibility.CONFIG}


def test_customers_that_an_earlier_build_states_need_keys():
    value = configuration.value(samples.CONFIGURATION)
    del value[state.CATALOGUE_KEY]["lists_customers"]
    fleet = state.FleetState("site")
    message = types.ConfigUpdate(7, value)
    plausibility.check_jump(message, fleet)
    assert fleet.publish(message, 0.0)
    assert fleet.catalogue.needs_keys


@pytest.mark.parametrize(
    ("limits", "expected"),
    [
        ({}, catalogues.CallerLimits()),
        ({"MaxBodyBytes": None}, catalogues.CallerLimits()),
        ({"MaxBodyBytes": 0}, catalogues.CallerLimits(max_body_bytes=0)),
        # Otherwise no request could be read.
        ({"MaxHeaderBytes": 0, "IdleTimeoutMs": 0}, catalogues.CallerLimits()),
    ],
)
def test_limit_of_no_bytes_for_bodies_is_not_taken_for_absent(limits, expected):
    spec = samples.CONFIGURATION | {"Limits": limits}
    assert configuration.decode(spec).limits == expected
