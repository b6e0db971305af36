"""Guards against events that are lost, repeated or cut in a stream."""

from balsamlug.gateway import events


def _event(number: int) -> bytes:
    return f"id: {number}\ndata: x{number}\n\n".encode()


def test_only_whole_events_are_passed_on():
    cutter = events.EventCutter()
    data = _event(1) + _event(2)
    assert cutter.feed(data[:20]) == _event(1)
    assert not cutter.is_clean
    assert cutter.feed(data[20:]) == _event(2)
    assert cutter.is_clean
    assert cutter.last == "2"


def test_bytes_arrive_in_any_pieces():
    data = b"".join(_event(n) for n in range(1, 9))
    cutter = events.EventCutter()
    out = b"".join(cutter.feed(data[i : i + 1]) for i in range(len(data)))
    assert out == data


def test_a_missing_event_stops_the_stream_before_it():
    cutter = events.EventCutter()
    assert cutter.feed(_event(1) + _event(3)) == _event(1)
    assert cutter.fault
    assert cutter.last == "1"


def test_a_repeated_event_is_a_fault():
    cutter = events.EventCutter()
    cutter.feed(_event(1))
    assert cutter.feed(_event(1)) == b""
    assert cutter.fault


def test_another_upstream_goes_on_after_the_last_whole_event():
    cutter = events.EventCutter()
    cutter.feed(_event(1) + _event(2)[:5])
    cutter.restart()
    assert cutter.feed(_event(2)) == _event(2)
    assert cutter.is_clean


def test_a_resumed_stream_must_begin_after_what_the_caller_has():
    cutter = events.EventCutter(last="12")
    assert cutter.feed(_event(12)) == b""
    cutter.restart()
    assert cutter.feed(_event(13)) == _event(13)


def test_an_endless_event_is_a_fault():
    cutter = events.EventCutter()
    cutter.feed(b"x" * (events.MAX_EVENT_BYTES + 1))
    assert cutter.fault
