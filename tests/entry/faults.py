"""Collects what nodes log about unexpected exceptions during a play."""

from collections.abc import Iterator
import contextlib
import logging

import eliot


class _Records(logging.Handler):
    def __init__(self, faults: list[str]) -> None:
        super().__init__(logging.ERROR)
        self._faults = faults

    def emit(self, record: logging.LogRecord) -> None:
        self._faults.append(record.getMessage().splitlines()[0])


@contextlib.contextmanager
def collected() -> Iterator[list[str]]:
    """Yield the list of faults, complete at the end of the block."""
    faults: list[str] = []

    def collect(message: dict) -> None:
        if message.get("message_type") == "eliot:traceback":
            faults.append(message["traceback"])

    eliot.add_destinations(collect)
    # The first destination gets what was logged before.
    faults.clear()
    handler = _Records(faults)
    logging.getLogger().addHandler(handler)
    try:
        yield faults
    finally:
        logging.getLogger().removeHandler(handler)
        eliot.remove_destination(collect)
