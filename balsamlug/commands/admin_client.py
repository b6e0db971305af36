"""HTTP client for the admin port of a controller."""

import json
from typing import Annotated
from typing import Any
import urllib.parse

from tornado import httpclient
import typer

from balsamlug.commands import exits

TIMEOUT_S = 5.0
NODE_HELP = "Admin address ip:port of any node."
JSON_HELP = "Print JSON."

Node = Annotated[str, typer.Option(envvar="BALSAMLUG_NODE", help=NODE_HELP)]
Json = Annotated[bool, typer.Option("--json", help=JSON_HELP)]


def fetch(node: str, path: str, **query: str) -> dict[str, Any]:
    """Return a JSON answer, or exit when the node cannot be reached.

    Args:
      node: "ip:port" of the admin port.
    """
    url = f"http://{node}{path}"
    if query:
        url += "?" + urllib.parse.urlencode(query)
    http = httpclient.HTTPClient()
    try:
        resp = http.fetch(url, request_timeout=TIMEOUT_S)
        return json.loads(resp.body)
    except (OSError, httpclient.HTTPError, ValueError) as exc:
        typer.echo(f"error: {node} cannot be reached: {exc}", err=True)
        raise typer.Exit(exits.UNREACHABLE) from exc
    finally:
        http.close()
