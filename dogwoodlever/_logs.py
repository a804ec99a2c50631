"""Log lines of key=value pairs, one line for each event."""

import json

from absl import logging

UNQUOTED_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/#@+,*%"
)


def _format(value: object) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and set(text) <= UNQUOTED_CHARACTERS:
        return text
    return json.dumps(text)


def format_event(event: str, **fields: object) -> str:
    """Return the log line of an event and its fields."""
    pairs = [f"event={event}"]
    pairs.extend(f"{key}={_format(value)}" for key, value in fields.items())
    return " ".join(pairs)


@logging.skip_log_prefix
def log_event(event: str, **fields: object) -> None:
    """Log an event at level ``info``."""
    logging.info("%s", format_event(event, **fields))
