"""Writes that the simulated store rejects, however often they are repeated."""

from twisted.internet.defer import fail

from dogwoodlever.platform_errors import StoreRejectedError


def reject_writes(store, is_rejected, error=StoreRejectedError):
    """Reject the writes with a key for which `is_rejected` holds; return the calls.

    Each call is a pair of its time and whether it was rejected.
    """
    commit, calls = store.commit, []

    def commit_or_reject(expected, puts, deletes=()):
        keys = {*(put.key for put in puts), *deletes}
        is_rejected_now = any(map(is_rejected, keys))
        calls.append((store._clock.seconds(), is_rejected_now))
        if is_rejected_now:
            return fail(error("the store rejects the write"))
        return commit(expected, puts, deletes)

    store.commit = commit_or_reject
    return calls
