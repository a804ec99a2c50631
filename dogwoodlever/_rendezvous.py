"""Rendezvous hashing: each key ranks the candidates independently."""

from collections.abc import Iterable
from hashlib import blake2b


def _weight(key: str, candidate: str) -> bytes:
    return blake2b(f"{key}\0{candidate}".encode(), digest_size=8).digest()


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Return `candidates` ordered by their weight for `key`, highest first."""
    return sorted(candidates, key=lambda c: (_weight(key, c), c), reverse=True)


def highest_ranked(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate of highest weight, or None if there is none."""
    return max(candidates, key=lambda c: (_weight(key, c), c), default=None)
