"""Command line of balsamlug, built with typer from the command modules."""

import importlib
import sys

import typer

HELP = (
    "Serve language models whose replicas span several instances.\n\n"
    "Exit codes: 0 success; 1 failure; 2 wrong usage; 3 invalid"
    " configuration; 4 conflict with another operator; 5 the platform or the"
    " node cannot be reached."
)
COMMANDS = (
    "entry",
    "router",
    "controller",
    "config",
    "status",
    "explain",
    "drain",
)


def build_app(names: tuple[str, ...]) -> typer.Typer:
    """Return an application with the named commands.

    Each command is a module whose `register` adds it to the application.
    """
    app = typer.Typer(
        name="balsamlug",
        help=HELP,
        no_args_is_help=True,
        add_completion=False,
        # Pretty exceptions print local variables, which may contain customers'
        # keys and prompts.
        pretty_exceptions_enable=False,
    )
    # Without a callback, typer omits the command name when there is only one
    # command.
    app.callback()(lambda: None)
    for name in names:
        module = importlib.import_module(f"balsamlug.commands.{name}")
        module.register(app)
    return app


def run() -> None:
    """Run the command named by the arguments.

    Only the module of that command is imported, because the imports of the
    other commands would count towards the memory limit of a controller.
    """
    chosen = tuple(name for name in sys.argv[1:2] if name in COMMANDS)
    build_app(chosen or COMMANDS)()
