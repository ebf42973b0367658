"""Members that hold good keys and mean ill: what the group has to bear, for tests and trials."""

from __future__ import annotations

from micahold.membership import wire
from micahold.membership.dissemination import QueuedStatement
from micahold.membership.group import Datagram, Group
from micahold.membership.traffic import Priority
from micahold.membership.wire import Kind

FORGED_ATTEMPTS = 50


class Slanderer(Group):
    """Says of every engine that it fails, each second, whatever it sees; colluders are simply several."""

    failures = FORGED_ATTEMPTS

    def _testify(self, now: float) -> None:
        names = sorted(self.engines)
        self.random.shuffle(names)
        rows = tuple((one, FORGED_ATTEMPTS, self.failures) for one in names[: wire.MOST_ROWS])
        if rows:
            self.testimonies += 1
            said = wire.Testimony(self.run, self.testimonies, int(now * 1000), 5000, rows)
            signed = self._sign(now, Kind.TESTIMONY, said)
            self.dissemination.add(("testimony", self.options.name), signed, Priority.OWN)


class Flatterer(Slanderer):
    """Says of every engine that it is well."""

    failures = 0


class Drainer(Group):
    """Says of every engine that it drains."""

    def _testify(self, now: float) -> None:
        names = tuple(sorted(self.engines)[: wire.MOST_ROWS])
        signed = self._sign(now, Kind.DRAINS, wire.Drains(int(now * 1000), names))
        self.dissemination.add(("drains", self.options.name), signed, Priority.OWN)


class Accuser(Group):
    """Accuses every member, each second."""

    def _testify(self, now: float) -> None:
        for member in list(self.member_list):
            said = wire.Accusation(member.name, member.record.incarnation, int(now * 1000))
            key = ("accusation", member.name, self.options.name, member.record.incarnation)
            self.dissemination.add(key, self._sign(now, Kind.ACCUSATION, said), Priority.OWN)


class Equivocator(Slanderer):
    """Tells one half of the group that engines fail and the other half, under the same sequence, that they
    don't.
    """

    def _packet_bytes(self, now, name, messages, items):  # type: ignore[no-untyped-def]
        other = [self._other_word(now, one) if name > "m5" else one for one in items]
        return super()._packet_bytes(now, name, messages, other)

    def _other_word(self, now: float, signed: wire.Signed) -> wire.Signed:
        if signed.kind != Kind.TESTIMONY or signed.origin != self.options.name:
            return signed
        said = wire.decode_body(signed, wire.Testimony)
        rows = tuple((engine, attempts, 0) for engine, attempts, _ in said.rows)
        return self._sign(
            now, Kind.TESTIMONY, wire.Testimony(said.run, said.sequence, said.at, said.window, rows)
        )


class Flooder(Group):
    """Sends one member many times what its rate allows."""

    victim, datagrams = "m0", 400

    def _gossip(self, now: float) -> None:
        super()._gossip(now)
        member = self.member_list.members.get(self.victim)
        if member is not None:
            for _ in range(self.datagrams // 5):
                data = self._packet_bytes(now, self.victim, (wire.Ping(1),), [self.own_record] * 6)
                self.outbox.append(Datagram(member.address, data))


class Withholder(Group):
    """Passes nothing on that others said."""

    def _riders(self, now: float, level: Priority, name: str, taken: int) -> list[QueuedStatement]:
        own = self.options.name
        return [one for one in super()._riders(now, level, name, taken) if one.signed.origin == own]
