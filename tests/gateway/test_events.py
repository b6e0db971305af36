"""Guards against lost, repeated or truncated events in a stream."""

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
