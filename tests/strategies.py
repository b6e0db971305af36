"""Strategies that generate messages for property tests."""

from hypothesis import strategies as st

from balsamlug.messages import types

NAMES = st.sampled_from(["a", "b", "node-1"])
SMALL = st.integers(min_value=1, max_value=6)
STATES = st.sampled_from(["up", "leaving", "down"])

# Messages with the same version have the same content, as in a correct system.


def _config(revision: int) -> types.ConfigUpdate:
    base = f"[limits]\nmax_queue = {revision}\n"
    return types.ConfigUpdate(revision, {"revision": revision, "base": base})


def _domain(name: str, version: int) -> types.DomainUpdate:
    return types.DomainUpdate(name, version, {"next_group": version})


def _instances(revision: int) -> types.InstanceUpdate:
    raw = {
        "id": f"i-{revision}",
        "incarnation": "1",
        "kind": "engine",
        "address": "127.0.0.1:1",
    }
    return types.InstanceUpdate(revision, [raw])


def _report(group: str, prober: str, generation: int, tick: int):
    load = [tick, 0, 8, 0, 0]
    return types.GroupReport(
        group, prober, "d", generation, tick % 2 == 0, False, "", "", load,
        0, tick,
    )  # fmt: skip


NODE_UPDATES = st.builds(
    types.NodeUpdate,
    NAMES,
    SMALL,
    STATES,
    st.just("r"),
    st.just("fd"),
    st.just("127.0.0.1:1"),
)
MESSAGES = st.one_of(
    NODE_UPDATES,
    SMALL.map(_config),
    st.builds(_domain, NAMES, SMALL),
    SMALL.map(_instances),
    st.builds(_report, NAMES, NAMES, SMALL, SMALL),
    st.builds(types.SuspicionUpdate, NAMES, SMALL, st.just(0)),
)
