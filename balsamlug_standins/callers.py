"""Clients of the routers, with a record of the response to each request."""

import http.client
import json
import secrets
import threading
import time
import uuid

import attrs

from balsamlug_standins import answers
from balsamlug_standins import control
from balsamlug_standins import serving

CONNECT_TIMEOUT_S = 5.0
_EVENT_ERROR = "event: error"


@attrs.define
class Completion:
    """Streamed completion whose fields are updated while it runs.

    Attributes:
      status: HTTP status, 0 until the response headers arrive.
      texts: texts of the tokens, in order of arrival.
      done: whether the stream ended with [DONE].
      error: error object of a refusal or of an error event.
      connection_error: how the connection or the stream failed, "" when
        neither did.
      ended: set when the response or the connection has ended.
    """

    prompt: str
    max_tokens: int
    status: int = 0
    texts: list[str] = attrs.field(factory=list)
    done: bool = False
    error: dict = attrs.field(factory=dict)
    connection_error: str = ""
    ended: threading.Event = attrs.field(factory=threading.Event)

    def is_complete(self) -> bool:
        """Return whether the complete expected answer arrived."""
        expected = answers.complete_text(self.prompt, self.max_tokens)
        return self.done and "".join(self.texts) == expected

    def correct_so_far(self) -> bool:
        """Return whether the text is a prefix of the expected answer."""
        expected = answers.complete_text(self.prompt, self.max_tokens)
        return expected.startswith("".join(self.texts))

    def summary(self) -> dict:
        """Return the fields that explain a failed check."""
        return {
            "prompt": self.prompt,
            "status": self.status,
            "tokens": f"{len(self.texts)}/{self.max_tokens}",
            "done": self.done,
            "correct": self.correct_so_far(),
            "error": self.error,
            "broken": self.connection_error,
        }


class Caller:
    """Client of one router that uses a customer's API key."""

    def __init__(self, port: int, key: str, deployment: str = "chat") -> None:
        self.port = port
        self.deployment = deployment
        self._headers = {
            "Authorization": f"Bearer {key}",
            "Content-Type": "application/json",
        }

    def start(
        self, prompt: str, max_tokens: int, timeout_s: float = 60.0
    ) -> Completion:
        """Start a streamed completion in a new thread."""
        completion = Completion(prompt, max_tokens)
        threading.Thread(
            target=self._run, args=(completion, timeout_s), daemon=True
        ).start()
        return completion

    def complete(
        self, prompt: str, max_tokens: int, timeout_s: float = 60.0
    ) -> Completion:
        """Run a streamed completion and wait until it ends."""
        completion = self.start(prompt, max_tokens, timeout_s)
        completion.ended.wait(timeout_s + CONNECT_TIMEOUT_S)
        return completion

    def call_service(
        self,
        name: str,
        path: str,
        key: str,
        body: dict,
        timeout_s: float = 30.0,
    ) -> tuple[int, dict]:
        """Call a plain service with an idempotency key.

        Raises:
          ControlError: no complete response arrived.
        """
        return control.call(
            self.port,
            f"/services/{name}/{path}",
            "POST",
            body,
            self._headers | {"Idempotency-Key": key},
            timeout_s,
        )

    def _run(self, completion: Completion, timeout_s: float) -> None:
        conn = http.client.HTTPConnection(
            serving.HOST, self.port, timeout=timeout_s
        )
        try:
            self._request(conn, completion)
        except (OSError, http.client.HTTPException, ValueError) as exc:
            completion.connection_error = repr(exc)
        finally:
            conn.close()
            completion.ended.set()

    def _request(
        self, conn: http.client.HTTPConnection, completion: Completion
    ) -> None:
        body = {
            "model": self.deployment,
            "prompt": completion.prompt,
            "max_tokens": completion.max_tokens,
            "stream": True,
        }
        conn.request("POST", "/v1/completions", json.dumps(body), self._headers)
        resp = conn.getresponse()
        completion.status = resp.status
        if resp.status != 200:
            completion.error = json.loads(resp.read()).get("error", {})
            return
        _read_events(resp, completion)
        if not completion.done and not completion.error:
            completion.connection_error = (
                "the stream ended without [DONE] or an error event"
            )


def _read_events(
    resp: http.client.HTTPResponse, completion: Completion
) -> None:
    is_error = False
    while line := resp.readline().decode():
        line = line.strip()
        if line == _EVENT_ERROR:
            is_error = True
        elif line.startswith("data: "):
            _record_event(line.removeprefix("data: "), is_error, completion)


def _record_event(data: str, is_error: bool, completion: Completion) -> None:
    if is_error:
        completion.error = json.loads(data).get("error", {})
    elif data == "[DONE]":
        completion.done = True
    else:
        text = _event_text(json.loads(data))
        if text:
            completion.texts.append(text)


def _event_text(event: dict) -> str:
    choices = event.get("choices") or [event]
    return choices[0].get("text") or ""


def idempotency_key() -> str:
    """Return a new UUID of version 7 (RFC 9562)."""
    timestamp_ms = int(time.time() * 1000)
    value = timestamp_ms << 80 | secrets.randbits(80)
    # Version 7 is in bits 48 to 51, the variant in bits 64 and 65.
    value = value & ~(0xF << 76) | 0x7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=value))


def wait_all(completions: list[Completion], timeout_s: float) -> bool:
    """Wait for all completions and return whether all have ended."""
    deadline_s = time.monotonic() + timeout_s
    return all(
        completion.ended.wait(max(0.0, deadline_s - time.monotonic()))
        for completion in completions
    )


def wait_tokens(
    completions: list[Completion], tokens: int, timeout_s: float
) -> bool:
    """Wait until each completion has ended or received `tokens` tokens."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        if all(len(c.texts) >= tokens or c.ended.is_set() for c in completions):
            return True
        time.sleep(0.01)
    return False
