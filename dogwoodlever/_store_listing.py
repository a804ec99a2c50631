"""Reads all records under a prefix of the store, page by page."""

from twisted.internet.defer import inlineCallbacks

from dogwoodlever._fleet_interfaces import FleetStore, Listing, Record


class StoreListing:
    """Listing of a prefix that goes on after the last page that was read.

    A listing that began anew after each failure would never end where a page is lost
    more often than all of them can be read.

    Parameters
    ----------
    store : FleetStore
        The platform's store.
    prefix : str
        Prefix of the keys.
    """

    def __init__(self, store: FleetStore, prefix: str) -> None:
        self._store = store
        self._prefix = prefix
        self._records: list[Record] = []
        self._revision = 0
        self._after = ""
        self._is_closed = False

    def close(self) -> None:
        """Read no further page, so that the link is free for others."""
        self._is_closed = True

    @inlineCallbacks
    def read(self):
        """Read the pages that are left.

        Returns a Deferred that fires with the whole `Listing`, or with what was read
        before `close`. Fails with `PlatformError`; another call continues.
        """
        while True:
            page = yield self._store.list_page(self._prefix, self._after)
            self._records.extend(page.records)
            # A watch from the first page misses no change of the later ones.
            self._revision = self._revision or page.revision
            self._after = page.next_after
            if not self._after or self._is_closed:
                return Listing(tuple(self._records), self._revision)
