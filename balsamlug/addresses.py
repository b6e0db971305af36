"""Check the addresses of processes."""

from collections.abc import Callable
import functools
import re

from balsamlug.config import options

_PARSE_ADDRESS: Callable = options.addresses(minimum=1).parse
_ADDRESS_CHARACTERS = re.compile(r"[0-9A-Fa-f:.]+")


def is_address(value: object) -> bool:
    """Return whether a value is the address of a process, "ip:port"."""
    return isinstance(value, str) and _valid_address(value)


@functools.lru_cache(maxsize=4096)
def _valid_address(text: str) -> bool:
    if not _ADDRESS_CHARACTERS.fullmatch(text):
        return False
    try:
        return len(_PARSE_ADDRESS(text)) == 1
    except options.InvalidOption:
        return False
