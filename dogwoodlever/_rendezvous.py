"""Rendezvous hashing: each key ranks the candidates on its own."""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

MASK = (1 << 64) - 1
# Multipliers of the finaliser of splitmix64, which spreads every input bit.
MULTIPLIER_1 = 0xBF58476D1CE4E5B9
MULTIPLIER_2 = 0x94D049BB133111EB


@lru_cache(maxsize=1 << 15)
def _digest(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())


def _weight(key: str, candidate: str) -> int:
    """Return the weight of a candidate for a key, the same in every process."""
    mixed = _digest(key) ^ _digest(candidate)
    mixed = ((mixed ^ (mixed >> 30)) * MULTIPLIER_1) & MASK
    mixed = ((mixed ^ (mixed >> 27)) * MULTIPLIER_2) & MASK
    return mixed ^ (mixed >> 31)


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Return `candidates` ordered by their weight for `key`, highest first."""
    return sorted(candidates, key=lambda c: (_weight(key, c), c), reverse=True)


def first(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate of highest weight, or None without candidates."""
    return max(candidates, key=lambda c: (_weight(key, c), c), default=None)
