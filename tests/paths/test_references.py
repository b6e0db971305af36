"""Guards sound upstreams of a service to which a node has lost its path."""

import random
import types

import pytest

from balsamlug import tables
from balsamlug.paths import references


def _instance(number: int, service: str) -> tables.Instance:
    return tables.Instance(
        id=f"{service}-{number}",
        incarnation="1",
        kind=tables.InstanceKind.ENGINE,
        address=f"{service}:{number}",
        fabric_domain=f"d{number % 2}" if service == "model" else "",
        failure_domain=f"z{number}",
        region="r1",
        service=service,
    )


def _choose(address: str, models: int, plain: int, seed: int) -> list[str]:
    instances = [_instance(n, "model") for n in range(models)]
    instances += [_instance(n, "plain") for n in range(plain)]
    state = types.SimpleNamespace(instances={i.id: i for i in instances})
    chosen = references.References(state, random.Random(seed)).choose(address)
    return list(chosen)


@pytest.mark.parametrize("seed", range(10))
def test_path_to_one_service_is_not_judged_by_that_to_another(seed):
    chosen = _choose("model:0", models=12, plain=3, seed=seed)
    assert len(set(chosen)) == references.MAX_REFERENCES
    assert all(address.startswith("model:") for address in chosen)


@pytest.mark.parametrize("seed", range(10))
def test_path_is_not_judged_by_the_failure_domain_that_fails(seed):
    chosen = _choose("model:0", models=12, plain=3, seed=seed)
    assert all(int(a.partition(":")[2]) % 2 for a in chosen)


@pytest.mark.parametrize("seed", range(5))
def test_small_service_is_compared_with_another_one_too(seed):
    chosen = _choose("plain:0", models=6, plain=2, seed=seed)
    assert len(set(chosen)) == references.MAX_REFERENCES
    services = [address.partition(":")[0] for address in chosen]
    assert services == ["plain", *["model"] * 5]


def test_unknown_upstream_is_compared_with_any():
    chosen = _choose("gone:0", models=4, plain=3, seed=1)
    assert len(set(chosen)) == references.MAX_REFERENCES
