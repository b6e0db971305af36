"""Deterministic answers of the engine stand-in.

The text depends only on the prompt and the token's index, so a client can
verify every token that it receives.
"""

import hashlib

DIGEST_LENGTH = 8


def token(prompt: str, index: int) -> str:
    """Return the text of one token of the answer to a prompt."""
    digest = hashlib.sha256(f"{index}:{prompt}".encode()).hexdigest()
    return f"{digest[:DIGEST_LENGTH]}.{index} "


def complete_text(prompt: str, max_tokens: int) -> str:
    """Return the complete answer to a prompt."""
    return "".join(token(prompt, index) for index in range(max_tokens))
