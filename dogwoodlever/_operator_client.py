"""HTTP client of the daemons' operators' port."""

import json
import urllib.error
import urllib.request
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
            request = urllib.request.Request(
                f"http://{address}/{path}", data=body, method=method
            )
            request.add_header("Authorization", f"Bearer {self._key}")
            request.add_header("Content-Type", "application/json")
            try:
                with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
                    return json.load(response)
            except urllib.error.HTTPError as error:
                raise _error_from_response(error) from error
            except urllib.error.URLError as error:
                # Not connected, so nothing was sent and the next daemon can be tried.
                failures.append(f"{address}: {error.reason}")
            except (OSError, ValueError) as error:
                raise OutcomeUnknownError(f"{address}: {error}") from error
        raise UnreachableError("no daemon can be reached: " + "; ".join(failures))


def _error_from_response(error: urllib.error.HTTPError):
    try:
        document = json.load(error)
    except ValueError:
        document = {"error": error.reason}
    lines = [f"{f['where']}: {f['what']}" for f in document.get("faults", ())]
    message = "\n".join(lines) or document.get("error", str(error))
    if error.code == 503:
        return OutcomeUnknownError(message)
    return CommandRefusedError(message)
