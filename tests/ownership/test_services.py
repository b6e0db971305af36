"""Guards the engines of one service against groups and orders of another."""

import collections

import attrs
import pytest

from balsamlug import catalogue as catalogues
from balsamlug import clock as clocks
from balsamlug import state as fleets
from balsamlug import tables
from balsamlug.health import listed as listing
from balsamlug.ownership import commands
from balsamlug.ownership import formation
from balsamlug.ownership import groups as group_table
from balsamlug.ownership import planner
from balsamlug.ownership import reasons
from balsamlug.ownership import record as records
from balsamlug.ownership import services
from balsamlug.ownership import views as view_table
from tests.ownership import simulated_nodes
from tests.ownership import simulated_servers

SIZE = simulated_servers.SIZE
MODELS = {"a": "m-a", "b": "m-b"}
ONE_NAME = {"a": "m", "b": "m"}
LATE_S = 10.0


def _catalogue(models: dict[str, str]) -> catalogues.Catalogue:
    (service,) = simulated_nodes.catalogue().services
    (model,) = service.engine.models
    return catalogues.Catalogue(
        1,
        services=tuple(
            catalogues.Service(
                name,
                engine=attrs.evolve(
                    service.engine, models=(attrs.evolve(model, name=model_),)
                ),
            )
            for name, model_ in models.items()
        ),
    )


class Domain:
    """Engines of two services, and the plan of the domain of some of them."""

    def __init__(self, models: dict[str, str]) -> None:
        self.state = fleets.FleetState("s")
        self.state.catalogue = _catalogue(models)
        self.state.settings = catalogues.settings(self.state.catalogue)
        self.clock = clocks.ManualClock(100.0)
        self.listed = listing.Listed(self.state, self.clock)
        self.views = view_table.Views(self.state)
        self.record = records.DomainRecord("d")

    def add(
        self, service: str, count: int, domain: str = "d", staged: str = ""
    ) -> None:
        """Add idle engines."""
        added = {
            name: tables.Instance(
                name,
                "1",
                tables.InstanceKind.ENGINE,
                f"h:{name}",
                domain,
                "z",
                "r",
                service=service,
                announcement=tables.Announcement(
                    staged=(staged,) if staged else ()
                ),
            )
            for name in (f"{domain}-{service}{n}" for n in range(count))
        }
        self.state.set_instances(
            self.state.instances_revision + 1, self.state.instances | added
        )

    def store(self, *groups: tables.Group) -> None:
        """Store the groups of the domain."""
        known = self.state.domains.get("d")
        version = known.version + 1 if known is not None else 1
        value = {
            "groups": {g.id: group_table.to_value(g) for g in groups},
            "next_group": 10,
        }
        self.state.set_domain(fleets.DomainObject("d", version, value))

    def plan(self) -> planner.Plan:
        """Return the plan of all services in the domain."""
        now_s = self.clock.monotonic()
        self.views.refresh(now_s)
        return planner.plan_services(
            self.views.planner_view(self.record, self.listed, now_s, name)
            for name in self.views.services("d")
        )

    def orders(self) -> list:
        """Return the due orders of the stored groups."""
        now_s = self.clock.monotonic()
        self.views.refresh(now_s)
        snapshot = self.views.snapshot(
            self.record, self.listed, lambda instance: f"h:{instance}", now_s
        )
        return formation.Formation(self.listed).due(snapshot, now_s)

    def services_of(self, group: tables.Group) -> set[str]:
        """Return the services of the members of a group."""
        return {self.state.instances[m].service for m in group.members}


def _group(members: list[str], model: str, number: int = 1) -> tables.Group:
    return tables.Group(
        f"d-{number}", model, number, tuple(members), model, "1"
    )


@pytest.mark.parametrize("models", [MODELS, ONE_NAME], ids=["two", "one name"])
def test_groups_in_a_shared_domain_are_formed_of_one_service(models):
    domain = Domain(models)
    domain.add("a", 2 * SIZE + 1)
    domain.add("b", 2 * SIZE - 1)
    plan = domain.plan()
    formed = [
        (domain.services_of(group), group.model)
        for group in plan.groups.values()
    ]
    assert sorted(map(str, formed)) == sorted(
        map(str, [({"a"}, models["a"])] * 2 + [({"b"}, models["b"])])
    )
    generations = [g.generation for g in plan.groups.values()]
    assert len(set(generations)) == len(generations)


def test_engines_of_a_service_form_no_group_of_the_only_used_model():
    # Quotas of one service must not count the engines of the other.
    domain = Domain(MODELS)
    domain.add("a", 2 * SIZE, domain="other")
    domain.add("b", 2 * SIZE)
    plan = domain.plan()
    assert {g.model for g in plan.groups.values()} == {"m-b"}
    assert len(plan.groups) == 2


def test_engines_of_a_service_without_a_model_stay_idle():
    domain = Domain(MODELS)
    domain.add("plain", 2 * SIZE)
    plan = domain.plan()
    assert not plan.groups
    assert {i.reason for i in plan.idle} == {reasons.Reason.NO_DEPLOYMENT}


def test_group_of_one_service_is_not_repaired_with_spares_of_another():
    domain = Domain(ONE_NAME)
    domain.add("a", SIZE - 1)
    domain.add("b", SIZE, staged="m")
    broken = _group(["d-a0", "d-a1", "d-gone"], "m")
    domain.store(broken)
    domain.plan()
    domain.clock.advance(LATE_S)
    plan = domain.plan()
    assert all(
        len({m[2] for m in group.members if m != "d-gone"}) == 1
        for group in plan.groups.values()
    )
    assert [g for g in plan.groups.values() if g.members[0] == "d-b0"]


def test_group_that_an_earlier_build_formed_for_another_service_retires():
    domain = Domain(MODELS)
    domain.add("b", SIZE)
    domain.store(_group([f"d-b{n}" for n in range(SIZE)], "m-a"))
    plan = domain.plan()
    assert all(g.model == "m-b" or g.retiring for g in plan.groups.values())


def test_group_that_an_earlier_build_formed_of_two_services_is_repaired():
    domain = Domain(ONE_NAME)
    domain.add("a", SIZE, staged="m")
    domain.add("b", 1)
    domain.store(_group(["d-a0", "d-a1", "d-b0"], "m"))
    (group,) = domain.plan().groups.values()
    assert domain.services_of(group) == {"a"}


def test_members_of_two_services_get_no_order_to_join():
    domain = Domain(ONE_NAME)
    domain.add("a", SIZE - 1)
    domain.add("b", 1)
    domain.store(_group(["d-a0", "d-a1", "d-b0"], "m"))
    assert not any(
        isinstance(order.body, commands.Join) for order in domain.orders()
    )


def test_spares_stage_only_models_of_their_service():
    domain = Domain(MODELS)
    domain.add("a", SIZE + 1)
    domain.add("b", 1)
    domain.store(_group([f"d-a{n}" for n in range(SIZE)], "m-a"))
    staged = {
        order.instance: order.body.model
        for order in domain.orders()
        if isinstance(order.body, commands.Stage)
    }
    assert staged == {f"d-a{SIZE}": "m-a"}


def test_settings_without_services_use_all_engines():
    domain = Domain(MODELS)
    deployment = attrs.evolve(
        domain.state.settings.deployments["m-a"], service=""
    )
    domain.state.settings = attrs.evolve(
        domain.state.settings, deployments={"m-a": deployment}
    )
    domain.add("", 1)
    domain.add("x", SIZE - 1)
    plan = domain.plan()
    assert domain.views.services("d") == [services.ANY]
    (group,) = plan.groups.values()
    assert len(group.members) == SIZE


def test_explanation_tells_groups_of_models_with_one_name_apart():
    catalogue = _catalogue(ONE_NAME)
    pools = collections.Counter(
        catalogue.pool(service, model) for service, model in catalogue.models
    )
    assert pools == {"a/m": 1, "b/m": 1}
    assert set(catalogues.settings(catalogue).deployments) == {"a/m", "b/m"}
    catalogue = _catalogue(MODELS)
    assert catalogue.pool("a", "m-a") == "m-a"


def test_loads_of_all_services_are_bounded_by_the_lowest_limit():
    catalogue = _catalogue(MODELS)
    first, second = catalogue.services
    engine = attrs.evolve(second.engine, loads_at_once=100)
    more = attrs.evolve(second, engine=engine)
    changed = attrs.evolve(catalogue, services=(first, more))
    limits = [catalogues.settings(c).limits for c in (catalogue, changed)]
    assert limits[0] == limits[1]
