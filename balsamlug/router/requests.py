"""Validate the body and headers of a generation request."""

import hashlib
import json

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug.config import schema

DEFAULT_MAX_TOKENS = 256
MAX_MAX_TOKENS = 1_000_000
MAX_DEADLINE_DIGITS = 9
# Approximate mean for text; only the engine has the tokenizer.
CHARACTERS_PER_TOKEN = 4
PREFIX_CHARACTERS = 512
# These fields would change the form of the answer, which has one choice.
UNSUPPORTED_FIELDS = ("n", "best_of", "echo", "logprobs", "tools", "functions")
_NEUTRAL_VALUES = (None, 1, False, [], 0)
_INTERPRETED_FIELDS = {"model", "prompt", "messages", "max_tokens", "stream"}
# Set by the router in every engine request.
_RESERVED_FIELDS = {
    "request_id",
    "priority",
    "resume_from",
    "group",
    "generation",
}


@attrs.frozen
class GenerationRequest:
    """A validated generation request.

    Attributes:
      parameters: other fields, forwarded to the engine unchanged.
    """

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    parameters: dict

    def fingerprint(self) -> str:
        """Return the hash of every field that affects the generation."""
        parts = [self.model, self.prompt, self.max_tokens, self.parameters]
        return _digest(json.dumps(parts, sort_keys=True))

    def prefix_hash(self) -> str:
        """Return the hash of the beginning of the prompt."""
        return _digest(self.model + "\0" + self.prompt[:PREFIX_CHARACTERS])

    def prompt_tokens(self) -> int:
        """Return the estimated length of the prompt."""
        return len(self.prompt) // CHARACTERS_PER_TOKEN + 1


@attrs.frozen
class Terms:
    """Priority and deadline of a request.

    Attributes:
      deadline_ms: maximum time to the first token.
    """

    priority: int
    deadline_ms: int


def parse(body: bytes, chat: bool) -> GenerationRequest:
    """Return the validated request.

    Raises:
      MalformedRequest: names the invalid field.
    """
    fields = _json_object(body)
    _reject_unsupported(fields)
    parameters = {
        name: value
        for name, value in fields.items()
        if name not in _INTERPRETED_FIELDS and name not in UNSUPPORTED_FIELDS
    }
    return GenerationRequest(
        model=_text(fields, "model"),
        prompt=_chat_prompt(fields) if chat else _text(fields, "prompt"),
        max_tokens=_max_tokens(fields),
        stream=_stream(fields),
        parameters=parameters,
    )


def deployment(
    model: str, customer: schema.Customer, settings: schema.Settings
) -> schema.Deployment:
    """Return the deployment with a name, or one that serves a model.

    Raises:
      UnknownRoute: no deployment has this name or model.
      NotPermitted: the customer may not use any of them.
    """
    by_name = settings.deployments.get(model)
    by_model = [d for d in settings.deployments.values() if d.model == model]
    matches = [by_name] if by_name is not None else by_model
    if not matches:
        raise exceptions.UnknownRoute(f"no deployment of {model!r}")
    permitted = [d for d in matches if d.name in customer.deployments]
    if not permitted:
        raise exceptions.NotPermitted(f"{model!r} is not open to the customer")
    return permitted[0]


def terms(
    role: str | None,
    deadline: str | None,
    customer: schema.Customer,
    settings: schema.Settings,
) -> Terms:
    """Return priority and deadline; the caller may shorten the deadline.

    Args:
      role: value of X-Role, or None.
      deadline: value of X-Deadline-Ms, or None.

    Raises:
      MalformedRequest: the role is unknown or the deadline is not a number.
    """
    source: schema.Customer | schema.Role | None = customer
    if role is not None:
        source = settings.roles.get((customer.name, role))
    if source is None:
        raise exceptions.MalformedRequest(f"unknown role {role!r}")
    deadline_ms = source.deadline_ms
    if deadline is not None:
        deadline_ms = min(deadline_ms, _deadline_ms(deadline))
    return Terms(source.priority, deadline_ms)


def deadline_s(terms_: Terms, clock: clocks.Clock) -> float:
    """Return the monotonic time by which the first token is due."""
    return clock.monotonic() + terms_.deadline_ms / clocks.MS_PER_S


def _deadline_ms(raw: str) -> int:
    valid = raw.isascii() and raw.isdigit() and len(raw) <= MAX_DEADLINE_DIGITS
    if not valid or int(raw) == 0:
        raise exceptions.MalformedRequest("X-Deadline-Ms is no positive number")
    return int(raw)


def _json_object(body: bytes) -> dict:
    try:
        fields = json.loads(body, parse_constant=_refuse_constant)
        # The fields are serialized again for the engine, deeper in the call
        # stack, so nesting that is too deep for this is refused here.
        json.dumps(fields)
    except (ValueError, RecursionError) as exc:
        raise exceptions.MalformedRequest("the body is no JSON") from exc
    if not isinstance(fields, dict):
        raise exceptions.MalformedRequest("the body is no JSON object")
    return fields


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not valid JSON")


def _reject_unsupported(fields: dict) -> None:
    for name in UNSUPPORTED_FIELDS:
        if fields.get(name) not in _NEUTRAL_VALUES:
            raise exceptions.MalformedRequest(f"{name!r} is not supported")
    reserved = sorted(_RESERVED_FIELDS & fields.keys())
    if reserved:
        raise exceptions.MalformedRequest(f"{reserved[0]!r} is reserved")


def _text(fields: dict, name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise exceptions.MalformedRequest(f"{name!r} must be a text")
    return value


def _max_tokens(fields: dict) -> int:
    value = fields.get("max_tokens")
    if value is None:
        return DEFAULT_MAX_TOKENS
    if type(value) is not int or not 1 <= value <= MAX_MAX_TOKENS:
        raise exceptions.MalformedRequest(
            f"'max_tokens' must be from 1 to {MAX_MAX_TOKENS}"
        )
    return value


def _stream(fields: dict) -> bool:
    value = fields.get("stream")
    if value is not None and type(value) is not bool:
        raise exceptions.MalformedRequest("'stream' must be true or false")
    return bool(value)


def _chat_prompt(fields: dict) -> str:
    messages = fields.get("messages")
    if not isinstance(messages, list) or not messages:
        raise exceptions.MalformedRequest("'messages' must be a list")
    return "\n".join([_message_line(m) for m in messages] + ["assistant:"])


def _message_line(message: object) -> str:
    if not isinstance(message, dict):
        raise exceptions.MalformedRequest("a message must be an object")
    return f"{_text(message, 'role')}: {_text(message, 'content')}"


def _digest(text: str) -> str:
    data = text.encode(errors="surrogatepass")
    return hashlib.blake2b(data, digest_size=16).hexdigest()
