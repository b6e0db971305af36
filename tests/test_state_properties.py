"""Guards against a state that depends on the order or damage of messages."""

import attrs
import hypothesis
from hypothesis import strategies as st

from balsamlug import exceptions
from balsamlug import snapshots
from balsamlug import state as fleet
from balsamlug.messages import codec
from balsamlug.messages import types
from tests import strategies

LISTS = st.lists(strategies.MESSAGES, max_size=12)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=9), inner, max_size=3)
    ),
    max_leaves=8,
)
KEYS = st.sampled_from(
    [
        "id",
        "address",
        "kind",
        "incarnation",
        "state",
        "lease",
        "groups",
        "members",
        "epoch",
        "holder",
        "draining",
        "generation",
        "base",
        "overlays",
        "revision",
    ]
)
OBJECTS = st.dictionaries(KEYS, JSON | st.dictionaries(KEYS, JSON))
NUMBERS = st.integers(-2, 2**63 - 1) | st.integers(0, 9)
FIELDS = {
    int: NUMBERS,
    str: st.text(max_size=9) | st.sampled_from(["up", "127.0.0.1:80"]),
    bool: st.booleans(),
    bytes: st.binary(max_size=40),
    dict: OBJECTS,
    list: st.lists(OBJECTS, max_size=2) | st.lists(NUMBERS, max_size=5),
}


def _fill(messages) -> fleet.FleetState:
    state = fleet.FleetState("vedrina")
    for message in messages:
        state.publish(message, 100.0)
    return state


def _content(state: fleet.FleetState) -> tuple:
    reports = {
        (group, prober): received.report
        for group, by_prober in state.reports.items()
        for prober, received in by_prober.items()
    }
    suspicions = {n: s.crashes for n, s in state.suspicions.items()}
    return (
        state.nodes,
        state.config_revision,
        state.settings,
        state.domains,
        state.instances,
        reports,
        suspicions,
        sorted(state.report_keys.values()),
    )


@hypothesis.given(LISTS, st.randoms(use_true_random=False))
@hypothesis.settings(deadline=None)
def test_state_is_independent_of_order_and_repetition(messages, rng):
    shuffled = messages + rng.choices(messages, k=3) if messages else []
    rng.shuffle(shuffled)
    assert _content(_fill(messages)) == _content(_fill(shuffled))


@hypothesis.given(LISTS)
@hypothesis.settings(deadline=None)
def test_a_snapshot_carries_the_complete_state(messages):
    state = _fill(messages)
    assert _content(_fill(snapshots.messages(state, 100.0))) == _content(state)


@hypothesis.given(LISTS)
@hypothesis.settings(deadline=None)
def test_config_revision_and_versions_never_decrease(messages):
    state = fleet.FleetState("vedrina")
    for message in messages:
        revision = state.config_revision
        versions = {n: d.version for n, d in state.domains.items()}
        state.publish(message, 100.0)
        assert state.config_revision >= revision
        assert all(state.domains[n].version >= v for n, v in versions.items())


@hypothesis.given(st.data())
@hypothesis.settings(deadline=None, max_examples=400)
def test_arbitrary_values_are_applied_or_rejected_with_a_typed_error(data):
    cls = data.draw(st.sampled_from(list(types.TYPES.values())))
    fields = [data.draw(FIELDS[f.type]) for f in attrs.fields(cls)]
    try:
        message = cls(*fields)
    except (TypeError, ValueError):
        return
    state = fleet.FleetState("vedrina")
    before = _content(state)
    try:
        state.publish(message, 100.0)
    except exceptions.ProtocolError:
        assert _content(state) == before


@hypothesis.given(strategies.MESSAGES)
def test_codec_decodes_to_the_encoded_message(message):
    assert codec.decode_body(codec.encode_body(message)) == message


@hypothesis.given(strategies.MESSAGES, st.data())
def test_corrupted_bodies_give_a_typed_error_or_a_message(message, data):
    body = bytearray(codec.encode_body(message))
    position = data.draw(st.integers(0, len(body) - 1))
    body[position] = data.draw(st.integers(0, 255))
    length = data.draw(st.integers(0, len(body)))
    for damaged in (bytes(body), bytes(body[:length])):
        try:
            decoded = codec.decode_body(damaged)
            _fill([decoded])
        except exceptions.ProtocolError:
            pass


def test_repeated_report_does_not_renew_an_old_observation():
    """The age excludes the time in a socket, so copies would circulate."""
    state = fleet.FleetState("vedrina")
    report = types.GroupReport(
        "g", "p", "d", 1, True, True, "", "", [0, 0, 8, 0, 0], 0, 7
    )
    assert state.publish(report, 100.0)
    late_s = 100.0 + 2 * fleet.REPORT_LIFETIME_S
    assert not state.publish(report, late_s)
    assert not state.group_status("g", late_s).ready
