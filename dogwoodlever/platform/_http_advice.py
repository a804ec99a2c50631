"""HTTP client of the advice service."""

import msgspec
from twisted.internet.defer import inlineCallbacks

from dogwoodlever._fleet_interfaces import AdviceService
from dogwoodlever._fleet_types import StepId
from dogwoodlever._http_client import HttpClient
from dogwoodlever.platform._wire_json import decode_json
from dogwoodlever.platform_errors import AdviceError

# The service handles the calls of a VM one at a time; the configuration states how
# long each takes.
ADVICE_TIMEOUT_S = 5.0


class _Advice(msgspec.Struct):
    # Rows: worker, ticket.
    good: list[tuple[str, str]] = []


class HttpAdviceService(AdviceService):
    """HTTP client of the advice service at `address`, as host and port."""

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._url = f"http://{address}/-/advise"

    @inlineCallbacks
    def advise(self, step: StepId, worker_ids: list[str]):
        """Return a Deferred that fires with the tickets of a step by worker id."""
        name = f"{step.job_id}.{step.occurrence}.{step.number}"
        body = msgspec.json.encode({"step": name, "workers": worker_ids})
        try:
            status, content = yield self._client.fetch(
                b"POST", self._url, body, ADVICE_TIMEOUT_S
            )
        except Exception as error:
            # Twisted's network errors share no base class but Exception.
            raise AdviceError(f"advice on {name}: {error!r}") from error
        if status != 200:
            raise AdviceError(f"advice on {name}: status {status}")
        try:
            return dict(decode_json(content, _Advice).good)
        except ValueError as error:
            raise AdviceError(f"advice on {name}: {error}") from error
