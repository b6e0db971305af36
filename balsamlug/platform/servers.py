"""Encoding of orders to servers and decoding of their reports."""

import functools
from typing import Any

from balsamlug.ownership import commands
from balsamlug.platform import listing

ORDER_PATH = "/-/order"
REPORT_PATH = "/-/report"
# The server has seen a higher fencing number or epoch.
STALE_STATUS = 412


@functools.singledispatch
def order(command: commands.Command) -> dict[str, Any]:
    """Return the body of an order."""
    raise TypeError(f"cannot encode unknown command {command!r}")


@order.register
def _(command: commands.Join) -> dict[str, Any]:
    return {
        "Op": "join",
        "FencingToken": command.fencing,
        "Model": command.model,
        "Members": list(command.members),
    } | _group(command)


@order.register
def _(command: commands.Leave) -> dict[str, Any]:
    return {"Op": "leave", "FencingToken": command.fencing} | _group(command)


@order.register
def _(command: commands.Open) -> dict[str, Any]:
    return {"Op": "open", "FencingToken": command.fencing} | _group(command)


@order.register
def _(command: commands.Stage) -> dict[str, Any]:
    # `Phase` orders the host to load the weights of a model.
    return {
        "Op": "Phase",
        "FencingToken": command.fencing,
        "Model": command.model,
    }


def report(body: dict[str, Any]) -> tuple[str, dict[str, Any]]:
    """Return the incarnation and announcement in a report.

    Raises:
      LookupError, TypeError, ValueError, AttributeError: the report is
        malformed.
    """
    return listing.incarnation(body), listing.announcement(body)


def _group(command: Any) -> dict[str, Any]:
    name = listing.group_name(command.group, command.generation)
    return {"group": name, "epoch": command.generation}
