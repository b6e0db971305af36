"""The `explain` command."""

import json
from typing import Annotated

import typer

from balsamlug.commands import admin_client

HELP = (
    "Explain why a group is down or an instance is not in use, or which node"
    " holds the lease of a fabric domain."
)
SUBJECT_HELP = "Group, instance, node or fabric domain."


def register(app: typer.Typer) -> None:
    """Add the command to the application."""
    app.command("explain", help=HELP)(explain)


def explain(
    subject: Annotated[str, typer.Argument(help=SUBJECT_HELP)],
    node: admin_client.Node,
    as_json: admin_client.Json = False,
) -> None:
    """Print the chain of causes behind the state of a subject."""
    answer = admin_client.fetch(node, "/admin/explain", subject=subject)
    if as_json:
        typer.echo(json.dumps(answer, indent=2))
        return
    first, *causes = answer["reasons"]
    typer.echo(first)
    for cause in causes:
        typer.echo(f"  {cause}")
