"""The `status` command."""

import json

import typer

from balsamlug.commands import admin_client

HELP = "Show groups, their members, and instances that are not in use and why."


def register(app: typer.Typer) -> None:
    """Add the command to the application."""
    app.command("status", help=HELP)(status)


def status(
    node: admin_client.Node,
    as_json: admin_client.Json = False,
) -> None:
    """Print the state of the fleet in the view of one node."""
    answer = admin_client.fetch(node, "/admin/status")
    if as_json:
        typer.echo(json.dumps(answer, indent=2))
        return
    for line in _lines(answer):
        typer.echo(line)


def _lines(answer: dict) -> list[str]:
    lines = [f"configuration revision {answer.get('config_revision', 0)}"]
    for name, domain in sorted(answer.get("domains", {}).items()):
        lines += _domain_lines(name, domain)
    return lines


def _domain_lines(name: str, domain: dict) -> list[str]:
    holder = domain["holder"] or "nobody"
    lines = [f"domain {name}: held by {holder}, epoch {domain['epoch']}"]
    for group_id, group in sorted(domain["groups"].items()):
        state = "ready" if group["ready"] else f"not ready: {group['reason']}"
        members = ", ".join(group["members"])
        lines.append(f"  group {group_id} ({group['deployment']}): {state}")
        lines.append(f"    members: {members}")
    for idle in domain["idle"]:
        explanation = " ".join(filter(None, (idle["text"], idle["detail"])))
        lines.append(f"  not in use: {idle['instance']}: {explanation}")
    for instance, reason in sorted(domain["draining"].items()):
        lines.append(f"  draining: {instance}: {reason}")
    return lines
