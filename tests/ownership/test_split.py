"""Guards that small groups do not take the instances of a large group.

If the split places small groups first, no domain has enough instances left
for a large group.
"""

from balsamlug import tables
from balsamlug.config import schema
from balsamlug.ownership import split


def _engines(domains: int, each: int) -> list[tables.Instance]:
    return [
        tables.Instance(
            f"{d}-{i}", "1", tables.InstanceKind.ENGINE, "a:1", f"d{d}", "", ""
        )
        for d in range(domains)
        for i in range(each)
    ]


def _settings(large: int, small: int) -> schema.Settings:
    return schema.Settings(
        deployments={
            "large": schema.Deployment(
                "large", "large", 6, min_groups=0, priority=0, weight=large
            ),
            "small": schema.Deployment(
                "small", "small", 3, min_groups=0, priority=1, weight=small
            ),
        }
    )


def test_every_domain_holds_a_large_and_a_small_group():
    quotas = split.split(_engines(6, 11), _settings(670, 330))
    for of_domain in quotas.values():
        assert of_domain["large"].maximum == 1
        assert of_domain["small"].maximum == 1


def test_a_domain_that_lost_instances_keeps_its_large_group():
    engines = [e for e in _engines(2, 11) if e.id not in ("0-1", "0-2", "0-3")]
    quotas = split.split(engines, _settings(670, 330))
    assert quotas["d0"]["large"].maximum == 1
    assert quotas["d0"]["small"].maximum == 0
