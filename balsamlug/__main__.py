"""Command line of balsamlug."""

import typer

from balsamlug.commands import controller

COMMANDS = {
    "controller": (controller.controller, controller.HELP),
}


def main() -> None:
    """Run the command line."""
    app = typer.Typer(no_args_is_help=True, add_completion=False)
    app.callback()(_callback)
    for name, (command, text) in COMMANDS.items():
        app.command(name, help=text)(command)
    app()


def _callback() -> None:
    """Serve language models whose replicas span several instances."""


if __name__ == "__main__":
    main()
