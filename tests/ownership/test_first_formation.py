"""Guards against wrong groups while the first list of engines is incomplete."""

import collections

from balsamlug.config import schema
from balsamlug.ownership import manager
from balsamlug.ownership import split
from tests.ownership import harness
from tests.ownership import scenarios

DOMAINS = ("d1", "d2", "d3")
ENGINES = 10
LISTING_S = 0.6
DELAY_S = 0.25


def _fleet() -> harness.Fleet:
    fleet = harness.Fleet(
        domains={},
        deployments=[
            schema.Deployment("large", "l", 4, min_groups=0, weight=1),
            schema.Deployment("small", "s", 2, min_groups=0, weight=1),
        ],
    )
    for node in fleet.nodes.values():
        node.tasks.manager._formation_delay_s = DELAY_S
    return fleet


def _list(fleet: harness.Fleet, domain: str, count: int = ENGINES) -> None:
    for number in range(count):
        fleet.add_instance(f"{domain}-e{number}", domain)
    fleet.sync_instances()


def _counts(fleet: harness.Fleet) -> collections.Counter:
    return collections.Counter(
        (domain, group["deployment"])
        for domain in DOMAINS
        if domain in fleet.store.objects
        for group in fleet.groups(domain).values()
    )


def _expected(fleet: harness.Fleet) -> collections.Counter:
    quotas = split.split(fleet.instances.values(), fleet.settings)
    return collections.Counter(
        {
            (domain, name): quota.maximum
            for domain, of_domain in quotas.items()
            for name, quota in of_domain.items()
            if quota.maximum
        }
    )


@scenarios.scenario
async def test_groups_follow_the_quotas_of_the_complete_list():
    fleet = _fleet()
    for domain in DOMAINS:
        _list(fleet, domain, 1)
    # The nodes acquire the leases.
    await fleet.run(2)
    for domain in DOMAINS:
        _list(fleet, domain)
        await fleet.run(LISTING_S)
    await fleet.run(12)
    assert _counts(fleet) == _expected(fleet)


@scenarios.scenario
async def test_domain_does_not_wait_for_ever_for_the_lists_of_others():
    fleet = _fleet()
    _list(fleet, "d1")
    waited_s = 0.0
    while waited_s < manager.FIRST_FORMATION_WAIT_S + 3:
        _list(fleet, "d2", int(waited_s / LISTING_S) + 1)
        await fleet.run(LISTING_S)
        waited_s += LISTING_S
    assert ("d1", "large") in _counts(fleet)
