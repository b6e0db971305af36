"""What a node knows of an engine, with its source and age."""

import enum

import attrs

from balsamlug import tables


@attrs.frozen
class Report:
    """Newest state of an engine that this node knows apart from the list.

    Attributes:
      expected: whether it is the effect of an accepted order, which the engine
        has not reported yet.
    """

    incarnation: str
    announcement: tables.Announcement
    received_s: float
    expected: bool = False


@attrs.frozen
class FailedProbe:
    """A probe that an engine did not answer.

    Attributes:
      since_s: when the first of the consecutive probes failed, or when the
        group of the engine has progressed since.
      refused: whether the host refused the connection.
    """

    incarnation: str
    failed_s: float
    since_s: float
    refused: bool = False


@attrs.frozen
class JoinOrder:
    """The last order of this node to an engine to join a group.

    Attributes:
      fencing: fencing token of the order, which names the term of the lease.
    """

    group: str
    generation: int
    fencing: int


@attrs.frozen
class RetainedEngine:
    """An engine that is not in the list but may still respond.

    Attributes:
      known_s: when its last state was received.
    """

    instance: tables.Instance
    until_s: float
    known_s: float


class Source(enum.StrEnum):
    """Where the state of an engine is from."""

    LIST = "list"
    RETAINED = "retained"
    REPORT = "report"
    ACCEPTED_ORDER = "accepted_order"


@attrs.frozen
class Evidence:
    """The state of an engine that decisions rest on.

    Attributes:
      known_s: when it was received; for the list, its last change.
    """

    instance: tables.Instance
    source: Source
    known_s: float
