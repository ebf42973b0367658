"""Members' reports of failing engines, and how far a member relies on the reports of others.

Reports are first-hand only: a member signs how many of its own attempts on an engine failed within a short
window, and a report loses weight with age. Each member counts once. The group calls an engine failing only
where a quorum of members reports it bad and fewer report it good, and this member's own confident
observations overrule the group. A member that contradicts this member's observations, or a clear majority of
the others, loses credibility at once and regains it slowly. Two different reports under one sequence number
prove equivocation: both are kept and forwarded, and that member's reports no longer count. Peer reports can
mark only a bounded share of the engines at once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from micahold.membership.wire import MAX_ENGINES_PER_STATEMENT, AttemptCounts, FailureReport, SignedStatement

OBSERVATION_WINDOW_S = 5  # own attempts are counted in whole seconds over this window
MIN_BAD_SHARE = 0.5  # share of failed attempts from which an engine is assessed as bad
MAX_GOOD_SHARE = 0.1  # share of failed attempts up to which an engine is assessed as good
MIN_ATTEMPTS = 2  # fewer attempts than this give no assessment
MIN_CONFIDENT_ATTEMPTS = 3  # from this many, own observations overrule the reports of others
MIN_QUORUM = 3  # members; two that collude never form a quorum
MAX_QUORUM = 7  # members; more are not required in a large group
MAX_REPORT_AGE_S = 6.0  # older reports are ignored
REPORT_HALF_LIFE_S = 3.0  # half-life of a report's weight
MIN_REPORT_WEIGHT = 0.25  # a report whose weight has decayed below this does not count
CREDIBILITY_KEPT = 0.7  # factor by which a contradiction reduces a member's credibility
CREDIBILITY_GAIN_PER_S = 0.01  # recovery, slow against the loss at a contradiction
MIN_CREDIBILITY = 0.5  # reports of a member below this do not count
MAX_FAILING_SHARE = 1 / 4  # of the listed engines that peer reports may mark as failing, one at least
KEPT_REPORTS = 4  # recent reports kept of each member, to detect equivocation


class Assessment(Enum):
    """What attempts on an engine indicate about it."""

    BAD = "bad"
    GOOD = "good"
    NONE = "none"


def assess(attempts: int, failures: int) -> Assessment:
    """Assess an engine by its attempts and failures; NONE for too few attempts or an unclear share."""
    if attempts < MIN_ATTEMPTS or failures > attempts:
        return Assessment.NONE
    share = failures / attempts
    return (
        Assessment.BAD
        if share >= MIN_BAD_SHARE
        else Assessment.GOOD
        if share <= MAX_GOOD_SHARE
        else Assessment.NONE
    )


def quorum(live_members: int) -> int:
    """Members that must agree on an engine: more than a third of the live members, within the two bounds.

    ``MAX_QUORUM`` keeps it small in a large group.
    """
    return max(MIN_QUORUM, min(MAX_QUORUM, live_members // 3 + 1))


class LocalObservations:
    """Attempts and failures of this member by engine, over the last ``OBSERVATION_WINDOW_S`` seconds.

    ``engines`` holds, for each engine, entries of [second, attempts, failures].
    """

    def __init__(self) -> None:
        self.engines: dict[str, deque[list[int]]] = {}

    def record_attempt(self, now: float, engine: str, failed: bool) -> None:
        """Count one attempt on an engine."""
        second = int(now)
        entries = self.engines.setdefault(engine, deque(maxlen=OBSERVATION_WINDOW_S + 1))
        if not entries or entries[-1][0] != second:
            entries.append([second, 0, 0])
        entries[-1][1] += 1
        entries[-1][2] += failed

    def counts(self, now: float, engine: str) -> tuple[int, int]:
        """Attempts and failures within the window."""
        recent = [
            entry for entry in self.engines.get(engine, ()) if entry[0] > now - OBSERVATION_WINDOW_S - 1
        ]
        return sum(entry[1] for entry in recent), sum(entry[2] for entry in recent)

    def assessment(self, now: float, engine: str) -> Assessment:
        """Assessment of an engine by this member's own attempts."""
        return assess(*self.counts(now, engine))

    def confident_assessment(self, now: float, engine: str) -> Assessment:
        """The assessment that overrules peer reports; it needs ``MIN_CONFIDENT_ATTEMPTS``."""
        attempts, failures = self.counts(now, engine)
        return assess(attempts, failures) if attempts >= MIN_CONFIDENT_ATTEMPTS else Assessment.NONE

    def retain(self, now: float, engines: set[str]) -> None:
        """Keep only the engines among ``engines`` that have attempts within the window."""
        self.engines = {
            engine: entries
            for engine, entries in self.engines.items()
            if engine in engines and entries and entries[-1][0] > now - OBSERVATION_WINDOW_S - 1
        }


@dataclass(slots=True)
class Reporter:
    """One member's latest report and its credibility, from 0 to 1."""

    credibility: float = 1.0
    updated_at: float = 0.0  # when the credibility was last updated
    reported_at: float = -1e9  # when its latest report was made, by the local clock
    run: int = 0
    sequence: int = -1
    rows: tuple[AttemptCounts, ...] = ()
    recent_statements: deque[tuple[int, int, SignedStatement]] = field(
        default_factory=lambda: deque(maxlen=KEPT_REPORTS)
    )

    def credibility_at(self, now: float) -> float:
        """Credibility with what was regained since its last update."""
        return min(1.0, self.credibility + CREDIBILITY_GAIN_PER_S * max(0.0, now - self.updated_at))

    def reduce_credibility(self, now: float) -> None:
        """Apply the loss for one contradiction."""
        self.credibility, self.updated_at = self.credibility_at(now) * CREDIBILITY_KEPT, now


class FailureReports:
    """Reports of other members beside this member's own observations."""

    def __init__(self) -> None:
        self.observations = LocalObservations()
        self.reporters: dict[str, Reporter] = {}
        self.equivocations: dict[str, tuple[SignedStatement, SignedStatement]] = {}

    def add_report(self, now: float, signed: SignedStatement, report: FailureReport, made_at: float) -> bool:
        """Apply a report, made at ``made_at`` by the local clock; return whether it was new.

        The caller has verified its signature and checked its age. A report that is older than the latest one
        of its origin changes nothing, but may prove equivocation.
        """
        origin = signed.origin
        if origin in self.equivocations:
            return False
        reporter = self.reporters.setdefault(origin, Reporter(updated_at=now))
        report_id = report.run, report.sequence
        for run, sequence, other in reporter.recent_statements:
            if (run, sequence) == report_id:
                if other.body == signed.body:
                    return False
                self.equivocations[origin] = (other, signed)
                del self.reporters[origin]
                return True
        reporter.recent_statements.append((*report_id, signed))
        if report_id <= (reporter.run, reporter.sequence):
            return False
        reporter.run, reporter.sequence = report_id
        reporter.rows, reporter.reported_at = report.rows, made_at
        if self._is_contradicted(now, origin, report.rows):
            reporter.reduce_credibility(now)
        return True

    def _is_contradicted(self, now: float, origin: str, rows: Iterable[AttemptCounts]) -> bool:
        """Whether own confident observations, or a clear majority of the others, are opposite to a row."""
        opposite = {Assessment.BAD: Assessment.GOOD, Assessment.GOOD: Assessment.BAD}
        for engine, attempts, failures in rows:
            reported = assess(attempts, failures)
            if reported is Assessment.NONE:
                continue
            own = self.observations.confident_assessment(now, engine)
            if own is opposite[reported]:
                return True
            if own is Assessment.NONE:
                agreeing, opposing = self.count_reporters(now, engine, reported, excluding=origin)
                if opposing >= MIN_QUORUM and opposing > 2 * (agreeing + 1):
                    return True
        return False

    def is_counted(self, now: float, reporter: Reporter) -> bool:
        """Whether the reports of this member are recent and credible enough to count."""
        age = now - reporter.reported_at
        weight = 0.5 ** (max(0.0, age) / REPORT_HALF_LIFE_S)
        return (
            age < MAX_REPORT_AGE_S
            and reporter.credibility_at(now) >= MIN_CREDIBILITY
            and weight >= MIN_REPORT_WEIGHT
        )

    def count_reporters(
        self, now: float, engine: str, reported: Assessment, excluding: str = ""
    ) -> tuple[int, int]:
        """Members whose reports on an engine agree with ``reported``, and members whose reports oppose it."""
        agreeing = opposing = 0
        for origin, reporter in self.reporters.items():
            if origin == excluding or not self.is_counted(now, reporter):
                continue
            for name, attempts, failures in reporter.rows:
                if name == engine and (assessment := assess(attempts, failures)) is not Assessment.NONE:
                    agreeing += assessment is reported
                    opposing += assessment is not reported
                    break
        return agreeing, opposing

    def tally(self, now: float) -> dict[str, tuple[int, int]]:
        """By engine: numbers of members that assess it as bad and as good, this member included."""
        votes: dict[str, list[int]] = {}
        for reporter in self.reporters.values():
            if not self.is_counted(now, reporter):
                continue
            for engine in {row[0] for row in reporter.rows}:
                attempts, failures = next((a, f) for name, a, f in reporter.rows if name == engine)
                reported = assess(attempts, failures)
                if reported is not Assessment.NONE:
                    votes.setdefault(engine, [0, 0])[reported is Assessment.GOOD] += 1
        for engine in self.observations.engines:
            if (own := self.observations.assessment(now, engine)) is not Assessment.NONE:
                votes.setdefault(engine, [0, 0])[own is Assessment.GOOD] += 1
        return {engine: (bad, good) for engine, (bad, good) in votes.items()}

    def failing_engines(self, now: float, listed: set[str], live_members: int) -> frozenset[str]:
        """Engines that peer reports mark as failing, at most ``MAX_FAILING_SHARE`` of those listed.

        Those with the highest share of failures in own attempts come first, then those that most members
        report.
        """
        required = quorum(live_members)
        candidates: list[tuple[float, int, str]] = []
        for engine, (bad, good) in self.tally(now).items():
            if engine not in listed or bad < required or bad <= good:
                continue
            if self.observations.confident_assessment(now, engine) is Assessment.GOOD:
                continue
            attempts, failures = self.observations.counts(now, engine)
            candidates.append((-failures / attempts if attempts else 0.0, -bad, engine))
        limit = max(1, int(len(listed) * MAX_FAILING_SHARE))
        return frozenset(engine for _, _, engine in sorted(candidates)[:limit])

    def rows_to_report(self, now: float, listed: set[str], live_members: int) -> tuple[AttemptCounts, ...]:
        """Rows for this member's next report: engines it assesses as bad, and as good where others say bad.

        An engine that twice the quorum has reported alike is left out, so that in a large group the traffic
        about one failing engine does not grow with the number of members.
        """
        sufficient = 2 * quorum(live_members)
        rows: list[tuple[float, AttemptCounts]] = []
        for engine in self.observations.engines:
            if engine not in listed:
                continue
            attempts, failures = self.observations.counts(now, engine)
            own = assess(attempts, failures)
            if own is Assessment.NONE:
                continue
            agreeing, opposing = self.count_reporters(now, engine, own)
            if agreeing < sufficient and (own is Assessment.BAD or opposing):
                rows.append((-failures / attempts, (engine, min(attempts, 10**6), min(failures, 10**6))))
        return tuple(row for _, row in sorted(rows)[:MAX_ENGINES_PER_STATEMENT])

    def retain(self, now: float, names: set[str], engines: set[str]) -> None:
        """Keep only what concerns these members and these engines."""
        self.reporters = {name: reporter for name, reporter in self.reporters.items() if name in names}
        self.equivocations = {name: proof for name, proof in self.equivocations.items() if name in names}
        self.observations.retain(now, engines)
