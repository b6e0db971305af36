"""Trace of a run, from which the checker works.

Engines and stored assignments are recorded as they are. Of a node the trace
has only the groups that it would send requests to and the leases that it acts
on.
"""

import attrs


@attrs.frozen
class EngineState:
    """Actual state of one engine at one moment.

    Attributes:
      answers: whether it is up and responsive.
      group: group of its last join order, empty for none.
      loaded: whether the weights for the group are loaded.
      leaving: whether it drains or the platform lists it as leaving.
    """

    answers: bool
    incarnation: str
    group: str
    generation: int
    loaded: bool
    leaving: bool


@attrs.frozen
class Use:
    """A group that a node would send requests to."""

    node: str
    group: str
    generation: int


@attrs.frozen
class Step:
    """State of the fleet at one moment.

    Attributes:
      assignments: domain -> group -> (generation, members) as stored.
      at_s: seconds after the start of the run.
      uses: groups in use at nodes that are not paused.
      holders: domain -> nodes that act as its holder.
    """

    at_s: float
    engines: dict[str, EngineState]
    assignments: dict[str, dict[str, tuple[int, tuple[str, ...]]]]
    uses: tuple[Use, ...]
    holders: dict[str, tuple[str, ...]]
