"""Blocking JSON client for control interfaces and admin ports."""

from collections.abc import Callable
import http.client
import json
import time
from typing import Any

from balsamlug_standins import serving

TIMEOUT_S = 5.0
POLL_S = 0.05


class ControlError(Exception):
    """A process sent no response or an error status."""


def call(
    port: int,
    path: str,
    method: str = "GET",
    body: dict | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = TIMEOUT_S,
) -> tuple[int, Any]:
    """Send a request and return the status and JSON body of the response.

    Raises:
      ControlError: no complete response arrived.
    """
    conn = http.client.HTTPConnection(serving.HOST, port, timeout=timeout_s)
    payload = json.dumps(body) if body is not None else None
    try:
        conn.request(method, path, payload, headers or {})
        resp = conn.getresponse()
        raw = resp.read()
    except (OSError, http.client.HTTPException) as exc:
        raise ControlError(f"{method} {path} on port {port}: {exc!r}") from exc
    finally:
        conn.close()
    return resp.status, _parse_body(raw)


def get(port: int, path: str) -> Any:
    """Send a GET request and return the body of a successful response."""
    return _require_success(path, *call(port, path))


def post(port: int, path: str, **body: Any) -> Any:
    """Post the keyword arguments as JSON and return the response body."""
    return _require_success(path, *call(port, path, "POST", body))


def wait_status(
    port: int,
    path: str,
    status: int,
    timeout_s: float,
    check_running: Callable[[], None],
) -> None:
    """Wait until a path responds with a status.

    Args:
      check_running: raises an exception when the process has ended.

    Raises:
      ControlError: the path does not respond with the status in time.
    """
    deadline_s = time.monotonic() + timeout_s
    last_result: object = "no request sent"
    while time.monotonic() < deadline_s:
        try:
            last_result = call(port, path, timeout_s=1.0)
            if last_result[0] == status:
                return
        except ControlError as exc:
            last_result = exc
        check_running()
        time.sleep(POLL_S)
    raise ControlError(
        f"port {port} {path}: no status {status} in time;"
        f" last result: {last_result}"
    )


def _require_success(path: str, status: int, body: Any) -> Any:
    if status >= 400:
        raise ControlError(f"{path}: status {status}: {body}")
    return body


def _parse_body(raw: bytes) -> Any:
    try:
        return json.loads(raw or b"null")
    except ValueError:
        return raw.decode(errors="replace")
