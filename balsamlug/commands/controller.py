"""The `controller` command."""

import asyncio
import pathlib
from typing import Annotated

from returns import result
import typer

from balsamlug.config import loader

HELP = "Run the control plane of this node until it is told to stop."
SETTINGS_HELP = "INI file with the settings of this node."
EXIT_BAD_SETTINGS = 2


def controller(
    settings: Annotated[pathlib.Path, typer.Option(help=SETTINGS_HELP)],
) -> None:
    """Run the controller process."""
    # Commands that need no server must not pay for its imports.
    from balsamlug.controller import app

    loaded = loader.load_node(settings)
    if not isinstance(loaded, result.Success):
        typer.echo(str(loaded.failure()), err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS)
    asyncio.run(app.run(loaded.unwrap()))
