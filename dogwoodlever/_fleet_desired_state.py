"""Desired state that operators write, as read by this daemon."""

from collections.abc import Callable
from dataclasses import replace

from dogwoodlever._fleet_interfaces import Record
from dogwoodlever._fleet_types import FleetConfiguration, WorkerEntry
from dogwoodlever._logs import log_event
from dogwoodlever.platform import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    decode_configuration,
    decode_worker,
)
from dogwoodlever.platform_errors import PlatformError


class DesiredState:
    """Newest configuration and the data centres taken out of service.

    Parameters
    ----------
    on_change : callable
        Called after each change.
    on_refused : callable
        Called with the cause when a version is not put into force.
    """

    def __init__(
        self,
        on_change: Callable[[], None],
        on_refused: Callable[[str], None] = lambda cause: None,
    ) -> None:
        self._on_change = on_change
        self._on_refused = on_refused
        self.configuration: FleetConfiguration | None = None
        self.data_centres_out: set[str] = set()
        # Store revision of the newest change of the configuration's record.
        self._revision = 0
        # That of the version in force.
        self._used_revision = 0

    def apply_record(self, record: Record) -> bool:
        """Apply a record that operators wrote or removed; return False if refused."""
        if record.key == CONFIGURATION_KEY:
            return self._apply_configuration(record)
        if record.key.startswith(EVACUATION_PREFIX):
            self._apply_evacuation(record.key[len(EVACUATION_PREFIX) :], record)
        return True

    def _apply_configuration(self, record: Record) -> bool:
        if record.revision < self._revision:
            return self._apply_former(record)
        if record.revision == self._revision:
            # A conditional write may have shown the record before the watch does.
            return True
        self._revision = record.revision
        if record.value is None:
            return self._refuse("removed", 0, removed_at=record.revision)
        try:
            decoded = decode_configuration(record.value, record.revision)
        except PlatformError as error:
            return self._refuse("unreadable", record.revision, why=str(error)[:300])
        if self.configuration and decoded.version < self.configuration.version:
            # A delayed listing must not restore an older version.
            return self._refuse("older", record.revision, version=decoded.version)
        self._put_into_force(decoded, record.revision)
        return True

    def _apply_former(self, record: Record) -> bool:
        """Apply a version before one that was refused, if it was not known."""
        if self.configuration is None or record.revision <= self._used_revision:
            return True
        if record.value is None:
            return True
        try:
            decoded = decode_configuration(record.value, self.configuration.revision)
        except PlatformError:
            return True
        if decoded.version > self.configuration.version:
            self._put_into_force(decoded, record.revision)
        return True

    def _put_into_force(self, decoded: FleetConfiguration, revision: int) -> None:
        self._used_revision = revision
        self.configuration = decoded
        log_event(
            "configuration.loaded",
            version=decoded.version,
            revision=revision,
            queues=len(decoded.queues),
        )
        self._on_change()

    def _refuse(self, cause: str, revision: int, **fields) -> bool:
        """Keep the version in force although its record has changed.

        Writes are conditional on the record's revision, 0 for a removed one, and
        would fail until the next usable version if the revision stayed behind.
        """
        kept_version = None
        if self.configuration is not None:
            kept_version = self.configuration.version
            self.configuration = replace(self.configuration, revision=revision)
        log_event(f"configuration.{cause}", in_force=kept_version, **fields)
        self._on_refused(cause)
        return False

    def _apply_evacuation(self, data_centre: str, record: Record) -> None:
        if record.value is None:
            self.data_centres_out.discard(data_centre)
        else:
            self.data_centres_out.add(data_centre)
        log_event(
            "data-centre.out" if record.value is not None else "data-centre.back",
            data_centre=data_centre,
            revision=record.revision,
        )
        self._on_change()


class WorkerEntries:
    """Reads the workers' entries, and names each that cannot be used once.

    A worker writes its entry about every second, and so may another writer.
    """

    def __init__(self) -> None:
        # Ids whose entry was named and has not been removed since.
        self._named: set[str] = set()

    def decode(self, worker_id: str, record: Record) -> WorkerEntry | None:
        """Return the worker of an entry, None if it was removed or is malformed."""
        if record.value is None:
            self._named.discard(worker_id)
            return None
        try:
            return decode_worker(worker_id, record.value)
        except PlatformError as error:
            if worker_id not in self._named:
                self._named.add(worker_id)
                log_event("worker.unreadable", worker=worker_id, why=str(error)[:200])
            return None
