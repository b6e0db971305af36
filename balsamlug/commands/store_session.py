"""Run an action of a command with a client of the object API."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Annotated
from typing import Any

import typer

from balsamlug import exceptions
from balsamlug.commands import exits
from balsamlug.store import client
from balsamlug.store import protocol

PLATFORM_HELP = "URL of the platform's object API."

Platform = Annotated[
    str, typer.Option(envvar="BALSAMLUG_PLATFORM", help=PLATFORM_HELP)
]


def run(
    platform: str,
    action: Callable[[client.ObjectStore], Awaitable[Any]],
    wire: protocol.Wire | None = None,
) -> Any:
    """Return the result of an action, or exit with its failure.

    Args:
      wire: encoding of the calls; by default that of this project.
    """

    async def with_store() -> Any:
        store = client.ObjectStore(platform, wire=wire)
        try:
            return await action(store)
        finally:
            store.close()

    try:
        return asyncio.run(with_store())
    except exceptions.BalsamlugError as exc:
        raise exits.fail(exc) from exc
