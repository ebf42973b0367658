"""Lying (Byzantine) members with valid keys, for tests and experiments.

Each class is a ``Group`` that deviates from the protocol in one way which the other members must tolerate.
"""

from __future__ import annotations

from micahold.membership import wire
from micahold.membership.dissemination import QueuedStatement
from micahold.membership.group import Datagram, Group
from micahold.membership.traffic import Priority
from micahold.membership.wire import StatementKind

FORGED_ATTEMPTS = 50  # attempts on each engine in a false failure report


class FalseFailureReporter(Group):
    """Reports every engine as failing, each second, whatever its own attempts show.

    Several such members act like colluding ones, since their reports agree.
    """

    forged_failures = FORGED_ATTEMPTS

    def _report_failures(self, now: float) -> None:
        engines = sorted(self.up_engines)
        self.random.shuffle(engines)
        rows = tuple(
            (engine, FORGED_ATTEMPTS, self.forged_failures)
            for engine in engines[: wire.MAX_ENGINES_PER_STATEMENT]
        )
        if rows:
            self.report_sequence += 1
            report = wire.FailureReport(self.run, self.report_sequence, self.unix_ms(now), 5000, rows)
            signed = self._sign(now, StatementKind.FAILURE_REPORT, report)
            self.dissemination.add(("failure_report", self.options.name), signed, Priority.OWN)


class FalseHealthReporter(FalseFailureReporter):
    """Reports every engine as healthy."""

    forged_failures = 0


class FalseDrainReporter(Group):
    """Reports every engine as draining."""

    def _report_failures(self, now: float) -> None:
        engines = tuple(sorted(self.up_engines)[: wire.MAX_ENGINES_PER_STATEMENT])
        signed = self._sign(now, StatementKind.DRAIN_REPORT, wire.DrainReport(self.unix_ms(now), engines))
        self.dissemination.add(("drains", self.options.name), signed, Priority.OWN)


class FalseSuspicionReporter(Group):
    """Reports a suspicion of every other member, each second."""

    def _report_failures(self, now: float) -> None:
        for member in list(self.member_list):
            report = wire.SuspicionReport(member.name, member.record.incarnation, self.unix_ms(now))
            key = ("suspicion_report", member.name, self.options.name, member.record.incarnation)
            self.dissemination.add(key, self._sign(now, StatementKind.SUSPICION_REPORT, report), Priority.OWN)


class Equivocator(FalseFailureReporter):
    """Reports all engines as failing to one half of the group and as healthy to the other half.

    Both reports have the same sequence number.
    """

    def _encode_packet(self, now, receiver, messages, statements):  # type: ignore[no-untyped-def]
        altered = [self._contradict(now, signed) if receiver > "m5" else signed for signed in statements]
        return super()._encode_packet(now, receiver, messages, altered)

    def _contradict(self, now: float, signed: wire.SignedStatement) -> wire.SignedStatement:
        """Return a report without failures in place of an own failure report; other statements unchanged."""
        if signed.kind != StatementKind.FAILURE_REPORT or signed.origin != self.options.name:
            return signed
        report = wire.decode_body(signed, wire.FailureReport)
        rows = tuple((engine, attempts, 0) for engine, attempts, _ in report.rows)
        return self._sign(
            now,
            StatementKind.FAILURE_REPORT,
            wire.FailureReport(report.run, report.sequence, report.at_ms, report.window_ms, rows),
        )


class Flooder(Group):
    """Sends one member many times the datagrams that its receive rate admits."""

    victim = "m0"
    datagrams_per_s = 400  # a fifth of them is sent in each gossip round

    def _send_gossip(self, now: float) -> None:
        super()._send_gossip(now)
        member = self.member_list.members.get(self.victim)
        if member is not None:
            for _ in range(self.datagrams_per_s // 5):
                data = self._encode_packet(now, self.victim, (wire.Ping(1),), [self.own_record] * 6)
                self.outbox.append(Datagram(member.address, data))


class NonForwardingMember(Group):
    """Disseminates its own statements only and forwards none of other members."""

    def _select_piggyback(
        self, now: float, priority: Priority, receiver: str, used_bytes: int
    ) -> list[QueuedStatement]:
        own_name = self.options.name
        return [
            queued
            for queued in super()._select_piggyback(now, priority, receiver, used_bytes)
            if queued.signed.origin == own_name
        ]
