"""Judges by which versions of the configuration daemons have answered (rule CONFIG).

The versions come from the store's own record of its writes, the answers from the
callers' record; nothing is read from the daemons.
"""

import bisect
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

# A version must be in force this long after its write, at daemons that were in contact
# for the time below.
APPLY_S = 2.0
CONTACT_S = 3.0
# A daemon that has shown the effect of a version must not go back later than this.
ROLLBACK_SLACK_S = 0.25
# The factor by which that slack is larger while a daemon is disturbed.
DISTURBED_FACTOR = 8


@dataclass(slots=True, frozen=True)
class WrittenVersion:
    """A version in the store's record."""

    version: int
    written_s: float
    queues: frozenset[str]


@dataclass(slots=True, frozen=True)
class QueueAnswer:
    """An answer that shows whether a daemon knows a queue.

    Attributes
    ----------
    incarnation : int
        Start of the daemon's process, counted from 0.
    sent_s, answered_s : float
        When the request was sent and its response complete.
    has_queue : bool
        Whether the daemon served the queue; otherwise it answered that there is none.
    """

    daemon: str
    incarnation: int
    queue: str
    sent_s: float
    answered_s: float
    has_queue: bool


class ConfigurationCheck:
    """Finds answers that only an older version allows than the rule does.

    Attributes
    ----------
    judged : int
        Answers of daemons in contact.
    lag_max_s : float
        Longest time from a version's write to a request that a daemon in contact
        answered by an older one.
    """

    def __init__(self) -> None:
        self._versions: list[WrittenVersion] = []
        self._answers: list[QueueAnswer] = []
        # By daemon, or None for all: when each disturbance began and ended.
        self._disturbed: dict[str | None, list[list[float]]] = defaultdict(list)
        self._open: dict[tuple[str | None, str], list[float]] = {}
        self._silent_s: dict[str | None, float] = {}
        self.judged = 0
        self.lag_max_s = 0.0

    def add_version(self, version: int, written_s: float, queues: Iterable[str]):
        """Add a version that the store has acknowledged, in the order of writes."""
        self._versions.append(WrittenVersion(version, written_s, frozenset(queues)))

    def add_answer(self, answer: QueueAnswer) -> None:
        """Add an answer of a daemon."""
        self._answers.append(answer)

    def begin_disturbance(self, cause: str, at_s: float, daemon: str | None = None):
        """Note that a daemon, or every one, is out of contact from now on."""
        if (daemon, cause) not in self._open:
            span = self._open[daemon, cause] = [at_s, float("inf")]
            self._disturbed[daemon].append(span)

    def end_disturbance(self, cause: str, at_s: float, daemon: str | None = None):
        """Note that a disturbance is over; contact is complete `CONTACT_S` later."""
        span = self._open.pop((daemon, cause), None)
        if span is not None:
            span[1] = at_s

    def add_silence(self, at_s: float, daemon: str | None = None) -> None:
        """Note that open connections to the store, not new ones, fall silent.

        One silence leaves a daemon in contact, since its next call works. A second one
        within `CONTACT_S` may hit that call too.
        """
        former_s = max(
            self._silent_s.get(daemon, float("-inf")),
            self._silent_s.get(None, float("-inf")),
        )
        self._silent_s[daemon] = at_s
        if at_s - former_s < CONTACT_S:
            self.begin_disturbance("silenced", at_s, daemon)
            self.end_disturbance("silenced", at_s, daemon)

    def check(self) -> list[str]:
        """Return the findings."""
        findings = []
        # By incarnation: when each version was first shown, and its index.
        shown: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)
        for answer in sorted(self._answers, key=lambda answer: answer.answered_s):
            findings.extend(self._check_answer(answer, shown))
        return findings

    def _check_answer(self, answer: QueueAnswer, shown) -> list[str]:
        allowing = [
            index
            for index, version in enumerate(self._versions)
            if version.written_s <= answer.answered_s
            and (answer.queue in version.queues) == answer.has_queue
        ]
        if not allowing:
            return [self._describe(answer, "allowed by no version")]
        is_in_contact = self._is_in_contact(answer)
        if is_in_contact:
            self.judged += 1
        findings = []
        newest = allowing[-1]
        following = self._versions[newest + 1 : newest + 2]
        lag_s = answer.sent_s - following[0].written_s if following else 0.0
        if is_in_contact:
            self.lag_max_s = max(self.lag_max_s, lag_s)
            if lag_s > APPLY_S:
                what = (
                    f"allowed up to version {self._versions[newest].version} only, "
                    f"{lag_s:.3f} s after the write of {following[0].version}"
                )
                findings.append(self._describe(answer, what))
        history = shown[answer.daemon, answer.incarnation]
        findings.extend(self._check_regress(answer, allowing, history, is_in_contact))
        least = next((i for i in allowing if not history or i >= history[-1][1]), None)
        if least is not None and (not history or least > history[-1][1]):
            history.append((answer.answered_s, least))
        return findings

    def _check_regress(self, answer, allowing, history, is_in_contact) -> list[str]:
        """Return a finding if the daemon has shown a newer version before."""
        factor = 1 if is_in_contact else DISTURBED_FACTOR
        before_s = answer.sent_s - ROLLBACK_SLACK_S * factor
        known = bisect.bisect_left(history, before_s, key=lambda row: row[0])
        if not known or allowing[-1] >= history[known - 1][1]:
            return []
        shown_s, index = history[known - 1]
        what = (
            f"went back to version {self._versions[allowing[-1]].version}, "
            f"{answer.sent_s - shown_s:.3f} s after it showed "
            f"{self._versions[index].version}"
        )
        return [self._describe(answer, what)]

    def _is_in_contact(self, answer: QueueAnswer) -> bool:
        spans = (*self._disturbed[None], *self._disturbed[answer.daemon])
        return not any(
            begun_s <= answer.answered_s and ended_s >= answer.sent_s - CONTACT_S
            for begun_s, ended_s in spans
        )

    @staticmethod
    def _describe(answer: QueueAnswer, what: str) -> str:
        has = "served" if answer.has_queue else "404"
        return (
            f"CONFIG: {answer.daemon} (start {answer.incarnation}) at "
            f"{answer.sent_s:.3f}: queue {answer.queue} {has}, {what}"
        )
