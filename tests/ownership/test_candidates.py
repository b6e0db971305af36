"""Guards against nodes that disagree about the candidate for a lease."""

import random

from balsamlug import state
from balsamlug import tables
from balsamlug.messages import types
from balsamlug.ownership import candidates

KEYS = [(f"domain:d{i}", region) for i in range(4) for region in ("r", "s")]


def _publish(fleet: state.FleetState, name: str, region: str, up: bool) -> None:
    known = fleet.nodes.get(name)
    incarnation = known.incarnation + 1 if known is not None else 1
    status = tables.NodeState.UP if up else tables.NodeState.DOWN
    update = types.NodeUpdate(
        name, incarnation, str(status), region, "f", "127.0.0.1:1"
    )
    fleet.publish(update, 0.0)


def test_rank_is_the_position_in_the_order_while_nodes_come_and_go():
    rng = random.Random(1)
    fleet = state.FleetState("s")
    ranking = candidates.Ranking("n0", fleet)
    for _ in range(300):
        name = f"n{rng.randrange(12)}"
        _publish(fleet, name, rng.choice("rs"), rng.random() < 0.7)
        ranking.refresh()
        live = fleet.live_nodes()
        for key, region in rng.sample(KEYS, 3):
            ordered = candidates.rank_nodes(key, live, region)
            expected = ordered.index("n0") if "n0" in ordered else len(ordered)
            assert ranking.rank(key, region) == expected


def test_a_joining_node_costs_one_score_for_each_key(monkeypatch):
    # With all nodes of a large fleet starting at once, a new order of all
    # nodes for each of them took a second of every node's start.
    fleet = state.FleetState("s")
    ranking = candidates.Ranking("n0", fleet)
    for i in range(100):
        _publish(fleet, f"n{i}", "r", True)
    ranking.refresh()
    for key, region in KEYS:
        ranking.rank(key, region)
    scored = []
    score = candidates.hashing.score
    monkeypatch.setattr(
        candidates.hashing,
        "score",
        lambda key, name: scored.append(name) or score(key, name),
    )
    _publish(fleet, "n100", "r", True)
    ranking.refresh()
    for key, region in KEYS:
        ranking.rank(key, region)
    assert len(scored) <= 3 * len(KEYS)
