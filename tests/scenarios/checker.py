"""Checks of the invariants on a trace.

The checker uses no code of balsamlug, so that a fault in its readiness or lease
logic cannot hide a violation. The bounds are those of the design page.

I1: a group serves only while all its members serve the same generation.
I2: an instance is in one group only.
I6: a group with a leaving instance gets no new work after a few seconds.
Lease exclusion: a domain has at most one lease holder.
"""

import collections

from tests.scenarios import trace

# Lifetime of a readiness observation.
OBSERVATION_LIFETIME_S = 3.0
# Bound for the "few seconds" of I6.
LEAVING_LIMIT_S = 5.0
STEP_TOLERANCE_S = 0.25


def find_violations(steps: list[trace.Step]) -> list[str]:
    """Return every violation of I1, I2 and I6 and of lease exclusion."""
    members = _committed_members(steps)
    violations = []
    violations += _check_complete_groups(steps, members)
    violations += _check_single_membership(steps)
    violations += _check_disjoint_use(steps, members)
    violations += _check_leaving_members(steps, members)
    violations += _check_single_holder(steps)
    return violations


def _committed_members(
    steps: list[trace.Step],
) -> dict[tuple[str, int], tuple[str, ...]]:
    """Return the members of every committed generation of each group."""
    return {
        (group, generation): members
        for step in steps
        for groups in step.assignments.values()
        for group, (generation, members) in groups.items()
    }


def _check_complete_groups(steps, members) -> list[str]:
    """Check I1: every member of a group in use served it recently.

    Each member must have served the generation in use within the lifetime of
    an observation.
    """
    violations = []
    last_served_s: dict[tuple[str, str, int], float] = {}
    for step in steps:
        _record_serving(step, last_served_s)
        for use in step.uses:
            for member in members.get((use.group, use.generation), ("?",)):
                key = (member, use.group, use.generation)
                age_s = step.at_s - last_served_s.get(key, float("-inf"))
                if age_s > OBSERVATION_LIFETIME_S + STEP_TOLERANCE_S:
                    violations.append(
                        f"I1 at {step.at_s}: {use.node} uses {use.group}"
                        f" generation {use.generation} without {member}"
                    )
    return violations


def _record_serving(step, last_served_s) -> None:
    for name, engine in step.engines.items():
        if engine.answers and engine.loaded and engine.group:
            key = (name, engine.group, engine.generation)
            last_served_s[key] = step.at_s


def _check_single_membership(steps) -> list[str]:
    """Check I2: no instance is in two groups of the stored assignments."""
    violations = []
    for step in steps:
        counts = collections.Counter(
            member
            for groups in step.assignments.values()
            for _, members in groups.values()
            for member in members
        )
        duplicates = sorted(m for m, count in counts.items() if count > 1)
        if duplicates:
            violations.append(
                f"I2 at {step.at_s}: {duplicates} are in two groups"
            )
    return violations


def _check_disjoint_use(steps, members) -> list[str]:
    """Check I2: no instance is in use for two groups at once.

    The views of two nodes may differ for the lifetime of an observation.
    """
    violations = []
    started_s: dict[tuple[str, str, str], float] = {}
    for step in steps:
        overlaps = _overlaps(step, members)
        started_s = {o: started_s.get(o, step.at_s) for o in overlaps}
        for overlap, start_s in started_s.items():
            limit_s = OBSERVATION_LIFETIME_S + STEP_TOLERANCE_S
            if step.at_s - start_s > limit_s:
                violations.append(f"I2 at {step.at_s}: in use twice {overlap}")
    return violations


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


def _check_leaving_members(steps, members) -> list[str]:
    """Check I6: no group with a leaving instance is in use after the limit."""
    violations = []
    started_s: dict[str, float] = {}
    for step in steps:
        leaving = [n for n, e in step.engines.items() if e.leaving]
        started_s = {name: started_s.get(name, step.at_s) for name in leaving}
        overdue = {
            name
            for name, start_s in started_s.items()
            if step.at_s - start_s > LEAVING_LIMIT_S
        }
        for use in step.uses:
            used = set(members.get((use.group, use.generation), ()))
            if used & overdue:
                violations.append(
                    f"I6 at {step.at_s}: {use.node} uses {use.group} with"
                    f" {sorted(used & overdue)}"
                )
    return violations


def _check_single_holder(steps) -> list[str]:
    """Check lease exclusion: no domain has two lease holders."""
    return [
        f"lease at {step.at_s}: {domain} is held by {nodes}"
        for step in steps
        for domain, nodes in step.holders.items()
        if len(nodes) > 1
    ]
