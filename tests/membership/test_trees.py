"""Guards that broadcast trees are small, connected and deterministic."""

import hypothesis
from hypothesis import strategies as st

from balsamlug import tables
from balsamlug.membership import trees

SIZES = st.lists(st.integers(1, 30), min_size=1, max_size=6)
MAX_EDGES = 6


def _nodes(sizes: list[int]) -> list[tables.Node]:
    return [
        tables.Node(f"n-{domain}-{i}", 1, "r", f"fd-{domain}", "127.0.0.1:1")
        for domain, size in enumerate(sizes)
        for i in range(size)
    ]


def _reached(adjacency, start, lost=None):
    reached, pending = {start}, [start]
    while pending:
        for other in adjacency.get(pending.pop(), ()):
            if other not in reached and other != lost:
                reached.add(other)
                pending.append(other)
    return reached


@hypothesis.given(SIZES)
def test_each_tree_reaches_every_node_with_the_fewest_edges(sizes):
    nodes = _nodes(sizes)
    for tree in trees.TREES:
        edges = trees.edges(nodes, tree)
        assert len(edges) == len(nodes) - 1
        adjacency = trees.adjacency(nodes, tree)
        assert _reached(adjacency, nodes[0].id) == {n.id for n in nodes}


@hypothesis.given(SIZES)
def test_no_node_has_more_than_the_maximum_number_of_edges(sizes):
    nodes = _nodes(sizes)
    adjacencies = [trees.adjacency(nodes, tree) for tree in trees.TREES]
    for node in nodes:
        edges = sum(len(tree.get(node.id, ())) for tree in adjacencies)
        assert edges <= MAX_EDGES


@hypothesis.given(SIZES, st.data())
def test_loss_of_one_node_leaves_the_others_connected(sizes, data):
    nodes = _nodes(sizes)
    hypothesis.assume(len(nodes) > 2)
    names = [node.id for node in nodes]
    lost = data.draw(st.sampled_from(names))
    start = data.draw(st.sampled_from([n for n in names if n != lost]))
    adjacencies = [trees.adjacency(nodes, tree) for tree in trees.TREES]
    combined = {
        name: adjacencies[0].get(name, frozenset())
        | adjacencies[1].get(name, frozenset())
        for name in names
    }
    assert _reached(combined, start, lost) == {n for n in names if n != lost}


@hypothesis.given(SIZES)
def test_trees_depend_on_the_node_table_alone(sizes):
    nodes = _nodes(sizes)
    for tree in trees.TREES:
        shuffled = trees.adjacency(list(reversed(nodes)), tree)
        assert shuffled == trees.adjacency(nodes, tree)
