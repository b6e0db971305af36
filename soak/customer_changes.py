"""Customers that are removed from the configuration and come back.

A version has an empty list of customers, none at all, or another customer. In
some runs all nodes restart meanwhile. Nothing else disturbs the nodes.
"""

from collections.abc import Iterable
import enum
import random

import attrs

from soak import clients
from soak import disruptions
from soak import plan
from soak import promises

# The platform's ConfigApplyMs in the smallest deployments, in s.
CONFIG_APPLY_S = 2.0
# Includes the time in which the customer is back.
SERIES_S = 20.0
MAX_CALM_S = 2.0
# Longer than the window in which nodes count as disturbed, and the bound.
EPISODES_S = (8.0, 11.0)
# Time in which the customer is back and its answers are checked.
CHECKED_S = 5.0
RESTARTS_SHARE = 0.5
# Time from a version to the restart of all nodes.
RESTART_DELAY_S = 0.5
FIELD = "Tenants"
# A key of no customer.
UNKNOWN_KEY = "stranger"


class Customers(enum.StrEnum):
    """Customers of a version."""

    USUAL = "usual"
    # A list without a customer: every key is refused.
    EMPTY = "empty"
    # No list: keys are not asked for.
    ABSENT = "absent"
    # A list without the usual customer.
    OTHER = "other"


_FIELDS = {
    Customers.EMPTY: {FIELD: []},
    Customers.OTHER: {FIELD: [{"Name": "other", "ApiKeys": ["other"]}]},
}


def apply(spec: dict, customers: Customers) -> dict:
    """Return a version of the configuration with some customers."""
    if customers is Customers.ABSENT:
        return {name: spec[name] for name in spec if name != FIELD}
    return spec | _FIELDS.get(customers, {})


def draw(seed: int, series: int) -> tuple[plan.Fault, ...]:
    """Return the removals of the customer in a run."""
    rng = random.Random(f"{plan.CUSTOMERS_CHANGE}-{seed}")
    kinds = [c for c in Customers if c is not Customers.USUAL]
    rng.shuffle(kinds)
    return tuple(
        plan.Fault(
            plan.CUSTOMERS_CHANGE,
            number * SERIES_S + rng.uniform(0, MAX_CALM_S),
            rng.uniform(*EPISODES_S),
            way=kinds[number % len(kinds)],
            restarts=rng.random() < RESTARTS_SHARE,
        )
        for number in range(series)
    )


@attrs.frozen
class Episode:
    """Time in which the usual customer was not in the configuration.

    Attributes:
      start_s, end_s: when the store had accepted its first version and the one
        after it.
    """

    customers: Customers
    start_s: float
    end_s: float


def wrong_answers(
    answers: Iterable[tuple[str, clients.Answer]],
    usual_key: str,
    episodes: Iterable[Episode],
    disrupted: disruptions.Disruptions,
) -> list[str]:
    """Return the answers of nodes in touch that no version allows.

    Args:
      answers: with the key of each request.
    """
    episodes = list(episodes)
    wrong = []
    for key, answer in answers:
        in_force = _in_force(answer.sent_s, answer.ended_s, episodes)
        allowed = {_is_allowed(key == usual_key, c) for c in in_force}
        if len(allowed) != 1:
            continue
        ran = answer.status == promises.OK
        was_refused = answer.status == promises.UNAUTHORIZED
        is_wrong = was_refused if allowed == {True} else ran
        if is_wrong and disrupted.is_in_touch(answer.node, answer.sent_s):
            wrong.append(
                f"{answer.request_id} with the key {key} got {answer.status}"
                f" while the customers were {', '.join(sorted(in_force))}"
            )
    return wrong


def _in_force(
    sent_s: float, ended_s: float, episodes: Iterable[Episode]
) -> set[Customers]:
    """Return the customers of the versions with which a request may be handled.

    That is the latest one when it was sent, any later one until its answer, and
    the earlier ones until their bound is over.
    """
    found = set()
    usual_from_s = float("-inf")
    for episode in episodes:
        if (
            usual_from_s <= ended_s
            and sent_s < episode.start_s + CONFIG_APPLY_S
        ):
            found.add(Customers.USUAL)
        if (
            episode.start_s <= ended_s
            and sent_s < episode.end_s + CONFIG_APPLY_S
        ):
            found.add(episode.customers)
        usual_from_s = episode.end_s
    if usual_from_s <= ended_s:
        found.add(Customers.USUAL)
    return found


def _is_allowed(is_usual_key: bool, customers: Customers) -> bool:
    if customers is Customers.ABSENT:
        return True
    return is_usual_key and customers is Customers.USUAL
