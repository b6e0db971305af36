"""The `config` commands: check, apply, show and history."""

import getpass
import json
import pathlib
from typing import Annotated

from returns import result
import typer

from balsamlug import exceptions
from balsamlug.commands import admin_client
from balsamlug.commands import exits
from balsamlug.commands import store_session
from balsamlug.config import revisions

HELP = "Check, commit and show the accepted configuration."
CHECK_HELP = "Validate a base with its overlays and report every problem."
APPLY_HELP = (
    "Commit a configuration, provided that the revision named by --revision is"
    " still the newest. Exit code 4 means that another operator was first."
)
SHOW_HELP = "Show the newest accepted configuration."
HISTORY_HELP = "List the last accepted revisions."
BASE_HELP = "INI file with the base configuration."
OVERLAY_HELP = "Overlay of a site as SITE=FILE; may be repeated."
REVISION_HELP = "Newest revision that you have read; 0 for the first commit."
AUTHOR_HELP = "Name recorded with the revision."

Base = Annotated[pathlib.Path, typer.Option(help=BASE_HELP)]
Overlays = Annotated[list[str] | None, typer.Option(help=OVERLAY_HELP)]


def register(app: typer.Typer) -> None:
    """Add the commands to the application."""
    group = typer.Typer(help=HELP, no_args_is_help=True)
    group.command("check", help=CHECK_HELP)(check)
    group.command("apply", help=APPLY_HELP)(apply)
    group.command("show", help=SHOW_HELP)(show)
    group.command("history", help=HISTORY_HELP)(history)
    app.add_typer(group, name="config")


def check(
    base: Base, overlay: Overlays = None, as_json: admin_client.Json = False
) -> None:
    """Validate configuration files."""
    _validate(base, overlay, as_json)
    _print({"ok": True, "problems": []}, "configuration is valid", as_json)


def apply(
    base: Base,
    revision: Annotated[int, typer.Option(min=0, help=REVISION_HELP)],
    platform: store_session.Platform,
    overlay: Overlays = None,
    author: Annotated[str, typer.Option(help=AUTHOR_HELP)] = "",
    as_json: admin_client.Json = False,
) -> None:
    """Commit a configuration."""
    overlays = _validate(base, overlay, as_json)
    committed = store_session.run(
        platform,
        lambda store: revisions.apply(
            store, _read(base), overlays, revision, author or getpass.getuser()
        ),
    )
    text = f"revision {committed} is accepted"
    _print({"revision": committed}, text, as_json)


def show(
    platform: store_session.Platform, as_json: admin_client.Json = False
) -> None:
    """Print the newest accepted configuration."""
    current = store_session.run(platform, revisions.read)
    value = current.value | {"revision": current.revision}
    _print(value, _as_text(current), as_json)


def history(
    platform: store_session.Platform, as_json: admin_client.Json = False
) -> None:
    """Print the last accepted revisions."""
    current = store_session.run(platform, revisions.read)
    entries = current.value.get("history", [])
    lines = [
        f"{e['revision']:>6}  {e['digest']}  {e['author']}" for e in entries
    ]
    _print({"history": entries}, "\n".join(lines), as_json)


def _validate(
    base: pathlib.Path, overlay: list[str] | None, as_json: bool
) -> dict[str, str]:
    """Return the overlay texts by site, or exit with every problem."""
    files = _overlay_files(overlay)
    overlays = {site: _read(path) for site, path in files.items()}
    names = {site: str(path) for site, path in files.items()}
    checked = revisions.validate(_read(base), overlays, str(base), names)
    if not isinstance(checked, result.Success):
        _exit_with_problems(checked.failure(), as_json)
    return overlays


def _exit_with_problems(error: exceptions.ConfigError, as_json: bool) -> None:
    if as_json:
        problems = [_problem_fields(problem) for problem in error.problems]
        typer.echo(json.dumps({"ok": False, "problems": problems}, indent=2))
        raise typer.Exit(exits.INVALID_CONFIG)
    raise exits.fail(error)


def _problem_fields(problem: exceptions.ConfigProblem) -> dict:
    return {
        "file": problem.file,
        "section": problem.section,
        "option": problem.option,
        "message": problem.message,
        "allowed": problem.allowed,
    }


def _overlay_files(overlays: list[str] | None) -> dict[str, pathlib.Path]:
    files = {}
    for argument in overlays or []:
        site, separator, path = argument.partition("=")
        if not separator or not site or not path:
            raise typer.BadParameter(
                f"{argument!r} does not have the form SITE=FILE"
            )
        files[site] = pathlib.Path(path)
    return files


def _read(path: pathlib.Path) -> str:
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise typer.BadParameter(f"{path}: {exc}") from exc


def _as_text(current: revisions.CurrentRevision) -> str:
    if not current.revision:
        return "revision 0: no configuration is accepted yet"
    value = current.value
    parts = [f"# revision {current.revision} by {value['author']}"]
    parts += ["# base", value["base"].strip()]
    for site, text in sorted(value["overlays"].items()):
        parts += [f"# overlay {site}", text.strip()]
    return "\n".join(parts)


def _print(data: dict, text: str, as_json: bool) -> None:
    typer.echo(json.dumps(data, indent=2) if as_json else text)
