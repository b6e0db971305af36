"""Guards against undetected loss, duplication or reordering of tokens."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from balsamlug import exceptions
from balsamlug.router import sse


def stream(texts: list[str], first: int) -> bytes:
    events = [
        b"data: " + json.dumps({"index": first + i, "text": text}).encode()
        for i, text in enumerate(texts)
    ]
    return b"".join(event + b"\n\n" for event in [*events, b"data: [DONE]"])


@pytest.mark.parametrize("text", ["\ud83d", "\u2028", 'a"\n', "é"])
def test_any_text_is_relayed_unchanged(text):
    data = stream([text], 0)
    (parsed,) = sse.TokenReader(0).feed(data)
    assert json.loads(sse.dump_text(parsed)) == text


@hypothesis.given(
    strategies.lists(strategies.text(max_size=5), max_size=8),
    strategies.integers(0, 5),
    strategies.lists(strategies.integers(0, 300), max_size=6),
)
def test_any_split_of_the_bytes_yields_the_same_tokens(texts, first, cuts):
    data = stream(texts, first)
    reader = sse.TokenReader(first)
    parsed = []
    offsets = sorted({0, len(data), *(c % (len(data) + 1) for c in cuts)})
    for start, end in zip(offsets, offsets[1:], strict=False):
        parsed += reader.feed(data[start:end])
    assert parsed == texts
    assert reader.done


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b'data: {"index": 1, "text": "x"}\n\n', "repeated_index"),
        (b'data: {"index": 3, "text": "x"}\n\n', "skipped_index"),
        (b'data: {"index": true, "text": "x"}\n\n', "malformed_event"),
        (b'data: {"index": 2, "text": null}\n\n', "malformed_event"),
        (b'data: {"index": 2}\n\n', "malformed_event"),
        (b"data: []\n\n", "malformed_event"),
        (b"data: \xff\n\n", "malformed_event"),
        (b"event: error\n\n", "malformed_event"),
        (b"data: [DONE]\n\ndata: [DONE]\n\n", "data_after_end"),
        (b"x" * (sse.MAX_EVENT_BYTES + 1), "oversized_event"),
    ],
)
def test_malformed_streams_are_rejected_with_a_reason(data, reason):
    with pytest.raises(exceptions.ProtocolError) as info:
        sse.TokenReader(2).feed(data)
    assert info.value.reason == reason
