"""HTTP client of the daemons' operators' port."""

import http.client
import json
from typing import Any

from dogwoodlever.cli_errors import (
    CommandRefusedError,
    OutcomeUnknownError,
    UnreachableError,
)

TIMEOUT_S = 10.0


class OperatorClient:
    """Client that sends commands to the first reachable daemon.

    Parameters
    ----------
    addresses : list of str
        ``host:port`` of the daemons' operators' ports.
    key : str
        Shared key of the operators.
    """

    def __init__(self, addresses: list[str], key: str) -> None:
        self._addresses = addresses
        self._key = key

    def get(self, path: str) -> Any:
        """Send a read command and return the document in the response."""
        return self._call("GET", path, None)

    def post(self, path: str, document: Any) -> Any:
        """Send a command that changes state and return the document in the response."""
        return self._call("POST", path, json.dumps(document).encode())

    def _call(self, method: str, path: str, body: bytes | None) -> Any:
        failures = []
        for address in self._addresses:
            try:
                connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
                connection.connect()
            except (OSError, http.client.InvalidURL) as error:
                # Nothing was sent, so the next daemon can be tried.
                failures.append(f"{address}: {error}")
                continue
            try:
                return self._send(connection, method, path, body)
            except (OSError, ValueError, http.client.HTTPException) as error:
                if method != "GET":
                    raise OutcomeUnknownError(f"{address}: {error!r}") from error
                failures.append(f"{address}: {error!r}")
            finally:
                connection.close()
        raise UnreachableError("no daemon can be reached: " + "; ".join(failures))

    def _send(self, connection, method: str, path: str, body: bytes | None) -> Any:
        headers = {
            "Authorization": f"Bearer {self._key}",
            "Content-Type": "application/json",
        }
        connection.request(method, f"/{path}", body, headers)
        response = connection.getresponse()
        content = response.read()
        if response.status >= 300:
            raise _error_from_response(response.status, response.reason, content)
        return json.loads(content)


def _error_from_response(status: int, reason: str, content: bytes):
    try:
        document = json.loads(content)
    except ValueError:
        document = {"error": reason}
    lines = [f"{f['where']}: {f['what']}" for f in document.get("faults", ())]
    message = "\n".join(lines) or document.get("error", f"status {status}: {reason}")
    if status == 503:
        return OutcomeUnknownError(message)
    return CommandRefusedError(message)
