"""Blocking JSON calls to control interfaces and admin ports."""

from collections.abc import Callable
import http.client
import json
import time
from typing import Any

from balsamlug_standins import serving

TIMEOUT_S = 5.0
POLL_S = 0.05


class ControlError(Exception):
    """A process did not answer, or answered with a failure."""


def call(
    port: int,
    path: str,
    method: str = "GET",
    body: dict | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = TIMEOUT_S,
) -> tuple[int, Any]:
    """Return status and JSON body of an answer.

    Raises:
      ControlError: there was no whole answer.
    """
    conn = http.client.HTTPConnection(serving.HOST, port, timeout=timeout_s)
    payload = json.dumps(body) if body is not None else None
    try:
        conn.request(method, path, payload, headers or {})
        resp = conn.getresponse()
        raw = resp.read()
    except (OSError, http.client.HTTPException) as exc:
        raise ControlError(f"{method} {port}{path}: {exc!r}") from exc
    finally:
        conn.close()
    return resp.status, _parsed(raw)


def get(port: int, path: str) -> Any:
    """Return the body of a successful answer."""
    return _checked(path, *call(port, path))


def post(port: int, path: str, **body: Any) -> Any:
    """Post a body made of the arguments; return that of the answer."""
    return _checked(path, *call(port, path, "POST", body))


def wait_status(
    port: int,
    path: str,
    status: int,
    timeout_s: float,
    check_running: Callable[[], None],
) -> None:
    """Wait until a path answers with a status.

    Args:
      check_running: raises when the process has ended.

    Raises:
      ControlError: it does not within the time-out.
    """
    deadline_s = time.monotonic() + timeout_s
    seen: object = "no call"
    while time.monotonic() < deadline_s:
        try:
            seen = call(port, path, timeout_s=1.0)
            if seen[0] == status:
                return
        except ControlError as exc:
            seen = exc
        check_running()
        time.sleep(POLL_S)
    raise ControlError(f"{port}{path} is not {status} in time: {seen}")


def _checked(path: str, status: int, body: Any) -> Any:
    if status >= 400:
        raise ControlError(f"{path}: status {status}: {body}")
    return body


def _parsed(raw: bytes) -> Any:
    try:
        return json.loads(raw or b"null")
    except ValueError:
        return raw.decode(errors="replace")
