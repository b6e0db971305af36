"""Guards the documentation for callers against missing error codes."""

import pathlib

from balsamlug import exceptions


def _refusals(cls):
    for subclass in cls.__subclasses__():
        yield subclass
        yield from _refusals(subclass)


def test_callers_page_names_every_refusal():
    page = pathlib.Path("docs/callers.md").read_text()
    expected_rows = (
        f"| `{r.code}` | {r.status} | `{r.outcome}` |"
        for r in _refusals(exceptions.Refusal)
    )
    assert not [row for row in expected_rows if row not in page]
