"""Encoding of the records in the store."""

from typing import Any

import msgspec


def encode_record(record: Any) -> bytes:
    """Encode a stored record as JSON."""
    return msgspec.json.encode(record)
