"""Exit codes of the commands and the failures that lead to them."""

import pathlib
from typing import Any

from returns import result
import typer

from balsamlug import exceptions
from balsamlug.config import loader
from balsamlug.config import schema

FAILURE = 1
# The same as of typer for wrong usage.
UNREADABLE = 2
INVALID_CONFIG = 3
CONFLICT = 4
UNREACHABLE = 5

_CODES: tuple[tuple[type[exceptions.BalsamlugError], int], ...] = (
    (exceptions.ConfigError, INVALID_CONFIG),
    (exceptions.ConfigConflict, CONFLICT),
    (exceptions.StoreConflict, CONFLICT),
    (exceptions.StoreNotFound, FAILURE),
    (exceptions.StoreError, UNREACHABLE),
)


def fail(exc: exceptions.BalsamlugError) -> typer.Exit:
    """Print a failure and return the typer exit with its code."""
    typer.echo(f"error: {type(exc).__name__}: {exc}", err=True)
    return typer.Exit(code_of(exc))


def code_of(exc: exceptions.BalsamlugError) -> int:
    """Return the exit code of a failure."""
    codes = (code for cls, code in _CODES if isinstance(exc, cls))
    return next(codes, FAILURE)


def node_settings(path: pathlib.Path) -> schema.NodeSettings:
    """Return the settings of a node, or exit with every problem."""
    return _unwrap_or_exit(loader.load_node(path))


def entry_settings(path: pathlib.Path) -> schema.EntrySettings:
    """Return the settings of an entry process, or exit with every problem."""
    return _unwrap_or_exit(loader.load_entry(path))


def _unwrap_or_exit(loaded: result.Result) -> Any:
    if not isinstance(loaded, result.Success):
        raise fail(loaded.failure())
    return loaded.unwrap()
