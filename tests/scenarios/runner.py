"""Runner of scenarios: real control code, a manual clock and a seed.

`python -m tests.scenarios.runner --seed 1 --count 100` runs random fault
schedules; a failure prints its seed and its scenario.
"""

import argparse
import asyncio
import functools
import sys

import attrs

from balsamlug import snapshots
from balsamlug import tables
from balsamlug.config import schema
from tests.ownership import harness
from tests.scenarios import checker
from tests.scenarios import language
from tests.scenarios import schedules
from tests.scenarios import trace

UNBOUNDED_GROUPS = 10_000


class ExpectationFailed(AssertionError):
    """An `expect` action of a scenario does not hold."""


class ScenarioRun:
    """One run of a scenario, which records a trace step after each tick."""

    def __init__(self, scenario: language.Scenario, seed: int) -> None:
        self.scenario = scenario
        self.fleet = harness.Fleet(
            scenario.nodes,
            {d.name: d.engines for d in scenario.domains},
            [_deployment(d) for d in scenario.deployments],
            seed,
        )
        for domain in scenario.domains:
            for name in self.engines_of(domain.name):
                self.fleet.engines[name].fencing = domain.fencing
        self.start_s = self.fleet.clock.now_s
        self.steps: list[trace.Step] = []

    def engines_of(self, domain: str) -> list[str]:
        """Return the names of a domain's engines."""
        prefix = f"{domain}-e"
        return [n for n in self.fleet.engines if n.startswith(prefix)]

    def node(self, target: str) -> harness.FakeNode:
        """Return a node by name, or the lease holder of a domain.

        A domain without a holder gives node n0.
        """
        kind, _, domain = target.partition(":")
        if not domain:
            return self.fleet.nodes[kind]
        holders = self.holders().get(domain, ())
        return self.fleet.nodes[holders[0] if holders else "n0"]

    def holders(self) -> dict[str, tuple[str, ...]]:
        """Return the running nodes that act as lease holder of each domain."""
        now_s = self.fleet.clock.now_s
        holders: dict[str, tuple[str, ...]] = {}
        for node in self.fleet.nodes.values():
            if not node.paused:
                for record in node.tasks.manager.held_domains(now_s):
                    nodes = holders.get(record.domain, ())
                    holders[record.domain] = (*nodes, node.id)
        return holders

    def ready_groups(self, domain: str) -> set[str]:
        """Return the groups of a domain that a connected node may use."""
        now_s = self.fleet.clock.now_s
        node = next(
            n
            for n in self.fleet.nodes.values()
            if not n.paused and not n.isolated
        )
        return {
            g
            for g in list(node.state.reports)
            if g.startswith(f"{domain}-")
            and node.state.group_status(g, now_s).ready
        }

    async def execute(self) -> list[trace.Step]:
        """Perform all events and return the trace."""
        events = sorted(self.scenario.events, key=lambda event: event.at_s)
        for event in events:
            await self._run_until(event.at_s)
            action_function(event.action.verb)(event.action, self)
        await self._run_until(self.scenario.end_s)
        return self.steps

    async def _run_until(self, at_s: float) -> None:
        while self.fleet.clock.now_s - self.start_s < at_s:
            await self.fleet.run(harness.STEP_S)
            self.steps.append(self.snapshot())

    def snapshot(self) -> trace.Step:
        """Return the state of the fleet at this moment."""
        now_s = self.fleet.clock.now_s
        return trace.Step(
            now_s - self.start_s,
            {n: self._engine_state(n) for n in self.fleet.engines},
            self._assignments(),
            tuple(self._uses(now_s)),
            self.holders(),
        )

    def _engine_state(self, name: str) -> trace.EngineState:
        engine = self.fleet.engines[name]
        listed_state = self.fleet.instances[name].state
        leaving = listed_state is tables.InstanceState.LEAVING
        order = engine.order
        return trace.EngineState(
            engine.up and not engine.unresponsive,
            engine.incarnation,
            order.get("group", ""),
            order.get("generation", 0),
            bool(order) and self.fleet.clock.now_s >= engine.ready_at_s,
            leaving or engine.draining,
        )

    def _assignments(self) -> dict:
        return {
            domain: {
                group_id: (group["generation"], tuple(group["members"]))
                for group_id, group in self.fleet.groups(domain).items()
            }
            for domain in self.fleet.store.objects
        }

    def _uses(self, now_s: float):
        for node in self.fleet.nodes.values():
            if node.paused:
                continue
            for group_id in list(node.state.reports):
                status = node.state.group_status(group_id, now_s)
                if status.ready:
                    yield trace.Use(node.id, group_id, status.generation)


def _deployment(declared: language.Deployment) -> schema.Deployment:
    max_groups = (
        UNBOUNDED_GROUPS if declared.max_groups is None else declared.max_groups
    )
    return schema.Deployment(
        declared.name,
        f"m-{declared.name}",
        declared.size,
        max_groups=max_groups,
    )


def action_function(verb: str):
    """Return the function that performs an action."""
    return _ACTIONS[verb]


def _kill(action, run):
    run.fleet.engines[action.target].up = False


def _restart(action, run):
    engine = run.fleet.engines[action.target]
    engine.restart()
    engine.up, engine.unresponsive, engine.draining = True, False, False
    _set_listed_state(run, action.target, tables.InstanceState.LIVE)


def _hang(action, run):
    run.fleet.engines[action.target].unresponsive = True


def _recover(action, run):
    run.fleet.engines[action.target].unresponsive = False


def _leave(action, run):
    _set_listed_state(run, action.target, tables.InstanceState.LEAVING)


def _set_listed_state(run, name, state):
    instances = run.fleet.instances
    incarnation = run.fleet.engines[name].incarnation
    instances[name] = attrs.evolve(
        instances[name], state=state, incarnation=incarnation
    )
    run.fleet.sync_instances()


def _drain(action, run):
    run.fleet.engines[action.target].draining = True


def _pause(action, run):
    run.node(action.target).paused = True


def _resume(action, run):
    del action
    for node in run.fleet.nodes.values():
        node.paused = False


def _hold_orders(action, run):
    run.node(action.target).held_orders = []


def _deliver(action, run):
    del action
    for node in run.fleet.nodes.values():
        for name, body in node.held_orders or []:
            run.fleet.engines[name].receive(body)
        node.held_orders = None


def _isolate(action, run):
    run.node(action.target).isolated = True


def _rejoin(action, run):
    del action
    now_s = run.fleet.clock.now_s
    nodes = run.fleet.nodes.values()
    for node in nodes:
        node.isolated = False
    # Nodes exchange snapshots when they connect.
    for node in nodes:
        for message in snapshots.messages(node.state, now_s):
            for other in nodes:
                if other is not node:
                    other.state.publish(message, now_s)


def _cut(action, run):
    node, _, engine = action.target.partition("/")
    run.node(node).unreachable.add(engine)


def _heal(action, run):
    del action
    for node in run.fleet.nodes.values():
        node.unreachable.clear()


def _set_store_down(down):
    def perform(action, run):
        del action
        run.fleet.store.down = down

    return perform


def _lose_answers(action, run):
    run.fleet.store.lose_answers = action.number


def _set_unresponsive(unresponsive):
    def perform(action, run):
        for name in run.engines_of(action.target):
            run.fleet.engines[name].unresponsive = unresponsive

    return perform


def _expect(action, run):
    ready = run.ready_groups(action.target)
    if len(ready) != action.number:
        raise ExpectationFailed(
            f"{action.target} has ready groups {sorted(ready)},"
            f" expected {action.number}"
        )


_ACTIONS = {
    "kill": _kill,
    "restart": _restart,
    "hang": _hang,
    "recover": _recover,
    "leave": _leave,
    "drain": _drain,
    "pause": _pause,
    "resume": _resume,
    "hold_orders": _hold_orders,
    "deliver": _deliver,
    "isolate": _isolate,
    "rejoin": _rejoin,
    "cut": _cut,
    "heal": _heal,
    "store_down": _set_store_down(True),
    "store_up": _set_store_down(False),
    "lose": _lose_answers,
    "darken": _set_unresponsive(True),
    "light": _set_unresponsive(False),
    "expect": _expect,
}


@functools.cache
def run_text(text: str, seed: int) -> tuple[str, ...]:
    """Run a scenario and return its violations."""
    run = ScenarioRun(language.parse(text), seed)
    try:
        steps = asyncio.run(run.execute())
    except ExpectationFailed as exc:
        return (f"expectation: {exc}", *checker.find_violations(run.steps))
    return tuple(checker.find_violations(steps))


def main() -> int:
    """Run random fault schedules and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=100)
    args = parser.parse_args()
    failed = 0
    for seed in range(args.seed, args.seed + args.count):
        text = schedules.generate(seed)
        violations = run_text(text, seed)
        if violations:
            failed += 1
            print(f"seed {seed}:\n{text}")
            print("\n".join(violations[:5]))
    print(f"{args.count - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
