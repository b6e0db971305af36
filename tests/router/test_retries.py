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


def test_requests_of_a_service_allow_no_retries_at_another():
    clock = clocks.ManualClock()
    budgets = retries.RetryBudgets(clock, share=0.5, base_retries=1.0)
    for _ in range(10):
        budgets.of("busy").first_attempt()
    assert [budgets.of("idle").spend() for _ in range(2)] == [True, False]
    assert [budgets.of("busy").spend() for _ in range(7)] == [True] * 6 + [
        False
    ]


def test_changed_terms_hold_for_the_budgets_of_all_services():
    budgets = retries.RetryBudgets(clocks.ManualClock(), base_retries=0.0)
    budget = budgets.of("s")
    assert not budget.has_left()
    budgets.base_retries = 1.0
    budgets.refresh()
    assert budget.has_left()
