"""Broadcast trees over the live nodes, computed from the node table alone.

In each failure domain the nodes form a binary heap, and the roots of the
domains form another one, so that few edges cross failure domains. The second
tree uses the reverse order: an inner node of one tree is a leaf of the other,
so the loss of one node never partitions both.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import functools
import hashlib

from balsamlug import tables

TREES = (0, 1)
HASH_BYTES = 8
# Seeds the hash order of nodes; all nodes of a system must use the same value.
ORDER_SEED = "balsamlug-tree"


def neighbours(
    node: str, nodes: Iterable[tables.Node], tree: int
) -> frozenset[str]:
    """Return the nodes that share an edge of a tree with a node."""
    return adjacency(nodes, tree).get(node, frozenset())


def adjacency(
    nodes: Iterable[tables.Node], tree: int
) -> dict[str, frozenset[str]]:
    """Return the neighbours of every node in a tree."""
    adjacent: dict[str, set[str]] = {}
    for left, right in edges(nodes, tree):
        adjacent.setdefault(left, set()).add(right)
        adjacent.setdefault(right, set()).add(left)
    return {node: frozenset(others) for node, others in adjacent.items()}


def edges(nodes: Iterable[tables.Node], tree: int) -> list[tuple[str, str]]:
    """Return the edges of a tree, each as parent and child."""
    by_domain: dict[str, list[str]] = {}
    for node in nodes:
        by_domain.setdefault(node.failure_domain, []).append(node.id)
    heaps = [
        _ordered(by_domain[domain], tree)
        for domain in _ordered(by_domain, tree)
    ]
    tree_edges = _heap_edges([heap[0] for heap in heaps])
    for heap in heaps:
        tree_edges += _heap_edges(heap)
    return tree_edges


def _ordered(names: Iterable[str], tree: int) -> list[str]:
    return sorted(names, key=_order_key, reverse=tree == 1)


def _heap_edges(order: Sequence[str]) -> list[tuple[str, str]]:
    return [(order[(i - 1) // 2], order[i]) for i in range(1, len(order))]


@functools.lru_cache(maxsize=4096)
def _order_key(name: str) -> bytes:
    text = f"{ORDER_SEED}:{name}".encode()
    return hashlib.blake2b(text, digest_size=HASH_BYTES).digest()
