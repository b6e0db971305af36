"""Structured logs with eliot."""

import pathlib
import sys

import eliot

STDOUT = "-"
# Carries the eliot task id to upstreams and services.
TASK_HEADER = "X-Eliot-Task"
# Carries the request id back to the caller.
REQUEST_ID_HEADER = "X-Request-Id"


def configure(log_file: str) -> None:
    """Write log messages as JSON lines to a file or to stdout."""
    if log_file == STDOUT:
        eliot.to_file(sys.stdout)
        return
    file = pathlib.Path(log_file).open("a")  # noqa: SIM115, open for life
    eliot.to_file(file)
