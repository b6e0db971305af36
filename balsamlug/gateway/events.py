"""Cut the body of an event stream into whole events."""

import attrs

# A pass of a large batch fits many times; anything larger is no event.
MAX_EVENT_BYTES = 256 * 1024
_END = b"\n\n"
_ID = b"id:"


@attrs.define
class EventCutter:
    """Pass on whole events only, each one once and in order.

    Attributes:
      last: id of the last event that was passed on, empty before the first.
      fault: what is wrong with the stream; nothing is passed on after it.
    """

    last: str = ""
    fault: str = ""
    _rest: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are new."""
        *events, self._rest = (self._rest + data).split(_END)
        if len(self._rest) > MAX_EVENT_BYTES:
            self.fault = "oversized event"
        passed = []
        for event in events:
            if self.fault or not self._is_next(event):
                break
            passed.append(event + _END)
        return b"".join(passed)

    @property
    def is_clean(self) -> bool:
        """Return whether the stream is whole up to here."""
        return not self._rest and not self.fault

    def restart(self) -> None:
        """Forget the rest of a stream that another upstream goes on with."""
        self._rest = b""
        self.fault = ""

    def _is_next(self, event: bytes) -> bool:
        event_id = _event_id(event)
        if event_id is None:
            return True
        numbered = self.last.isdigit() and event_id.isdigit()
        if numbered and int(event_id) != int(self.last) + 1:
            self.fault = f"event {event_id} after event {self.last}"
            return False
        self.last = event_id
        return True


def _event_id(event: bytes) -> str | None:
    for line in event.splitlines():
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode("latin-1")
    return None
