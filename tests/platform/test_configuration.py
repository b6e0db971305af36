"""Guards the operator's configuration against wrong decoding."""

import pytest

from balsamlug import catalogue as catalogues
from balsamlug import state
from balsamlug import validation
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
