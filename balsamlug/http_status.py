"""Which statuses of answers are well-formed.

HTTP defines statuses of three digits from 100 to 599 (RFC 9110, section 15). An
answer with any other one is malformed, and its request may have run. The
parsers of status lines reject those that are not of three digits.
"""

from tornado import httputil

_FIRST = 100
_FIRST_FINAL = 200
_LAST = 599
# Protocols are never switched, so this answer is final and cannot be used.
_SWITCHING_PROTOCOLS = 101
# Servers send some of these with the framing of the final answer.
_KNOWN_INTERIM = frozenset({100, 102, 103})
_FRAMING = ("Content-Length", "Transfer-Encoding")


def is_final(status: int) -> bool:
    """Return whether a status may be that of a final answer."""
    return _FIRST_FINAL <= status <= _LAST


def is_interim(status: int, headers: httputil.HTTPHeaders) -> bool:
    """Return whether a head is that of an answer before the final one.

    An unknown status is one only without a body; waiting for another answer
    after it would be futile.
    """
    if status in _KNOWN_INTERIM:
        return True
    is_unknown = status != _SWITCHING_PROTOCOLS and (
        _FIRST <= status < _FIRST_FINAL
    )
    return is_unknown and not any(name in headers for name in _FRAMING)
