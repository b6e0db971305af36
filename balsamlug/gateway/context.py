"""What every request of a gateway shares."""

from collections.abc import Callable
import random

import attrs
import eliot

from balsamlug import catalogue as catalogues
from balsamlug import clock as clocks
from balsamlug import state as fleet
from balsamlug.gateway import groups
from balsamlug.gateway import loads
from balsamlug.gateway import messages
from balsamlug.gateway import silence
from balsamlug.observability import metrics as metric
from balsamlug.router import retries


@attrs.define
class Context:
    """Tables and parts that requests are served with.

    Attributes:
      longest_ms: route -> longest time that a caller of it was seen to give.
    """

    fleet: fleet.FleetState
    clock: clocks.Clock
    rng: random.Random
    headers: messages.Headers
    loads: loads.Loads
    groups: groups.GroupTable
    detector: silence.Detector
    budget: retries.RetryBudget
    metrics: metric.GatewayMetrics
    log: Callable[..., None] = eliot.log_message
    longest_ms: dict[str, int] = attrs.field(factory=dict)

    def waited_ms(self, route: catalogues.Route, deadline_ms: int) -> int:
        """Return how long a caller has been waiting since its first try.

        A caller names the time that it still waits. A first try names all of
        it, so a shorter time belongs to a repeat.
        """
        longest = max(self.longest_ms.get(route.name, 0), deadline_ms)
        self.longest_ms[route.name] = longest
        return longest - deadline_ms
