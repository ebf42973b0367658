"""Who is in the group: records, accusations, suspicion before death, refutation.

After SWIM (section 4.2) and Lifeguard (suspicion that shrinks with independent confirmations), changed where
a liar could do harm. A record is signed by the member itself, an accusation by its accuser, and no statement
"is dead" exists at all: each member buries another only when a suspicion ran out in its own roster. So nobody
speaks for another, confirmations are counted by signature, and an accuser whose accusations keep being
refuted is not believed.

| from | to | by |
| --- | --- | --- |
| (none) | ALIVE | a first record |
| ALIVE | SUSPECT | an accusation of its present incarnation |
| SUSPECT | ALIVE | a record of a higher incarnation, or its own datagram to us since, when the time is up |
| SUSPECT | DEAD | the suspicion ran out |
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

MIN_SUSPICION_PERIODS, MAX_SUSPICION_FACTOR = 5.0, 6.0  # periods times log10(n); that times the least
SUSPICION_CONFIRMATIONS = 3
MAX_ACCUSERS = 16  # whose accusations of one member are kept
MAX_REFUTATIONS, REFUTATION_HALF_LIFE_S = (
    8.0,
    30.0,
)  # refuted accusations of late beyond which an accuser is not believed
BUCKET_COUNT = 64  # of a full exchange


class Status(Enum):
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@dataclass(slots=True, frozen=True)
class StatusChange:
    """For the log and the decisions: one member's status changed, and why."""

    name: str
    before: Status | None
    after: Status
    reason: str


@dataclass(slots=True)
class Suspicion:
    """``expires`` falls from the most to the least as independent accusers confirm."""

    started_at: float
    min_timeout_s: float
    max_timeout_s: float
    confirmations_needed: int
    expires_at: float = inf
    accusers: dict[str, SignedStatement] = field(default_factory=dict)

    def confirm(self, accuser: str, signed: SignedStatement) -> bool:
        """True where this accuser is new."""
        if accuser in self.accusers or len(self.accusers) >= MAX_ACCUSERS:
            return False
        self.accusers[accuser] = signed
        part = 1.0
        if self.confirmations_needed > 0:
            part = log(len(self.accusers)) / log(self.confirmations_needed + 1)
        self.expires_at = self.started_at + max(
            self.min_timeout_s, self.max_timeout_s - (self.max_timeout_s - self.min_timeout_s) * part
        )
        return True


@dataclass(slots=True)
class Member:
    """Another member, by its newest record."""

    name: str
    signed: SignedStatement
    record: MemberRecord
    status: Status = Status.ALIVE
    status_since: float = 0.0
    last_heard: float = -inf  # its own last datagram to us
    suspicion: Suspicion | None = None
    digest: int = 0
    bucket: int = 0

    @property
    def address(self) -> tuple[str, int]:
        return self.record.host, self.record.port


@dataclass(slots=True)
class RefutationScore:
    """Refuted accusations of one accuser, fading."""

    score: float = 0.0
    at: float = 0.0

    def score_at(self, now: float) -> float:
        decayed: float = self.score * 0.5 ** ((now - self.at) / REFUTATION_HALF_LIFE_S)
        return decayed

    def increment(self, now: float) -> None:
        self.score, self.at = self.score_at(now) + 1.0, now


def record_digest(name: str, record: MemberRecord) -> int:
    text = f"{name}\0{record.incarnation}\0{record.left:d}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


def name_bucket(name: str) -> int:
    return blake2b(name.encode(), digest_size=1).digest()[0] % BUCKET_COUNT


class MemberList:
    """All members but this one. ``lifeguard`` False: one fixed suspicion time and no look at own sight."""

    def __init__(self, name: str, period: float, lifeguard: bool = True) -> None:
        self.name, self.period, self.lifeguard = name, period, lifeguard
        self.members: dict[str, Member] = {}
        self.refutation_scores: dict[str, RefutationScore] = {}
        self.suspects: dict[str, Member] = {}
        self._live_names: list[str] | None = None
        self.version = 0  # grows with every change of who is in the group

    # Views

    def live_names(self) -> list[str]:
        """Names that are alive or suspect, in a stable order; the list must not be changed."""
        if self._live_names is None:
            up = (Status.ALIVE, Status.SUSPECT)
            self._live_names = [one.name for one in self.members.values() if one.status in up]
        return self._live_names

    def with_status(self, status: Status) -> list[Member]:
        return [one for one in self.members.values() if one.status is status]

    def __iter__(self) -> Iterator[Member]:
        return iter(self.members.values())

    def live_count(self) -> int:
        """Members that live, this one included."""
        return 1 + len(self.live_names())

    def is_credible(self, now: float, accuser: str) -> bool:
        standing = self.refutation_scores.get(accuser)
        return standing is None or standing.score_at(now) < MAX_REFUTATIONS

    def record_refutation(self, now: float, accuser: str) -> None:
        """An accusation by this member was wrong: the accused cleared its name, or it was us."""
        self.refutation_scores.setdefault(accuser, RefutationScore()).increment(now)

    # Changes

    def _changed(self) -> None:
        self._live_names = None
        self.version += 1

    def _turn(self, now: float, member: Member, after: Status, reason: str) -> list[StatusChange]:
        before, member.status, member.status_since = member.status, after, now
        self._changed()
        if after is not Status.SUSPECT:
            self.suspects.pop(member.name, None)
            if after is not Status.DEAD:
                member.suspicion = None
        return [StatusChange(member.name, before, after, reason)] if before is not after else []

    def apply_record(
        self, now: float, signed: SignedStatement, record: MemberRecord
    ) -> tuple[bool, list[StatusChange]]:
        """A record of another member, its signature checked; whether it was news, and what changed."""
        name = signed.origin
        after = Status.LEFT if record.left else Status.ALIVE
        known = self.members.get(name)
        if known is None:
            self.members[name] = Member(
                name, signed, record, after, now, digest=record_digest(name, record), bucket=name_bucket(name)
            )
            self._changed()
            return True, [StatusChange(name, None, after, "record")]
        newer = record.incarnation > known.record.incarnation
        leaves = record.incarnation == known.record.incarnation and record.left and not known.record.left
        if not newer and not leaves:
            return False, []
        if known.status is Status.SUSPECT and known.suspicion is not None and not record.left:
            for accuser in known.suspicion.accusers:
                self.record_refutation(now, accuser)
        known.signed, known.record, known.digest = signed, record, record_digest(name, record)
        reason = "left" if record.left else "refuted" if known.status is Status.SUSPECT else "came_back"
        return True, self._turn(now, known, after, reason)

    def apply_accusation(
        self, now: float, signed: SignedStatement, accusation: SuspicionReport
    ) -> tuple[bool, list[StatusChange]]:
        """An accusation of another member, its signature checked; whether it was news, and what changed."""
        accuser, member = signed.origin, self.members.get(accusation.subject)
        if member is None or accuser == accusation.subject:
            return False, []
        if accusation.incarnation != member.record.incarnation:
            return False, []  # refuted already, or of a time that has not come
        if member.status not in (Status.ALIVE, Status.SUSPECT):
            return False, []
        if accuser != self.name and not self.is_credible(now, accuser):
            return False, []
        changes: list[StatusChange] = []
        if member.status is Status.ALIVE:
            others = max(0, self.live_count() - 2)
            min_timeout_s = MIN_SUSPICION_PERIODS * max(1.0, log10(max(1, self.live_count()))) * self.period
            confirmations_needed = min(SUSPICION_CONFIRMATIONS, max(0, others - 1)) if self.lifeguard else 0
            max_timeout_s = (
                MAX_SUSPICION_FACTOR * min_timeout_s
                if self.lifeguard and confirmations_needed
                else min_timeout_s
            )
            member.suspicion = Suspicion(now, min_timeout_s, max_timeout_s, confirmations_needed)
            self.suspects[member.name] = member
            changes = self._turn(now, member, Status.SUSPECT, f"accused by {accuser}")
        assert member.suspicion is not None
        return member.suspicion.confirm(accuser, signed), changes

    def mark_heard(self, now: float, name: str) -> None:
        """Its own datagram reached us, signed and new."""
        member = self.members.get(name)
        if member is not None:
            member.last_heard = now

    def expire_suspicions(self, now: float) -> list[StatusChange]:
        """Suspicions that have run out: buried, unless the member itself spoke to us since."""
        changes: list[StatusChange] = []
        for member in list(self.suspects.values()):
            suspicion = member.suspicion
            if suspicion is None or now < suspicion.expires_at:
                continue
            if self.lifeguard and member.last_heard > suspicion.started_at + self.period:
                changes += self._turn(now, member, Status.ALIVE, "own_sight")
            else:
                changes += self._turn(now, member, Status.DEAD, "suspicion ran out")
        return changes

    def postpone(self, late: float) -> None:
        """This member itself stood still for so long: no suspicion ran meanwhile."""
        for member in self.suspects.values():
            if member.suspicion is not None:
                member.suspicion.started_at += late
                member.suspicion.expires_at += late

    def due(self) -> float:
        return min((one.suspicion.expires_at for one in self.suspects.values() if one.suspicion), default=inf)

    def retain(self, names: set[str]) -> list[str]:
        """Members whose keys are gone are forgotten; their names."""
        dropped = [one for one in self.members if one not in names]
        for name in dropped:
            del self.members[name]
            self.suspects.pop(name, None)
        self.refutation_scores = {
            one: standing for one, standing in self.refutation_scores.items() if one in names
        }
        self._changed()
        return dropped

    # Full exchange

    def bucket_digests(self, own: tuple[str, MemberRecord]) -> bytes:
        """A digest of eight bytes for each bucket of names, this member's own record included."""
        sums = [0] * BUCKET_COUNT
        for member in self.members.values():
            sums[member.bucket] ^= member.digest
        sums[name_bucket(own[0])] ^= record_digest(*own)
        return b"".join(one.to_bytes(8, "big") for one in sums)

    def statements_in(self, buckets: Iterable[int]) -> list[SignedStatement]:
        """Records and accusations of these buckets, in the order of the buckets."""
        wanted: dict[int, list[SignedStatement]] = {one: [] for one in buckets}
        for member in self.members.values():
            if member.bucket in wanted:
                wanted[member.bucket].append(member.signed)
                if member.suspicion is not None:
                    wanted[member.bucket] += list(member.suspicion.accusers.values())[:2]
        return [one for found in wanted.values() for one in found]


def differing_buckets(mine: bytes, theirs: bytes) -> list[int]:
    """Buckets whose digests differ."""
    return [at for at in range(BUCKET_COUNT) if mine[8 * at : 8 * at + 8] != theirs[8 * at : 8 * at + 8]]
