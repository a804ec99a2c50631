"""Store client for the JSON gateway of the etcd v3 API."""

import base64
from typing import Any

import msgspec
from twisted.internet.defer import inlineCallbacks

from dogwoodlever._http_client import HttpClient
from dogwoodlever._interfaces import Entry, Store, WriteResult
from dogwoodlever.platform_errors import StoreUnavailableError


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _key(key: str) -> str:
    return _encode(key.encode())


def _range_end(prefix: str) -> str:
    """Return the first key after all keys with `prefix`."""
    data = bytearray(prefix.encode())
    data[-1] += 1
    return _encode(bytes(data))


class EtcdStore(Store):
    """Store on etcd, over HTTP.

    Parameters
    ----------
    client : HttpClient
        HTTP client.
    url : str
        Base URL of the JSON gateway.
    """

    def __init__(self, client: HttpClient, url: str) -> None:
        self._client = client
        self._url = url.rstrip("/")
        self.calls = 0

    @inlineCallbacks
    def _call(self, path: str, document: dict):
        self.calls += 1
        body = msgspec.json.encode(document)
        try:
            status, content = yield self._client.fetch(b"POST", self._url + path, body)
        except Exception as error:
            raise StoreUnavailableError(f"{path}: {error!r}") from error
        if status != 200:
            raise StoreUnavailableError(f"{path}: status {status}")
        try:
            return msgspec.json.decode(content)
        except msgspec.DecodeError as error:
            raise StoreUnavailableError(f"{path}: {error}") from error

    @inlineCallbacks
    def list_versions(self, prefix: str):
        """Return a Deferred that fires with the versions by key under `prefix`."""
        document = {
            "key": _key(prefix),
            "range_end": _range_end(prefix),
            "keys_only": True,
        }
        response = yield self._call("/v3/kv/range", document)
        return {
            base64.b64decode(row["key"]).decode(): int(row["mod_revision"])
            for row in response.get("kvs", [])
        }

    @inlineCallbacks
    def read(self, key: str):
        """Return a Deferred that fires with the `Entry` of `key`, or None."""
        response = yield self._call("/v3/kv/range", {"key": _key(key)})
        return _entry(response.get("kvs", []))

    @inlineCallbacks
    def write(self, key: str, value: bytes, expected_version: int):
        """Write by compare-and-swap on the modification revision."""
        put = {"request_put": {"key": _key(key), "value": _encode(value)}}
        response = yield self._swap(key, expected_version, put)
        if response.get("succeeded"):
            version = int(response["header"]["revision"])
            return WriteResult(True, Entry(value, version))
        found = response["responses"][0]["response_range"].get("kvs", [])
        return WriteResult(False, _entry(found))

    @inlineCallbacks
    def delete(self, key: str, expected_version: int):
        """Delete by compare-and-swap on the modification revision."""
        removal = {"request_delete_range": {"key": _key(key)}}
        response = yield self._swap(key, expected_version, removal)
        return bool(response.get("succeeded"))

    def _swap(self, key: str, expected_version: int, operation: dict):
        compare = {
            "key": _key(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(expected_version),
        }
        document = {
            "compare": [compare],
            "success": [operation],
            "failure": [{"request_range": {"key": _key(key)}}],
        }
        return self._call("/v3/kv/txn", document)


def _entry(rows: list[dict[str, Any]]) -> Entry | None:
    if not rows:
        return None
    row = rows[0]
    return Entry(base64.b64decode(row.get("value", "")), int(row["mod_revision"]))
