"""The `config` commands: check, apply, show and history."""

from collections.abc import Callable
import getpass
import json
import pathlib
from typing import Annotated
from typing import Any

import attrs
from returns import result
import typer

from balsamlug import catalogue
from balsamlug import exceptions
from balsamlug.commands import admin_client
from balsamlug.commands import exits
from balsamlug.commands import store_session
from balsamlug.config import checks
from balsamlug.config import revisions
from balsamlug.platform import configuration_file
from balsamlug.platform import objects as platform_objects
from balsamlug.store import client

HELP = "Check, commit and show the accepted configuration."
CHECK_HELP = (
    "Check a configuration before it is sent and report every finding: FILE is"
    " the JSON object of an entry process's configuration; --base names the INI"
    " files of the configuration that `apply` commits. Exit codes for FILE: 0"
    " no findings, 1 findings, 2 it cannot be read."
)
FILE_HELP = "JSON file with the object `config/main`, or with its Spec."
AGAINST_HELP = "Compare FILE with this one, which is in force."
IN_FORCE_HELP = "Compare FILE with the version in the store at --platform."
MAX_WAIT_HELP = "Longest time that callers wait; no timeout may exceed it."
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

IN_FORCE = "version in force"

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
    file: Annotated[pathlib.Path | None, typer.Argument(help=FILE_HELP)] = None,
    base: Annotated[pathlib.Path | None, typer.Option(help=BASE_HELP)] = None,
    overlay: Overlays = None,
    against: Annotated[
        pathlib.Path | None, typer.Option(help=AGAINST_HELP)
    ] = None,
    in_force: Annotated[
        bool, typer.Option("--in-force", help=IN_FORCE_HELP)
    ] = False,
    platform: store_session.Platform = "",
    max_wait_ms: Annotated[
        int | None, typer.Option(min=1, help=MAX_WAIT_HELP)
    ] = None,
    as_json: admin_client.Json = False,
) -> None:
    """Check a configuration that has not been sent."""
    if (file is None) == (base is None):
        raise typer.BadParameter("either FILE or --base is needed")
    if base is not None:
        if against or in_force or max_wait_ms:
            raise typer.BadParameter("--base is validated alone")
        _validate(base, overlay, as_json)
        _print({"ok": True, "problems": []}, "configuration is valid", as_json)
        return
    if overlay or (against and in_force) or (in_force and not platform):
        raise typer.BadParameter(
            "FILE takes --against, or --in-force with --platform"
        )
    data = _read_bytes(file)
    checked = _parse(str(file), data, as_json)
    findings = checks.check(checked, checks.CallerTerms(max_wait_ms))
    findings += checks.unknown_fields(
        configuration_file.unknown_fields(configuration_file.load(data))
    )
    former = None
    if against is not None:
        former = _parse(str(against), _read_bytes(against), as_json)
    elif in_force:
        former = _fetch_in_force(platform, as_json)
    if former is not None:
        findings += checks.compare(checked, former)
    _report(findings, as_json)


def _report(findings: list[checks.Finding], as_json: bool) -> None:
    """Print findings; exit with 1 unless all are differences."""
    faults = [f for f in findings if f.severity is not checks.Severity.CHANGE]
    lines = [f"{f.severity}: {f.entry}: {f.message}" for f in findings]
    summary = f"{len(faults)} findings" if faults else "no findings"
    data = {"ok": not faults, "findings": [attrs.asdict(f) for f in findings]}
    _print(data, "\n".join([*lines, summary]), as_json)
    if faults:
        raise typer.Exit(exits.FAILURE)


def _fetch_in_force(platform: str, as_json: bool) -> catalogue.Catalogue | None:
    """Return the catalogue in the store, None if there is none."""

    async def read(store: client.ObjectStore) -> Any:
        try:
            stored = await store.get(
                revisions.KIND, platform_objects.CONFIGURATION_NAME
            )
        except exceptions.StoreNotFound:
            return None
        return stored.value

    wire = platform_objects.PlatformWire()
    value = store_session.run(platform, read, wire)
    if value is None:
        typer.echo("the store has no configuration", err=True)
        return None
    return _decode(IN_FORCE, lambda: configuration_file.decode(value), as_json)


def _parse(name: str, data: bytes, as_json: bool) -> catalogue.Catalogue:
    return _decode(name, lambda: configuration_file.parse(data), as_json)


def _decode(
    name: str, decode: Callable[[], catalogue.Catalogue], as_json: bool
) -> catalogue.Catalogue:
    """Return a catalogue, or exit with every place that cannot be read."""
    try:
        return decode()
    except configuration_file.UnreadableConfiguration as exc:
        problems = [attrs.asdict(problem) for problem in exc.problems]
        if as_json:
            data = {"ok": False, "file": name, "problems": problems}
            typer.echo(json.dumps(data, indent=2))
        for problem in [] if as_json else exc.problems:
            place = f"{problem.place}: " if problem.place else ""
            typer.echo(f"{name}: {place}{problem.message}", err=True)
        raise typer.Exit(exits.UNREADABLE) from exc


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


def _read_bytes(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as exc:
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
