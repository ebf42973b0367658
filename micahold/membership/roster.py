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

from micahold.membership.wire import Accusation, Record, Signed

SUSPICION_LEAST, SUSPICION_MOST = 5.0, 6.0  # periods times log10(n); that times the least
CONFIRMATIONS = 3
MOST_ACCUSERS = 16  # whose accusations of one member are kept
STANDING_MOST, STANDING_HALF_S = (
    8.0,
    30.0,
)  # refuted accusations of late beyond which an accuser is not believed
BUCKETS = 64  # of a full exchange


class Status(Enum):
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@dataclass(slots=True, frozen=True)
class Change:
    """For the log and the decisions: one member's status changed, and why."""

    name: str
    before: Status | None
    after: Status
    why: str


@dataclass(slots=True)
class Suspicion:
    """``expires`` falls from the most to the least as independent accusers confirm."""

    since: float
    least: float
    most: float
    needed: int
    expires: float = inf
    accusers: dict[str, Signed] = field(default_factory=dict)

    def confirm(self, accuser: str, signed: Signed) -> bool:
        """True where this accuser is new."""
        if accuser in self.accusers or len(self.accusers) >= MOST_ACCUSERS:
            return False
        self.accusers[accuser] = signed
        part = 1.0
        if self.needed > 0:
            part = log(len(self.accusers)) / log(self.needed + 1)
        self.expires = self.since + max(self.least, self.most - (self.most - self.least) * part)
        return True


@dataclass(slots=True)
class Member:
    """Another member, by its newest record."""

    name: str
    signed: Signed
    record: Record
    status: Status = Status.ALIVE
    changed: float = 0.0
    heard: float = -inf  # its own last datagram to us
    suspicion: Suspicion | None = None
    digest: int = 0
    bucket: int = 0

    @property
    def address(self) -> tuple[str, int]:
        return self.record.host, self.record.port


@dataclass(slots=True)
class Standing:
    """Refuted accusations of one accuser, fading."""

    level: float = 0.0
    at: float = 0.0

    def faded(self, now: float) -> float:
        faded: float = self.level * 0.5 ** ((now - self.at) / STANDING_HALF_S)
        return faded

    def note(self, now: float) -> None:
        self.level, self.at = self.faded(now) + 1.0, now


def digest_of(name: str, record: Record) -> int:
    text = f"{name}\0{record.incarnation}\0{record.left:d}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


def bucket_of(name: str) -> int:
    return blake2b(name.encode(), digest_size=1).digest()[0] % BUCKETS


class Roster:
    """All members but this one. ``lifeguard`` False: one fixed suspicion time and no look at own sight."""

    def __init__(self, name: str, period: float, lifeguard: bool = True) -> None:
        self.name, self.period, self.lifeguard = name, period, lifeguard
        self.members: dict[str, Member] = {}
        self.standings: dict[str, Standing] = {}
        self.suspects: dict[str, Member] = {}
        self._living: list[str] | None = None
        self.version = 0  # grows with every change of who is in the group

    # Views

    def living(self) -> list[str]:
        """Names that are alive or suspect, in a stable order; the list must not be changed."""
        if self._living is None:
            up = (Status.ALIVE, Status.SUSPECT)
            self._living = [one.name for one in self.members.values() if one.status in up]
        return self._living

    def of(self, status: Status) -> list[Member]:
        return [one for one in self.members.values() if one.status is status]

    def __iter__(self) -> Iterator[Member]:
        return iter(self.members.values())

    def size(self) -> int:
        """Members that live, this one included."""
        return 1 + len(self.living())

    def believes(self, now: float, accuser: str) -> bool:
        standing = self.standings.get(accuser)
        return standing is None or standing.faded(now) < STANDING_MOST

    def refuted(self, now: float, accuser: str) -> None:
        """An accusation by this member was wrong: the accused cleared its name, or it was us."""
        self.standings.setdefault(accuser, Standing()).note(now)

    # Changes

    def _changed(self) -> None:
        self._living = None
        self.version += 1

    def _turn(self, now: float, member: Member, after: Status, why: str) -> list[Change]:
        before, member.status, member.changed = member.status, after, now
        self._changed()
        if after is not Status.SUSPECT:
            self.suspects.pop(member.name, None)
            if after is not Status.DEAD:
                member.suspicion = None
        return [Change(member.name, before, after, why)] if before is not after else []

    def learn(self, now: float, signed: Signed, record: Record) -> tuple[bool, list[Change]]:
        """A record of another member, its signature checked; whether it was news, and what changed."""
        name = signed.origin
        after = Status.LEFT if record.left else Status.ALIVE
        known = self.members.get(name)
        if known is None:
            self.members[name] = Member(
                name, signed, record, after, now, digest=digest_of(name, record), bucket=bucket_of(name)
            )
            self._changed()
            return True, [Change(name, None, after, "record")]
        newer = record.incarnation > known.record.incarnation
        leaves = record.incarnation == known.record.incarnation and record.left and not known.record.left
        if not newer and not leaves:
            return False, []
        if known.status is Status.SUSPECT and known.suspicion is not None and not record.left:
            for accuser in known.suspicion.accusers:
                self.refuted(now, accuser)
        known.signed, known.record, known.digest = signed, record, digest_of(name, record)
        why = "left" if record.left else "refuted" if known.status is Status.SUSPECT else "came_back"
        return True, self._turn(now, known, after, why)

    def accuse(self, now: float, signed: Signed, accusation: Accusation) -> tuple[bool, list[Change]]:
        """An accusation of another member, its signature checked; whether it was news, and what changed."""
        accuser, member = signed.origin, self.members.get(accusation.subject)
        if member is None or accuser == accusation.subject:
            return False, []
        if accusation.incarnation != member.record.incarnation:
            return False, []  # refuted already, or of a time that has not come
        if member.status not in (Status.ALIVE, Status.SUSPECT):
            return False, []
        if accuser != self.name and not self.believes(now, accuser):
            return False, []
        changes: list[Change] = []
        if member.status is Status.ALIVE:
            others = max(0, self.size() - 2)
            least = SUSPICION_LEAST * max(1.0, log10(max(1, self.size()))) * self.period
            needed = min(CONFIRMATIONS, max(0, others - 1)) if self.lifeguard else 0
            most = SUSPICION_MOST * least if self.lifeguard and needed else least
            member.suspicion = Suspicion(now, least, most, needed)
            self.suspects[member.name] = member
            changes = self._turn(now, member, Status.SUSPECT, f"accused by {accuser}")
        assert member.suspicion is not None
        return member.suspicion.confirm(accuser, signed), changes

    def heard_from(self, now: float, name: str) -> None:
        """Its own datagram reached us, signed and new."""
        member = self.members.get(name)
        if member is not None:
            member.heard = now

    def expire(self, now: float) -> list[Change]:
        """Suspicions that have run out: buried, unless the member itself spoke to us since."""
        changes: list[Change] = []
        for member in list(self.suspects.values()):
            suspicion = member.suspicion
            if suspicion is None or now < suspicion.expires:
                continue
            if self.lifeguard and member.heard > suspicion.since + self.period:
                changes += self._turn(now, member, Status.ALIVE, "own_sight")
            else:
                changes += self._turn(now, member, Status.DEAD, "suspicion ran out")
        return changes

    def postpone(self, late: float) -> None:
        """This member itself stood still for so long: no suspicion ran meanwhile."""
        for member in self.suspects.values():
            if member.suspicion is not None:
                member.suspicion.since += late
                member.suspicion.expires += late

    def due(self) -> float:
        return min((one.suspicion.expires for one in self.suspects.values() if one.suspicion), default=inf)

    def keep_only(self, names: set[str]) -> list[str]:
        """Members whose keys are gone are forgotten; their names."""
        dropped = [one for one in self.members if one not in names]
        for name in dropped:
            del self.members[name]
            self.suspects.pop(name, None)
        self.standings = {one: standing for one, standing in self.standings.items() if one in names}
        self._changed()
        return dropped

    # Full exchange

    def summary(self, own: tuple[str, Record]) -> bytes:
        """A digest of eight bytes for each bucket of names, this member's own record included."""
        sums = [0] * BUCKETS
        for member in self.members.values():
            sums[member.bucket] ^= member.digest
        sums[bucket_of(own[0])] ^= digest_of(*own)
        return b"".join(one.to_bytes(8, "big") for one in sums)

    def entries(self, buckets: Iterable[int]) -> list[Signed]:
        """Records and accusations of these buckets, in the order of the buckets."""
        wanted: dict[int, list[Signed]] = {one: [] for one in buckets}
        for member in self.members.values():
            if member.bucket in wanted:
                wanted[member.bucket].append(member.signed)
                if member.suspicion is not None:
                    wanted[member.bucket] += list(member.suspicion.accusers.values())[:2]
        return [one for found in wanted.values() for one in found]


def differing(mine: bytes, theirs: bytes) -> list[int]:
    """Buckets whose digests differ."""
    return [at for at in range(BUCKETS) if mine[8 * at : 8 * at + 8] != theirs[8 * at : 8 * at + 8]]
