"""The `drain` command."""

import json
import time
from typing import Annotated

import typer

from balsamlug.commands import admin_client
from balsamlug.commands import exits
from balsamlug.commands import store_session
from balsamlug.ownership import drains
from balsamlug.store import client

HELP = (
    "Take an instance out of service without interrupting a request. Its group"
    " takes no new work; a spare replaces the instance when the requests in"
    " flight have finished. With --wait the command exits when the instance is"
    " in no group."
)
INSTANCE_HELP = "Id of the instance."
REASON_HELP = "Reason shown by status and explain."
UNDO_HELP = "Remove the draining mark, so that the instance is used again."
WAIT_HELP = "Seconds to wait until the instance is in no group; 0: don't wait."
POLL_S = 0.5


def register(app: typer.Typer) -> None:
    """Add the command to the application."""
    app.command("drain", help=HELP)(drain)


def drain(
    instance: Annotated[str, typer.Argument(help=INSTANCE_HELP)],
    platform: store_session.Platform,
    reason: Annotated[str, typer.Option(help=REASON_HELP)] = "operator",
    undo: Annotated[bool, typer.Option("--undo", help=UNDO_HELP)] = False,
    wait: Annotated[float, typer.Option(min=0.0, help=WAIT_HELP)] = 0.0,
    node: admin_client.Node = "",
    as_json: admin_client.Json = False,
) -> None:
    """Mark an instance as draining, or remove the mark."""
    if wait and not node:
        raise typer.BadParameter("--wait needs --node")
    domain = store_session.run(
        platform,
        lambda store: _set_or_clear_mark(store, instance, reason, undo),
    )
    if wait and not undo:
        _wait_until_released(node, domain, instance, wait)
    state = "in use again" if undo else "draining"
    if as_json:
        answer = {"instance": instance, "domain": domain, "draining": not undo}
        typer.echo(json.dumps(answer))
        return
    typer.echo(f"instance {instance} of domain {domain} is {state}")


async def _set_or_clear_mark(
    store: client.ObjectStore, instance: str, reason: str, undo: bool
) -> str:
    if undo:
        return await drains.clear_mark(store, instance)
    return await drains.set_mark(store, instance, reason)


def _wait_until_released(
    node: str, domain: str, instance: str, wait_s: float
) -> None:
    deadline_s = time.monotonic() + wait_s
    while time.monotonic() < deadline_s:
        answer = admin_client.fetch(node, "/admin/status")
        if not _in_group(answer, domain, instance):
            return
        time.sleep(POLL_S)
    typer.echo(f"error: {instance} is still in a group", err=True)
    raise typer.Exit(exits.FAILURE)


def _in_group(answer: dict, domain: str, instance: str) -> bool:
    groups = answer["domains"].get(domain, {}).get("groups", {})
    return any(instance in group["members"] for group in groups.values())
