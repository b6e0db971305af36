"""Checks of the log lines that the nodes wrote in a run."""

import collections
from collections.abc import Iterator
import json
import pathlib

# A link that is closed once because a message was cut off is opened again.
MAX_PROTOCOL_ERRORS = 2


def find_violations(directory: pathlib.Path) -> list[str]:
    """Return the defects that the output files of the nodes show."""
    broken = []
    for path in sorted(directory.glob("*.out")):
        errors: collections.Counter = collections.Counter()
        for message in _messages(path):
            kind = message.get("message_type")
            if kind == "task_failed":
                broken.append(f"{path.name}: task {message['task']} failed")
            elif kind == "peer_protocol_error":
                errors[message["reason"]] += 1
        broken += [
            f"{path.name}: {count} links closed for {reason}"
            for reason, count in errors.items()
            if count > MAX_PROTOCOL_ERRORS
        ]
    return broken


def _messages(path: pathlib.Path) -> Iterator[dict]:
    """Yield the log messages among the lines of a file."""
    with path.open(errors="replace") as lines:
        for line in lines:
            try:
                message = json.loads(line)
            except ValueError:
                continue
            if isinstance(message, dict):
                yield message
