"""Evidence that a daemon's membership, and the rights it gives, still stand."""

from dataclasses import dataclass

# Peers must be seen to be out of contact well before the evidence of the last
# read lapses, or an outage could never be told from an own loss of contact.
CONTACT_GAP_TERM_RATIO = 0.5


@dataclass(slots=True, frozen=True)
class RecordVersions:
    """Versions of the records that rights are based on."""

    members_version: int = 0
    configuration_version: int = 0


@dataclass(slots=True)
class PeerEvidence:
    """What one peer last said of its contact with the store.

    Attributes
    ----------
    echo_s : float
        This daemon's own clock as the peer echoed it: the statement was made
        at or after that time.
    received_s : float
        When the statement arrived here.
    store_age_s : float
        Age of the peer's last store answer when it made the statement.
    contact_duration_s : float
        For how long the peer's store contact has had no gap; 0 while it has
        one.
    record_versions : RecordVersions
        Versions of the records that the peer holds.
    """

    echo_s: float
    received_s: float
    store_age_s: float
    contact_duration_s: float
    record_versions: RecordVersions


class StoreContact:
    """Age and continuity of this daemon's contact with the store.

    Parameters
    ----------
    gap_s : float
        A pause longer than this is a gap, which ends a run of contact.
    """

    __slots__ = ("_last_s", "_contact_since_s", "gap_s")

    def __init__(self, gap_s: float) -> None:
        self.gap_s = gap_s
        self._last_s = float("-inf")
        self._contact_since_s = float("-inf")

    def record_read(self, sent_s: float) -> None:
        """Record an answer to a read that was sent at `sent_s`."""
        if sent_s <= self._last_s:
            return
        if sent_s - self._last_s > self.gap_s:
            self._contact_since_s = sent_s
        self._last_s = sent_s

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the last answered read was sent."""
        return now_s - self._last_s

    def contact_duration_s(self, now_s: float) -> float:
        """Return for how long contact has been without a gap."""
        if self.age_s(now_s) > self.gap_s:
            return 0.0
        return now_s - self._contact_since_s


class MembershipLease:
    """Decide until when this daemon may use its shares and cells.

    The evidence is one of three: an own read of the store that shows the
    daemon live, a peer's statement of such a read, or, while the store is out
    of reach for a majority of the members, their statements to that effect.
    The last kind only extends a tenure that has not lapsed. While a member is
    being excluded, a majority has contact without a gap for more than a term,
    so its tenure lapses, and outage evidence cannot revive it.

    Parameters
    ----------
    term_s : float
        How long evidence holds.
    """

    __slots__ = ("_evidence_s", "_peers", "record_versions", "contact", "term_s")

    def __init__(self, term_s: float) -> None:
        self.contact = StoreContact(0.0)
        self.set_term(term_s)
        self.record_versions = RecordVersions()
        self._evidence_s = float("-inf")
        self._peers: dict[str, PeerEvidence] = {}

    def set_term(self, term_s: float) -> None:
        """Set how long evidence holds."""
        self.term_s = term_s
        self.contact.gap_s = term_s * CONTACT_GAP_TERM_RATIO

    def record_store_read(
        self, sent_s: float, record_versions: RecordVersions, live: bool
    ) -> None:
        """Record a consistent read of the records, sent at `sent_s`.

        Parameters
        ----------
        sent_s : float
            When the read was sent, by this daemon's clock.
        record_versions : RecordVersions
            Versions that the store holds and this daemon has loaded.
        live : bool
            Whether this daemon is a live member in that version.
        """
        self.contact.record_read(sent_s)
        self.record_versions = record_versions
        if live:
            self._evidence_s = max(self._evidence_s, sent_s)

    def record_heartbeat(self, peer: str, evidence: PeerEvidence, live: bool) -> None:
        """Record a peer's statement.

        Parameters
        ----------
        peer : str
            Member that made it.
        evidence : PeerEvidence
            The statement.
        live : bool
            Whether this daemon is live in the members record it holds.
        """
        held = self._peers.get(peer)
        if held is not None and evidence.echo_s < held.echo_s:
            return
        self._peers[peer] = evidence
        if not live or evidence.record_versions != self.record_versions:
            return
        read_sent_s = evidence.echo_s - evidence.store_age_s
        self._evidence_s = max(self._evidence_s, read_sent_s)

    def forget(self, peer: str) -> None:
        """Drop what a peer said, for it is no longer a member."""
        self._peers.pop(peer, None)

    def extend_in_outage(self, now_s: float, others: set[str]) -> bool:
        """Extend the tenure if a majority has no contact with the store.

        Parameters
        ----------
        now_s : float
            Present time.
        others : set of str
            The other members of the record.

        Returns
        -------
        bool
            Whether the outage is established now.
        """
        if not self.is_valid(now_s) or self.contact.age_s(now_s) <= self.contact.gap_s:
            return False
        echoes = [now_s]
        for peer in others:
            evidence = self._peers.get(peer)
            if evidence is None or evidence.store_age_s <= self.contact.gap_s:
                continue
            if evidence.record_versions != self.record_versions:
                continue
            echoes.append(evidence.echo_s)
        majority = (len(others) + 1) // 2 + 1
        if len(echoes) < majority:
            return False
        echoes.sort(reverse=True)
        self._evidence_s = max(self._evidence_s, echoes[majority - 1])
        return self.is_valid(now_s)

    def is_valid(self, now_s: float) -> bool:
        """Tell whether rights of membership may be used at `now_s`."""
        return now_s < self._evidence_s + self.term_s

    def evidence_age_s(self, now_s: float) -> float:
        """Return the age of the newest evidence."""
        return now_s - self._evidence_s

    def majority_in_contact_since(
        self, since_s: float, now_s: float, others: set[str]
    ) -> bool:
        """Tell whether a majority had gapless store contact since `since_s`.

        Parameters
        ----------
        since_s, now_s : float
            Bounds of the period.
        others : set of str
            The other members that count.
        """
        fresh = 0
        if self.contact.contact_duration_s(now_s) >= now_s - since_s:
            fresh += 1
        for peer in others:
            evidence = self._peers.get(peer)
            if evidence is None or now_s - evidence.echo_s > self.term_s:
                continue
            if (
                evidence.received_s - evidence.contact_duration_s <= since_s
                and evidence.contact_duration_s > 0
            ):
                fresh += 1
        return fresh >= (len(others) + 1) // 2 + 1
