"""Guards the headers that are forwarded between callers and servers."""

import itertools

import pytest
from tornado import httputil

from balsamlug import catalogue as catalogues
from balsamlug.gateway import engine_model
from balsamlug.gateway import messages
from balsamlug.platform import requests

HEADERS = requests.PlatformHeaders()


def _sent(**more: str) -> httputil.HTTPHeaders:
    return httputil.HTTPHeaders(
        {
            "Host": "ficu95.example",
            "X-Attempt-Id": "9c41",
            "X-Model": "daka",
            "X-Token-Count": "1460,80",
            "X-Prefix-Hash": "5c1e07a2:800,91bd3f06:410",
            "X-Deadline-Ms": "8002",
            "Api-Key": "secret",
            "Last-Event-Id": "12",
        }
        | {name.replace("_", "-"): value for name, value in more.items()}
    )


def test_request_metadata_is_decoded():
    metadata = HEADERS.parse_request(_sent())
    assert metadata == messages.RequestMetadata(
        request_id="9c41",
        key="secret",
        deadline_ms=8002,
        model="daka",
        prompt_tokens=1460,
        answer_tokens=80,
        prefix=(
            messages.PromptPart("5c1e07a2", 800),
            messages.PromptPart("91bd3f06", 410),
        ),
        last_event="12",
    )


def test_malformed_numbers_are_ignored():
    metadata = HEADERS.parse_request(
        _sent(X_Deadline_Ms="soon", X_Token_Count="a,b")
    )
    assert metadata.deadline_ms is None
    assert (metadata.prompt_tokens, metadata.answer_tokens) == (0, 0)


# int() refuses more than 4,300 digits, and a float holds no more than 308.
@pytest.mark.parametrize(
    "number", ["9" * 5_000, "9" * 400, "0" * 5_000 + "7", "1" + "0" * 20]
)
@pytest.mark.parametrize(
    "name", ["X-Deadline-Ms", "X-Token-Count", "X-Length-Hint", "X-Prefix-Hash"]
)
def test_number_with_many_digits_does_not_fail_the_request(name, number):
    value = f"5c1e07a2:{number}" if name == "X-Prefix-Hash" else number
    headers = _sent()
    headers[name] = value
    metadata = HEADERS.parse_request(headers)
    engine = catalogues.Engine(
        *itertools.repeat(1, len(catalogues.Engine.__attrs_attrs__) - 1)
    )
    model = engine_model.EngineModel(engine)
    assert model.first_event_ms(1, metadata.prompt_tokens) > 0
    assert (metadata.deadline_ms or 1) / 1000 > 0


def test_leading_zeros_do_not_change_a_number():
    metadata = HEADERS.parse_request(_sent(X_Deadline_Ms="0" * 5_000 + "7"))
    assert metadata.deadline_ms == 7


def test_key_and_forged_headers_are_not_forwarded():
    sent = _sent(
        X_Tenant="forged",
        X_Expect_Instance="forged",
        X_Request_Urgency="0",
        Connection="close, X-Hop",
        X_Hop="1",
    )
    forwarded = HEADERS.forwarded_headers(sent)
    assert forwarded == {
        "Host": "ficu95.example",
        "X-Attempt-Id": "9c41",
        "X-Model": "daka",
        "X-Token-Count": "1460,80",
        "X-Prefix-Hash": "5c1e07a2:800,91bd3f06:410",
    }


def test_dispatch_headers_are_encoded():
    dispatch = messages.Dispatch(732.9, "i-1", "hule930", 3, "14")
    assert HEADERS.dispatch_headers(dispatch) == {
        "X-Deadline-Ms": "732",
        "X-Expect-Instance": "i-1",
        "X-Tenant": "hule930",
        "X-Request-Urgency": "3",
        "Last-Event-Id": "14",
    }


def test_response_metadata_is_decoded():
    answer = httputil.HTTPHeaders(
        {"X-Attempt-Id": "9c41", "X-Not-Executed": "1", "At-Server": "i-9"}
    )
    metadata = HEADERS.parse_response(answer)
    assert metadata.not_run
    assert not metadata.sealed
    assert metadata.member_at_fault == "i-9"


def _returned(**headers: str) -> dict[str, str]:
    answer = httputil.HTTPHeaders(
        {name.replace("_", "-"): value for name, value in headers.items()}
    )
    return dict(HEADERS.returned_headers(answer))


def test_headers_of_the_upstream_connection_are_not_returned():
    returned = _returned(
        X_Server_Seal="s",
        Connection="close",
        Keep_Alive="timeout=5",
        Content_Length="5",
        Transfer_Encoding="chunked",
        Trailer="X-A",
    )
    assert returned == {"X-Server-Seal": "s"}


def test_headers_named_by_the_upstream_connection_are_not_returned():
    returned = _returned(
        X_Server_Seal="s", Connection="close, x-hop", X_Hop="1"
    )
    assert returned == {"X-Server-Seal": "s"}


def test_part_with_an_unusual_digit_is_left_out():
    """Guards the connection of a caller against an unhandled ValueError."""
    metadata = HEADERS.parse_request(_sent(X_Prefix_Hash="a:1,b:\xb2"))
    assert metadata.prefix == (messages.PromptPart("a", 1),)
