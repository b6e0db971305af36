"""The `controller` command."""

import asyncio
import pathlib
from typing import Annotated

import typer

from balsamlug.commands import exits
from balsamlug.controller import app as controller_app

HELP = "Run the control plane of a node until it receives a stop signal."
SETTINGS_HELP = "INI file with the section 'node'."


def register(app: typer.Typer) -> None:
    """Add the command to the application."""
    app.command("controller", help=HELP)(controller)


def controller(
    settings: Annotated[pathlib.Path, typer.Option(help=SETTINGS_HELP)],
) -> None:
    """Run the controller until SIGTERM or SIGINT."""
    asyncio.run(controller_app.run(exits.node_settings(settings)))
