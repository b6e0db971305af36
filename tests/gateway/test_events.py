"""Guards against lost, repeated or truncated events in a stream."""

import pytest

from balsamlug.gateway import events


def _event(number: int) -> bytes:
    return f"id: {number}\ndata: x{number}\n\n".encode()


def test_only_complete_events_are_returned():
    splitter = events.EventSplitter()
    data = _event(1) + _event(2)
    assert splitter.feed(data[:20]) == _event(1)
    assert not splitter.is_complete
    assert splitter.feed(data[20:]) == _event(2)
    assert splitter.is_complete
    assert splitter.last_id == "2"


def test_events_are_complete_for_any_chunk_size():
    data = b"".join(_event(n) for n in range(1, 9))
    splitter = events.EventSplitter()
    out = b"".join(splitter.feed(data[i : i + 1]) for i in range(len(data)))
    assert out == data


def test_missing_event_stops_the_stream_before_the_gap():
    splitter = events.EventSplitter()
    assert splitter.feed(_event(1) + _event(3)) == _event(1)
    assert splitter.error
    assert splitter.last_id == "1"


@pytest.mark.parametrize("last_id", ["\u00b2", "9" * 5_000])
def test_id_of_a_caller_that_is_no_number_does_not_fail_the_stream(last_id):
    splitter = events.EventSplitter(last_id=last_id)
    assert splitter.feed(_event(7)) == _event(7)
    assert not splitter.error


@pytest.mark.parametrize("event_id", ["\u00b2", "9" * 5_000])
def test_id_of_an_event_that_is_no_number_does_not_fail_the_stream(event_id):
    splitter = events.EventSplitter(last_id="6")
    event = f"id: {event_id}\ndata: x\n\n".encode("latin-1")
    assert splitter.feed(event) == event
    assert not splitter.error


def test_repeated_event_is_an_error():
    splitter = events.EventSplitter()
    splitter.feed(_event(1))
    assert splitter.feed(_event(1)) == b""
    assert splitter.error


def test_stream_resumes_after_the_last_complete_event():
    splitter = events.EventSplitter()
    splitter.feed(_event(1) + _event(2)[:5])
    splitter.reset()
    assert splitter.feed(_event(2)) == _event(2)
    assert splitter.is_complete


def test_resumed_stream_must_begin_after_the_last_received_event():
    splitter = events.EventSplitter(last_id="12")
    assert splitter.feed(_event(12)) == b""
    splitter.reset()
    assert splitter.feed(_event(13)) == _event(13)


def test_comments_and_empty_events_are_no_progress():
    # A stalled server may send them as long as the connection is open.
    splitter = events.EventSplitter()
    for kept_open in (b": ping\n\n", b"\n\n", b"id: 1\ndata:"):
        splitter.feed(kept_open)
        assert not splitter.progressed
    splitter.feed(b" x\n\n: ping\n\n")
    assert splitter.progressed


def test_oversized_event_is_an_error():
    splitter = events.EventSplitter()
    splitter.feed(b"x" * (events.MAX_EVENT_BYTES + 1))
    assert splitter.error


CRLF = b"".join(_event(n) for n in range(1, 4)).replace(b"\n", b"\r\n")


@pytest.mark.parametrize("size", [1, 2, 3, 7, len(CRLF)])
def test_events_with_carriage_returns_are_returned_unchanged(size):
    splitter = events.EventSplitter()
    pieces = [CRLF[i : i + size] for i in range(0, len(CRLF), size)]
    assert b"".join(splitter.feed(piece) for piece in pieces) == CRLF
    assert splitter.is_complete
    assert splitter.last_id == "3"


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
@pytest.mark.parametrize("size", [1, 1000])
def test_blank_line_after_an_event_is_not_inside_an_event(line_end, size):
    data = (_event(1) + b"\n").replace(b"\n", line_end)
    splitter = events.EventSplitter()
    pieces = [data[i : i + size] for i in range(0, len(data), size)]
    assert b"".join(splitter.feed(piece) for piece in pieces) == data
    assert splitter.is_complete


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
def test_stream_is_complete_only_after_a_blank_line(line_end):
    data = _event(1).replace(b"\n", line_end)
    for cut in range(1, len(data)):
        splitter = events.EventSplitter()
        assert splitter.feed(data[:cut]) == b""
        assert not splitter.is_complete
