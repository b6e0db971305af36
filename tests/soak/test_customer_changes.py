"""Guards the check of keys while the customer is not in the configuration."""

import pytest

from soak import clients
from soak import customer_changes
from soak import disruptions
from soak import plan

Customers = customer_changes.Customers
USUAL_KEY = "secret"
START_S, END_S = 100.0, 110.0
LIMIT_S = START_S + customer_changes.CONFIG_APPLY_S
BACK_S = END_S + customer_changes.CONFIG_APPLY_S


def _is_wrong(
    customers: Customers,
    sent_s: float,
    status: int,
    key: str = USUAL_KEY,
    took_s: float = 0.0,
    disrupted: disruptions.Disruptions | None = None,
) -> bool:
    answer = clients.Answer(
        "chat-1-7",
        "chat",
        1,
        status,
        {},
        sent_s=sent_s,
        ended_s=sent_s + took_s,
    )
    episode = customer_changes.Episode(customers, START_S, END_S)
    return bool(
        customer_changes.wrong_answers(
            [(key, answer)],
            USUAL_KEY,
            [episode],
            disrupted or disruptions.Disruptions(),
        )
    )


@pytest.mark.parametrize("customers", [Customers.EMPTY, Customers.OTHER])
def test_key_that_is_taken_without_its_customer_is_found(customers):
    assert _is_wrong(customers, LIMIT_S + 0.1, 200)
    assert not _is_wrong(customers, LIMIT_S - 0.1, 200)
    assert not _is_wrong(customers, LIMIT_S + 0.1, 401)
    assert not _is_wrong(customers, LIMIT_S + 0.1, 503)
    # The customer may be back before the answer.
    assert not _is_wrong(customers, END_S - 0.1, 200, took_s=0.2)
    assert _is_wrong(customers, BACK_S + 0.1, 401)


def test_key_that_is_refused_without_a_list_of_customers_is_found():
    for key in (USUAL_KEY, customer_changes.UNKNOWN_KEY):
        assert _is_wrong(Customers.ABSENT, LIMIT_S + 0.1, 401, key)
        assert not _is_wrong(Customers.ABSENT, LIMIT_S + 0.1, 200, key)
    unknown = customer_changes.UNKNOWN_KEY
    assert not _is_wrong(Customers.ABSENT, LIMIT_S - 0.1, 401, unknown)
    assert not _is_wrong(Customers.ABSENT, BACK_S - 0.1, 200, unknown)
    assert _is_wrong(Customers.ABSENT, BACK_S + 0.1, 200, unknown)


def test_answer_of_a_node_that_restarted_is_excused():
    disrupted = disruptions.Disruptions()
    disrupted.record(plan.Fault("node_kill", 0.0, 0.3, 1), LIMIT_S, LIMIT_S + 1)
    sent_s = LIMIT_S + 1.1
    assert not _is_wrong(Customers.EMPTY, sent_s, 200, disrupted=disrupted)
    sent_s += disruptions.STABLE_WINDOW_S
    assert _is_wrong(Customers.EMPTY, sent_s, 200, disrupted=disrupted)


def test_three_series_remove_the_customer_in_all_ways():
    for seed in range(20):
        faults = customer_changes.draw(seed, 3)
        assert faults == customer_changes.draw(seed, 3)
        assert {f.way for f in faults} == {*Customers} - {Customers.USUAL}
