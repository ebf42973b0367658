"""Members that hold good keys and mean ill: what the group has to bear, for tests and trials."""

from __future__ import annotations

from micahold.membership import wire
from micahold.membership.dissemination import QueuedStatement
from micahold.membership.group import Datagram, Group
from micahold.membership.traffic import Priority
from micahold.membership.wire import StatementKind

FORGED_ATTEMPTS = 50


class FalseFailureReporter(Group):
    """Says of every engine that it fails, each second, whatever it sees; colluders are simply several."""

    failures = FORGED_ATTEMPTS

    def _report_failures(self, now: float) -> None:
        names = sorted(self.up_engines)
        self.random.shuffle(names)
        rows = tuple((one, FORGED_ATTEMPTS, self.failures) for one in names[: wire.MAX_ENGINES_PER_STATEMENT])
        if rows:
            self.report_sequence += 1
            said = wire.FailureReport(self.run, self.report_sequence, int(now * 1000), 5000, rows)
            signed = self._sign(now, StatementKind.FAILURE_REPORT, said)
            self.dissemination.add(("failure_report", self.options.name), signed, Priority.OWN)


class FalseHealthReporter(FalseFailureReporter):
    """Says of every engine that it is well."""

    failures = 0


class FalseDrainReporter(Group):
    """Says of every engine that it drains."""

    def _report_failures(self, now: float) -> None:
        names = tuple(sorted(self.up_engines)[: wire.MAX_ENGINES_PER_STATEMENT])
        signed = self._sign(now, StatementKind.DRAIN_REPORT, wire.DrainReport(int(now * 1000), names))
        self.dissemination.add(("drains", self.options.name), signed, Priority.OWN)


class FalseSuspicionReporter(Group):
    """Accuses every member, each second."""

    def _report_failures(self, now: float) -> None:
        for member in list(self.member_list):
            said = wire.SuspicionReport(member.name, member.record.incarnation, int(now * 1000))
            key = ("suspicion_report", member.name, self.options.name, member.record.incarnation)
            self.dissemination.add(key, self._sign(now, StatementKind.SUSPICION_REPORT, said), Priority.OWN)


class Equivocator(FalseFailureReporter):
    """Tells one half of the group that engines fail and the other half, under the same sequence, that they
    don't.
    """

    def _encode_packet(self, now, name, messages, items):  # type: ignore[no-untyped-def]
        other = [self._other_word(now, one) if name > "m5" else one for one in items]
        return super()._encode_packet(now, name, messages, other)

    def _other_word(self, now: float, signed: wire.SignedStatement) -> wire.SignedStatement:
        if signed.kind != StatementKind.FAILURE_REPORT or signed.origin != self.options.name:
            return signed
        said = wire.decode_body(signed, wire.FailureReport)
        rows = tuple((engine, attempts, 0) for engine, attempts, _ in said.rows)
        return self._sign(
            now,
            StatementKind.FAILURE_REPORT,
            wire.FailureReport(said.run, said.sequence, said.at_ms, said.window_ms, rows),
        )


class Flooder(Group):
    """Sends one member many times what its rate allows."""

    victim, datagrams = "m0", 400

    def _send_gossip(self, now: float) -> None:
        super()._send_gossip(now)
        member = self.member_list.members.get(self.victim)
        if member is not None:
            for _ in range(self.datagrams // 5):
                data = self._encode_packet(now, self.victim, (wire.Ping(1),), [self.own_record] * 6)
                self.outbox.append(Datagram(member.address, data))


class NonForwardingMember(Group):
    """Passes nothing on that others said."""

    def _select_piggyback(self, now: float, level: Priority, name: str, taken: int) -> list[QueuedStatement]:
        own = self.options.name
        return [one for one in super()._select_piggyback(now, level, name, taken) if one.signed.origin == own]
