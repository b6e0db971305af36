"""Parse the server-sent events of engines and build those for callers."""

import json

import attrs
import orjson

from balsamlug import exceptions

DONE = b"[DONE]"
DONE_EVENT = b"data: [DONE]\n\n"
CONTENT_TYPE = "text/event-stream"
# An event carries one token, which is far smaller.
MAX_EVENT_BYTES = 64 * 1024
_DATA = b"data: "
_END = b"\n\n"


@attrs.define
class TokenReader:
    """Parse the byte stream of an engine into tokens and check their order.

    Attributes:
      expected: index of the next token.
      done: whether the closing `[DONE]` has arrived.
    """

    expected: int
    done: bool = False
    _unparsed: bytes = b""

    def feed(self, chunk: bytes) -> list[str]:
        """Return the texts of the tokens that are completely received.

        Raises:
          ProtocolError: a malformed event, or a token out of order.
        """
        *events, self._unparsed = (self._unparsed + chunk).split(_END)
        if len(self._unparsed) > MAX_EVENT_BYTES:
            raise exceptions.ProtocolError("oversized_event")
        texts: list[str] = []
        for event in events:
            self._parse_event(event, texts)
        return texts

    def _parse_event(self, event: bytes, texts: list[str]) -> None:
        if self.done:
            raise exceptions.ProtocolError("data_after_end")
        if not event.startswith(_DATA):
            raise exceptions.ProtocolError("malformed_event")
        data = event[len(_DATA) :]
        if data == DONE:
            self.done = True
            return
        texts.append(self._token(data))
        self.expected += 1

    def _token(self, data: bytes) -> str:
        try:
            token = _parse_json(data)
            index, text = token["index"], token["text"]
        except (ValueError, KeyError, TypeError) as exc:
            raise exceptions.ProtocolError("malformed_event") from exc
        if type(index) is not int or type(text) is not str:
            raise exceptions.ProtocolError("malformed_event")
        if index != self.expected:
            is_repeated = index < self.expected
            raise exceptions.ProtocolError(
                "repeated_index" if is_repeated else "skipped_index"
            )
        return text


def _parse_json(data: bytes) -> object:
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError:
        # orjson rejects half of a surrogate pair, which a tokenizer may emit.
        return json.loads(data)


def dump_text(text: str) -> bytes:
    """Return the JSON form of a token's text."""
    try:
        return orjson.dumps(text)
    except TypeError:
        return json.dumps(text).encode()


def error_event(refusal: exceptions.Refusal) -> bytes:
    """Return the event that ends a stream with a typed error."""
    return b"event: error\ndata: " + json.dumps(refusal.body()).encode() + _END


def data_event(body: dict) -> bytes:
    """Return an event with a JSON body."""
    return _DATA + json.dumps(body).encode() + _END
