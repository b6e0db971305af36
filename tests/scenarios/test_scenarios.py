"""Run every scripted scenario against the independent checker.

Guards I1 (a group serves only with all its members), I2 (an instance is in one
group only), I6 (a leaving instance gets no new work) and lease exclusion (one
holder for each domain) under the faults of section 1.5 of the design page.
"""

import pathlib

import lark
import pytest

from tests.scenarios import language
from tests.scenarios import runner
from tests.scenarios import schedules

CASES = sorted(pathlib.Path(__file__).parent.glob("cases/*.scenario"))
SEED = 1
# `python -m tests.scenarios.runner` runs other seeds.
RANDOM_SEEDS = range(1, 13)


@pytest.mark.parametrize("path", CASES, ids=[path.stem for path in CASES])
def test_scenario_holds(path):
    assert not runner.run_text(path.read_text(), SEED)


@pytest.mark.parametrize("seed", RANDOM_SEEDS)
def test_random_faults_violate_no_invariant_and_groups_recover(seed):
    text = schedules.generate(seed)
    assert not runner.run_text(text, seed), f"seed {seed}\n{text}"


def test_same_seed_gives_the_same_trace():
    # A failure must be reproducible from its seed.
    def run_seed():
        run = runner.ScenarioRun(language.parse(schedules.generate(5)), 5)
        runner.asyncio.run(run.execute())
        return run.steps

    assert run_seed() == run_seed()


@pytest.mark.parametrize(
    "text",
    [
        'scenario "x" nodes 1 run until',
        'scenario "x" nodes 1 at 5 explode d1-e0 run until 9',
        "nodes 1 run until 9",
    ],
)
def test_text_outside_the_language_is_rejected(text):
    with pytest.raises(lark.exceptions.UnexpectedInput):
        language.parse(text)
