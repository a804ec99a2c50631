"""Log lines of key=value pairs, one line for each event."""

import json

from absl import logging
from twisted.logger import LogLevel, formatEvent, globalLogPublisher

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


def log_event(event: str, **fields: object) -> None:
    """Log an event at level ``info``; its name stands where others have a file name."""
    logger = logging.get_absl_logger()
    if not logger.isEnabledFor(logging.converter.STANDARD_INFO):
        return
    # The logger's own methods search the stack for the caller, which takes most of
    # the time of a call.
    record = logger.makeRecord(
        logger.name,
        logging.converter.STANDARD_INFO,
        event,
        0,
        format_event(event, **fields),
        (),
        None,
    )
    logger.handle(record)


def log_unhandled_errors() -> None:
    """Log the errors that Twisted reports, such as those of callbacks and timers."""
    globalLogPublisher.addObserver(_log_unhandled_error)


def _log_unhandled_error(event) -> None:
    if event.get("log_level") not in (LogLevel.error, LogLevel.critical):
        return
    failure = event.get("log_failure")
    where = ""
    if failure is not None and failure.frames:
        function, path, line, *_ = failure.frames[-1]
        where = f"{path.rpartition('/')[2]}:{line}:{function}"
    why = formatEvent(event) if failure is None else repr(failure.value)
    log_event("error.unhandled", why=why[:200], where=where)
