"""Guards the callers' page against error codes that it does not name."""

import pathlib

from balsamlug import exceptions


def _refusals(cls):
    for sub in cls.__subclasses__():
        yield sub
        yield from _refusals(sub)


def test_callers_page_names_every_refusal():
    page = pathlib.Path("docs/callers.md").read_text()
    rows = (
        f"| `{r.code}` | {r.status} | `{r.outcome}` |"
        for r in _refusals(exceptions.Refusal)
    )
    assert not [row for row in rows if row not in page]
