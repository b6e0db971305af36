"""Rendezvous hashing: every node ranks the same candidates the same way."""

from collections.abc import Iterable
import hashlib

SCORE_BYTES = 8


def score(key: str, candidate: str) -> int:
    """Return the weight of a candidate for a key, equal at every node."""
    # The length prefix keeps ("ab", "c") and ("a", "bc") apart.
    text = f"{len(key)}:{key}{candidate}".encode()
    digest = hashlib.blake2b(text, digest_size=SCORE_BYTES).digest()
    return int.from_bytes(digest, "big")


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates for a key, the best first.

    Adding or removing a candidate does not change the order of the others.
    """
    return sorted(set(candidates), key=lambda c: (score(key, c), c))
