"""Guards against groups that change their model for instances that return."""

import attrs

from balsamlug import catalogue as catalogues
from balsamlug import tables
from balsamlug.config import schema
from balsamlug.ownership import capacity
from bench import placing_fleet
from tests.ownership import harness
from tests.ownership import scenarios

HOLD_S = 10.0
LEAVING = tables.InstanceState.LEAVING


def _engines(*names: str, **states: tables.InstanceState) -> capacity.Engines:
    return {
        "d": {
            name: tables.Instance(
                name,
                "1",
                tables.InstanceKind.ENGINE,
                "a:1",
                "d",
                "z",
                "r",
                state=states.get(name, tables.InstanceState.LIVE),
            )
            for name in names
        }
    }


def _held() -> capacity.HeldCapacity:
    held = capacity.HeldCapacity(HOLD_S)
    assert held.update(_engines("a", "b", "c", "d"), 0.0) == {"d": 4}
    return held


def test_lost_engine_counts_until_the_hold_is_over():
    held = _held()
    assert held.update(_engines("a", "b", "c"), 1.0) == {"d": 4}
    assert held.counts(10.9) == {"d": 4}
    assert held.counts(11.0) == {"d": 3}
    assert not held.changes_with_time()


def test_engine_that_returns_or_is_replaced_counts_once():
    held = _held()
    held.update(_engines("a", "b", "c"), 1.0)
    assert held.update(_engines("a", "b", "c", "e"), 2.0) == {"d": 4}
    held.update(_engines("a", "b", "e"), 3.0)
    assert held.update(_engines("a", "b", "c", "e"), 4.0) == {"d": 4}


def test_engine_that_leaves_as_planned_is_not_held():
    held = _held()
    leaving = _engines("a", "b", "c", "d", d=LEAVING)
    assert held.update(leaving, 1.0) == {"d": 3}
    assert held.update(_engines("a", "b", "c"), 2.0) == {"d": 3}


def test_domain_that_lost_most_engines_is_not_held():
    assert _held().update(_engines("a"), 1.0) == {"d": 1}


def test_time_of_a_hold_is_bounded():
    model = catalogues.Model("m", 4, load_s=float("inf"))
    engine = attrs.evolve(placing_fleet.ENGINE, models=(model,))
    service = catalogues.Service("llm", engine=engine)
    catalogue = catalogues.Catalogue(1, services=(service,))
    assert capacity.hold_s(catalogue) == capacity.MAX_HOLD_S


def test_nothing_is_held_without_known_load_times():
    held = capacity.HeldCapacity()
    held.update(_engines("a", "b", "c"), 0.0)
    assert held.update(_engines("a", "b"), 1.0) == {"d": 2}


async def _fleet(hold_s: float) -> harness.Fleet:
    """Return a domain with two large groups and a small one, and no spare."""
    fleet = harness.Fleet(
        domains={"d1": 10},
        deployments=[
            schema.Deployment("large", "l", 4, weight=8),
            schema.Deployment("small", "s", 2, weight=2),
        ],
    )
    engine = attrs.evolve(
        placing_fleet.ENGINE,
        models=(
            catalogues.Model("l", 4, load_s=hold_s),
            catalogues.Model("s", 2, load_s=hold_s),
        ),
    )
    service = catalogues.Service("llm", engine=engine)
    for node in fleet.nodes.values():
        node.state.catalogue = catalogues.Catalogue(1, services=(service,))
    await fleet.run(15)
    assert _models(fleet) == ["l", "l", "s"]
    return fleet


def _models(fleet: harness.Fleet) -> list[str]:
    return sorted(group["model"] for group in fleet.groups().values())


def _lose(fleet: harness.Fleet) -> list[str]:
    """End one member of each large group and return them."""
    large = [g for g in fleet.groups().values() if g["model"] == "l"]
    lost = [group["members"][-1] for group in large]
    for name in lost:
        fleet.engines[name].up = False
        del fleet.instances[name]
    fleet.sync_instances()
    return lost


def _return(fleet: harness.Fleet, lost: list[str]) -> None:
    for name in lost:
        fleet.engines[name].up = True
        fleet.engines[name].restart()
        fleet.list_instance(name, "d1")
    fleet.sync_instances()


@scenarios.scenario
async def test_members_of_a_broken_group_wait_for_lost_ones_that_return():
    fleet = await _fleet(HOLD_S)
    lost = _lose(fleet)
    await fleet.run(8)
    assert _models(fleet) == ["l", "s"]
    _return(fleet, lost)
    await fleet.run(8)
    assert _models(fleet) == ["l", "l", "s"]


@scenarios.scenario
async def test_members_serve_another_model_when_lost_ones_stay_away():
    fleet = await _fleet(HOLD_S)
    _lose(fleet)
    await fleet.run(HOLD_S + 8)
    assert _models(fleet) == ["l", "s", "s"]
