"""One member of the group: the cores joined, fed with datagrams and time, answering with datagrams and news.

Pure: time comes as an argument, random numbers from a seed, signatures through ``Signer`` and ``Keyring``.
The same calls give the same answers, in the service on sockets as in virtual time. Callers hand in what
arrives (``receive``, ``handle_frame``), what this gateway sees itself (``record_attempt``,
``update_engine_list``) and the passing of time (``tick``, due at ``due()``), and then take away ``outbox``,
``exchange_targets`` and ``status_changes``.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass
from math import inf
from random import Random

from micahold.membership import wire
from micahold.membership.dissemination import DisseminationQueue, QueuedStatement
from micahold.membership.drain_reports import DrainReports
from micahold.membership.failure_reports import MAX_REPORT_AGE_S, Assessment, FailureReports, Reporter
from micahold.membership.gateway_count import GatewayCount, count_gateways
from micahold.membership.health import LocalHealth, StallDetector
from micahold.membership.keyring import Keyring, Signer
from micahold.membership.member_list import MemberList, Status, StatusChange, differing_buckets
from micahold.membership.prober import IndirectProbe, Probe, Prober
from micahold.membership.replay import ReplayProtection
from micahold.membership.traffic import EgressLimiter, IngressLimiter, Priority
from micahold.membership.wire import SignedStatement, StatementKind, WireError

Address = tuple[str, int]

GOSSIP_PART = 0.2  # of a period: how often rumours go out besides the probes, while there are any
GOSSIP_FANOUT = 3
TESTIFY_S, SOON_S = 1.0, 0.05  # between testimonies, and before one that has a new bad word
TRY_DEAD_PERIODS, SEED_PERIODS = 5, 10  # how often a dead member is tried, and seeds while nobody lives
EXCHANGE_LEAST, EXCHANGE_MOST = 2.0, 30.0  # periods between full exchanges: after a difference, and at rest
WAIT_FOR_ROOM_S = 0.5  # a message that finds no room in the traffic limit waits so long at most
MOST_WAITING = 64
MOST_CHECKED = 4096  # signatures found good that are remembered
STATEMENT_AGE_S = 60.0  # accusations and drains older than this are not heeded
INTRODUCED_S = 10.0  # who has spoken to us within that time knows us
MOST_RIDERS, LEAST_RIDERS = 12, 250  # statements on one datagram; bytes that they want at least
PACKET_BASE = 140  # bytes of a datagram without its statements, or less
VERDICT_S = 0.2  # how often the verdict is worked out anew
HOUSEKEEPING_S = 5.0


@dataclass(slots=True, frozen=True)
class GroupOptions:
    """What one member is told at its start; ``rate``, ``rate_in``, ``seeds`` and ``removed_members``
    may change in service.
    """

    name: str
    address: Address
    seeds: tuple[Address, ...] = ()
    rate: int = 16 * 1024
    rate_in: int = 64 * 1024
    period: float = 1.0
    probe_timeout: float = 0.4
    clock_error: float = 30.0
    removed_members: tuple[str, ...] = ()
    configured_gateways: int = 1  # gateways by the platform's settings
    lifeguard: bool = True


@dataclass(slots=True, frozen=True)
class GroupSnapshot:
    """What the decisions are told; void after ``valid_until``."""

    failing: frozenset[str]
    draining: frozenset[str]
    gateways: GatewayCount
    valid_until: float


@dataclass(slots=True, frozen=True)
class Datagram:
    """Bytes for an address."""

    address: Address
    data: bytes


@dataclass(slots=True)
class QueuedMessages:
    """A message that found no room yet."""

    level: Priority
    until: float
    name: str
    address: Address
    messages: tuple[wire.Message, ...]


class Group:
    """One member."""

    def __init__(
        self, options: GroupOptions, signer: Signer, keyring: Keyring, now: float, seed: int
    ) -> None:
        self.options, self.signer, self.keyring = options, signer, keyring
        self.random = Random(seed)
        self.member_list = MemberList(options.name, options.period, options.lifeguard)
        self.prober = Prober(self.random)
        self.health, self.stall_detector = LocalHealth(options.lifeguard), StallDetector(options.lifeguard)
        self.dissemination, self.failure_reports, self.drain_reports = (
            DisseminationQueue(),
            FailureReports(),
            DrainReports(),
        )
        self.egress, self.ingress = EgressLimiter(options.rate), IngressLimiter(options.rate_in)
        self.replay = ReplayProtection(options.clock_error)
        self.counts: Counter[str] = Counter()
        self.outbox: list[Datagram] = []
        self.exchange_targets: list[tuple[str, Address]] = []  # full exchanges that should be begun
        self.status_changes: list[StatusChange] = []
        self.run, self.sequence, self.report_sequence = int(now * 1000), 0, 0
        self.up_engines: set[str] = set()
        self.snapshot = GroupSnapshot(
            frozenset(),
            frozenset(),
            GatewayCount(options.configured_gateways, options.configured_gateways),
            now,
        )
        self.leaving = False
        self._testified: set[str] = set()  # engines of the last testimony
        self._verified_signatures: OrderedDict[tuple[str, str, bytes], bytes] = OrderedDict()
        self._waiting: deque[QueuedMessages] = deque()
        self._exchange_pause = EXCHANGE_LEAST
        self._sized = -1  # version of the roster by which the size was last worked out
        period = options.period
        begin = now + self.random.random() * period
        self._probe_at, self._gossip_at, self._testify_at = begin, begin, begin
        self._try_at, self._next_seed_at = begin + TRY_DEAD_PERIODS * period, now
        self._exchange_at, self._verdict_at, self._clean_at = begin + 2 * period, now, now + HOUSEKEEPING_S
        self.record = wire.MemberRecord(self.run, *options.address)
        self.own_record: SignedStatement = self._sign(now, StatementKind.MEMBER_RECORD, self.record)
        self.dissemination.add(("record", options.name), self.own_record, Priority.OWN)

    # Statements

    def _sign(
        self,
        now: float,
        kind: StatementKind,
        item: wire.MemberRecord | wire.SuspicionReport | wire.FailureReport | wire.DrainReport | wire.Packet,
    ) -> SignedStatement:
        body, name = wire.encode(item), self.options.name
        key, _ = self.signer.sign(now, b"")
        key, signature = self.signer.sign(now, wire.signed_bytes(kind, name, key, body))
        return SignedStatement(kind, name, key, body, signature)

    def _good(self, now: float, signed: SignedStatement) -> bool:
        """Whether the signature is good; those found good are remembered, so a statement is checked once."""
        mark = signed.origin, signed.key_id, signed.signature
        known = self._verified_signatures.get(mark)
        if known is not None and known == signed.body and self.keyring.key_rejection(now, *mark[:2]) is None:
            self._verified_signatures.move_to_end(mark)
            return True
        self.counts["signatures_checked"] += 1
        why = self.keyring.signature_rejection(now, *mark[:2], signed.signed_bytes(), signed.signature)
        if why is not None:
            self.counts[f"statements_{why}"] += 1
            return False
        if signed.kind != StatementKind.PACKET:
            self._verified_signatures[mark] = signed.body
            if len(self._verified_signatures) > MOST_CHECKED:
                self._verified_signatures.popitem(last=False)
        return True

    def _renew_record(self, now: float, level: Priority, left: bool = False) -> None:
        """A new record of our own, of the next incarnation."""
        self.record = wire.MemberRecord(self.record.incarnation + 1, *self.options.address, left)
        self.own_record = self._sign(now, StatementKind.MEMBER_RECORD, self.record)
        self.dissemination.add(("record", self.options.name), self.own_record, level)

    # What arrives

    def receive(self, now: float, data: bytes, source: Address) -> None:
        """A datagram; whatever is wrong with it is counted and dropped, and nothing raised."""
        self.counts["datagrams_in"] += 1
        if not self.ingress.admit(now, source, len(data), len(self.keyring.keys)):
            self.counts["datagrams_over_rate"] += 1
            return
        packet = self._open(now, data, wire.MAX_DATAGRAM_BYTES)
        if packet is not None:
            self._packet(now, *packet)

    def _open(self, now: float, data: bytes, most: int) -> tuple[str, wire.Packet] | None:
        """The sender and the packet, where it is whole, ours, new and signed; else None, counted."""
        try:
            signed = wire.decode_signed(data, most)
            packet = wire.decode_body(signed, wire.Packet)
        except WireError:
            self.counts["datagrams_unreadable"] += 1
            return None
        sender = signed.origin
        if sender == self.options.name or packet.recipient not in (self.options.name, ""):
            self.counts["datagrams_not_ours"] += 1
            return None
        why = self.keyring.key_rejection(now, sender, signed.key_id)
        why = why or self.replay.check(now, sender, packet.run, packet.sequence, packet.at_ms)
        if why is not None:
            self.counts[f"datagrams_{why}"] += 1
            return None
        if not self._good(now, signed):
            return None
        self.replay.commit(now, sender, packet.run, packet.sequence, packet.at_ms)
        return sender, packet

    def _packet(self, now: float, sender: str, packet: wire.Packet) -> None:
        self.member_list.mark_heard(now, sender)
        for item in packet.statements:
            self._statement(now, item)
        for message in packet.messages:
            self._message(now, sender, message)

    def _statement(self, now: float, signed: SignedStatement) -> None:
        """A statement that somebody passed on; one that is wrong harms nothing but itself."""
        try:
            match signed.kind:
                case StatementKind.MEMBER_RECORD:
                    self._handle_record(now, signed, wire.decode_body(signed, wire.MemberRecord))
                case StatementKind.SUSPICION_REPORT:
                    self._hear_accusation(now, signed, wire.decode_body(signed, wire.SuspicionReport))
                case StatementKind.FAILURE_REPORT:
                    self._hear_testimony(now, signed, wire.decode_body(signed, wire.FailureReport))
                case StatementKind.DRAIN_REPORT:
                    self._hear_drains(now, signed, wire.decode_body(signed, wire.DrainReport))
                case _:
                    self.counts["statements_out_of_place"] += 1
        except WireError:
            self.counts["statements_unreadable"] += 1

    def _handle_record(self, now: float, signed: SignedStatement, record: wire.MemberRecord) -> None:
        name = signed.origin
        if name == self.options.name:
            # Of an earlier run whose clock was ahead, or of another process under our name and key.
            if record.incarnation > self.record.incarnation and self._good(now, signed):
                self.record = record
                self._renew_record(now, Priority.REFUTATION, left=self.leaving)
                self.counts["records_of_own_name"] += 1
            return
        known = self.member_list.members.get(name)
        if known is not None and record.incarnation <= known.record.incarnation and not record.left:
            self.dissemination.count_duplicate(("record", name), signed)
            return  # nothing new, nothing to check
        if not self._good(now, signed):
            return
        fresh, changes = self.member_list.apply_record(now, signed, record)
        if fresh:
            cleared = any(one.before in (Status.SUSPECT, Status.DEAD) for one in changes)
            self.dissemination.add(
                ("record", name), signed, Priority.REFUTATION if cleared else Priority.FORWARDED
            )
            if known is not None:
                self._drop_refuted(name, record.incarnation)
        for change in changes:
            self.status_changes.append(change)
            if change.before is None and change.after is Status.ALIVE:
                self.prober.add_to_round(name)
            if change.reason == "came_back":
                self._exchange_at = min(self._exchange_at, now + self.options.period * self.random.random())

    def _drop_refuted(self, name: str, incarnation: int) -> None:
        """Accusations of earlier incarnations need not go out any more."""
        self.dissemination.retain(
            lambda key: (
                not (isinstance(key, tuple) and key[:2] == ("accusation", name) and key[3] < incarnation)
            )
        )

    def _hear_accusation(self, now: float, signed: SignedStatement, accusation: wire.SuspicionReport) -> None:
        if abs(now - accusation.at_ms / 1000) > STATEMENT_AGE_S + self.options.clock_error:
            return
        subject, accuser = accusation.subject, signed.origin
        if subject == self.options.name:
            current = accusation.incarnation == self.record.incarnation
            if current and not self.leaving and self._good(now, signed):
                self.counts["accused"] += 1
                if self.member_list.is_credible(now, accuser):
                    self.health.adjust(+1)
                self.member_list.record_refutation(now, accuser)
                self._renew_record(now, Priority.REFUTATION)
            return
        member = self.member_list.members.get(subject)
        if member is None or member.record.incarnation != accusation.incarnation:
            return
        if member.suspicion is not None and accuser in member.suspicion.accusers:
            self.dissemination.count_duplicate(
                ("accusation", subject, accuser, accusation.incarnation), signed
            )
            return
        if not self._good(now, signed):
            return
        self._accuse(now, signed, accusation, Priority.FORWARDED)

    def _accuse(
        self, now: float, signed: SignedStatement, accusation: wire.SuspicionReport, level: Priority
    ) -> None:
        fresh, changes = self.member_list.apply_accusation(now, signed, accusation)
        if fresh:
            key = ("accusation", accusation.subject, signed.origin, accusation.incarnation)
            self.dissemination.add(key, signed, level)
        self.status_changes += changes

    def _hear_testimony(self, now: float, signed: SignedStatement, testimony: wire.FailureReport) -> None:
        origin = signed.origin
        if (
            origin == self.options.name
            or abs(now - testimony.at_ms / 1000) > MAX_REPORT_AGE_S + self.options.clock_error
        ):
            return
        age = self.replay.statement_age_s(now, origin, testimony.at_ms)
        if age is not None and age > MAX_REPORT_AGE_S:
            return
        voice = self.failure_reports.reporters.get(origin)
        if voice is not None and (testimony.run, testimony.sequence, signed) in voice.recent_statements:
            self.dissemination.count_duplicate(("testimony", origin), signed)
            return
        if not self._good(now, signed):
            return
        if self.failure_reports.add_report(now, signed, testimony, now - (age or 0.0)):
            proof = self.failure_reports.equivocations.get(origin)
            if proof is None:
                self.dissemination.add(("testimony", origin), signed, Priority.FORWARDED)
            else:
                self.counts["liars_proven"] += 1
                self.status_changes.append(
                    StatusChange(origin, None, Status.ALIVE, "two testimonies under one sequence")
                )
                for at, one in enumerate(proof):
                    self.dissemination.add(("proof", origin, at), one, Priority.OWN)

    def _hear_drains(self, now: float, signed: SignedStatement, drains: wire.DrainReport) -> None:
        origin = signed.origin
        if origin == self.options.name or origin in self.failure_reports.equivocations:
            return
        age = self.replay.statement_age_s(now, origin, drains.at_ms)
        if (
            abs(now - drains.at_ms / 1000) > MAX_REPORT_AGE_S + self.options.clock_error
            or (age or 0.0) > MAX_REPORT_AGE_S
        ):
            return
        if self._good(now, signed):
            self.drain_reports.add_report(now, origin, drains.engines)
            self.dissemination.add(("drains", origin), signed, Priority.FORWARDED)
            self._judge(now)

    def _message(self, now: float, sender: str, message: wire.Message) -> None:
        member = self.member_list.members.get(sender)
        if member is None:
            return  # its record was not with it: nowhere to answer to
        match message:
            case wire.Ping(nonce):
                self._post(now, Priority.REFUTATION, sender, member.address, wire.Ack(nonce))
            case wire.PingRequest(nonce, target):
                self._relay(now, sender, nonce, target)
            case wire.Ack(nonce):
                ended = self.prober.handle_ack(nonce, sender)
                if (
                    isinstance(ended, IndirectProbe)
                    and (asker := self.member_list.members.get(ended.requester)) is not None
                ):
                    self._post(
                        now, Priority.REFUTATION, asker.name, asker.address, wire.Ack(ended.requester_nonce)
                    )
                elif isinstance(ended, Probe):
                    self.health.adjust(-1)
                    self.counts["probes_good"] += 1
            case wire.Nack(nonce):
                self.prober.handle_nack(nonce, sender)
            case _:
                self.counts["messages_out_of_place"] += 1

    def _relay(self, now: float, asker: str, nonce: int, target: str) -> None:
        member = self.member_list.members.get(target)
        if member is None or member.status is Status.LEFT:
            return
        relay = self.prober.start_indirect_probe(
            now, asker, nonce, self.options.probe_timeout, self.options.period
        )
        if relay is not None:
            self._post(now, Priority.PROBE, target, member.address, wire.Ping(relay.nonce))

    # What leaves

    def _encode_packet(
        self, now: float, name: str, messages: Iterable[wire.Message], items: Iterable[SignedStatement]
    ) -> bytes:
        self.sequence += 1
        packet = wire.Packet(name, self.run, self.sequence, int(now * 1000), tuple(messages), tuple(items))
        return wire.encode(self._sign(now, StatementKind.PACKET, packet))

    def _post(
        self, now: float, level: Priority, name: str, address: Address, *messages: wire.Message
    ) -> None:
        """Send now where the limit has room, else a little later, else not at all."""
        if not self._send_datagram(now, level, name, address, messages):
            self.counts["messages_waited"] += 1
            self._waiting.append(QueuedMessages(level, now + WAIT_FOR_ROOM_S, name, address, messages))
            if len(self._waiting) > MOST_WAITING:
                self._waiting.remove(max(self._waiting, key=lambda one: (one.level, -one.until)))
                self.counts["messages_given_up"] += 1

    def _send_datagram(
        self, now: float, level: Priority, name: str, address: Address, messages: tuple[wire.Message, ...]
    ) -> bool:
        needed = self._needed(now, name)
        rumours = self._select_piggyback(now, level, name, sum(one.size_bound() for one in needed))
        if not messages and not rumours:
            return False  # nothing to say that it does not know
        data = self._encode_packet(now, name, messages, [*needed, *(one.signed for one in rumours)])
        while len(data) > wire.MAX_DATAGRAM_BYTES and rumours:
            rumours.pop()
            data = self._encode_packet(now, name, messages, [*needed, *(one.signed for one in rumours)])
        if not self.egress.admit(now, level, len(data)):
            return False
        self.dissemination.mark_sent(rumours, self.member_list.live_count())
        self.counts["datagrams_out"] += 1
        self.counts["bytes_out"] += len(data)
        self.outbox.append(Datagram(address, data))
        return True

    def _needed(self, now: float, name: str) -> list[SignedStatement]:
        """What the receiver has to know before all else."""
        items: list[SignedStatement] = []
        member = self.member_list.members.get(name)
        if member is None or member.status is not Status.ALIVE or member.last_heard < now - INTRODUCED_S:
            items.append(self.own_record)  # it may be new, or have restarted, and have nowhere to answer to
        if member is not None and member.suspicion is not None:
            items += list(member.suspicion.accusers.values())[:1]  # so that it can clear its name
        return items

    def _select_piggyback(self, now: float, level: Priority, name: str, taken: int) -> list[QueuedStatement]:
        """Rumours that ride along, by their order and as far as the traffic limit has room at their level."""
        room = wire.MAX_DATAGRAM_BYTES - PACKET_BASE - taken
        for floor in (Priority.FORWARDED, Priority.OWN, Priority.REFUTATION):
            free = (
                min(self.egress.available_bytes(now, floor), self.egress.available_bytes(now, level))
                - PACKET_BASE
                - taken
            )
            if free >= LEAST_RIDERS or floor is Priority.REFUTATION:
                return self.dissemination.select(max(0, min(room, free)), MOST_RIDERS, name, floor)
        return []

    # Time

    def tick(self, now: float) -> None:
        """Do what has come due."""
        late = self.stall_detector.lateness_s(now)
        if late:
            self.counts["stalls"] += 1
            self.member_list.postpone(late)
            self.prober.postpone(late)
        self._send_waiting(now)
        if not self.leaving:
            self._probe(now)
            self._conclude(now)
            if now >= self._testify_at:
                self._testify_at = now + TESTIFY_S
                self._report_failures(now)
            self._seek(now)
        if now >= self._gossip_at:
            self._gossip_at = now + GOSSIP_PART * self.options.period
            self._send_gossip(now)
        if now >= self._verdict_at:
            self._judge(now)
        if now >= self._clean_at:
            self._clean_at = now + HOUSEKEEPING_S
            self._clean(now)
        self.stall_detector.expect_turn_at(self.due())

    def due(self) -> float:
        """When ``tick`` is wanted next, at the latest."""
        times = [self._gossip_at, self._verdict_at, self._clean_at]
        if not self.leaving:
            times += [self._probe_at, self._testify_at, self._try_at, self._exchange_at, self._next_seed_at]
            times += [self.prober.due(), self.member_list.due()]
        return min(times)

    def _send_waiting(self, now: float) -> None:
        waiting, self._waiting = sorted(self._waiting, key=lambda one: one.level), deque()
        for one in waiting:
            if now >= one.until:
                self.counts["messages_given_up"] += 1
            elif not self._send_datagram(now, one.level, one.name, one.address, one.messages):
                self._waiting.append(one)

    def _probe(self, now: float) -> None:
        period, timeout = (
            one * self.health.multiplier for one in (self.options.period, self.options.probe_timeout)
        )
        for probe in self.prober.due_for_indirect_probes(now):
            for name in self.prober.choose_helpers(probe, self.member_list.live_names()):
                helper = self.member_list.members[name]
                self._post(
                    now, Priority.PROBE, name, helper.address, wire.PingRequest(probe.nonce, probe.target)
                )
        for relay in self.prober.take_due_nacks(now):
            if (asker := self.member_list.members.get(relay.requester)) is not None:
                self._post(
                    now, Priority.REFUTATION, asker.name, asker.address, wire.Nack(relay.requester_nonce)
                )
        for probe in self.prober.take_failed(now):
            self._failed(now, probe)
        if now >= self._probe_at:
            self._probe_at = now + period
            target = self.prober.next_target(self.member_list.live_names())
            if target is not None:
                self.counts["probes"] += 1
                probe = self.prober.start_probe(now, target, timeout, period)
                member = self.member_list.members[target]
                self._post(now, Priority.PROBE, target, member.address, wire.Ping(probe.nonce))

    def _failed(self, now: float, probe: Probe) -> None:
        self.counts["probes_failed"] += 1
        self.health.adjust(len(probe.helpers) - probe.nacks if probe.helpers else +1)
        member = self.member_list.members.get(probe.target)
        if member is None or member.status not in (Status.ALIVE, Status.SUSPECT):
            return
        if member.suspicion is not None and self.options.name in member.suspicion.accusers:
            return
        accusation = wire.SuspicionReport(probe.target, member.record.incarnation, int(now * 1000))
        self._accuse(
            now, self._sign(now, StatementKind.SUSPICION_REPORT, accusation), accusation, Priority.OWN
        )

    def _conclude(self, now: float) -> None:
        self.status_changes += self.member_list.expire_suspicions(now)

    def _send_gossip(self, now: float) -> None:
        """Rumours besides those that ride on probes, to a few members at random."""
        living = self.member_list.live_names()
        if not len(self.dissemination) or not living:
            return
        for name in self.random.sample(living, min(GOSSIP_FANOUT, len(living))):
            if len(self.dissemination) and self.egress.available_bytes(now, Priority.FORWARDED) >= 400:
                self._send_datagram(now, Priority.FORWARDED, name, self.member_list.members[name].address, ())

    def _seek(self, now: float) -> None:
        """Seeds while nobody lives, members thought dead now and then, a full exchange at its time."""
        period = self.options.period
        if now >= self._next_seed_at:
            alone = not self.member_list.live_names()
            self._next_seed_at = now + period * (2 if alone else SEED_PERIODS * 3) * (
                0.5 + self.random.random()
            )
            known = {one.address for one in self.member_list}
            for seed in self.options.seeds:
                if seed != self.options.address and (alone or seed not in known):
                    self._post(now, Priority.PROBE, "", seed, wire.Ping(self.prober.new_nonce()))
        if now >= self._try_at:
            self._try_at = now + period * TRY_DEAD_PERIODS * (0.5 + self.random.random())
            if dead := self.member_list.with_status(Status.DEAD):
                one = self.random.choice(dead)
                self._post(now, Priority.PROBE, one.name, one.address, wire.Ping(self.prober.new_nonce()))
        if now >= self._exchange_at:
            self._exchange_at = now + period * self._exchange_pause * (0.5 + self.random.random())
            self._exchange_pause = min(EXCHANGE_MOST, 2 * self._exchange_pause)
            if living := self.member_list.live_names():
                name = self.random.choice(living)
                self.exchange_targets.append((name, self.member_list.members[name].address))

    def _clean(self, now: float) -> None:
        """What is kept of members, keys and engines goes when they go."""
        names = self.keyring.member_names - {self.options.name}
        self.member_list.retain(names)
        self.failure_reports.retain(now, names, self.up_engines)
        self.replay.retain(now, names)
        for name in list(self._verified_signatures):
            if self.keyring.key_rejection(now, name[0], name[1]) is not None:
                del self._verified_signatures[name]

    # Full exchange: frames of one connection, asked and answered

    def begin_exchange(self, now: float, name: str) -> bytes | None:
        """The first frame of a full exchange with that member; None where the traffic limit has no room."""
        summary = wire.BucketDigests(self.member_list.bucket_digests((self.options.name, self.record)))
        return self._frame(now, name, (summary,), [])

    def handle_frame(self, now: float, data: bytes, source: Address) -> list[bytes]:
        """Answers to one frame of a full exchange; empty where the exchange is over."""
        if not self.ingress.admit(now, source, len(data), len(self.keyring.keys)):
            self.counts["frames_over_rate"] += 1
            return []
        opened = self._open(now, data, wire.MAX_FRAME_BYTES)
        if opened is None:
            return []
        sender, packet = opened
        mine = self.member_list.bucket_digests((self.options.name, self.record))
        self.member_list.mark_heard(now, sender)
        for item in packet.statements:
            self._statement(now, item)
        answers: list[bytes | None] = []
        for message in packet.messages:
            match message:
                case wire.BucketDigests(theirs):
                    differ = differing_buckets(mine, theirs)
                    self._exchanged(bool(differ))
                    if differ:
                        answers.append(self._entries(now, sender, differ, ask=True))
                case wire.BucketEntries(buckets, ask):
                    self._exchanged(True)
                    if ask:
                        answers.append(self._entries(now, sender, list(buckets), ask=False))
                case _:
                    self.counts["messages_out_of_place"] += 1
        return [one for one in answers if one is not None]

    def _exchanged(self, differed: bool) -> None:
        if differed:
            self._exchange_pause = EXCHANGE_LEAST

    def _entries(self, now: float, name: str, buckets: list[int], ask: bool) -> bytes | None:
        """As many of these buckets, from a random one on, as the traffic limit has room for."""
        room = (
            min(wire.MAX_FRAME_BYTES, self.egress.available_bytes(now, Priority.EXCHANGE)) - 2 * PACKET_BASE
        )
        turn = self.random.randrange(len(buckets)) if buckets else 0
        items: list[SignedStatement] = []
        for signed in self.member_list.statements_in(buckets[turn:] + buckets[:turn]):
            if signed.size_bound() <= room and len(items) < wire.MAX_STATEMENTS_PER_PACKET - 1:
                room -= signed.size_bound()
                items.append(signed)
        asked = bytes(one for one in buckets if one < 64)[:64]
        return self._frame(now, name, (wire.BucketEntries(asked, ask),), [self.own_record, *items])

    def _frame(
        self, now: float, name: str, messages: tuple[wire.Message, ...], items: list[SignedStatement]
    ) -> bytes | None:
        data = self._encode_packet(now, name, messages, items)
        if len(data) > wire.MAX_FRAME_BYTES or not self.egress.admit(now, Priority.EXCHANGE, len(data)):
            self.counts["frames_no_room"] += 1
            return None
        self.counts["bytes_out"] += len(data)
        self.counts["frames_out"] += 1
        return data

    # What this gateway sees itself

    def record_attempt(self, now: float, engine: str, failed: bool) -> None:
        """One attempt of this gateway's own on an engine."""
        if engine in self.up_engines:
            self.failure_reports.observations.record_attempt(now, engine, failed)
            if (
                failed
                and engine not in self._testified
                and self.failure_reports.observations.assessment(now, engine) is Assessment.BAD
            ):
                self._testify_at = min(self._testify_at, now + SOON_S)

    def update_engine_list(self, now: float, up: set[str], draining: set[str]) -> None:
        """This gateway's own engine list: those that are up, and those that drain."""
        new = draining & self.up_engines
        self.up_engines = set(up)
        self.drain_reports.set_listed_engines(self.up_engines)
        if new:
            told = wire.DrainReport(int(now * 1000), tuple(sorted(new))[: wire.MAX_ENGINES_PER_STATEMENT])
            signed = self._sign(now, StatementKind.DRAIN_REPORT, told)
            self.dissemination.add(("drains", self.options.name), signed, Priority.OWN)
            self._send_gossip(now)
        self._judge(now)

    def _report_failures(self, now: float) -> None:
        rows = self.failure_reports.rows_to_report(now, self.up_engines, self.member_list.live_count())
        if not rows:
            self._testified = set()
            return
        self._testified = {one[0] for one in rows}
        self.report_sequence += 1
        at, window = int(now * 1000), 5000
        testimony = wire.FailureReport(self.run, self.report_sequence, at, window, rows)
        while len(rows) > 1 and len(wire.encode(testimony)) > 700:
            rows = rows[:-1]
            testimony = wire.FailureReport(self.run, self.report_sequence, at, window, rows)
        signed = self._sign(now, StatementKind.FAILURE_REPORT, testimony)
        self.dissemination.add(("testimony", self.options.name), signed, Priority.OWN)
        self._gossip_at = now

    def _judge(self, now: float) -> None:
        self._verdict_at = now + VERDICT_S
        living = self.member_list.live_count()
        failing = self.failure_reports.failing_engines(now, self.up_engines, living)
        size = self.snapshot.gateways
        if self._sized != self.member_list.version:
            self._sized = self.member_list.version
            states = ((one.name, one.status) for one in self.member_list)
            size = count_gateways(self.options.configured_gateways, states, self.options.removed_members)
        self.snapshot = GroupSnapshot(
            failing, self.drain_reports.draining_engines(now), size, now + MAX_REPORT_AGE_S
        )

    # Changes in service

    def leave(self, now: float) -> None:
        """Say that this member goes, so that nobody suspects it; call ``tick`` for a while longer."""
        self.leaving = True
        self._renew_record(now, Priority.REFUTATION, left=True)
        self._gossip_at = now
        self._send_gossip(now)

    def reconfigure(self, now: float, options: GroupOptions, signer: Signer, keyring: Keyring) -> None:
        """Seeds, rates, removed members and keys; our record is signed anew where our key has changed."""
        self.options, self.signer, self.keyring = options, signer, keyring
        self.egress.rate, self.ingress.rate = options.rate, options.rate_in
        self._next_seed_at, self._sized = now, -1
        if signer.sign(now, b"")[0] != self.own_record.key_id:
            self._renew_record(now, Priority.OWN)
        self._clean(now)
        self._judge(now)

    # For people

    def is_own_view_request(self, now: float, data: bytes) -> bool:
        """Whether a frame asks for ``view``, signed with this member's own key within the last seconds."""
        try:
            signed = wire.decode_signed(data, wire.MAX_DATAGRAM_BYTES)
            if signed.origin != self.options.name:
                return False
            packet = wire.decode_body(signed, wire.Packet)
        except WireError:
            return False
        wanted = packet.recipient == self.options.name and packet.messages == (wire.ViewRequest(),)
        return wanted and abs(now - packet.at_ms / 1000) < STATEMENT_AGE_S and self._good(now, signed)

    def view(self, now: float) -> dict[str, object]:
        """What this member knows of its group, as plain data."""
        members = [
            {
                "name": one.name,
                "address": f"{one.record.host}:{one.record.port}",
                "status": one.status.value,
                "incarnation": one.record.incarnation,
                "since_s": round(now - one.status_since, 1),
                "heard_s": round(now - one.last_heard, 1) if one.last_heard > -inf else None,
                "accusers": sorted(one.suspicion.accusers) if one.suspicion is not None else [],
                "believed": self.member_list.is_credible(now, one.name),
                "credit": round(voice.credibility_at(now), 2) if (voice := self._voice(one.name)) else None,
                "liar": one.name in self.failure_reports.equivocations,
            }
            for one in sorted(self.member_list, key=lambda one: one.name)
        ]
        return {
            "name": self.options.name,
            "address": f"{self.options.address[0]}:{self.options.address[1]}",
            "incarnation": self.record.incarnation,
            "health": self.health.score,
            "bound": self.snapshot.gateways.upper_bound,
            "living": self.snapshot.gateways.live,
            "failing": sorted(self.snapshot.failing),
            "draining": sorted(self.snapshot.draining),
            "members": members,
            "counts": dict(sorted(self.counts.items())),
        }

    def _voice(self, name: str) -> Reporter | None:
        return self.failure_reports.reporters.get(name)
