"""Keep cold instances within the rate that they accept from all nodes.

An instance that has just started answers slowly, and crashes when it gets far
more requests per second than its service declares. All nodes may see it idle
at the same moment, so a shared count would be known too late. Instead, each
node computes alone which nodes may send to a cold instance and how often. The
design is described in docs/design/warm-up.md.
"""

from collections.abc import Callable
from collections.abc import Sequence
from typing import TypeVar

import attrs

from balsamlug import hashing
from balsamlug.messages import types

# Share of the bound that the nodes of one view use. Two disjoint views of the
# live nodes then stay within the bound together.
VIEW_SHARE = 0.5
# Fewer nodes that send more often use a little more of a small rate, but
# demand has to arrive at these few. More nodes are selected when they use at
# least this share of what the best number of nodes uses.
MIN_USED_SHARE = 0.9
# Key of one life of an instance, as in `limit_table`.
Key = bytes

_T = TypeVar("_T")


@attrs.frozen
class Bound:
    """Bound of the requests in one second, as a multiple plus a constant."""

    overshoot: float
    slack: float

    def requests(self, per_s: float) -> float:
        """Return the most requests in one second for a declared rate."""
        return per_s * self.overshoot + self.slack


@attrs.frozen
class Share:
    """Nodes that may send to a cold instance.

    Attributes:
      nodes: number of selected nodes.
      interval_s: minimum time between two requests of one of them.
    """

    nodes: int
    interval_s: float


def permitted_per_s(per_s: float, bound: float, live: int, known: int) -> float:
    """Return how many requests per second the live nodes may send together.

    Args:
      per_s: declared rate of the service.
      bound: most requests in one second, from all nodes.
      live: number of live nodes in the view of this node.
      known: number of nodes, with those lost recently. Views that see few of
        them may be parts of a partitioned fleet, which share the bound.
    """
    return min(per_s, VIEW_SHARE * bound, bound * live / max(live, known))


def share(permitted: float, live: int) -> Share:
    """Return how many nodes send how often.

    In no second without jitter do they send more than is permitted.
    """
    if permitted < 1:
        # Many nodes that are alone do not send at regular distances, so that
        # single seconds have more requests than the mean.
        return Share(1, 1 / (VIEW_SHARE * permitted))
    per_node = {
        nodes: int(permitted / nodes)
        for nodes in range(1, min(live, int(permitted)) + 1)
    }
    most = max(nodes * count for nodes, count in per_node.items())
    nodes = max(
        nodes
        for nodes, count in per_node.items()
        if nodes * count >= MIN_USED_SHARE * most
    )
    return Share(nodes, 1 / per_node[nodes])


def is_selected(node: str, key: Key, nodes: Sequence[str], count: int) -> bool:
    """Return whether a node is among those that may send to an instance."""
    if node not in nodes:
        nodes = [*nodes, node]
    return node in hashing.rank(key.hex(), nodes)[:count]


@attrs.frozen
class Permit:
    """Permit to send one request to a cold instance.

    Attributes:
      previous_s: when the permit before was taken.
    """

    key: Key
    taken_s: float
    previous_s: float


class Permits:
    """Permits every request; used where no warm-up bound is configured."""

    def accepting(
        self, candidates: Sequence[_T], key_of: Callable[[_T], Key]
    ) -> list[_T]:
        """Return the candidates that may be sent a request now.

        Args:
          key_of: returns the key of the instance that receives the request.

        Raises:
          WarmingUp: all candidates are cold and without a permit.
        """
        del key_of
        return list(candidates)

    def may_take(self, key: Key) -> bool:
        """Return whether an instance may be sent a request now."""
        del key
        return True

    def is_limited(self, key: Key) -> bool:
        """Return whether an instance is cold and its rate is limited."""
        del key
        return False

    def take(self, key: Key) -> Permit | None:
        """Take the permit for a request to an instance, None if it is warm."""
        del key
        return None

    def settle(self, permit: Permit | None, counts: bool) -> None:
        """Record how an attempt ended.

        Args:
          counts: whether the request counts at the instance. If it does not,
            the permit is given back.
        """

    def on_update(self, message: types.Message) -> None:
        """Record what a message states of instances and nodes."""

    def expire(self) -> None:
        """Forget what is over."""
