"""Encoding of stored records."""

from typing import Any

import msgspec


def encode_record(record: Any) -> bytes:
    """Encode a stored record as JSON."""
    return msgspec.json.encode(record)
