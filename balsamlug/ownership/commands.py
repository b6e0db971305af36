"""Orders to an engine that is told each step of forming a group."""

import attrs


@attrs.frozen
class Join:
    """Join a generation of a group.

    Attributes:
      fencing: lease epoch of the holder that gives the order.
      members: instance ids, the head first.
    """

    fencing: int
    group: str
    generation: int
    model: str
    members: tuple[str, ...]


@attrs.frozen
class Open:
    """Let the head of a whole group serve."""

    fencing: int
    group: str
    generation: int


@attrs.frozen
class Leave:
    """Leave a group at once, whatever runs there."""

    fencing: int
    group: str
    generation: int


@attrs.frozen
class Stage:
    """Load the weights of a model onto the host of a spare."""

    fencing: int
    model: str


Command = Join | Open | Leave | Stage
