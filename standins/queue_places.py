"""Places of queues, as short names that logs and checks share.

A place is ``extra3`` for the prefix ``/extra3/`` at the usual host, and
``extra3.2@other.example`` for the prefix ``/extra3.2/`` of the same queue at another.
"""

USUAL_HOST = "desk.example"


def format_place(host: str, prefix: str) -> str:
    """Return the place of a host and a prefix; the case of hosts does not matter."""
    name = prefix.strip("/")
    return name if host.lower() == USUAL_HOST else f"{name}@{host.lower()}"


def parse_place(place: str) -> tuple[str, str]:
    """Return the host and the prefix of a place."""
    name, _, host = place.partition("@")
    return host or USUAL_HOST, f"/{name}/"


def queue_at(place: str) -> str:
    """Return the name of the queue that is, or was, at a place."""
    return place.partition("@")[0].partition(".")[0]
