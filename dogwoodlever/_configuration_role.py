"""Configuration of a daemon: follow the stored record and change it."""

from collections.abc import Callable

from returns.result import Failure
from twisted.internet.defer import inlineCallbacks

from dogwoodlever import _record_keys as keys
from dogwoodlever._configuration import (
    ActiveConfiguration,
    ConfigurationRecord,
    encode_configuration,
)
from dogwoodlever._interfaces import Entry
from dogwoodlever._logs import log_event
from dogwoodlever._store_follower import StoreFollower, SwapOutcome
from dogwoodlever.configuration_errors import (
    ConfigurationConflictError,
    ConfigurationError,
)


class ConfigurationRole:
    """Follow the active configuration, and write accepted changes to the store.

    Parameters
    ----------
    follower : StoreFollower
        Shared records.
    wall_time : callable
        Returns the Unix time in seconds.
    """

    def __init__(self, follower: StoreFollower, wall_time: Callable[[], float]) -> None:
        self.active = ActiveConfiguration()
        self._store = follower
        self._wall_time = wall_time
        self._change_listeners: list[Callable[[], None]] = []
        follower.on_entry(self._entry_changed)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` when another revision becomes active."""
        self._change_listeners.append(listener)

    def _entry_changed(self, key: str, entry: Entry | None) -> None:
        if key != keys.CONFIGURATION or entry is None:
            return
        try:
            newer = self.active.offer(entry.version, entry.value)
        except ConfigurationError as error:
            log_event("configuration.refused", error=error)
            return
        if not newer:
            return
        log_event("configuration.in_force", revision=self.active.record.revision)
        for listener in self._change_listeners:
            listener()

    @inlineCallbacks
    def apply(self, documents: tuple[tuple[str, str], ...], by: str, expected: int):
        """Replace the documents if `expected` is still the revision.

        Returns
        -------
        Deferred
            Fires with the accepted revision.

        Raises
        ------
        SettingsError
            If the documents are invalid.
        ConfigurationConflictError
            If another change was accepted first.
        """
        record = self.active.record
        if record.revision != expected:
            raise ConfigurationConflictError(
                f"change is based on revision {expected}; active is {record.revision}"
            )
        change = record.with_documents(documents, by, self._wall_time())
        revision = yield self._write(change, self._expected_version())
        return revision

    @inlineCallbacks
    def set_data_centre(self, name: str, out: bool, by: str):
        """Take a data centre out of service or bring it back.

        On a conflict the change is retried on the newer revision: taking a data
        centre out does not depend on what the documents say.

        Returns
        -------
        Deferred
            Fires with the accepted revision.

        Raises
        ------
        ConfigurationError
            If there is no such data centre.
        """
        while True:
            site = self.active.site
            if site is None or name not in site.data_centres:
                known = ", ".join(sorted(site.data_centres)) if site else "none"
                raise ConfigurationError(f"no data centre {name!r}; known: {known}")
            record = self.active.record
            if (name in record.out) == out:
                return record.revision
            change = record.with_data_centre(name, out, by, self._wall_time())
            version = self._expected_version()
            try:
                revision = yield self._write(change, version)
            except ConfigurationConflictError:
                if version == self._expected_version():
                    # The stored record cannot be used here, and is not replaced.
                    raise
                continue
            return revision

    def _expected_version(self) -> int:
        """Return the version that a write replaces, 0 if the record is gone."""
        is_stored = keys.CONFIGURATION in self._store.entries
        return self.active.version if is_stored else 0

    @inlineCallbacks
    def _write(self, change: ConfigurationRecord, version: int):
        checked = change.site()
        if isinstance(checked, Failure):
            raise checked.failure()
        written = yield self._store.swap(
            keys.CONFIGURATION, encode_configuration(change), version
        )
        if written == SwapOutcome.CONFLICT:
            raise ConfigurationConflictError(
                "another change was accepted first; read it and apply yours again"
            )
        return change.revision
