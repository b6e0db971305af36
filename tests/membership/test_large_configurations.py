"""Guards nodes of a fleet whose configuration has thousands of routes."""

import asyncio

from balsamlug import catalogue as catalogues
from balsamlug import encodable
from balsamlug import state as fleet
from balsamlug.messages import codec
from balsamlug.messages import types
from tests import cluster as clusters

ROUTES = 2_000
# Two of the nodes watch the store; the others hear of changes from peers.
NODES = 5
IN_FORCE_S = 5.0


def _catalogue(revision: int) -> catalogues.Catalogue:
    """Return a catalogue whose first route changes with each revision."""
    routes = [
        catalogues.Route(
            f"route-{i}",
            f"host-{i % 50}.example",
            f"/path-{i}/",
            (catalogues.Target("service", 1.0),),
            catalogues.RouteKind.STREAM,
            timeout_ms=8_000 + (revision if i == 0 else 0),
            target_ms=400,
        )
        for i in range(ROUTES)
    ]
    services = (catalogues.Service("service"),)
    return catalogues.Catalogue(revision, tuple(routes), services)


def _value(revision: int) -> dict:
    value = catalogues.to_value(_catalogue(revision))
    return {"revision": revision, fleet.CATALOGUE_KEY: value}


def _run(scenario) -> None:
    async def main() -> None:
        cluster = clusters.Cluster(NODES, domains=1)
        cluster.store.write("config", "current", _value(1))
        cluster.store.list_instances()
        try:
            await cluster.start()
            await clusters.until(cluster.agreed, 10)
            await _in_force(cluster, 1)
            await scenario(cluster)
        finally:
            await cluster.stop()

    asyncio.run(main())


async def _in_force(cluster: clusters.Cluster, revision: int) -> None:
    await clusters.until(lambda: cluster.revisions() == {revision}, IN_FORCE_S)


def test_configuration_of_a_peer_is_checked_once(monkeypatch):
    checked = []
    check = encodable.check

    def count(value):
        checked.append(value)
        check(value)

    async def scenario(cluster):
        monkeypatch.setattr(encodable, "check", count)
        cluster.store.write("config", "current", _value(2))
        await _in_force(cluster, 2)

    _run(scenario)
    # Of changes, the first field contains the revision.
    parts = [v[0] if isinstance(v, tuple) else v for v in checked]
    values = [v for v in parts if v.get("revision") == 2]
    # Both watchers may read the version and receive it from each other.
    assert len(values) <= NODES + 2


def test_version_with_one_changed_route_costs_little():
    async def scenario(cluster):
        full = len(codec.encode(types.ConfigUpdate(1, _value(1))))
        before = _sent_bytes(cluster)
        for revision in range(2, 7):
            cluster.store.write("config", "current", _value(revision))
            await _in_force(cluster, revision)
        # Less than one of the five versions as a whole, for all nodes.
        assert _sent_bytes(cluster) - before < full

    _run(scenario)


def test_version_with_one_changed_route_keeps_the_other_routes():
    async def scenario(cluster):
        before = {
            name: node.state.catalogue for name, node in cluster.nodes.items()
        }
        cluster.store.write("config", "current", _value(2))
        await _in_force(cluster, 2)
        for name, node in cluster.nodes.items():
            assert node.state.catalogue == _catalogue(2)
            kept = zip(
                before[name].routes, node.state.catalogue.routes, strict=True
            )
            assert [old is new for old, new in kept].count(False) == 1

    _run(scenario)


def _sent_bytes(cluster: clusters.Cluster) -> int:
    return sum(
        node.peers.links.peer_bytes[0] for node in cluster.nodes.values()
    )
