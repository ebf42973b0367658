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

from micahold.membership.wire import MAX_ENGINES_PER_STATEMENT, AttemptCounts, FailureReport, SignedStatement

WINDOW_S = 5  # of own attempts, in whole seconds
BAD_SHARE, GOOD_SHARE = (
    0.5,
    0.1,
)  # of attempts that failed: a bad word from the one, a good word up to the other
LEAST_ATTEMPTS, SURE_ATTEMPTS = 2, 3  # for a word at all; for own sight to outweigh
VOICES_LEAST, VOICES_MOST = 3, 7
MAX_REPORT_AGE_S, HALF_S = 6.0, 3.0  # a testimony counts no more; its weight halves
LEAST_WEIGHT = 0.25
CREDIT_LOSS, CREDIT_GAIN_S, CREDIT_LEAST = 0.7, 0.01, 0.5  # kept at a contradiction; a second; to be heard
MOST_PART = 1 / 4  # of the engines listed, one at least
KEPT_SEQUENCES = 4  # of one origin, to tell a lie by


class Assessment(Enum):
    BAD = "bad"
    GOOD = "good"
    NONE = "none"


def assess(attempts: int, failures: int) -> Assessment:
    """What so many failures of so many attempts say."""
    if attempts < LEAST_ATTEMPTS or failures > attempts:
        return Assessment.NONE
    share = failures / attempts
    return (
        Assessment.BAD if share >= BAD_SHARE else Assessment.GOOD if share <= GOOD_SHARE else Assessment.NONE
    )


def quorum(live_members: int) -> int:
    """Members of like word that are needed: more than a third of a small group, a few of a large one."""
    return max(VOICES_LEAST, min(VOICES_MOST, live_members // 3 + 1))


class LocalObservations:
    """Own attempts of the last seconds, by engine; engines that are no longer listed are dropped."""

    def __init__(self) -> None:
        self.engines: dict[str, deque[list[int]]] = {}

    def record_attempt(self, now: float, engine: str, failed: bool) -> None:
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

    def assessment(self, now: float, engine: str) -> Assessment:
        return assess(*self.counts(now, engine))

    def confident_assessment(self, now: float, engine: str) -> Assessment:
        """The word that outweighs hearsay: from more attempts than any word at all."""
        attempts, failures = self.counts(now, engine)
        return assess(attempts, failures) if attempts >= SURE_ATTEMPTS else Assessment.NONE

    def retain(self, now: float, engines: set[str]) -> None:
        self.engines = {
            one: seen
            for one, seen in self.engines.items()
            if one in engines and seen and seen[-1][0] > now - WINDOW_S - 1
        }


@dataclass(slots=True)
class Reporter:
    """One member's latest testimony and how far it is believed."""

    credibility: float = 1.0
    at: float = 0.0  # when the credit was last worked out
    reported_at: float = -1e9  # when its latest testimony was made, by our clock
    run: int = 0
    sequence: int = -1
    rows: tuple[AttemptCounts, ...] = ()
    recent_statements: deque[tuple[int, int, SignedStatement]] = field(
        default_factory=lambda: deque(maxlen=KEPT_SEQUENCES)
    )

    def credibility_at(self, now: float) -> float:
        return min(1.0, self.credibility + CREDIT_GAIN_S * max(0.0, now - self.at))

    def reduce_credibility(self, now: float) -> None:
        self.credibility, self.at = self.credibility_at(now) * CREDIT_LOSS, now


class FailureReports:
    """Voices of others beside own sight."""

    def __init__(self) -> None:
        self.observations = LocalObservations()
        self.reporters: dict[str, Reporter] = {}
        self.equivocations: dict[str, tuple[SignedStatement, SignedStatement]] = {}

    def add_report(
        self, now: float, signed: SignedStatement, testimony: FailureReport, made_at: float
    ) -> bool:
        """A testimony whose signature is good, made at ``made`` by our clock; True where it was news.

        Its time is judged by the caller; an older sequence than the last changes nothing but may prove a lie.
        """
        origin = signed.origin
        if origin in self.equivocations:
            return False
        voice = self.reporters.setdefault(origin, Reporter(at=now))
        mark = testimony.run, testimony.sequence
        for run, sequence, other in voice.recent_statements:
            if (run, sequence) == mark:
                if other.body == signed.body:
                    return False
                self.equivocations[origin] = (other, signed)
                del self.reporters[origin]
                return True
        voice.recent_statements.append((*mark, signed))
        if mark <= (voice.run, voice.sequence):
            return False
        voice.run, voice.sequence = mark
        voice.rows, voice.reported_at = testimony.rows, made_at
        if self._contradicts(now, origin, testimony.rows):
            voice.reduce_credibility(now)
        return True

    def _contradicts(self, now: float, origin: str, rows: Iterable[AttemptCounts]) -> bool:
        """Whether any row says the opposite of our own sight, or of a clear majority of the others."""
        opposite = {Assessment.BAD: Assessment.GOOD, Assessment.GOOD: Assessment.BAD}
        for engine, attempts, failures in rows:
            said = assess(attempts, failures)
            if said is Assessment.NONE:
                continue
            own = self.observations.confident_assessment(now, engine)
            if own is opposite[said]:
                return True
            if own is Assessment.NONE:
                like, unlike = self.count_reporters(now, engine, said, excluding=origin)
                if unlike >= VOICES_LEAST and unlike > 2 * (like + 1):
                    return True
        return False

    def is_counted(self, now: float, voice: Reporter) -> bool:
        """Fresh and credible enough to count as one voice."""
        age = now - voice.reported_at
        weight = 0.5 ** (max(0.0, age) / HALF_S)
        return age < MAX_REPORT_AGE_S and voice.credibility_at(now) >= CREDIT_LEAST and weight >= LEAST_WEIGHT

    def count_reporters(
        self, now: float, engine: str, said: Assessment, excluding: str = ""
    ) -> tuple[int, int]:
        """Voices of like word and of the opposite on one engine."""
        like = unlike = 0
        for origin, voice in self.reporters.items():
            if origin == excluding or not self.is_counted(now, voice):
                continue
            for name, attempts, failures in voice.rows:
                if name == engine and (theirs := assess(attempts, failures)) is not Assessment.NONE:
                    like += theirs is said
                    unlike += theirs is not said
                    break
        return like, unlike

    def tally(self, now: float) -> dict[str, tuple[int, int]]:
        """By engine: members with a bad word and members with a good one, this one's own sight included."""
        sums: dict[str, list[int]] = {}
        for voice in self.reporters.values():
            if not self.is_counted(now, voice):
                continue
            for engine in {one[0] for one in voice.rows}:
                attempts, failures = next((a, f) for name, a, f in voice.rows if name == engine)
                said = assess(attempts, failures)
                if said is not Assessment.NONE:
                    sums.setdefault(engine, [0, 0])[said is Assessment.GOOD] += 1
        for engine in self.observations.engines:
            if (own := self.observations.assessment(now, engine)) is not Assessment.NONE:
                sums.setdefault(engine, [0, 0])[own is Assessment.GOOD] += 1
        return {engine: (bad, good) for engine, (bad, good) in sums.items()}

    def failing_engines(self, now: float, listed: set[str], live_members: int) -> frozenset[str]:
        """Engines that the group calls failing: what this gateway may believe on hearsay."""
        needed = quorum(live_members)
        found: list[tuple[float, int, str]] = []
        for engine, (bad, good) in self.tally(now).items():
            if engine not in listed or bad < needed or bad <= good:
                continue
            if self.observations.confident_assessment(now, engine) is Assessment.GOOD:
                continue
            attempts, failures = self.observations.counts(now, engine)
            found.append((-failures / attempts if attempts else 0.0, -bad, engine))
        most = max(1, int(len(listed) * MOST_PART))
        return frozenset(engine for _, _, engine in sorted(found)[:most])

    def rows_to_report(self, now: float, listed: set[str], live_members: int) -> tuple[AttemptCounts, ...]:
        """What is worth saying: own bad words, and own good ones where others say bad.

        Of an engine on which enough members said the same already nothing more is said: in a large group that
        keeps the traffic of one failing engine from growing with the members.
        """
        enough = 2 * quorum(live_members)
        rows: list[tuple[float, AttemptCounts]] = []
        for engine in self.observations.engines:
            if engine not in listed:
                continue
            attempts, failures = self.observations.counts(now, engine)
            said = assess(attempts, failures)
            if said is Assessment.NONE:
                continue
            like, unlike = self.count_reporters(now, engine, said)
            if like < enough and (said is Assessment.BAD or unlike):
                rows.append((-failures / attempts, (engine, min(attempts, 10**6), min(failures, 10**6))))
        return tuple(row for _, row in sorted(rows)[:MAX_ENGINES_PER_STATEMENT])

    def retain(self, now: float, names: set[str], engines: set[str]) -> None:
        """What is kept of members and engines goes with them."""
        self.reporters = {one: voice for one, voice in self.reporters.items() if one in names}
        self.equivocations = {one: proof for one, proof in self.equivocations.items() if one in names}
        self.observations.retain(now, engines)
