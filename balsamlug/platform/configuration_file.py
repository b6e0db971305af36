"""Read the operator's configuration from a file and name faulty places."""

from collections.abc import Callable
from collections.abc import Iterator
import json
from typing import Any

import attrs

from balsamlug import catalogue as catalogues
from balsamlug import encodable
from balsamlug import exceptions
from balsamlug import validation
from balsamlug.messages import types
from balsamlug.platform import configuration
from balsamlug.platform import figures

# JSON types of fields. The decoder of the nodes converts other types without an
# error: the text "false" to true, and a text of keys to its characters.
_TEXT = ("Name", "Hostname", "PathPrefix", "Service", "RouteType")
_FLAGS = ("Public", "StreamResume")
_LISTS = ("Routes", "Services", "Tenants", "TrafficSplit", "Models", "ApiKeys")
_OBJECTS = ("Limits", "Engine", "usual", "Spec")
_TYPES: dict[str, tuple[type, str]] = (
    dict.fromkeys(_TEXT, (str, "a text"))
    | dict.fromkeys(_FLAGS, (bool, "true or false"))
    | dict.fromkeys(_LISTS, (list, "a list"))
    | dict.fromkeys(_OBJECTS, (dict, "an object"))
)
# Nodes take a larger figure for absent, like one that is not a number.
_MAXIMA = {
    "WarmupPerS": configuration.MAX_WARMUP_PER_S,
    "WarmupS": configuration.MAX_WARMUP_S,
}
# Nodes take 0 for absent, although it would mean something else.
_NOT_ZERO = frozenset(
    {
        "MaxHeaderBytes",
        "HeaderTimeoutMs",
        "IdleTimeoutMs",
        "MaxAttempts",
        "TargetLatencyMs",
        "Stride",
        "LoadsPerS",
        "loads_at_once",
        "size",
        "pace",
    }
)
_SECTIONS = ("Routes", "Services", "Tenants")
# Fields that the platform's pages and examples name, by the object that has
# them. Nodes ignore some of these, and all others.
_KNOWN_FIELDS: dict[str, frozenset[str]] = {
    "": frozenset({*_SECTIONS, "Version", "Limits"}),
    "Routes": frozenset(
        {
            *("Name", "Hostname", "PathPrefix", "RouteType", "TimeoutMs"),
            *("TargetLatencyMs", "GapTargetMs", "Priority", "Service"),
            *("TrafficSplit", "MaxAttempts", "Public", "SessionAffinity"),
            "StreamResume",
        }
    ),
    "TrafficSplit": frozenset({"Service", "Weight"}),
    "Services": frozenset(
        {
            *("Name", "HealthPath", "MaxConnections", "Protocol", "Tls"),
            *("WarmupS", "WarmupPerS", "Engine"),
        }
    ),
    "Engine": frozenset(
        {
            *("BatchSlots", "KvCapacity", "KvBytes", "LinkMbps", "Stride"),
            *("Models", "step_ms", "per_seq_ms", "context_per_k"),
            *("read_per_s", "pairs_per_m", "chunk", "report_lag_ms"),
            *("LoadsPerS", "loads_at_once", "delays", "usual"),
            *("CachedPrefixes", "far_x", "FormMs"),
        }
    ),
    "Models": frozenset({"Name", "size", "Share", "pace", "LoadS", "WarmS"}),
    "usual": frozenset({"prompt", "answer"}),
    "Tenants": frozenset({"Name", "ApiKeys", "Priority"}),
    "Limits": frozenset(
        {"MaxHeaderBytes", "MaxBodyBytes", "HeaderTimeoutMs", "IdleTimeoutMs"}
    ),
}


@attrs.frozen
class Problem:
    """A place of the file that cannot be read, with the reason."""

    place: str
    message: str


@attrs.define(eq=False)
class UnreadableConfiguration(exceptions.BalsamlugError):
    """The configuration cannot be read; carries every faulty entry."""

    problems: list[Problem] = attrs.field(factory=list)


class _FieldError(Exception):
    """A field has the wrong JSON type."""


class _MissingField(_FieldError):
    """The object has no field of this name."""


@attrs.define
class _Cursor:
    """Place of the field that was read last."""

    place: str = ""


class _Located(dict):
    """Object of the file that records the place of each field it returns."""

    def __init__(self, raw: dict, place: str, cursor: _Cursor) -> None:
        super().__init__(raw)
        self._place = place
        self._cursor = cursor

    def __getitem__(self, name: str) -> Any:
        self._move_to(name)
        if name not in self:
            raise _MissingField("is missing")
        value = super().__getitem__(name)
        expected, text = _TYPES.get(name, (object, ""))
        is_absent = value is None and expected is not str
        if not is_absent and not isinstance(value, expected):
            raise _FieldError(f"is not {text}")
        if name in _NOT_ZERO and value == 0:
            raise _FieldError("is 0, which nodes take for absent")
        maximum = _MAXIMA.get(name)
        is_figure = maximum is not None and value is not None
        if is_figure and not figures.is_sound(value, maximum):
            raise _FieldError(f"is not a number from 0 to {maximum:.0f}")
        return _located(value, self._cursor.place, self._cursor)

    def get(self, name: str, default: Any = None) -> Any:
        try:
            return self[name]
        except _MissingField:
            return default

    def _move_to(self, name: str) -> None:
        self._cursor.place = f"{self._place}.{name}".lstrip(".")


def _located(value: Any, place: str, cursor: _Cursor) -> Any:
    if isinstance(value, dict):
        return _Located(value, place, cursor)
    if isinstance(value, list):
        return [
            _located(item, f"{place}[{index}]", cursor)
            for index, item in enumerate(value)
        ]
    return value


def parse(data: bytes) -> catalogues.Catalogue:
    """Return the catalogue of a file.

    Args:
      data: JSON text of the object `config/main`, or of its `Spec` alone.

    Raises:
      UnreadableConfiguration: with the places that nodes would reject, or
        would read in another sense than written.
    """
    return decode(load(data))


def load(data: bytes) -> Any:
    """Return the decoded JSON document of a file.

    Raises:
      UnreadableConfiguration: it is no JSON.
    """
    try:
        return json.loads(data, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as exc:
        raise UnreadableConfiguration([Problem("", f"no JSON: {exc}")]) from exc


def unknown_fields(document: Any) -> list[str]:
    """Return the places of fields that the platform does not define.

    Args:
      document: decoded JSON of the object `config/main`, or of its `Spec`.
    """
    spec = document
    if isinstance(document, dict) and "Spec" in document:
        spec = document["Spec"]
    return list(_unknown_fields(spec, "", ""))


def _unknown_fields(value: Any, kind: str, place: str) -> Iterator[str]:
    if isinstance(value, list):
        for index, item in enumerate(value):
            yield from _unknown_fields(item, kind, f"{place}[{index}]")
    if not isinstance(value, dict):
        return
    known = _KNOWN_FIELDS[kind]
    for name, item in value.items():
        path = f"{place}.{name}".lstrip(".")
        if name not in known:
            yield path
        elif name in _KNOWN_FIELDS:
            yield from _unknown_fields(item, name, path)


def decode(document: Any) -> catalogues.Catalogue:
    """Return the catalogue of a decoded JSON document; see `parse`.

    Raises:
      UnreadableConfiguration: as in `parse`.
    """
    reader = _Reader()
    decoded = None
    if not isinstance(document, dict):
        reader.problems.append(Problem("", "is not an object"))
    else:
        decoded = reader.attempt("", lambda: reader.catalogue(document))
    if reader.problems:
        raise UnreadableConfiguration(reader.problems)
    return decoded


@attrs.define
class _Reader:
    """Decode the parts of a configuration and collect their problems."""

    problems: list[Problem] = attrs.field(factory=list)
    _cursor: _Cursor = attrs.field(factory=_Cursor)

    def catalogue(self, document: dict) -> catalogues.Catalogue | None:
        root = _Located(document, "", self._cursor)
        spec = root["Spec"] if "Spec" in document else root
        self.attempt("Version", lambda: _check_revision(spec["Version"]))
        self._check("Limits", lambda: {"Limits": spec.get("Limits")})
        for section in _SECTIONS:
            entries = self.attempt(section, lambda s=section: spec.get(s))
            for index, raw in enumerate(entries or ()):
                place = f"{section}[{index}]"
                self._check(place, lambda s=section, r=raw: _entry(s, r))
        if self.problems:
            return None
        self._cursor.place = ""
        decoded = configuration.decode(spec)
        value = configuration.to_value(decoded)
        validation.check(types.ConfigUpdate(decoded.revision, value))
        return decoded

    def _check(self, place: str, part: Callable[[], dict]) -> None:
        """Decode a part of the object alone."""
        decoded = self.attempt(
            place, lambda: configuration.decode({"Version": 1} | part())
        )
        if decoded is not None:
            value = catalogues.to_value(decoded)
            self.attempt(place, lambda: encodable.check(value))

    def attempt(self, place: str, read: Callable[[], Any]) -> Any:
        """Return what a function reads, None after a problem."""
        self._cursor.place = place
        try:
            return read()
        except _FieldError as exc:
            self._report(str(exc))
        except KeyError as exc:
            self._report(f"has the unknown value {exc}")
        except exceptions.ProtocolError as exc:
            self._report(f"is rejected by nodes: {exc.reason}")
        except exceptions.MALFORMED_VALUE as exc:
            self._report(f"cannot be read: {exc}")
        return None

    def _report(self, message: str) -> None:
        self.problems.append(Problem(self._cursor.place, message))


def _check_revision(revision: Any) -> None:
    if type(revision) is not int:
        raise _FieldError("is not a whole number")
    if not 1 <= revision <= validation.MAX_CONFIG_REVISION:
        raise _FieldError("is out of range")


def _entry(section: str, raw: Any) -> dict:
    """Return an object with a single entry."""
    if not isinstance(raw, dict):
        raise _FieldError("is not an object")
    keys = raw.get("ApiKeys") or ()
    if not all(isinstance(key, str) for key in keys):
        raise _FieldError("contains a key that is not a text")
    return {section: [raw]}


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a number of JSON")
