"""The `entry` command."""

import asyncio
import pathlib
from typing import Annotated

import typer

from balsamlug.commands import exits
from balsamlug.config import loader
from balsamlug.entry import process

HELP = "Run the gateway and the controller of a node in one process."
SETTINGS_HELP = "INI file with the section 'entry'."
SETTINGS_VARIABLE = "BALSAMLUG_SETTINGS"


def register(app: typer.Typer) -> None:
    """Add the command to the application."""
    app.command("entry", help=HELP)(entry)


def entry(
    settings: Annotated[
        pathlib.Path,
        typer.Option(help=SETTINGS_HELP, envvar=SETTINGS_VARIABLE),
    ],
) -> None:
    """Run the process until SIGTERM or SIGINT."""
    loaded = exits.entry_settings(settings)
    asyncio.run(process.run(loaded, lambda: loader.load_entry(settings)))
