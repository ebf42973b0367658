"""The membership list: records, suspicion reports, suspicion with a timeout before death, and refutation.

Follows SWIM (section 4.2) and Lifeguard (a suspicion timeout that shrinks with independent confirmations),
changed where a lying member could do harm. A record is signed by the member that it describes and a
suspicion report by its accuser, and no statement "is dead" exists: each member declares another dead only
when a suspicion has expired in its own list. So no member can make statements for another, confirmations are
counted by signature, and suspicion reports of a member whose reports keep being refuted are ignored.

| from | to | by |
| --- | --- | --- |
| (none) | ALIVE | a first record |
| ALIVE | SUSPECT | a suspicion report of its current incarnation |
| SUSPECT | ALIVE | a record of a higher incarnation, or a datagram from it since then, at expiry |
| SUSPECT | DEAD | the suspicion expired |
| DEAD | ALIVE | a record of a higher incarnation |
| any | LEFT | its own record that says so |
| LEFT | ALIVE | a record of a higher incarnation |
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from math import inf, log, log10

from micahold.membership.wire import MemberRecord, SignedStatement, SuspicionReport

MIN_SUSPICION_PERIODS = 5.0  # shortest suspicion timeout: this many probe periods times log10(group size)
MAX_SUSPICION_FACTOR = 6.0  # the longest timeout, without confirmations, is this multiple of the shortest
SUSPICION_CONFIRMATIONS = 3  # independent accusers beyond the first that reduce the timeout to the shortest
MAX_ACCUSERS = 16  # suspicion reports kept for each suspected member
MAX_REFUTATIONS = 8.0  # an accuser whose decayed count of refuted suspicion reports reaches this is ignored
REFUTATION_HALF_LIFE_S = 30.0
BUCKET_COUNT = 64  # digests in the summary that starts an anti-entropy exchange


class Status(Enum):
    """State of a member; the values appear in logs and in the members view."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@dataclass(slots=True, frozen=True)
class StatusChange:
    """A change of one member's status with its reason, for the log."""

    name: str
    before: Status | None
    after: Status
    reason: str


@dataclass(slots=True)
class Suspicion:
    """One suspicion; ``expires_at`` falls from the longest timeout to the shortest as accusers confirm it."""

    started_at: float
    min_timeout_s: float
    max_timeout_s: float
    confirmations_needed: int
    expires_at: float = inf
    accusers: dict[str, SignedStatement] = field(default_factory=dict)

    def confirm(self, accuser: str, signed: SignedStatement) -> bool:
        """Add a suspicion report and recompute the expiry; return whether its accuser is a new one."""
        if accuser in self.accusers or len(self.accusers) >= MAX_ACCUSERS:
            return False
        self.accusers[accuser] = signed
        shrinkage = 1.0
        if self.confirmations_needed > 0:
            shrinkage = log(len(self.accusers)) / log(self.confirmations_needed + 1)
        self.expires_at = self.started_at + max(
            self.min_timeout_s, self.max_timeout_s - (self.max_timeout_s - self.min_timeout_s) * shrinkage
        )
        return True


@dataclass(slots=True)
class Member:
    """Another member, described by its newest record."""

    name: str
    signed: SignedStatement
    record: MemberRecord
    status: Status = Status.ALIVE
    status_since: float = 0.0
    last_heard: float = -inf  # time of its last datagram to this member
    suspicion: Suspicion | None = None
    digest: int = 0
    bucket: int = 0

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of its record."""
        return self.record.host, self.record.port


@dataclass(slots=True)
class RefutationScore:
    """Count of the refuted suspicion reports of one accuser, with exponential decay."""

    score: float = 0.0
    updated_at: float = 0.0

    def score_at(self, now: float) -> float:
        """The count, decayed to ``now``."""
        decayed: float = self.score * 0.5 ** ((now - self.updated_at) / REFUTATION_HALF_LIFE_S)
        return decayed

    def increment(self, now: float) -> None:
        """Count one more refuted suspicion report."""
        self.score, self.updated_at = self.score_at(now) + 1.0, now


def record_digest(name: str, record: MemberRecord) -> int:
    """64-bit digest of what a record asserts: name, incarnation and whether the member left."""
    text = f"{name}\0{record.incarnation}\0{record.left:d}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


def name_bucket(name: str) -> int:
    """The bucket of the anti-entropy exchange that a member's name belongs to."""
    return blake2b(name.encode(), digest_size=1).digest()[0] % BUCKET_COUNT


class MemberList:
    """All members other than this one.

    ``lifeguard`` False gives plain SWIM for comparison: a fixed suspicion timeout, and datagrams received
    from a suspected member do not keep it from being declared dead.
    """

    def __init__(self, name: str, period: float, lifeguard: bool = True) -> None:
        self.name = name
        self.period = period
        self.lifeguard = lifeguard
        self.members: dict[str, Member] = {}
        self.refutation_scores: dict[str, RefutationScore] = {}
        self.suspects: dict[str, Member] = {}
        self._live_names: list[str] | None = None
        self.version = 0  # increases with every change of the members or of their status

    # Lookups

    def live_names(self) -> list[str]:
        """Names of the alive and suspected members, in a stable order; callers must not modify the list."""
        if self._live_names is None:
            live = (Status.ALIVE, Status.SUSPECT)
            self._live_names = [member.name for member in self.members.values() if member.status in live]
        return self._live_names

    def with_status(self, status: Status) -> list[Member]:
        """The members in this state."""
        return [member for member in self.members.values() if member.status is status]

    def __iter__(self) -> Iterator[Member]:
        return iter(self.members.values())

    def live_count(self) -> int:
        """Number of alive and suspected members, this one included."""
        return 1 + len(self.live_names())

    def is_credible(self, now: float, accuser: str) -> bool:
        """Whether suspicion reports by this member are accepted: few of them were refuted recently."""
        refutations = self.refutation_scores.get(accuser)
        return refutations is None or refutations.score_at(now) < MAX_REFUTATIONS

    def record_refutation(self, now: float, accuser: str) -> None:
        """Count a suspicion report by ``accuser`` as wrong: its subject refuted it, or is this member."""
        self.refutation_scores.setdefault(accuser, RefutationScore()).increment(now)

    # Changes

    def _invalidate(self) -> None:
        self._live_names = None
        self.version += 1

    def _set_status(self, now: float, member: Member, after: Status, reason: str) -> list[StatusChange]:
        before, member.status, member.status_since = member.status, after, now
        self._invalidate()
        if after is not Status.SUSPECT:
            self.suspects.pop(member.name, None)
            # The suspicion reports of a dead member are kept, so that it can be sent one and refute it.
            if after is not Status.DEAD:
                member.suspicion = None
        return [StatusChange(member.name, before, after, reason)] if before is not after else []

    def apply_record(
        self, now: float, signed: SignedStatement, record: MemberRecord
    ) -> tuple[bool, list[StatusChange]]:
        """Apply a member's record, its signature verified; return whether it was new, and the changes."""
        name = signed.origin
        after = Status.LEFT if record.left else Status.ALIVE
        known = self.members.get(name)
        if known is None:
            self.members[name] = Member(
                name, signed, record, after, now, digest=record_digest(name, record), bucket=name_bucket(name)
            )
            self._invalidate()
            return True, [StatusChange(name, None, after, "record")]
        newer = record.incarnation > known.record.incarnation
        leaving = record.incarnation == known.record.incarnation and record.left and not known.record.left
        if not newer and not leaving:
            return False, []
        if known.status is Status.SUSPECT and known.suspicion is not None and not record.left:
            for accuser in known.suspicion.accusers:
                self.record_refutation(now, accuser)
        known.signed, known.record, known.digest = signed, record, record_digest(name, record)
        reason = "left" if record.left else "refuted" if known.status is Status.SUSPECT else "came_back"
        return True, self._set_status(now, known, after, reason)

    def apply_suspicion_report(
        self, now: float, signed: SignedStatement, report: SuspicionReport
    ) -> tuple[bool, list[StatusChange]]:
        """Apply a suspicion report, its signature verified; return whether it was new, and the changes."""
        accuser, member = signed.origin, self.members.get(report.subject)
        if member is None or accuser == report.subject:
            return False, []
        if report.incarnation != member.record.incarnation:
            return False, []  # refuted already, or of an incarnation that is not known yet
        if member.status not in (Status.ALIVE, Status.SUSPECT):
            return False, []
        if accuser != self.name and not self.is_credible(now, accuser):
            return False, []
        changes: list[StatusChange] = []
        if member.status is Status.ALIVE:
            other_members = max(0, self.live_count() - 2)  # without this member and the suspect
            min_timeout_s = MIN_SUSPICION_PERIODS * max(1.0, log10(max(1, self.live_count()))) * self.period
            confirmations_needed = (
                min(SUSPICION_CONFIRMATIONS, max(0, other_members - 1)) if self.lifeguard else 0
            )
            max_timeout_s = (
                MAX_SUSPICION_FACTOR * min_timeout_s
                if self.lifeguard and confirmations_needed
                else min_timeout_s
            )
            member.suspicion = Suspicion(now, min_timeout_s, max_timeout_s, confirmations_needed)
            self.suspects[member.name] = member
            changes = self._set_status(now, member, Status.SUSPECT, f"accused by {accuser}")
        assert member.suspicion is not None
        return member.suspicion.confirm(accuser, signed), changes

    def mark_heard(self, now: float, name: str) -> None:
        """Note that a datagram from this member arrived, signed and not a replay."""
        member = self.members.get(name)
        if member is not None:
            member.last_heard = now

    def expire_suspicions(self, now: float) -> list[StatusChange]:
        """End the suspicions that have expired; return the changes.

        The member is declared dead, unless a datagram from it arrived more than a period after the suspicion
        began: then its link to this member works, whatever others report.
        """
        changes: list[StatusChange] = []
        for member in list(self.suspects.values()):
            suspicion = member.suspicion
            if suspicion is None or now < suspicion.expires_at:
                continue
            if self.lifeguard and member.last_heard > suspicion.started_at + self.period:
                changes += self._set_status(now, member, Status.ALIVE, "own_sight")
            else:
                changes += self._set_status(now, member, Status.DEAD, "suspicion ran out")
        return changes

    def postpone(self, stall_s: float) -> None:
        """Extend every suspicion by the time for which this process was stalled and could not receive."""
        for member in self.suspects.values():
            if member.suspicion is not None:
                member.suspicion.started_at += stall_s
                member.suspicion.expires_at += stall_s

    def due(self) -> float:
        """Time of the next expiry of a suspicion, infinity where there is none."""
        return min(
            (member.suspicion.expires_at for member in self.suspects.values() if member.suspicion),
            default=inf,
        )

    def retain(self, names: set[str]) -> list[str]:
        """Remove the members not among ``names``, whose keys are gone; return the names removed."""
        dropped = [name for name in self.members if name not in names]
        for name in dropped:
            del self.members[name]
            self.suspects.pop(name, None)
        self.refutation_scores = {
            name: score for name, score in self.refutation_scores.items() if name in names
        }
        self._invalidate()
        return dropped

    # Anti-entropy exchange

    def bucket_digests(self, own: tuple[str, MemberRecord]) -> bytes:
        """A digest of eight bytes for each bucket of names, this member's own record included.

        A bucket's digest is the XOR of its records' digests, so it does not depend on their order.
        """
        digests = [0] * BUCKET_COUNT
        for member in self.members.values():
            digests[member.bucket] ^= member.digest
        digests[name_bucket(own[0])] ^= record_digest(*own)
        return b"".join(digest.to_bytes(8, "big") for digest in digests)

    def statements_in(self, buckets: Iterable[int]) -> list[SignedStatement]:
        """Records and up to two suspicion reports of each member in these buckets, in their order."""
        by_bucket: dict[int, list[SignedStatement]] = {bucket: [] for bucket in buckets}
        for member in self.members.values():
            if member.bucket in by_bucket:
                by_bucket[member.bucket].append(member.signed)
                if member.suspicion is not None:
                    by_bucket[member.bucket] += list(member.suspicion.accusers.values())[:2]
        return [signed for statements in by_bucket.values() for signed in statements]


def differing_buckets(own: bytes, other: bytes) -> list[int]:
    """Buckets whose digests differ between two results of ``MemberList.bucket_digests``."""
    return [
        bucket
        for bucket in range(BUCKET_COUNT)
        if own[8 * bucket : 8 * bucket + 8] != other[8 * bucket : 8 * bucket + 8]
    ]
