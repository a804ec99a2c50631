"""Lease under which a daemon uses its slots and cells, renewed by evidence."""

from dataclasses import dataclass

# A gap must be detected well before the lease expires. Otherwise the lease is
# gone before the peers can report that they have lost the store as well.
CONTACT_GAP_TERM_RATIO = 0.5


@dataclass(slots=True, frozen=True)
class RecordVersions:
    """Versions of the members and configuration records that a daemon holds."""

    members_version: int = 0
    configuration_version: int = 0


@dataclass(slots=True)
class PeerEvidence:
    """Store contact that one peer last reported.

    Attributes
    ----------
    echo_s : float
        This daemon's clock as echoed by the peer: the report was sent at or
        after that time.
    received_s : float
        When the report arrived.
    store_age_s : float
        Age of the peer's last answered store read when it sent the report.
    contact_duration_s : float
        How long the peer has been in contact with the store without a gap; 0
        during a gap.
    record_versions : RecordVersions
        Versions of the records that the peer holds.
    """

    echo_s: float
    received_s: float
    store_age_s: float
    contact_duration_s: float
    record_versions: RecordVersions


class StoreContact:
    """Age and continuity of this daemon's store contact.

    Parameters
    ----------
    gap_s : float
        A longer pause between answered reads is a gap, which resets the
        contact duration.
    """

    __slots__ = ("_last_s", "_contact_since_s", "gap_s")

    def __init__(self, gap_s: float) -> None:
        self.gap_s = gap_s
        self._last_s = float("-inf")
        self._contact_since_s = float("-inf")

    def record_read(self, sent_s: float) -> None:
        """Record that a read sent at `sent_s` was answered."""
        if sent_s <= self._last_s:
            return
        if sent_s - self._last_s > self.gap_s:
            self._contact_since_s = sent_s
        self._last_s = sent_s

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the last answered read was sent."""
        return now_s - self._last_s

    def contact_duration_s(self, now_s: float) -> float:
        """Return how long contact has lasted without a gap; 0 during a gap."""
        if self.age_s(now_s) > self.gap_s:
            return 0.0
        return now_s - self._contact_since_s


class MembershipLease:
    """Lease on this daemon's shares and cells, renewed by evidence.

    Three kinds of evidence renew it: a store read by this daemon that shows it
    live, a peer's report of such a read, and, while a majority of the members
    cannot reach the store, their reports of that outage. Outage evidence only
    extends a valid lease and never revives an expired one. This keeps
    exclusion safe: a member is excluded only after a majority has been in
    contact with the store without a gap for longer than a term, so its lease
    has expired by then.

    Parameters
    ----------
    term_s : float
        How long evidence keeps the lease valid.
    """

    __slots__ = ("_evidence_s", "_peers", "record_versions", "contact", "term_s")

    def __init__(self, term_s: float) -> None:
        self.contact = StoreContact(0.0)
        self.set_term(term_s)
        self.record_versions = RecordVersions()
        self._evidence_s = float("-inf")
        self._peers: dict[str, PeerEvidence] = {}

    def set_term(self, term_s: float) -> None:
        """Set how long evidence keeps the lease valid."""
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
            Versions that were read and loaded.
        live : bool
            Whether this daemon is live or leaving in that members record.
        """
        self.contact.record_read(sent_s)
        self.record_versions = record_versions
        if live:
            self._evidence_s = max(self._evidence_s, sent_s)

    def record_heartbeat(self, peer: str, evidence: PeerEvidence, live: bool) -> None:
        """Record the store contact that a peer's heartbeat reports.

        It renews the lease only if the peer holds the same record versions.

        Parameters
        ----------
        peer : str
            Member id of the sender.
        evidence : PeerEvidence
            What the heartbeat reports.
        live : bool
            Whether this daemon is live or leaving in the members record that
            it holds.
        """
        previous = self._peers.get(peer)
        if previous is not None and evidence.echo_s < previous.echo_s:
            return
        self._peers[peer] = evidence
        if not live or evidence.record_versions != self.record_versions:
            return
        read_sent_s = evidence.echo_s - evidence.store_age_s
        self._evidence_s = max(self._evidence_s, read_sent_s)

    def extend_in_outage(self, now_s: float, others: set[str]) -> bool:
        """Extend the lease if a majority has no contact with the store.

        Parameters
        ----------
        now_s : float
            Current time.
        others : set of str
            The other members of the record.

        Returns
        -------
        bool
            Whether a majority confirms the outage and the lease is valid.
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
        """Return whether the lease has not expired at `now_s`."""
        return now_s < self._evidence_s + self.term_s

    def evidence_age_s(self, now_s: float) -> float:
        """Return the age of the newest evidence, in seconds."""
        return now_s - self._evidence_s

    def majority_in_contact_since(
        self, since_s: float, now_s: float, others: set[str]
    ) -> bool:
        """Return whether a majority had store contact without a gap in a period.

        Parameters
        ----------
        since_s, now_s : float
            Bounds of the period.
        others : set of str
            The other members that count towards the majority.
        """
        in_contact_count = 0
        if self.contact.contact_duration_s(now_s) >= now_s - since_s:
            in_contact_count += 1
        for peer in others:
            evidence = self._peers.get(peer)
            if evidence is None or now_s - evidence.echo_s > self.term_s:
                continue
            if (
                evidence.received_s - evidence.contact_duration_s <= since_s
                and evidence.contact_duration_s > 0
            ):
                in_contact_count += 1
        return in_contact_count >= (len(others) + 1) // 2 + 1
