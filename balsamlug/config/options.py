"""Option types, which parse raw values and describe the allowed ones."""

from collections.abc import Callable
import ipaddress
import re
from typing import Any

import attrs

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]*\Z")
_YES = {"yes": True, "true": True, "on": True, "1": True}
_NO = {"no": False, "false": False, "off": False, "0": False}
MAX_PORT = 65535


class InvalidOption(ValueError):
    """The raw value is not allowed for its option."""


@attrs.frozen
class Option:
    """Declaration of one option of a section.

    Attributes:
      parse: converts the raw text, or raises InvalidOption.
      allowed: description of the allowed values, for error reports.
      default: value when the option is absent.
      required: whether the option must be present.
    """

    parse: Callable[[str], Any]
    allowed: str
    default: Any = None
    required: bool = False


def integer(minimum: int, maximum: int, default: int | None = None) -> Option:
    """Declare a whole number within bounds; required without default."""

    def parse(raw: str) -> int:
        try:
            value = int(raw)
        except ValueError as exc:
            raise InvalidOption(f"{raw!r} is not a whole number") from exc
        if not minimum <= value <= maximum:
            raise InvalidOption(f"{value} is out of range")
        return value

    allowed = f"whole number from {minimum} to {maximum}"
    return Option(parse, allowed, default, required=default is None)


def unless_blank(option: Option) -> Option:
    """Let an empty text stand for the default, as for an unset variable."""

    def parse(raw: str) -> Any:
        return option.parse(raw) if raw.strip() else option.default

    return attrs.evolve(option, parse=parse, allowed=f"{option.allowed} or ''")


def number(minimum: float, maximum: float, default: float) -> Option:
    """Declare a number within bounds."""

    def parse(raw: str) -> float:
        try:
            value = float(raw)
        except ValueError as exc:
            raise InvalidOption(f"{raw!r} is not a number") from exc
        if not minimum <= value <= maximum:
            raise InvalidOption(f"{value} is out of range")
        return value

    return Option(parse, f"number from {minimum} to {maximum}", default)


def boolean(default: bool | None = None) -> Option:
    """Declare a yes/no option; required without default."""

    def parse(raw: str) -> bool:
        try:
            return (_YES | _NO)[raw.strip().lower()]
        except KeyError as exc:
            raise InvalidOption(f"{raw!r} is neither yes nor no") from exc

    return Option(parse, "yes or no", default, required=default is None)


def text(default: str | None = None) -> Option:
    """Declare a non-empty text; required without default."""

    def parse(raw: str) -> str:
        if not raw.strip():
            raise InvalidOption("is empty")
        return raw.strip()

    return Option(parse, "non-empty text", default, required=default is None)


def name(default: str | None = None) -> Option:
    """Declare an identifier; required without default."""

    def parse(raw: str) -> str:
        if not _NAME.match(raw.strip()):
            raise InvalidOption(f"{raw!r} is not a valid name")
        return raw.strip()

    allowed = "letters, digits, '_', '.' and '-'"
    return Option(parse, allowed, default, required=default is None)


def choice(values: tuple[str, ...], default: str | None = None) -> Option:
    """Declare one of several words; required without default."""

    def parse(raw: str) -> str:
        if raw.strip() not in values:
            raise InvalidOption(f"{raw!r} is not a known choice")
        return raw.strip()

    allowed = "one of " + ", ".join(values)
    return Option(parse, allowed, default, required=default is None)


def names(default: tuple[str, ...] | None = None) -> Option:
    """Declare names separated by commas; required without default."""
    item = name()

    def parse(raw: str) -> tuple[str, ...]:
        parts = [part for part in raw.replace("\n", ",").split(",")]
        return tuple(item.parse(part) for part in parts if part.strip())

    return Option(
        parse, "names separated by commas", default, required=default is None
    )


def addresses(
    minimum: int = 0, default: tuple[str, ...] | None = None
) -> Option:
    """Declare "ip:port" addresses separated by commas."""

    def parse(raw: str) -> tuple[str, ...]:
        parts = [part.strip() for part in raw.replace("\n", ",").split(",")]
        parsed = tuple(_address(part) for part in parts if part)
        if len(parsed) < minimum:
            raise InvalidOption("has too few addresses")
        return parsed

    allowed = f"at least {minimum} ip:port addresses separated by commas"
    return Option(parse, allowed, default, required=default is None)


def ip(default: str | None = None) -> Option:
    """Declare an IP address; required without default."""

    def parse(raw: str) -> str:
        return _ip(raw.strip())

    return Option(parse, "IP number", default, required=default is None)


def url(default: str | None = None) -> Option:
    """Declare an HTTP URL; required without default."""

    def parse(raw: str) -> str:
        if not re.match(r"https?://[^/\s]+", raw.strip()):
            raise InvalidOption(f"{raw!r} is not an HTTP URL")
        return raw.strip().rstrip("/")

    return Option(parse, "http URL", default, required=default is None)


def _address(raw: str) -> str:
    host, colon, port = raw.rpartition(":")
    if not colon or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise InvalidOption(f"{raw!r} is not an ip:port address")
    return f"{_ip(host)}:{port}"


def _ip(raw: str) -> str:
    try:
        return str(ipaddress.ip_address(raw))
    except ValueError as exc:
        raise InvalidOption(f"{raw!r} is not an IP number") from exc
