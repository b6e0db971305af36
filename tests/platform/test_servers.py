"""Guards the encoding of orders and reports on the platform's wire."""

import pytest

from balsamlug.ownership import commands
from balsamlug.platform import servers
from tests.platform import samples


@pytest.mark.parametrize(
    ("command", "body"),
    [
        (
            commands.Join(3, "d1-4", 9, "m", ("a", "b")),
            {
                "Op": "join",
                "FencingToken": 3,
                "Model": "m",
                "Members": ["a", "b"],
                "group": "d1-4.9",
                "epoch": 9,
            },
        ),
        (
            commands.Open(3, "d1-4", 9),
            {"Op": "open", "FencingToken": 3, "group": "d1-4.9", "epoch": 9},
        ),
        (
            commands.Leave(3, "d1-4", 9),
            {"Op": "leave", "FencingToken": 3, "group": "d1-4.9", "epoch": 9},
        ),
        (
            commands.Stage(3, "m"),
            {"Op": "Phase", "FencingToken": 3, "Model": "m"},
        ),
    ],
    ids=["join", "open", "leave", "stage"],
)
def test_orders_are_encoded(command, body):
    assert servers.order(command) == body


def test_report_is_decoded():
    incarnation, announcement = servers.report(samples.ENTRY)
    assert incarnation == "1700000000000"
    assert announcement["membership"]["generation"] == 7
    assert announcement["staged"] == ["daka510000"]


@pytest.mark.parametrize("body", [{"group": {"Name": "g"}}, {"Staged": [1]}])
def test_malformed_report_is_an_error(body):
    with pytest.raises((LookupError, TypeError, ValueError)):
        servers.report(body)
