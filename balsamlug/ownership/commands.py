"""Orders to an engine that receives each step of forming a group."""

import attrs


@attrs.frozen
class Join:
    """Join a generation of a group.

    Attributes:
      fencing: lease epoch of the holder that sends the order.
      members: instance ids, the head first.
    """

    fencing: int
    group: str
    generation: int
    model: str
    members: tuple[str, ...]


@attrs.frozen
class Open:
    """Start serving at the head of a complete group."""

    fencing: int
    group: str
    generation: int


@attrs.frozen
class Leave:
    """Leave a group immediately, even while requests run."""

    fencing: int
    group: str
    generation: int


@attrs.frozen
class Stage:
    """Load the weights of a model to the host of a spare."""

    fencing: int
    model: str


Command = Join | Open | Leave | Stage
