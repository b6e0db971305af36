"""Check the invariants on a trace, without asking the product.

The bounds are those of the design page.
"""

import collections

from tests.scenarios import trace

# Lifetime of a readiness observation.
OBSERVATION_LIFETIME_S = 3.0
# "After a few seconds" of invariant I6.
LEAVING_LIMIT_S = 5.0
STEP_TOLERANCE_S = 0.25


def violations(steps: list[trace.Step]) -> list[str]:
    """Return every violation of I1, I2 and I6 and of lease exclusion."""
    members = _members(steps)
    found = []
    found += _whole_groups(steps, members)
    found += _single_membership(steps)
    found += _disjoint_use(steps, members)
    found += _leaving(steps, members)
    found += _single_holder(steps)
    return found


def _members(
    steps: list[trace.Step],
) -> dict[tuple[str, int], tuple[str, ...]]:
    """Return the members of every generation that was ever committed."""
    return {
        (group, generation): members
        for step in steps
        for groups in step.assignments.values()
        for group, (generation, members) in groups.items()
    }


def _whole_groups(steps, members) -> list[str]:
    """I1: each member served the generation within the lifetime."""
    found = []
    last_whole: dict[tuple[str, str, int], float] = {}
    for step in steps:
        _note_serving(step, last_whole)
        for use in step.uses:
            for member in members.get((use.group, use.generation), ("?",)):
                key = (member, use.group, use.generation)
                age_s = step.at_s - last_whole.get(key, float("-inf"))
                if age_s > OBSERVATION_LIFETIME_S + STEP_TOLERANCE_S:
                    found.append(
                        f"I1 at {step.at_s}: {use.node} uses {use.group}"
                        f" generation {use.generation} without {member}"
                    )
    return found


def _note_serving(step, last_whole) -> None:
    for name, engine in step.engines.items():
        if engine.answers and engine.loaded and engine.group:
            key = (name, engine.group, engine.generation)
            last_whole[key] = step.at_s


def _single_membership(steps) -> list[str]:
    """I2: no stored assignment has an instance twice."""
    found = []
    for step in steps:
        counts = collections.Counter(
            member
            for groups in step.assignments.values()
            for _, members in groups.values()
            for member in members
        )
        twice = sorted(m for m, count in counts.items() if count > 1)
        if twice:
            found.append(f"I2 at {step.at_s}: {twice} are in two groups")
    return found


def _disjoint_use(steps, members) -> list[str]:
    """I2: no instance is in use for two groups beyond the lifetime."""
    found = []
    since: dict[tuple[str, str, str], float] = {}
    for step in steps:
        overlaps = _overlaps(step, members)
        since = {o: since.get(o, step.at_s) for o in overlaps}
        for overlap, start_s in since.items():
            limit_s = OBSERVATION_LIFETIME_S + STEP_TOLERANCE_S
            if step.at_s - start_s > limit_s:
                found.append(f"I2 at {step.at_s}: in use twice {overlap}")
    return found


def _overlaps(step, members) -> set[tuple[str, str, str]]:
    groups_of = collections.defaultdict(set)
    for use in step.uses:
        for member in members.get((use.group, use.generation), ()):
            groups_of[member].add(use.group)
    return {
        (member, *sorted(groups)[:2])
        for member, groups in groups_of.items()
        if len(groups) > 1
    }


def _leaving(steps, members) -> list[str]:
    """I6: no group with a leaving instance is in use after the limit."""
    found = []
    since: dict[str, float] = {}
    for step in steps:
        stopping = [n for n, e in step.engines.items() if e.stopping]
        since = {name: since.get(name, step.at_s) for name in stopping}
        late = {
            name
            for name, start_s in since.items()
            if step.at_s - start_s > LEAVING_LIMIT_S
        }
        for use in step.uses:
            used = set(members.get((use.group, use.generation), ()))
            if used & late:
                found.append(
                    f"I6 at {step.at_s}: {use.node} uses {use.group} with"
                    f" {sorted(used & late)}"
                )
    return found


def _single_holder(steps) -> list[str]:
    return [
        f"lease at {step.at_s}: {domain} is held by {nodes}"
        for step in steps
        for domain, nodes in step.holders.items()
        if len(nodes) > 1
    ]
