"""Keys of stored records."""

# Records that every daemon follows; one call lists all their versions.
LIVE_PREFIX = "live/"
MEMBERS = f"{LIVE_PREFIX}members"
CONFIGURATION = f"{LIVE_PREFIX}configuration"
OWNERS_PREFIX = f"{LIVE_PREFIX}owners/"
SHARES_PREFIX = f"{LIVE_PREFIX}shares/"
INBOX_PREFIX = f"{LIVE_PREFIX}inbox/"
CELL_STATE_PREFIX = "cells/"
ARCHIVE_PREFIX = "archive/"
IDEMPOTENCY_PREFIX = "claims/"


def owner_key(cell: str) -> str:
    """Return the key of a cell's owner record."""
    return f"{OWNERS_PREFIX}{cell}"


def shares_key(service: str) -> str:
    """Return the key of a service's share record."""
    return f"{SHARES_PREFIX}{service}"


def cell_state_key(cell: str) -> str:
    """Return the key of a cell's state."""
    return f"{CELL_STATE_PREFIX}{cell}"


def archive_key(job: str) -> str:
    """Return the key of the record of an ended job."""
    return f"{ARCHIVE_PREFIX}{job}"


def job_inbox_key(cell: str, job: str) -> str:
    """Return the key of a job that its cell has not accepted yet."""
    return f"{INBOX_PREFIX}{cell}/job/{job}"


def cancel_inbox_key(cell: str, number: str) -> str:
    """Return the key of a cancellation that its cell has not applied yet."""
    return f"{INBOX_PREFIX}{cell}/cancel/{number}"


def idempotency_bucket_key(bucket: int) -> str:
    """Return the key of a bucket of idempotency records."""
    return f"{IDEMPOTENCY_PREFIX}{bucket:02d}"
