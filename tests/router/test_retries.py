"""Guards against retries that multiply the load during a failure."""

from balsamlug import clock as clocks
from balsamlug.router import retries


def test_retries_are_a_share_of_recent_first_attempts():
    clock = clocks.ManualClock()
    budget = retries.RetryBudget(clock)
    for _ in range(1000):
        budget.first_attempt()
    allowed = sum(budget.spend() for _ in range(1000))
    assert allowed == 100 + retries.BASE_RETRIES


def test_budget_is_available_again_after_the_window():
    clock = clocks.ManualClock()
    budget = retries.RetryBudget(clock)
    while budget.spend():
        pass
    clock.advance(retries.WINDOW_S + 1)
    assert budget.spend()
