"""Guards versions of a catalogue that nodes send as changes."""

import math
import zlib

import attrs
import hypothesis
from hypothesis import strategies as st
import msgpack
import pytest

from balsamlug import catalogue as catalogues
from balsamlug import catalogue_deltas
from balsamlug import exceptions
from balsamlug import state as fleet
from balsamlug.membership import reconcile
from balsamlug.messages import codec
from balsamlug.messages import types

ROUTE = catalogues.Route(
    *("r", "host", "/p/", (catalogues.Target("s", 1.0),)),
    *(catalogues.RouteKind.IDEMPOTENT, 1_000, 100),
)


def _catalogue(revision: int, *timeouts_ms: int) -> catalogues.Catalogue:
    routes = (
        attrs.evolve(ROUTE, name=f"r-{i}", timeout_ms=timeout_ms)
        for i, timeout_ms in enumerate(timeouts_ms)
        if timeout_ms
    )
    services = (catalogues.Service("s"),)
    return catalogues.Catalogue(revision, tuple(routes), services)


def _update(catalogue: catalogues.Catalogue) -> types.ConfigUpdate:
    value = catalogues.to_value(catalogue)
    revision = catalogue.revision
    return types.ConfigUpdate(
        revision, {"revision": revision, fleet.CATALOGUE_KEY: value}
    )


def _node(*versions: catalogues.Catalogue) -> fleet.FleetState:
    node = fleet.FleetState("site")
    for version in versions:
        assert node.publish(_update(version), 0.0)
    return node


def _answer(asked: fleet.FleetState, asking: fleet.FleetState) -> types.Message:
    """Return what a node sends to another one, as that one decodes it."""
    (request,) = reconcile.versions(asking, reconcile.CONFIG)
    (answer,) = reconcile.newer_messages(asked, request, 0.0)
    return codec.decode_body(codec.encode_body(answer))


# Timeout of each route; 0 where a version does not have the route.
TIMEOUTS = st.lists(st.integers(0, 2), min_size=4, max_size=4)


@hypothesis.given(st.lists(TIMEOUTS, min_size=2, max_size=5))
@hypothesis.settings(deadline=None)
def test_changes_lead_to_the_same_catalogue_as_the_whole_value(timeouts):
    versions = [_catalogue(i + 1, *t) for i, t in enumerate(timeouts)]
    asked, asking = _node(*versions), _node(versions[0])
    answer = _answer(asked, asking)
    assert isinstance(answer, types.ConfigDelta)
    assert asking.publish(reconcile.apply_delta(answer, asking), 0.0)
    assert asking.catalogue == asked.catalogue == versions[-1]
    assert asking.settings == asked.settings


def test_changed_route_is_sent_alone():
    first, second = _catalogue(1, 1, 1, 1), _catalogue(2, 1, 5, 1)
    answer = _answer(_node(first, second), _node(first))
    changes = catalogue_deltas.unpack(answer.changes)
    assert changes.parts == {"revision": 2}
    assert [raw["name"] for raw in changes.changed["routes"]] == ["r-1"]
    assert (changes.added, changes.removed) == ({}, {})


def test_new_route_between_others_is_sent_alone():
    first, second = _catalogue(1, 1, 0, 1, 0), _catalogue(2, 1, 1, 1, 1)
    changes = catalogue_deltas.unpack(
        _answer(_node(first, second), _node(first)).changes
    )
    places = [(p, raw["name"]) for p, raw in changes.added["routes"]]
    assert places == [(1, "r-1"), (3, "r-3")]
    assert changes.changed == {}


def test_many_new_routes_are_sent_compressed():
    first, second = _catalogue(1, 1), _catalogue(2, *range(1, 1_001))
    answer = _answer(_node(first, second), _node(first))
    whole = codec.encode_body(_update(second))
    assert len(codec.encode_body(answer)) < len(whole) / 5


def test_node_with_other_content_of_the_same_revision_gets_the_whole_value():
    first, second = _catalogue(1, 1, 1), _catalogue(2, 1, 5)
    answer = _answer(_node(first, second), _node(_catalogue(1, 1, 7)))
    assert isinstance(answer, types.ConfigUpdate)


def test_node_of_an_earlier_build_gets_the_whole_value():
    asked = _node(_catalogue(1, 1), _catalogue(2, 5))
    request = types.Versions(reconcile.CONFIG, {reconcile.CONFIG: 1})
    (answer,) = reconcile.newer_messages(asked, request, 0.0)
    assert isinstance(answer, types.ConfigUpdate)


def test_node_that_is_far_behind_gets_the_whole_value():
    last = catalogue_deltas.MAX_VERSIONS + 1
    versions = [_catalogue(n, n) for n in range(1, last + 1)]
    asked = _node(*versions)
    assert isinstance(_answer(asked, _node(versions[0])), types.ConfigUpdate)
    assert isinstance(_answer(asked, _node(versions[1])), types.ConfigDelta)


def test_other_order_of_routes_is_sent_as_the_whole_value():
    first = _catalogue(1, 1, 1)
    second = attrs.evolve(first, revision=2, routes=first.routes[::-1])
    answer = _answer(_node(first, second), _node(first))
    assert isinstance(answer, types.ConfigUpdate)


def test_routes_of_the_same_name_are_kept():
    first = attrs.evolve(_catalogue(1), routes=(ROUTE, ROUTE))
    twin = attrs.evolve(ROUTE, prefix="/q/")
    second = attrs.evolve(first, revision=2, routes=(ROUTE, twin))
    asked = _node(first, second)
    assert asked.catalogue == second
    assert isinstance(_answer(asked, _node(first)), types.ConfigUpdate)


def test_version_after_one_with_a_malformed_name_is_applied():
    odd = _update(_catalogue(1, 1))
    odd.value[fleet.CATALOGUE_KEY]["routes"][0]["name"] = ["r"]
    node = fleet.FleetState("site")
    node.publish(odd, 0.0)
    assert reconcile.versions(node, reconcile.CONFIG)[0].versions == {
        reconcile.CONFIG: 1
    }
    assert node.publish(_update(_catalogue(2, 5)), 0.0)
    assert node.catalogue == _catalogue(2, 5)


def test_changes_to_another_revision_are_not_applied():
    first, second = _catalogue(1, 1), _catalogue(2, 5)
    answer = _answer(_node(first, second), _node(first))
    assert reconcile.apply_delta(answer, _node(first, second)) is None


def _delta(*fields: object) -> types.ConfigDelta:
    packed = catalogue_deltas.pack(catalogue_deltas.Changes(*fields))
    return types.ConfigDelta(1, 2, packed)


SECOND = {"revision": 2}


@pytest.mark.parametrize(
    "fields",
    [
        (SECOND, {"routes": [{}]}),
        (SECOND, {"routes": [1]}),
        (SECOND, {"routes": 1}),
        (SECOND, {"unknown": [{"name": "x"}]}),
        (SECOND, {}, {"routes": [{"name": "x"}]}),
        (SECOND, {}, {"routes": [["x", {"name": "x"}]]}),
        (SECOND, {}, {"routes": 1}),
        (SECOND, {}, {}, {"routes": [[]]}),
        (SECOND, {}, {}, {"routes": 1}),
        (SECOND | {"limits": math.nan},),
        ({"revision": 3},),
        ({},),
        ([],),
        (SECOND, {}, {}, 1),
    ],
    ids=str,
)
def test_malformed_changes_are_rejected(fields):
    node = _node(_catalogue(1, 1))
    with pytest.raises(exceptions.MessageRejected):
        reconcile.apply_delta(_delta(*fields), node)
    assert node.config_revision == 1


VALID = catalogue_deltas.pack(
    catalogue_deltas.Changes({"revision": 2, "limits": {}})
)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"no changes",
        VALID[:-4],
        zlib.compress(b"\xc1"),
        zlib.compress(msgpack.packb([{}])),
        zlib.compress(msgpack.packb([{}, {}]) + b"\x00"),
        zlib.compress(msgpack.packb([{}, {}, {}, {}, {}])),
        zlib.compress(bytes(catalogue_deltas.MAX_UNPACKED_BYTES + 1)),
    ],
    ids=range(8),
)
def test_data_that_holds_no_changes_is_rejected(data):
    node = _node(_catalogue(1, 1))
    with pytest.raises(exceptions.MessageRejected):
        reconcile.apply_delta(types.ConfigDelta(1, 2, data), node)


@hypothesis.given(st.binary(max_size=60), st.integers(0, len(VALID) - 1))
def test_damaged_changes_are_rejected_or_leave_a_valid_catalogue(noise, place):
    node = _node(_catalogue(1, 1))
    data = VALID[:place] + noise + VALID[place + len(noise) :]
    try:
        update = reconcile.apply_delta(types.ConfigDelta(1, 2, data), node)
    except exceptions.MessageRejected:
        return
    node.publish(update, 0.0)
    assert node.catalogue.routes == _catalogue(1, 1).routes


def test_changes_that_lead_to_an_unusable_catalogue_are_not_applied():
    node = _node(_catalogue(1, 1))
    changed = {"routes": [{"name": "r-0", "host": 1}]}
    update = reconcile.apply_delta(_delta(SECOND, changed), node)
    assert not node.publish(update, 0.0)
    assert node.catalogue == _catalogue(1, 1)
