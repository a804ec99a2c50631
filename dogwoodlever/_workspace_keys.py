"""Checks the API keys of callers against the workspaces of the configuration."""

import hmac
from collections.abc import Callable
from enum import StrEnum

import msgspec

from dogwoodlever._fleet_interfaces import Record
from dogwoodlever._fleet_types import FleetConfiguration, Queue, SubmittedJob
from dogwoodlever._logs import log_event

# Part of the time allowed for a withdrawal for which a configuration counts as
# current. The rest covers the time for which a VM that cannot tell is still listed as
# ready, and differences in clock rates.
KNOWLEDGE_FRACTION = 0.6
# A single lost call of the watch must not make the load balancer drop a VM.
UNREADY_AFTER_S = 1.0
# Watch calls in the time for which a configuration counts as current. The age of a
# configuration reaches two waits if no call fails; three more cover two lost calls.
WATCHES_PER_AGE_MAX = 5


class KeyOutcome(StrEnum):
    """Outcome of the check of a key."""

    ACCEPTED = "accepted"
    UNKNOWN = "unknown"
    # The configuration may be outdated, so the key may have been withdrawn.
    UNDECIDED = "undecided"
    # A newer version has no queue at the host and path of the call.
    NO_QUEUE = "no-queue"


class RefusalCause(StrEnum):
    """Why a call was refused, for logs and metrics."""

    MISSING = "missing"
    MALFORMED = "malformed"
    UNKNOWN = "unknown"
    # The key was withdrawn between its check and the write.
    WITHDRAWN = "withdrawn"
    UNDECIDED = "undecided"
    OTHER_WORKSPACE = "other-workspace"


class KeyCheck(msgspec.Struct, frozen=True, omit_defaults=True):
    """Result of the check of a call's key; sent to the leader with relayed writes.

    Attributes
    ----------
    workspace : str or None
        Workspace of the key; empty if the queue is public or the key is not accepted,
        None if the configuration has no workspaces.
    queue : str
        Name of the queue that was called.
    digest : bytes
        Digest of the key, for a check against a newer configuration.
    expected : dict of str to int
        Condition of the call's write: the revision of the configuration by its key.
    host, path : str
        Where the queue was called; empty if a daemon of an earlier build checked it.
    """

    outcome: KeyOutcome = KeyOutcome.ACCEPTED
    workspace: str | None = None
    queue: str = ""
    digest: bytes = b""
    expected: dict[str, int] = {}
    host: str = ""
    path: str = ""

    def can_access(self, workspace: str) -> bool:
        """Return whether the caller may read and cancel a job of a workspace."""
        return self.workspace is None or workspace in ("", self.workspace)

    def owns(self, workspace: str) -> bool:
        """Return whether a job of a workspace may be one that the caller submitted."""
        return self.workspace in (None, workspace)


# For calls under a configuration without workspaces.
UNCHECKED = KeyCheck()


class KeyChecker:
    """Resolves keys to workspaces, and tracks whether this is possible.

    Parameters
    ----------
    get_configuration : callable
        Returns the newest `FleetConfiguration`, None before the first.
    apply_record : callable
        Called with the `Record` of a newer configuration.
    configuration_key : str
        Store key of the configuration.
    withdrawal_s : float or None
        Time within which every VM must refuse a withdrawn key; None for no such limit.
    get_confirmed_s : callable
        Returns a time at which the configuration was the newest one: the sending
        time of the last call to the store that showed it.
    clock : IReactorTime
        Reactor clock, which must include suspended time.
    on_refused : callable
        Called with the cause of each refused call.
    """

    def __init__(
        self,
        get_configuration: Callable[[], FleetConfiguration | None],
        apply_record: Callable[[Record], None],
        configuration_key: str,
        withdrawal_s: float | None,
        get_confirmed_s: Callable[[], float],
        clock,
        on_refused: Callable[[str], None],
    ) -> None:
        self._get_configuration = get_configuration
        self._apply_record = apply_record
        self._configuration_key = configuration_key
        self._age_max_s = None
        if withdrawal_s is not None:
            self._age_max_s = KNOWLEDGE_FRACTION * withdrawal_s
        self._get_confirmed_s = get_confirmed_s
        self._clock = clock
        self._on_refused = on_refused
        self._indexed: FleetConfiguration | None = None
        # Digest, for the comparison, and workspace by digest.
        self._workspaces: dict[bytes, tuple[bytes, str]] = {}
        # Calls refused since the configuration counts as outdated.
        self._undecided_calls = 0

    def check(
        self,
        configuration: FleetConfiguration,
        queue: Queue,
        digest: bytes,
        read_s: float,
    ) -> KeyCheck:
        """Check the key of a call that was read from its connection at `read_s`.

        The call was sent before it was read. If the configuration was the newest one
        at most `KNOWLEDGE_FRACTION` of the allowed time earlier, no key is accepted
        that was withdrawn longer than the allowed time before the call was sent. A
        pause of the process after the check does not matter, so the answer needs no
        further check.
        """
        if not self.needs_key(configuration, queue):
            return self._resolve(configuration, queue, digest)
        age_s = read_s - self._get_confirmed_s()
        if self._age_max_s is not None and age_s > self._age_max_s:
            if not self._undecided_calls:
                log_event("key.unknown-state", queue=queue.name, age_s=age_s)
            self._undecided_calls += 1
            self._on_refused(RefusalCause.UNDECIDED)
            return KeyCheck(KeyOutcome.UNDECIDED, "", queue.name)
        if self._undecided_calls:
            log_event("key.known-state", refused=self._undecided_calls)
            self._undecided_calls = 0
        check = self._resolve(configuration, queue, digest)
        if check.outcome is KeyOutcome.UNKNOWN:
            self.refuse(RefusalCause.UNKNOWN, queue.name)
        return check

    @staticmethod
    def needs_key(configuration: FleetConfiguration, queue: Queue) -> bool:
        """Return whether calls of a queue need a key."""
        return bool(configuration.workspaces) and not queue.is_public

    def check_again(self, current: Record | None, check: KeyCheck) -> KeyCheck | None:
        """Check a key against the configuration that made a write fail.

        Parameters
        ----------
        current : Record or None
            The configuration's record, as the store returned it.
        check : KeyCheck
            The check on which the write depended.

        Returns
        -------
        KeyCheck or None
            None if the newer configuration is not known yet.
        """
        if current is not None and current.value:
            self._apply_record(current)
        configuration = self._get_configuration()
        revision = check.expected.get(self._configuration_key)
        if configuration is None or configuration.revision == revision:
            return None
        if check.path:
            queue = configuration.find_queue(check.host, check.path)
        else:
            queue = configuration.queues.get(check.queue)
        name = check.queue if queue is None else queue.name
        again = self._resolve(
            configuration, queue or Queue(name, "", "", ""), check.digest
        )
        if again.outcome is KeyOutcome.UNKNOWN:
            self.refuse(RefusalCause.WITHDRAWN, name, check.workspace or "")
        elif queue is None:
            again = msgspec.structs.replace(again, outcome=KeyOutcome.NO_QUEUE)
        return msgspec.structs.replace(again, host=check.host, path=check.path)

    def accept_again(self, job: SubmittedJob, check: KeyCheck) -> SubmittedJob:
        """Return a job as the version in force accepts it, after `check_again`."""
        configuration = self._get_configuration()
        queue = configuration.queues[check.queue]
        return msgspec.structs.replace(
            job,
            queue=queue.name,
            configuration_version=configuration.version,
            accepted_queue=queue,
        )

    def refuse(self, cause: RefusalCause, queue: str, workspace: str = "") -> None:
        """Log and count a refused call."""
        fields = {"workspace": workspace} if workspace else {}
        log_event("key.refused", queue=queue, cause=cause, **fields)
        self._on_refused(cause)

    def _resolve(
        self, configuration: FleetConfiguration, queue: Queue, digest: bytes
    ) -> KeyCheck:
        if not configuration.workspaces:
            return UNCHECKED
        if queue.is_public:
            return KeyCheck(KeyOutcome.ACCEPTED, "", queue.name)
        self.apply_configuration(configuration)
        # The lookup by digest reveals nothing about keys: a caller cannot choose the
        # digest of a guess.
        found = self._workspaces.get(digest)
        if found is None or not hmac.compare_digest(found[0], digest):
            return KeyCheck(KeyOutcome.UNKNOWN, "", queue.name)
        return KeyCheck(
            KeyOutcome.ACCEPTED,
            found[1],
            queue.name,
            digest,
            {self._configuration_key: configuration.revision},
        )

    def apply_configuration(self, configuration: FleetConfiguration) -> None:
        """Index the keys of a configuration, and log those that it withdraws."""
        if configuration is self._indexed:
            return
        before = self._indexed.workspaces if self._indexed is not None else {}
        self._indexed = configuration
        self._workspaces = {}
        for workspace in configuration.workspaces.values():
            for digest in workspace.key_digests:
                _, owner = self._workspaces.setdefault(digest, (digest, workspace.name))
                if owner != workspace.name:
                    log_event("key.shared", workspace=workspace.name, owner=owner)
        for name, old in before.items():
            new = configuration.workspaces.get(name)
            kept = new.key_digests if new is not None else frozenset()
            withdrawn = old.key_digests - kept
            if withdrawn:
                log_event(
                    "key.withdrawn",
                    workspace=name,
                    withdrawn=len(withdrawn),
                    remaining=len(kept),
                    version=configuration.version,
                )

    def watch_wait_s(self) -> float | None:
        """Return the longest wait of a watch call, None if keys set no limit."""
        if self._age_max_s is None or not self._is_any_key_needed():
            return None
        return self._age_max_s / WATCHES_PER_AGE_MAX

    def is_undecided_for_long(self) -> bool:
        """Return whether calls with keys have been refused for `UNREADY_AFTER_S`."""
        if self._age_max_s is None or not self._is_any_key_needed():
            return False
        age_s = self._clock.seconds() - self._get_confirmed_s()
        return age_s > self._age_max_s + UNREADY_AFTER_S

    def _is_any_key_needed(self) -> bool:
        configuration = self._get_configuration()
        return configuration is not None and any(
            self.needs_key(configuration, queue)
            for queue in configuration.queues.values()
        )
