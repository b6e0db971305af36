"""What happened in a run, recorded from outside of the decisions.

Engines and the store are recorded as they are; nodes only by which groups
they would send requests to.
"""

import attrs


@attrs.frozen
class EngineState:
    """Truth about one engine at one moment.

    Attributes:
      answers: whether it is up and not paused.
      group: group it was told to serve, empty for none.
    """

    answers: bool
    incarnation: str
    group: str
    generation: int
    loaded: bool
    stopping: bool


@attrs.frozen
class Use:
    """A group that a node would send requests to."""

    node: str
    group: str
    generation: int


@attrs.frozen
class Step:
    """Everything at one moment.

    Attributes:
      assignments: domain -> group -> (generation, members) as stored.
      uses: groups in use at nodes that are running.
      holders: domain -> nodes that act as its holder.
    """

    at_s: float
    engines: dict[str, EngineState]
    assignments: dict[str, dict[str, tuple[int, tuple[str, ...]]]]
    uses: tuple[Use, ...]
    holders: dict[str, tuple[str, ...]]
