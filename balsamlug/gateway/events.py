"""Split the body of an event stream into complete events.

The gateway forwards only complete events, so that another upstream can resume
a stream after any of them.
"""

import re

import attrs

from balsamlug import numerals

# Many times the size of an event with the tokens of one pass; anything larger
# is not a valid event.
MAX_EVENT_BYTES = 256 * 1024
# Lines end with LF or CRLF, and a blank line ends an event. Without CR, a plain
# split is sufficient and faster.
_LF_END = b"\n\n"
_END = re.compile(rb"\r?\n\r?\n")
_BLANK_LINES = (b"\n", b"\r\n")
_ID = b"id:"
_COMMENT = b":"


@attrs.define
class EventSplitter:
    """Return only complete events, each one once and in order.

    Attributes:
      last_id: id of the last event that was returned, empty before the first.
      error: description of a fault in the stream; no event is returned after
        it.
      progressed: whether the last data completed an event with content.
        Comments and empty events only keep a connection open.
    """

    last_id: str = ""
    error: str = ""
    progressed: bool = False
    _buffer: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Return the complete events that the data adds."""
        events, self._buffer = _split(self._buffer + data)
        if len(self._buffer) > MAX_EVENT_BYTES:
            self.error = "oversized event"
        complete = []
        self.progressed = False
        for event in events:
            if self.error or not self._is_next(event):
                break
            complete.append(event)
            self.progressed = self.progressed or _has_content(event)
        return b"".join(complete)

    @property
    def is_complete(self) -> bool:
        """Return whether all data so far forms complete, valid events."""
        return not self._buffer and not self.error

    def reset(self) -> None:
        """Discard a partial event before the stream is resumed elsewhere."""
        self._buffer = b""
        self.error = ""

    def _is_next(self, event: bytes) -> bool:
        event_id = _event_id(event)
        if event_id is None:
            return True
        number, last = _number(event_id), _number(self.last_id)
        if None not in (number, last) and number != last + 1:
            self.error = f"event {event_id} after event {self.last_id}"
            return False
        self.last_id = event_id
        return True


def _number(event_id: str) -> int | None:
    """Return the number of an event, None if its id is no exact number."""
    number = numerals.parse(event_id)
    return number if number != numerals.MAX_NUMBER else None


def _split(data: bytes) -> tuple[list[bytes], bytes]:
    """Return the complete events with their ends, and the rest."""
    *events, rest = _split_lf(data) if b"\r" not in data else _split_any(data)
    if rest in _BLANK_LINES:
        # A blank line between events is not the start of an event.
        return [*events, rest], b""
    return events, rest


def _split_lf(data: bytes) -> list[bytes]:
    *events, rest = data.split(_LF_END)
    return [*(event + _LF_END for event in events), rest]


def _split_any(data: bytes) -> list[bytes]:
    ends = [match.end() for match in _END.finditer(data)]
    bounds = zip([0, *ends], [*ends, len(data)], strict=True)
    return [data[start:end] for start, end in bounds]


def _has_content(event: bytes) -> bool:
    return any(
        line and not line.startswith(_COMMENT) for line in event.splitlines()
    )


def _event_id(event: bytes) -> str | None:
    for line in event.splitlines():
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode("latin-1")
    return None
