"""Reasons why an instance is in no group, and their effect on planning."""

import enum

import attrs


class Reason(enum.StrEnum):
    """Why an instance is in no group."""

    UNOBSERVED = "unobserved"
    SILENT = "silent"
    MISSING = "missing"
    NOT_LISTED = "not_listed"
    OTHER_SERVICE = "other_service"
    LEAVING = "leaving"
    ENGINE_DRAINING = "engine_draining"
    OPERATOR_DRAINING = "operator_draining"
    NO_DEPLOYMENT = "no_deployment"
    QUOTA_REACHED = "quota_reached"
    TOO_FEW_SPARES = "too_few_spares"
    NOT_PLANNED = "not_planned"
    KNOWN_TO_HOLDER = "known_to_holder"


TEXTS = {
    Reason.UNOBSERVED: "no probe of the domain's holder has answered yet",
    Reason.SILENT: "does not answer, not long enough to be replaced",
    Reason.MISSING: "does not answer",
    Reason.NOT_LISTED: "is not in the platform's list",
    Reason.OTHER_SERVICE: "belongs to another service than its group",
    Reason.LEAVING: "is leaving according to the platform's list",
    Reason.ENGINE_DRAINING: "its engine is draining",
    Reason.OPERATOR_DRAINING: "an operator drains it",
    Reason.NO_DEPLOYMENT: "no deployment is configured",
    Reason.QUOTA_REACHED: "every deployment has its groups in this domain",
    Reason.TOO_FEW_SPARES: "too few spares in its domain to form a group",
    Reason.NOT_PLANNED: "the domain's holder has not planned yet",
    Reason.KNOWN_TO_HOLDER: "ask the domain's holder for the reason",
}


class Fitness(enum.IntEnum):
    """What the planner may do with an instance."""

    USABLE = 0
    # Is not replaced, and not used as a spare.
    UNCERTAIN = 1
    # Is replaced when its group has no work in flight.
    DRAINING = 2
    LOST = 3


FITNESS = {
    Reason.UNOBSERVED: Fitness.UNCERTAIN,
    Reason.SILENT: Fitness.UNCERTAIN,
    Reason.MISSING: Fitness.LOST,
    Reason.NOT_LISTED: Fitness.LOST,
    Reason.OTHER_SERVICE: Fitness.LOST,
    Reason.LEAVING: Fitness.DRAINING,
    Reason.ENGINE_DRAINING: Fitness.DRAINING,
    Reason.OPERATOR_DRAINING: Fitness.DRAINING,
}


@attrs.frozen
class Condition:
    """State of one instance as input of the planner.

    Attributes:
      reason: why the instance cannot be used, None if it can.
      incarnation: incarnation of the process that answered last, empty if none
        did.
      weights: (model, version, rank, group size) in its memory, if known.
      staged: models whose weights its host holds.
      hidden: whether it answers but is not in the platform's list.
      cold: whether it accepts few requests for now.
    """

    instance: str
    reason: Reason | None = None
    incarnation: str = ""
    weights: tuple[str, str, int, int] | None = None
    staged: tuple[str, ...] = ()
    hidden: bool = False
    cold: bool = False

    @property
    def fitness(self) -> Fitness:
        """Return what the planner may do with the instance."""
        if self.reason is None:
            return Fitness.USABLE
        return FITNESS[self.reason]


@attrs.frozen
class Idle:
    """Instance that is in no group, with the reason."""

    instance: str
    reason: Reason
    detail: str = ""

    def __str__(self) -> str:
        text = f"{self.instance}: {TEXTS[self.reason]}"
        return f"{text} ({self.detail})" if self.detail else text
