"""Idempotency keys in the store: one request per key, across all daemons."""

from dataclasses import dataclass, field
from hashlib import blake2b

import msgspec
from twisted.internet.defer import Deferred, inlineCallbacks

from dogwoodlever._interfaces import Store
from dogwoodlever._logs import log_event
from dogwoodlever._record_keys import idempotency_bucket_key
from dogwoodlever._records import encode_record
from dogwoodlever.platform_errors import StoreUnavailableError

BUCKET_COUNT = 32
KEY_TTL_S = 24 * 3600
KEYS_PER_BUCKET_MAX = 15_000
BATCH_DELAY_S = 0.01


class IdempotencyBucket(msgspec.Struct):
    """Idempotency records of one bucket.

    Attributes
    ----------
    claims : dict of str to tuple of str and float
        Request id that holds the key and its wall-clock time, by key digest.
    """

    claims: dict[str, tuple[str, float]] = {}


@dataclass(slots=True)
class PendingReservation:
    """A reservation that waits for its bucket's next write.

    Attributes
    ----------
    holder : Deferred
        Fires with the request id that holds the key.
    replaces : str
        Earlier holder of the key that is known not to have run, or empty.
    """

    digest: str
    request_id: str
    holder: Deferred
    replaces: str = ""


@dataclass(slots=True)
class BucketQueue:
    """Reservations that wait for one bucket, and its last known value."""

    waiting: list[PendingReservation] = field(default_factory=list)
    writing: bool = False
    version: int = 0
    bucket: IdempotencyBucket = field(default_factory=IdempotencyBucket)


class IdempotencyStore:
    """Reserves keys in the store by compare-and-swap, in batches.

    Parameters
    ----------
    store : Store
        The platform's store.
    clock : IReactorTime
        Reactor clock.
    wall_time : callable
        Returns the Unix time in seconds; records expire by it.
    """

    def __init__(self, store: Store, clock, wall_time) -> None:
        self._store = store
        self._clock = clock
        self._wall_time = wall_time
        self._queues: dict[int, BucketQueue] = {}

    def reserve(
        self, caller: str, key: str, request_id: str, replaces: str = ""
    ) -> Deferred:
        """Reserve a caller's key for a request.

        Parameters
        ----------
        caller, key : str
            The caller and its key; each caller has keys of its own.
        request_id : str
            The request that reserves it.
        replaces : str, default=""
            An earlier holder that is known not to have run.

        Returns
        -------
        Deferred
            Fires with the request id that holds the key, which is `request_id`
            if the key was free. Fails with `StoreUnavailableError` if the
            bucket is full or the result of the write is unknown; the request
            must not run then.
        """
        digest = blake2b(f"{caller}\0{key}".encode(), digest_size=12).hexdigest()
        number = int(digest[:8], 16) % BUCKET_COUNT
        queue = self._queues.setdefault(number, BucketQueue())
        pending = PendingReservation(digest, request_id, Deferred(), replaces)
        queue.waiting.append(pending)
        if not queue.writing:
            queue.writing = True
            self._clock.callLater(BATCH_DELAY_S, self._write_batch, number)
        return pending.holder

    @inlineCallbacks
    def _write_batch(self, number: int):
        queue = self._queues[number]
        batch, queue.waiting = queue.waiting, []
        try:
            holders = yield self._commit(number, queue, batch)
        except Exception as error:
            # Whatever has failed, these callers must not wait, nor later ones.
            queue.version, queue.bucket = 0, IdempotencyBucket()
            if not isinstance(error, StoreUnavailableError):
                log_event("idempotency.failed", bucket=number, why=repr(error)[:160])
                error = StoreUnavailableError(f"bucket {number}: {error!r}")
            for pending in batch:
                pending.holder.errback(error)
        else:
            for pending in batch:
                pending.holder.callback(holders[pending.digest])
        if queue.waiting:
            self._clock.callLater(BATCH_DELAY_S, self._write_batch, number)
        else:
            queue.writing = False

    @inlineCallbacks
    def _commit(self, number: int, queue: BucketQueue, batch: list[PendingReservation]):
        while True:
            records = self._unexpired(queue.bucket.claims)
            added = False
            for pending in batch:
                record = records.get(pending.digest)
                if record is None or record[0] == pending.replaces:
                    records[pending.digest] = (pending.request_id, self._wall_time())
                    added = True
            if added and len(records) > KEYS_PER_BUCKET_MAX:
                raise StoreUnavailableError(
                    f"bucket {number} of idempotency records is full"
                )
            if added or not queue.version:
                result = yield self._store.write(
                    idempotency_bucket_key(number),
                    encode_record(IdempotencyBucket(records)),
                    queue.version,
                )
                if not result.committed:
                    self._load(queue, result.entry)
                    continue
                queue.version = result.entry.version
                queue.bucket = IdempotencyBucket(records)
            return {p.digest: records[p.digest][0] for p in batch}

    def _load(self, queue: BucketQueue, entry) -> None:
        if entry is None:
            queue.version, queue.bucket = 0, IdempotencyBucket()
            return
        queue.version = entry.version
        queue.bucket = msgspec.json.decode(entry.value, type=IdempotencyBucket)

    def _unexpired(self, records: dict) -> dict:
        oldest_s = self._wall_time() - KEY_TTL_S
        return {k: record for k, record in records.items() if record[1] > oldest_s}
