"""Writes the progress of jobs to the store, many in one transaction."""

from collections.abc import Callable

from twisted.internet.defer import inlineCallbacks

from dogwoodlever._fleet_board import FleetBoard
from dogwoodlever._fleet_interfaces import Put, Record
from dogwoodlever._fleet_observed_store import ObservedStore
from dogwoodlever._fleet_records import (
    PROGRESS_PREFIX,
    TERM_KEY,
    encode,
    progress_key,
)
from dogwoodlever._logs import log_event
from dogwoodlever.platform_errors import PlatformError

# Ends wait this long for others, so that a busy second costs few writes.
FLUSH_PAUSE_S = 0.1
RETRY_S = 0.25
# The store takes 32 entries in one transaction: the term's condition, and a
# condition and a value for each job.
JOBS_A_WRITE = 15
# Conflicts with own earlier writes that are taken in one go.
CONFLICTS_MAX = 3


class FleetJournal:
    """Stores changed jobs; ends may be forgotten by workers only afterwards.

    Every write holds only while no other daemon has begun a term, so a leader
    that was replaced cannot overwrite its successor's records. It also names the
    revision of each record that it replaces, so a write without an answer that
    is carried out late cannot bring older progress back.

    Parameters
    ----------
    store : ObservedStore
        The platform's store.
    clock : IReactorTime
        Runtime's clock.
    board : FleetBoard
        Jobs.
    term_revision : callable
        Returns the revision of the own term's record.
    marks : callable
        Returns the highest end that was taken of each worker's life; called
        when a write begins.
    stored : callable
        Takes those marks once every change that preceded them is stored.
    unstored : callable
        Takes changed progress by job while it cannot be stored.
    """

    def __init__(
        self,
        store: ObservedStore,
        clock,
        board: FleetBoard,
        term_revision: Callable[[], int],
        marks: Callable[[], dict],
        stored: Callable[[dict], None],
        unstored: Callable[[dict[str, bytes]], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._board = board
        self._term_revision = term_revision
        self._marks = marks
        self._stored = stored
        self._unstored = unstored
        self._told: dict[str, bytes] = {}
        self._timer = None
        self._is_writing = False
        self._is_closed = False
        self._revisions: dict[str, int] = {}
        self.writes = 0

    def learn(self, job_id: str, revision: int) -> None:
        """Take the revision at which a job's progress is stored."""
        self._revisions[job_id] = revision

    def forget(self, job_id: str) -> None:
        """Forget a job whose records are removed."""
        self._revisions.pop(job_id, None)

    def close(self) -> None:
        """Write no more."""
        self._is_closed = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def wake(self) -> None:
        """Write soon what has changed."""
        if self._is_closed or self._is_writing:
            return
        if self._timer is None or not self._timer.active():
            self._timer = self._clock.callLater(FLUSH_PAUSE_S, self.flush)

    @inlineCallbacks
    def flush(self):
        """Write what has changed; on failure it is written again later."""
        if self._is_closed or self._is_writing:
            return
        self._is_writing = True
        pause_s = FLUSH_PAUSE_S
        if self._store.down_for_s() is not None:
            self._tell()
        try:
            yield self._write_all()
        except PlatformError as error:
            pause_s = RETRY_S
            log_event("journal.write-failed", why=str(error)[:160])
            self._tell()
        finally:
            self._is_writing = False
        if self._board.dirty and not self._is_closed:
            self._timer = self._clock.callLater(pause_s, self.flush)

    def _tell(self) -> None:
        """Hand on what changed since it was last handed on."""
        changed = {}
        for job_id in self._board.dirty:
            progress = encode(self._board.jobs[job_id].progress())
            if self._told.get(job_id) != progress:
                changed[job_id] = progress
        if changed and not self._is_closed:
            self._told.update(changed)
            self._unstored(changed)

    @inlineCallbacks
    def _write_all(self):
        marks = self._marks()
        left = sorted(self._board.dirty)
        while left:
            batch, left = left[:JOBS_A_WRITE], left[JOBS_A_WRITE:]
            self._board.dirty.difference_update(batch)
            try:
                yield self._write(batch)
            except PlatformError:
                self._board.dirty.update(batch)
                raise
        self._told.clear()
        if not self._is_closed:
            self._stored(marks)

    @inlineCallbacks
    def _write(self, batch: list[str]):
        for _ in range(CONFLICTS_MAX):
            result = yield self._commit(batch)
            if result.revision:
                for job_id in batch:
                    self._revisions[job_id] = result.revision
                return
            self._take_conflict(result.found)
        raise PlatformError("progress was changed again and again")

    def _take_conflict(self, found: tuple[Record, ...]) -> None:
        """Learn the revisions of own writes that got no answer."""
        for record in found:
            if record.key == TERM_KEY:
                if record.revision != self._term_revision():
                    raise PlatformError("another term has begun")
                continue
            job_id = record.key[len(PROGRESS_PREFIX) :]
            self._revisions[job_id] = record.revision

    def _commit(self, batch: list[str]):
        self.writes += 1
        expected = {TERM_KEY: self._term_revision()}
        puts = []
        for job_id in batch:
            key = progress_key(job_id)
            expected[key] = self._revisions.get(job_id, 0)
            puts.append(Put(key, encode(self._board.jobs[job_id].progress())))
        return self._store.commit(expected, tuple(puts))
