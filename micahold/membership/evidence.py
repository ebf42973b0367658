"""What members saw of engines, and how far their word goes.

First-hand only: a testimony is signed by who made the attempts, says how many failed within a short window,
and fades. Combining: one member one voice; no word counts without ``quorum`` members of like word, and not
against a greater number of the opposite; own sight outweighs. Who keeps contradicting own sight or a clear
majority loses credit at once and regains it slowly. Two different testimonies under one sequence are proof of
a lie: kept, passed on, and the end of that member's voice. Hearsay touches only a stated part of the engines
at once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from micahold.membership.wire import MOST_ROWS, Row, Signed, Testimony

WINDOW_S = 5  # of own attempts, in whole seconds
BAD_SHARE, GOOD_SHARE = (
    0.5,
    0.1,
)  # of attempts that failed: a bad word from the one, a good word up to the other
LEAST_ATTEMPTS, SURE_ATTEMPTS = 2, 3  # for a word at all; for own sight to outweigh
VOICES_LEAST, VOICES_MOST = 3, 7
OLD_S, HALF_S = 6.0, 3.0  # a testimony counts no more; its weight halves
LEAST_WEIGHT = 0.25
CREDIT_LOSS, CREDIT_GAIN_S, CREDIT_LEAST = 0.7, 0.01, 0.5  # kept at a contradiction; a second; to be heard
MOST_PART = 1 / 4  # of the engines listed, one at least
KEPT_SEQUENCES = 4  # of one origin, to tell a lie by


class Word(Enum):
    BAD = "bad"
    GOOD = "good"
    NONE = "none"


def word(attempts: int, failures: int) -> Word:
    """What so many failures of so many attempts say."""
    if attempts < LEAST_ATTEMPTS or failures > attempts:
        return Word.NONE
    share = failures / attempts
    return Word.BAD if share >= BAD_SHARE else Word.GOOD if share <= GOOD_SHARE else Word.NONE


def quorum(living: int) -> int:
    """Members of like word that are needed: more than a third of a small group, a few of a large one."""
    return max(VOICES_LEAST, min(VOICES_MOST, living // 3 + 1))


class Sight:
    """Own attempts of the last seconds, by engine; engines that are no longer listed are dropped."""

    def __init__(self) -> None:
        self.engines: dict[str, deque[list[int]]] = {}

    def note(self, now: float, engine: str, failed: bool) -> None:
        second = int(now)
        seen = self.engines.setdefault(engine, deque(maxlen=WINDOW_S + 1))
        if not seen or seen[-1][0] != second:
            seen.append([second, 0, 0])
        seen[-1][1] += 1
        seen[-1][2] += failed

    def counts(self, now: float, engine: str) -> tuple[int, int]:
        """Attempts and failures within the window."""
        recent = [one for one in self.engines.get(engine, ()) if one[0] > now - WINDOW_S - 1]
        return sum(one[1] for one in recent), sum(one[2] for one in recent)

    def says(self, now: float, engine: str) -> Word:
        return word(*self.counts(now, engine))

    def sure(self, now: float, engine: str) -> Word:
        """The word that outweighs hearsay: from more attempts than any word at all."""
        attempts, failures = self.counts(now, engine)
        return word(attempts, failures) if attempts >= SURE_ATTEMPTS else Word.NONE

    def keep_only(self, now: float, engines: set[str]) -> None:
        self.engines = {
            one: seen
            for one, seen in self.engines.items()
            if one in engines and seen and seen[-1][0] > now - WINDOW_S - 1
        }


@dataclass(slots=True)
class Voice:
    """One member's latest testimony and how far it is believed."""

    credit: float = 1.0
    at: float = 0.0  # when the credit was last worked out
    heard: float = -1e9  # when its latest testimony was made, by our clock
    run: int = 0
    sequence: int = -1
    rows: tuple[Row, ...] = ()
    before: deque[tuple[int, int, Signed]] = field(default_factory=lambda: deque(maxlen=KEPT_SEQUENCES))

    def believed(self, now: float) -> float:
        return min(1.0, self.credit + CREDIT_GAIN_S * max(0.0, now - self.at))

    def contradicted(self, now: float) -> None:
        self.credit, self.at = self.believed(now) * CREDIT_LOSS, now


class Evidence:
    """Voices of others beside own sight."""

    def __init__(self) -> None:
        self.sight = Sight()
        self.voices: dict[str, Voice] = {}
        self.proofs: dict[str, tuple[Signed, Signed]] = {}

    def hear(self, now: float, signed: Signed, testimony: Testimony, made: float) -> bool:
        """A testimony whose signature is good, made at ``made`` by our clock; True where it was news.

        Its time is judged by the caller; an older sequence than the last changes nothing but may prove a lie.
        """
        origin = signed.origin
        if origin in self.proofs:
            return False
        voice = self.voices.setdefault(origin, Voice(at=now))
        mark = testimony.run, testimony.sequence
        for run, sequence, other in voice.before:
            if (run, sequence) == mark:
                if other.body == signed.body:
                    return False
                self.proofs[origin] = (other, signed)
                del self.voices[origin]
                return True
        voice.before.append((*mark, signed))
        if mark <= (voice.run, voice.sequence):
            return False
        voice.run, voice.sequence = mark
        voice.rows, voice.heard = testimony.rows, made
        if self._contradicts(now, origin, testimony.rows):
            voice.contradicted(now)
        return True

    def _contradicts(self, now: float, origin: str, rows: Iterable[Row]) -> bool:
        """Whether any row says the opposite of our own sight, or of a clear majority of the others."""
        opposite = {Word.BAD: Word.GOOD, Word.GOOD: Word.BAD}
        for engine, attempts, failures in rows:
            said = word(attempts, failures)
            if said is Word.NONE:
                continue
            own = self.sight.sure(now, engine)
            if own is opposite[said]:
                return True
            if own is Word.NONE:
                like, unlike = self.counts(now, engine, said, but=origin)
                if unlike >= VOICES_LEAST and unlike > 2 * (like + 1):
                    return True
        return False

    def heeded(self, now: float, voice: Voice) -> bool:
        """Fresh and credible enough to count as one voice."""
        age = now - voice.heard
        weight = 0.5 ** (max(0.0, age) / HALF_S)
        return age < OLD_S and voice.believed(now) >= CREDIT_LEAST and weight >= LEAST_WEIGHT

    def counts(self, now: float, engine: str, said: Word, but: str = "") -> tuple[int, int]:
        """Voices of like word and of the opposite on one engine."""
        like = unlike = 0
        for origin, voice in self.voices.items():
            if origin == but or not self.heeded(now, voice):
                continue
            for name, attempts, failures in voice.rows:
                if name == engine and (theirs := word(attempts, failures)) is not Word.NONE:
                    like += theirs is said
                    unlike += theirs is not said
                    break
        return like, unlike

    def tally(self, now: float) -> dict[str, tuple[int, int]]:
        """By engine: members with a bad word and members with a good one, this one's own sight included."""
        sums: dict[str, list[int]] = {}
        for voice in self.voices.values():
            if not self.heeded(now, voice):
                continue
            for engine in {one[0] for one in voice.rows}:
                attempts, failures = next((a, f) for name, a, f in voice.rows if name == engine)
                said = word(attempts, failures)
                if said is not Word.NONE:
                    sums.setdefault(engine, [0, 0])[said is Word.GOOD] += 1
        for engine in self.sight.engines:
            if (own := self.sight.says(now, engine)) is not Word.NONE:
                sums.setdefault(engine, [0, 0])[own is Word.GOOD] += 1
        return {engine: (bad, good) for engine, (bad, good) in sums.items()}

    def failing(self, now: float, listed: set[str], living: int) -> frozenset[str]:
        """Engines that the group calls failing: what this gateway may believe on hearsay."""
        needed = quorum(living)
        found: list[tuple[float, int, str]] = []
        for engine, (bad, good) in self.tally(now).items():
            if engine not in listed or bad < needed or bad <= good:
                continue
            if self.sight.sure(now, engine) is Word.GOOD:
                continue
            attempts, failures = self.sight.counts(now, engine)
            found.append((-failures / attempts if attempts else 0.0, -bad, engine))
        most = max(1, int(len(listed) * MOST_PART))
        return frozenset(engine for _, _, engine in sorted(found)[:most])

    def own_rows(self, now: float, listed: set[str], living: int) -> tuple[Row, ...]:
        """What is worth saying: own bad words, and own good ones where others say bad.

        Of an engine on which enough members said the same already nothing more is said: in a large group that
        keeps the traffic of one failing engine from growing with the members.
        """
        enough = 2 * quorum(living)
        rows: list[tuple[float, Row]] = []
        for engine in self.sight.engines:
            if engine not in listed:
                continue
            attempts, failures = self.sight.counts(now, engine)
            said = word(attempts, failures)
            if said is Word.NONE:
                continue
            like, unlike = self.counts(now, engine, said)
            if like < enough and (said is Word.BAD or unlike):
                rows.append((-failures / attempts, (engine, min(attempts, 10**6), min(failures, 10**6))))
        return tuple(row for _, row in sorted(rows)[:MOST_ROWS])

    def keep_only(self, now: float, names: set[str], engines: set[str]) -> None:
        """What is kept of members and engines goes with them."""
        self.voices = {one: voice for one, voice in self.voices.items() if one in names}
        self.proofs = {one: proof for one, proof in self.proofs.items() if one in names}
        self.sight.keep_only(now, engines)
