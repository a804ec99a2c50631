"""Claims of idempotency keys: one run for each key, whichever the entry."""

from dataclasses import dataclass, field
from hashlib import blake2b

import msgspec
from twisted.internet.defer import Deferred, inlineCallbacks

from dogwoodlever._interfaces import Store
from dogwoodlever._record_keys import idempotency_bucket_key
from dogwoodlever._records import encode_record
from dogwoodlever.platform_errors import StoreUnavailableError

BUCKET_COUNT = 32
KEY_TTL_S = 24 * 3600
KEYS_PER_BUCKET_MAX = 15_000
BATCH_DELAY_S = 0.01


class IdempotencyBucket(msgspec.Struct):
    """Claims of one bucket: request id and wall-clock time by key digest."""

    claims: dict[str, tuple[str, float]] = {}


@dataclass(slots=True)
class PendingReservation:
    """A claim that waits for its bucket's next write.

    Attributes
    ----------
    replaces : str
        Request id that may hold the key and is known not to have run.
    """

    digest: str
    request_id: str
    holder: Deferred
    replaces: str = ""


@dataclass(slots=True)
class BucketQueue:
    """Claims waiting for one bucket, and what is known of its value."""

    waiting: list[PendingReservation] = field(default_factory=list)
    writing: bool = False
    version: int = 0
    bucket: IdempotencyBucket = field(default_factory=IdempotencyBucket)


class IdempotencyStore:
    """Claim keys in the store by compare-and-swap, several a write.

    Parameters
    ----------
    store : Store
        The platform's store.
    clock : IReactorTime
        Runtime's clock.
    wall_time : callable
        Returns seconds since 1970; claims expire by it.
    """

    def __init__(self, store: Store, clock, wall_time) -> None:
        self._store = store
        self._clock = clock
        self._wall_time = wall_time
        self._queues: dict[int, BucketQueue] = {}

    def reserve(
        self, caller: str, key: str, request_id: str, replaces: str = ""
    ) -> Deferred:
        """Claim a caller's key for a request.

        Parameters
        ----------
        caller, key : str
            What is claimed.
        request_id : str
            The request that claims it.
        replaces : str, default=""
            An earlier holder that is known not to have run.

        Returns
        -------
        Deferred
            Gives the request id that holds the key: the one given if the
            claim is new. Fails with `StoreUnavailableError` if the claim may
            or may not have been written; the request must not run then.
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
        except StoreUnavailableError as error:
            queue.version, queue.bucket = 0, IdempotencyBucket()
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
            claims = self._unexpired(queue.bucket.claims)
            added = False
            for pending in batch:
                held = claims.get(pending.digest)
                if held is None or held[0] == pending.replaces:
                    claims[pending.digest] = (pending.request_id, self._wall_time())
                    added = True
            if added and len(claims) > KEYS_PER_BUCKET_MAX:
                raise StoreUnavailableError(f"claims bucket {number} is full")
            if added or not queue.version:
                result = yield self._store.write(
                    idempotency_bucket_key(number),
                    encode_record(IdempotencyBucket(claims)),
                    queue.version,
                )
                if not result.committed:
                    self._load(queue, result.entry)
                    continue
                queue.version = result.entry.version
                queue.bucket = IdempotencyBucket(claims)
            return {p.digest: claims[p.digest][0] for p in batch}

    def _load(self, queue: BucketQueue, entry) -> None:
        if entry is None:
            queue.version, queue.bucket = 0, IdempotencyBucket()
            return
        queue.version = entry.version
        queue.bucket = msgspec.json.decode(entry.value, type=IdempotencyBucket)

    def _unexpired(self, claims: dict) -> dict:
        oldest_s = self._wall_time() - KEY_TTL_S
        return {k: held for k, held in claims.items() if held[1] > oldest_s}
