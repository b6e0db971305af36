"""Random fault schedules, written in the scenario language."""

import random

FAULT_WINDOW_S = (20, 120)
# All faults end at HEAL_S; all groups must be ready again by END_S.
HEAL_S = 130
END_S = 190
NODES = 4
GROUP_SIZE = 2


def generate(seed: int) -> str:
    """Return a scenario with random faults, all of which end before its end."""
    rng = random.Random(seed)
    engines = {"d1": rng.randint(4, 6), "d2": rng.randint(4, 6)}
    lines = [f'scenario "random faults, seed {seed}"', f"nodes {NODES}"]
    for domain, count in engines.items():
        unfenced = "unfenced " if rng.random() < 0.5 else ""
        lines.append(f"domain {domain} with {count} {unfenced}engines")
    lines.append(f"deployment chat of {GROUP_SIZE}")
    lines += _faults(rng, engines)
    lines += _repairs(engines)
    for domain, count in engines.items():
        groups = count // GROUP_SIZE
        lines.append(f"at {END_S} expect {groups} ready groups in {domain}")
    lines.append(f"run until {END_S}")
    return "\n".join(lines)


def _faults(rng: random.Random, engines: dict[str, int]) -> list[str]:
    times = sorted(rng.uniform(*FAULT_WINDOW_S) for _ in range(12))
    return [f"at {at_s:.2f} {_fault(rng, engines)}" for at_s in times]


def _fault(rng: random.Random, engines: dict[str, int]) -> str:
    domain = rng.choice(sorted(engines))
    engine = f"{domain}-e{rng.randrange(engines[domain])}"
    # Node n0 is never paused or isolated, so that the checker has a node to
    # check at every step.
    node = f"n{rng.randrange(1, NODES)}"
    return rng.choice(
        (
            f"kill {engine}",
            f"restart {engine}",
            f"hang {engine}",
            f"recover {engine}",
            f"leave {engine}",
            f"drain {engine}",
            f"pause {node}",
            "resume all nodes",
            f"hold orders of {node}",
            "deliver held orders",
            f"isolate {node}",
            "rejoin all nodes",
            f"cut {node} from {engine}",
            "heal all paths",
            "store down",
            "store up",
            "lose 1 answers",
            f"darken {domain}",
            f"light {domain}",
        )
    )


def _repairs(engines: dict[str, int]) -> list[str]:
    actions = [
        "store up",
        "resume all nodes",
        "rejoin all nodes",
        "deliver held orders",
        "heal all paths",
    ]
    actions += [f"light {domain}" for domain in engines]
    actions += [
        f"restart {domain}-e{number}"
        for domain, count in engines.items()
        for number in range(count)
    ]
    return [f"at {HEAL_S} {action}" for action in actions]
