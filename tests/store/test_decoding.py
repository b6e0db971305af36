"""Guards against an unreadable part of an answer that takes the others."""

import json

import hypothesis
from hypothesis import strategies as st
import pytest

from balsamlug.store import decoding
from tests import odd_values

SHAPE = {"Entries": [{}]}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | st.text(max_size=8),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=4), children, max_size=3)
    ),
    max_leaves=8,
)


def _entry(name: str, spec: bytes) -> bytes:
    return b' { "Name" : %b ,\n"Spec":%b}' % (json.dumps(name).encode(), spec)


@hypothesis.given(
    st.lists(JSON, max_size=4),
    st.sampled_from(odd_values.UNREADABLE),
    st.integers(0, 4),
    st.booleans(),
)
@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
def test_unreadable_value_leaves_the_other_entries(values, odd, at, escaped):
    specs = [json.dumps(v, ensure_ascii=escaped).encode() for v in values]
    at = min(at, len(specs))
    specs.insert(at, odd_values.VALUES[odd])
    entries = [_entry(f"i-{n}", spec) for n, spec in enumerate(specs)]
    body = b'{"More":false,"Entries": [%b ] , "CurrentRev":7}' % b",".join(
        entries
    )
    decoded = decoding.decode(body, SHAPE)
    assert (decoded["More"], decoded["CurrentRev"]) == (False, 7)
    names = [entry["Name"] for entry in decoded["Entries"]]
    assert names == [f"i-{n}" for n in range(len(specs))]
    specs = [entry["Spec"] for entry in decoded["Entries"]]
    assert isinstance(specs.pop(at), decoding.Unreadable)
    assert specs == values


@pytest.mark.parametrize("name", odd_values.UNREADABLE)
def test_unreadable_item_leaves_the_other_items(name):
    body = b'{"Entries":[{"a":1},%b,{"a":2}]}' % odd_values.VALUES[name]
    first, _, last = decoding.decode(body, SHAPE)["Entries"]
    assert (first, last) == ({"a": 1}, {"a": 2})


@pytest.mark.parametrize(
    "text",
    [b"", b"[", b"{", b'{"Entries"', b'{"Entries":[}', b'{"a":1,}', b'{"a"}'],
)
def test_text_without_separable_parts_is_unreadable(text):
    assert isinstance(decoding.decode(text, SHAPE), decoding.Unreadable)
