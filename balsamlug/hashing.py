"""Rendezvous hashing.

Every node ranks the same candidates in the same order, so that all nodes agree
on the node responsible for a key without messages.
"""

from collections.abc import Iterable
import hashlib

SCORE_BYTES = 8


def score(key: str, candidate: str) -> int:
    """Return the score of a candidate for a key, equal on every node."""
    # The length prefix gives ("ab", "c") and ("a", "bc") different scores.
    text = f"{len(key)}:{key}{candidate}".encode()
    digest = hashlib.blake2b(text, digest_size=SCORE_BYTES).digest()
    return int.from_bytes(digest, "big")


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates for a key, the preferred one first.

    The order of two candidates does not depend on other candidates.
    """
    return sorted(set(candidates), key=lambda c: (score(key, c), c))
