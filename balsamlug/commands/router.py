"""The `router` command."""

import asyncio
import pathlib
from typing import Annotated

import typer

from balsamlug.commands import exits
from balsamlug.router import app as router_app

HELP = "Run the data plane of a node, which relays the requests of callers."
SETTINGS_HELP = "INI file with the section 'node'."
STOP_DELAY_HELP = (
    "Seconds to continue serving after SIGTERM while /readyz answers 503, so"
    " that the platform's load balancer removes the node first."
)
DEFAULT_STOP_DELAY_S = 3.0


def register(app: typer.Typer) -> None:
    """Add the command to the application."""
    app.command("router", help=HELP)(router)


def router(
    settings: Annotated[pathlib.Path, typer.Option(help=SETTINGS_HELP)],
    stop_delay_s: Annotated[
        float, typer.Option(min=0.0, help=STOP_DELAY_HELP)
    ] = DEFAULT_STOP_DELAY_S,
) -> None:
    """Run the router until SIGTERM or SIGINT."""
    asyncio.run(router_app.run(exits.node_settings(settings), stop_delay_s))
