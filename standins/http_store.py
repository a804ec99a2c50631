"""HTTP resource that serves `KeyValues` as the JSON gateway of etcd v3 does."""

import base64
import json

from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from standins.key_values import KeyValues


def _decode_text(value: str) -> str:
    return base64.b64decode(value).decode()


def _kv_document(key: str, entry, keys_only: bool) -> dict:
    row = {
        "key": base64.b64encode(key.encode()).decode(),
        "mod_revision": str(entry.version),
    }
    if not keys_only:
        row["value"] = base64.b64encode(entry.value).decode()
    return row


class StoreResource(Resource):
    """Serves ranges and transactions, and ``/admin`` for faults."""

    isLeaf = True

    def __init__(self, values: KeyValues) -> None:
        super().__init__()
        self._values = values

    def render(self, request):
        """Handle one call and apply the faults that are set."""
        body = json.loads(request.content.read() or b"{}")
        if request.path == b"/admin":
            return self._admin(body)
        faults = self._values.faults
        if faults.down:
            request.notifyFinish().addErrback(lambda _: None)
            return NOT_DONE_YET
        if request.path == b"/v3/kv/range":
            response = self._range(body)
        else:
            response = self._write(body)
            if self._values.consume_lost_answer():
                request.notifyFinish().addErrback(lambda _: None)
                return NOT_DONE_YET
        content = json.dumps(response).encode()
        if not faults.delay_s:
            return content
        reactor.callLater(faults.delay_s, _send, request, content)
        request.notifyFinish().addErrback(lambda _: None)
        return NOT_DONE_YET

    def _admin(self, body: dict) -> bytes:
        for name, value in body.items():
            setattr(self._values.faults, name, value)
        calls = dict(self._values.calls)
        return json.dumps({"calls": calls, "revision": self._values.revision}).encode()

    def _range(self, body: dict) -> dict:
        key = _decode_text(body["key"])
        if "range_end" not in body:
            entry = self._values.read(key)
            rows = [] if entry is None else [_kv_document(key, entry, False)]
            return {"kvs": rows}
        versions = self._values.list_versions(key)
        entries = self._values.entries
        return {"kvs": [_kv_document(k, entries[k], True) for k in sorted(versions)]}

    def _write(self, body: dict) -> dict:
        compare = body["compare"][0]
        key, expected = _decode_text(compare["key"]), int(compare["mod_revision"])
        operation = body["success"][0]
        if "request_put" in operation:
            value = base64.b64decode(operation["request_put"]["value"])
            is_written = self._values.write(key, value, expected)
        else:
            is_written = self._values.delete(key, expected)
        header = {"revision": str(self._values.revision)}
        if is_written:
            return {"header": header, "succeeded": True, "responses": []}
        entry = self._values.entries.get(key)
        rows = [] if entry is None else [_kv_document(key, entry, False)]
        found = {"response_range": {"kvs": rows}}
        return {"header": header, "succeeded": False, "responses": [found]}


def _send(request, content: bytes) -> None:
    if not (request.finished or request._disconnected):
        request.write(content)
        request.finish()
