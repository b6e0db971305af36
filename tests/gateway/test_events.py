"""Guards against events that are lost, repeated or cut in a stream."""

from balsamlug.gateway import events


def _event(number: int) -> bytes:
    return f"id: {number}\ndata: x{number}\n\n".encode()


def test_only_whole_events_are_passed_on():
    splitter = events.EventSplitter()
    data = _event(1) + _event(2)
    assert splitter.feed(data[:20]) == _event(1)
    assert not splitter.is_complete
    assert splitter.feed(data[20:]) == _event(2)
    assert splitter.is_complete
    assert splitter.last_id == "2"


def test_bytes_arrive_in_any_pieces():
    data = b"".join(_event(n) for n in range(1, 9))
    splitter = events.EventSplitter()
    out = b"".join(splitter.feed(data[i : i + 1]) for i in range(len(data)))
    assert out == data


def test_a_missing_event_stops_the_stream_before_it():
    splitter = events.EventSplitter()
    assert splitter.feed(_event(1) + _event(3)) == _event(1)
    assert splitter.error
    assert splitter.last_id == "1"


def test_a_repeated_event_is_a_fault():
    splitter = events.EventSplitter()
    splitter.feed(_event(1))
    assert splitter.feed(_event(1)) == b""
    assert splitter.error


def test_another_upstream_goes_on_after_the_last_whole_event():
    splitter = events.EventSplitter()
    splitter.feed(_event(1) + _event(2)[:5])
    splitter.reset()
    assert splitter.feed(_event(2)) == _event(2)
    assert splitter.is_complete


def test_a_resumed_stream_must_begin_after_what_the_caller_has():
    splitter = events.EventSplitter(last_id="12")
    assert splitter.feed(_event(12)) == b""
    splitter.reset()
    assert splitter.feed(_event(13)) == _event(13)


def test_an_endless_event_is_a_fault():
    splitter = events.EventSplitter()
    splitter.feed(b"x" * (events.MAX_EVENT_BYTES + 1))
    assert splitter.error
