"""Addresses in records and settings."""

import re
from ipaddress import IPv4Address

PORT_MAX = 65_535
# Five digits at most; `int` alone accepts signs, spaces and other digits.
_PORT_PATTERN = re.compile(r"[0-9]{1,5}")


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and the port of an address.

    Raises
    ------
    ValueError
        If it is not an IPv4 address and a port: the platform has no name look-ups.
    """
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
    except ValueError as error:
        raise ValueError(
            f"address {text[:80]!r}: its host is no IPv4 address"
        ) from error
    if not _PORT_PATTERN.fullmatch(port) or not 0 < int(port) <= PORT_MAX:
        raise ValueError(f"address {text[:80]!r}: a port is 1 to {PORT_MAX}")
    return host, int(port)
