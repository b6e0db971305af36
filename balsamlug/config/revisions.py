"""Commit and read revisions of the accepted configuration."""

import hashlib
import uuid

import attrs
from returns import result

from balsamlug import exceptions
from balsamlug.config import loader
from balsamlug.config import schema
from balsamlug.store import client

KIND = "config"
NAME = "current"
HISTORY_LENGTH = 20
DIGEST_HEX_DIGITS = 16
# When the store is restored from a copy, revisions that were committed since
# the copy are lost but in force. The next revision skips this many for each
# restoration: more than the commits of some seconds.
REVISIONS_PER_ERA = 100


@attrs.frozen
class CurrentRevision:
    """The accepted configuration and the version of its object.

    Attributes:
      value: see `config/current` in the design page; empty before the first
        commit.
    """

    revision: int
    version: int
    value: dict


def validate(
    base: str,
    overlays: dict[str, str],
    base_name: str = "base",
    overlay_names: dict[str, str] | None = None,
) -> result.Result[dict[str, schema.Settings], exceptions.ConfigError]:
    """Return the settings of every site, or the problems of all of them.

    Args:
      overlays: site -> overlay text; if empty, only the base is validated.
      overlay_names: site -> name used in error reports.
    """
    names = overlay_names or {}
    settings = {}
    problems: dict[exceptions.ConfigProblem, None] = {}
    for site, text in (overlays or {"": ""}).items():
        label = names.get(site, f"overlay {site}")
        loaded = loader.load(base, text, (base_name, label))
        if isinstance(loaded, result.Success):
            settings[site] = loaded.unwrap()
        else:
            problems |= dict.fromkeys(loaded.failure().problems)
    if problems:
        return result.Failure(exceptions.ConfigError(list(problems)))
    return result.Success(settings)


async def read(store: client.ObjectStore) -> CurrentRevision:
    """Return the accepted configuration, revision 0 before the first commit.

    Raises:
      StoreError: the object API failed.
    """
    try:
        stored = await store.get(KIND, NAME)
    except exceptions.StoreNotFound:
        return CurrentRevision(0, 0, {})
    return CurrentRevision(
        stored.value["revision"], stored.version, stored.value
    )


async def apply(
    store: client.ObjectStore,
    base: str,
    overlays: dict[str, str],
    seen_revision: int,
    author: str,
) -> int:
    """Commit a configuration and return its revision.

    Overlays of other sites remain unchanged.

    Args:
      seen_revision: newest revision that the operator has read, 0 for the
        first commit.

    Raises:
      ConfigError: the configuration is not valid.
      ConfigConflict: another revision is current.
      StoreOutage: it is unknown whether the commit took effect.
    """
    current = await read(store)
    if current.revision != seen_revision:
        raise exceptions.ConfigConflict(seen_revision, current.revision)
    merged = current.value.get("overlays", {}) | overlays
    validated = validate(base, merged)
    if not isinstance(validated, result.Success):
        raise validated.failure()
    value = _next_value(current, base, merged, author, store.era)
    await _commit(store, current, value)
    return value["revision"]


def is_applied(value: dict, operation_id: str) -> bool:
    """Return whether a stored configuration contains a commit."""
    return any(
        item["operation_id"] == operation_id for item in value["history"]
    )


async def _commit(
    store: client.ObjectStore, current: CurrentRevision, value: dict
) -> None:
    operation_id = value["operation_id"]
    try:
        await store.commit(
            KIND,
            NAME,
            value,
            current.version,
            lambda stored: is_applied(stored, operation_id),
        )
    except exceptions.StoreConflict as exc:
        latest = await read(store)
        raise exceptions.ConfigConflict(
            current.revision, latest.revision
        ) from exc


def _next_value(
    current: CurrentRevision,
    base: str,
    overlays: dict[str, str],
    author: str,
    era: int,
) -> dict:
    former_era = current.value.get("era", era)
    skipped = REVISIONS_PER_ERA * max(0, era - former_era)
    entry = {
        "revision": current.revision + 1 + skipped,
        "era": era,
        "author": author,
        "digest": _digest(base, overlays),
        "operation_id": uuid.uuid4().hex,
    }
    history = [entry, *current.value.get("history", [])][:HISTORY_LENGTH]
    return entry | {"base": base, "overlays": overlays, "history": history}


def _digest(base: str, overlays: dict[str, str]) -> str:
    parts = [base]
    parts += [f"{site}\0{text}" for site, text in sorted(overlays.items())]
    raw = "\0".join(parts).encode()
    return hashlib.sha256(raw).hexdigest()[:DIGEST_HEX_DIGITS]
