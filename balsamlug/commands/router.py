"""Run the data plane of a node."""

import asyncio
import pathlib
import sys

from returns import result
import typer

from balsamlug.config import loader
from balsamlug.router import app

HELP = "Run the data plane of a node: take callers' requests and relay them."
SETTINGS_HELP = "INI file with the section 'node'."
STOP_DELAY_HELP = (
    "Seconds to keep serving after SIGTERM while /readyz answers 503, so that"
    " the platform's load balancer takes the node out first."
)
INVALID_SETTINGS_EXIT = 2
DEFAULT_STOP_DELAY_S = 3.0


def router(
    settings: pathlib.Path = typer.Option(..., help=SETTINGS_HELP),  # noqa: B008
    stop_delay_s: float = typer.Option(
        DEFAULT_STOP_DELAY_S, min=0.0, help=STOP_DELAY_HELP
    ),
) -> None:
    """Run the router until SIGTERM or SIGINT."""
    loaded = loader.load_node(settings)
    if not isinstance(loaded, result.Success):
        print(loaded.failure(), file=sys.stderr)
        raise typer.Exit(INVALID_SETTINGS_EXIT)
    asyncio.run(app.run(loaded.unwrap(), stop_delay_s))
