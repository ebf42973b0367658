"""One member of the gossip group: failure detection, dissemination and failure reports without any I/O.

``Group`` combines the other pure modules. It is deterministic: time comes as an argument, random numbers from
a seeded generator, signatures through ``Signer`` and ``Keyring``. So the same calls give the same results, on
sockets as well as in virtual time. Callers pass in what arrives (``receive``, ``handle_frame``), what this
gateway observes itself (``record_attempt``, ``update_engine_list``) and the passing of time (``tick``, due at
``due()``); after each call they take and clear ``outbox``, ``exchange_targets`` and ``status_changes``.
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

GOSSIP_INTERVAL_PERIODS = 0.2  # between gossip rounds besides the probes, while statements are queued
GOSSIP_FANOUT = 3  # members to which one gossip round sends
REPORT_INTERVAL_S = 1.0  # between failure reports
URGENT_REPORT_DELAY_S = 0.05  # before a failure report that adds a newly failing engine
DEAD_PROBE_INTERVAL_PERIODS = 5  # between pings to a random dead member
SEED_INTERVAL_PERIODS = 10  # a third of the mean time between contacts to seeds while other members are alive
MIN_EXCHANGE_INTERVAL_PERIODS = 2.0  # between anti-entropy exchanges after one has found a difference
MAX_EXCHANGE_INTERVAL_PERIODS = 30.0  # between anti-entropy exchanges while none finds a difference
MAX_QUEUE_TIME_S = 0.5  # a message without room in the traffic limit is dropped after this time
MAX_QUEUED_MESSAGES = 64
MAX_VERIFIED_SIGNATURES = 4096  # valid signatures that are cached
MAX_STATEMENT_AGE_S = 60.0  # older suspicion reports and view requests are ignored
INTRODUCTION_VALID_S = 10.0  # a member that has sent to us within this time has our record
MAX_PIGGYBACKED_STATEMENTS = 12  # statements on one datagram
MIN_PIGGYBACK_BYTES = 250  # below this room at a priority, only higher priorities are piggybacked
PACKET_OVERHEAD_BYTES = 140  # upper bound of a datagram's size without its statements
SNAPSHOT_INTERVAL_S = 0.2  # between updates of the snapshot
CLEANUP_INTERVAL_S = 5.0  # between removals of stale state


@dataclass(slots=True, frozen=True)
class GroupOptions:
    """Settings of one member; ``seeds``, ``rate``, ``rate_in`` and ``removed_members`` may change at runtime.

    ``rate`` and ``rate_in`` are in bytes per second; ``period``, ``probe_timeout`` and ``clock_error`` in
    seconds. ``lifeguard`` False selects plain SWIM, for comparison.
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
    configured_gateways: int = 1  # number of gateways by the platform's settings
    lifeguard: bool = True


@dataclass(slots=True, frozen=True)
class GroupSnapshot:
    """The group's conclusions that the admission controller may use until ``valid_until``."""

    failing: frozenset[str]
    draining: frozenset[str]
    gateways: GatewayCount
    valid_until: float


@dataclass(slots=True, frozen=True)
class Datagram:
    """Bytes to send to an address by UDP."""

    address: Address
    data: bytes


@dataclass(slots=True)
class QueuedMessages:
    """Messages that wait for room in the outgoing traffic limit and are dropped at ``expires_at``."""

    priority: Priority
    expires_at: float
    receiver: str
    address: Address
    messages: tuple[wire.Message, ...]


class Group:
    """One member of the gossip group.

    ``now`` is monotonic in all calls. Instants in messages and in the validity of keys are Unix times, which
    are ``unix_offset_s`` later; the caller sets it before each call, since the wall clock may be stepped.

    ``outbox``, ``exchange_targets`` and ``status_changes`` collect the results of a call: datagrams to send,
    members with which to begin an anti-entropy exchange, and membership changes for the log.
    """

    def __init__(
        self,
        options: GroupOptions,
        signer: Signer,
        keyring: Keyring,
        now: float,
        seed: int,
        unix_offset_s: float = 0.0,
    ) -> None:
        self.options, self.signer, self.keyring = options, signer, keyring
        self.random = Random(seed)
        self.member_list = MemberList(options.name, options.period, options.lifeguard)
        self.prober = Prober(self.random)
        self.health = LocalHealth(options.lifeguard)
        self.stall_detector = StallDetector(options.lifeguard)
        self.dissemination = DisseminationQueue()
        self.failure_reports = FailureReports()
        self.drain_reports = DrainReports()
        self.egress = EgressLimiter(options.rate)
        self.ingress = IngressLimiter(options.rate_in)
        self.replay = ReplayProtection(options.clock_error)
        self.counts: Counter[str] = Counter()
        self.outbox: list[Datagram] = []
        self.exchange_targets: list[tuple[str, Address]] = []
        self.status_changes: list[StatusChange] = []
        # The start of this run in Unix milliseconds distinguishes it from earlier runs of this member.
        self.unix_offset_s = unix_offset_s
        self.run = self.unix_ms(now)
        self.sequence = 0  # of the last packet
        self.report_sequence = 0  # of the last failure report
        self.up_engines: set[str] = set()
        self.snapshot = GroupSnapshot(
            frozenset(),
            frozenset(),
            GatewayCount(options.configured_gateways, options.configured_gateways),
            now,
        )
        self.leaving = False
        self._reported_engines: set[str] = set()  # engines of the last failure report
        self._verified_signatures: OrderedDict[tuple[str, str, bytes], bytes] = OrderedDict()
        self._queued_messages: deque[QueuedMessages] = deque()
        self._exchange_interval_periods = MIN_EXCHANGE_INTERVAL_PERIODS
        self._counted_version = -1  # version of the member list from which the gateways were last counted
        period = options.period
        first_round_at = now + self.random.random() * period
        self._next_probe_at = first_round_at
        self._next_gossip_at = first_round_at
        self._next_report_at = first_round_at
        self._next_dead_probe_at = first_round_at + DEAD_PROBE_INTERVAL_PERIODS * period
        self._next_seed_at = now
        self._next_exchange_at = first_round_at + 2 * period
        self._next_snapshot_at = now
        self._next_cleanup_at = now + CLEANUP_INTERVAL_S
        self.record = wire.MemberRecord(self.run, *options.address)
        self.own_record: SignedStatement = self._sign(now, StatementKind.MEMBER_RECORD, self.record)
        self.dissemination.add(("record", options.name), self.own_record, Priority.OWN)

    def _unix(self, now: float) -> float:
        return now + self.unix_offset_s

    def unix_ms(self, now: float) -> int:
        """The Unix time in milliseconds, for the instants in messages."""
        return int(self._unix(now) * 1000)

    # Statements

    def _sign(
        self,
        now: float,
        kind: StatementKind,
        struct: wire.MemberRecord
        | wire.SuspicionReport
        | wire.FailureReport
        | wire.DrainReport
        | wire.Packet,
    ) -> SignedStatement:
        """Encode a statement and sign it with the key that is valid now."""
        body, name = wire.encode(struct), self.options.name
        unix_now = self._unix(now)
        key_id, _ = self.signer.sign(unix_now, b"")
        key_id, signature = self.signer.sign(unix_now, wire.signed_bytes(kind, name, key_id, body))
        return SignedStatement(kind, name, key_id, body, signature)

    def _is_signature_valid(self, now: float, signed: SignedStatement) -> bool:
        """Return whether the signature is valid; valid ones are cached, so each is verified only once."""
        signature_key = signed.origin, signed.key_id, signed.signature
        verified_body = self._verified_signatures.get(signature_key)
        if (
            verified_body is not None
            and verified_body == signed.body
            and self.keyring.key_rejection(self._unix(now), *signature_key[:2]) is None
        ):
            self._verified_signatures.move_to_end(signature_key)
            return True
        self.counts["signatures_checked"] += 1
        rejection = self.keyring.signature_rejection(
            self._unix(now), *signature_key[:2], signed.signed_bytes(), signed.signature
        )
        if rejection is not None:
            self.counts[f"statements_{rejection}"] += 1
            return False
        if signed.kind != StatementKind.PACKET:
            self._verified_signatures[signature_key] = signed.body
            if len(self._verified_signatures) > MAX_VERIFIED_SIGNATURES:
                self._verified_signatures.popitem(last=False)
        return True

    def _renew_record(self, now: float, priority: Priority, left: bool = False) -> None:
        """Disseminate a new record of this member with the next incarnation."""
        self.record = wire.MemberRecord(self.record.incarnation + 1, *self.options.address, left)
        self.own_record = self._sign(now, StatementKind.MEMBER_RECORD, self.record)
        self.dissemination.add(("record", self.options.name), self.own_record, priority)

    # Received packets

    def receive(self, now: float, data: bytes, source: Address) -> None:
        """Process a datagram; an unacceptable one is counted and dropped without an exception."""
        self.counts["datagrams_in"] += 1
        if not self.ingress.admit(now, source, len(data), len(self.keyring.keys)):
            self.counts["datagrams_over_rate"] += 1
            return
        opened = self._open_packet(now, data, wire.MAX_DATAGRAM_BYTES)
        if opened is not None:
            self._handle_packet(now, *opened)

    def _open_packet(self, now: float, data: bytes, max_bytes: int) -> tuple[str, wire.Packet] | None:
        """Return the sender and the packet if it is well-formed, addressed to us, new and validly signed.

        Otherwise count the reason and return None. Replays are rejected before the signature is verified,
        which costs more; the replay state changes only after the signature was found valid.
        """
        try:
            signed = wire.decode_signed(data, max_bytes)
            packet = wire.decode_body(signed, wire.Packet)
        except WireError:
            self.counts["datagrams_unreadable"] += 1
            return None
        sender = signed.origin
        if sender == self.options.name or packet.recipient not in (self.options.name, ""):
            self.counts["datagrams_not_ours"] += 1
            return None
        unix_now = self._unix(now)
        rejection = self.keyring.key_rejection(unix_now, sender, signed.key_id)
        if rejection is None:
            rejection = self.replay.check(unix_now, sender, packet.run, packet.sequence, packet.at_ms)
        if rejection is not None:
            self.counts[f"datagrams_{rejection}"] += 1
            return None
        if not self._is_signature_valid(now, signed):
            return None
        self.replay.commit(now, unix_now, sender, packet.run, packet.sequence, packet.at_ms)
        return sender, packet

    def _handle_packet(self, now: float, sender: str, packet: wire.Packet) -> None:
        self.member_list.mark_heard(now, sender)
        for statement in packet.statements:
            self._handle_statement(now, statement)
        for message in packet.messages:
            self._handle_message(now, sender, message)

    def _handle_statement(self, now: float, signed: SignedStatement) -> None:
        """Process a statement that any member may have relayed; an invalid one is counted and dropped."""
        try:
            match signed.kind:
                case StatementKind.MEMBER_RECORD:
                    self._handle_record(now, signed, wire.decode_body(signed, wire.MemberRecord))
                case StatementKind.SUSPICION_REPORT:
                    self._handle_suspicion_report(now, signed, wire.decode_body(signed, wire.SuspicionReport))
                case StatementKind.FAILURE_REPORT:
                    self._handle_failure_report(now, signed, wire.decode_body(signed, wire.FailureReport))
                case StatementKind.DRAIN_REPORT:
                    self._handle_drain_report(now, signed, wire.decode_body(signed, wire.DrainReport))
                case _:
                    self.counts["statements_out_of_place"] += 1
        except WireError:
            self.counts["statements_unreadable"] += 1

    def _handle_record(self, now: float, signed: SignedStatement, record: wire.MemberRecord) -> None:
        """Apply a member's record and disseminate it if it is new.

        A record under our own name with a higher incarnation than ours is superseded by a new record of ours.
        """
        name = signed.origin
        if name == self.options.name:
            # From an earlier run whose clock was ahead, or from another process with our name and key.
            if record.incarnation > self.record.incarnation and self._is_signature_valid(now, signed):
                self.record = record
                self._renew_record(now, Priority.REFUTATION, left=self.leaving)
                self.counts["records_of_own_name"] += 1
            return
        known = self.member_list.members.get(name)
        if known is not None and record.incarnation <= known.record.incarnation and not record.left:
            self.dissemination.count_duplicate(("record", name), signed)
            return  # not newer than the record we have, so its signature need not be verified
        if not self._is_signature_valid(now, signed):
            return
        is_new, changes = self.member_list.apply_record(now, signed, record)
        if is_new:
            refuted = any(status_change.before in (Status.SUSPECT, Status.DEAD) for status_change in changes)
            self.dissemination.add(
                ("record", name), signed, Priority.REFUTATION if refuted else Priority.FORWARDED
            )
            if known is not None:
                self._drop_refuted(name, record.incarnation)
        for change in changes:
            self.status_changes.append(change)
            if change.before is None and change.after is Status.ALIVE:
                self.prober.add_to_round(name)
            if change.reason == "came_back":
                self._next_exchange_at = min(
                    self._next_exchange_at, now + self.options.period * self.random.random()
                )

    def _drop_refuted(self, name: str, incarnation: int) -> None:
        """Stop the dissemination of suspicions of earlier incarnations, which the new record refutes."""
        self.dissemination.retain(
            lambda key: (
                not (
                    isinstance(key, tuple) and key[:2] == ("suspicion_report", name) and key[3] < incarnation
                )
            )
        )

    def _handle_suspicion_report(
        self, now: float, signed: SignedStatement, report: wire.SuspicionReport
    ) -> None:
        """Apply a suspicion of a member; refute it with a new incarnation if it concerns this member.

        A suspicion of this member by a credible accuser also worsens the local health score.
        """
        if abs(self._unix(now) - report.at_ms / 1000) > MAX_STATEMENT_AGE_S + self.options.clock_error:
            return
        subject, accuser = report.subject, signed.origin
        if subject == self.options.name:
            is_current = report.incarnation == self.record.incarnation
            if is_current and not self.leaving and self._is_signature_valid(now, signed):
                self.counts["accused"] += 1
                if self.member_list.is_credible(now, accuser):
                    self.health.adjust(+1)
                self.member_list.record_refutation(now, accuser)
                self._renew_record(now, Priority.REFUTATION)
            return
        member = self.member_list.members.get(subject)
        if member is None or member.record.incarnation != report.incarnation:
            return
        if member.suspicion is not None and accuser in member.suspicion.accusers:
            self.dissemination.count_duplicate(
                ("suspicion_report", subject, accuser, report.incarnation), signed
            )
            return
        if not self._is_signature_valid(now, signed):
            return
        self._apply_suspicion_report(now, signed, report, Priority.FORWARDED)

    def _apply_suspicion_report(
        self, now: float, signed: SignedStatement, report: wire.SuspicionReport, priority: Priority
    ) -> None:
        is_new, changes = self.member_list.apply_suspicion_report(now, signed, report)
        if is_new:
            key = ("suspicion_report", report.subject, signed.origin, report.incarnation)
            self.dissemination.add(key, signed, priority)
        self.status_changes += changes

    def _handle_failure_report(self, now: float, signed: SignedStatement, report: wire.FailureReport) -> None:
        """Apply a member's failure report; if it proves an equivocation, disseminate both statements."""
        origin = signed.origin
        if (
            origin == self.options.name
            or abs(self._unix(now) - report.at_ms / 1000) > MAX_REPORT_AGE_S + self.options.clock_error
        ):
            return
        age_s = self.replay.statement_age_s(self._unix(now), origin, report.at_ms)
        if age_s is not None and age_s > MAX_REPORT_AGE_S:
            return
        reporter = self.failure_reports.reporters.get(origin)
        if reporter is not None and (report.run, report.sequence, signed) in reporter.recent_statements:
            self.dissemination.count_duplicate(("failure_report", origin), signed)
            return
        if not self._is_signature_valid(now, signed):
            return
        if self.failure_reports.add_report(now, signed, report, now - (age_s or 0.0)):
            equivocation = self.failure_reports.equivocations.get(origin)
            if equivocation is None:
                self.dissemination.add(("failure_report", origin), signed, Priority.FORWARDED)
            else:
                self.counts["liars_proven"] += 1
                self.status_changes.append(
                    StatusChange(origin, None, Status.ALIVE, "two testimonies under one sequence")
                )
                for index, statement in enumerate(equivocation):
                    self.dissemination.add(("equivocation", origin, index), statement, Priority.OWN)

    def _handle_drain_report(self, now: float, signed: SignedStatement, report: wire.DrainReport) -> None:
        """Apply a member's drain report; reports of proven equivocators are ignored."""
        origin = signed.origin
        if origin == self.options.name or origin in self.failure_reports.equivocations:
            return
        age_s = self.replay.statement_age_s(self._unix(now), origin, report.at_ms)
        if (
            abs(self._unix(now) - report.at_ms / 1000) > MAX_REPORT_AGE_S + self.options.clock_error
            or (age_s or 0.0) > MAX_REPORT_AGE_S
        ):
            return
        if self._is_signature_valid(now, signed):
            self.drain_reports.add_report(now, origin, report.engines)
            self.dissemination.add(("drains", origin), signed, Priority.FORWARDED)
            self._update_snapshot(now)

    def _handle_message(self, now: float, sender: str, message: wire.Message) -> None:
        member = self.member_list.members.get(sender)
        if member is None:
            return  # without the sender's record there is no address to answer to
        match message:
            case wire.Ping(nonce):
                self._send_or_queue(now, Priority.REFUTATION, sender, member.address, wire.Ack(nonce))
            case wire.PingRequest(nonce, target):
                self._start_indirect_probe(now, sender, nonce, target)
            case wire.Ack(nonce):
                answered_probe = self.prober.handle_ack(nonce, sender)
                if (
                    isinstance(answered_probe, IndirectProbe)
                    and (requester := self.member_list.members.get(answered_probe.requester)) is not None
                ):
                    self._send_or_queue(
                        now,
                        Priority.REFUTATION,
                        requester.name,
                        requester.address,
                        wire.Ack(answered_probe.requester_nonce),
                    )
                elif isinstance(answered_probe, Probe):
                    self.health.adjust(-1)
                    self.counts["probes_good"] += 1
            case wire.Nack(nonce):
                self.prober.handle_nack(nonce, sender)
            case _:
                self.counts["messages_out_of_place"] += 1

    def _start_indirect_probe(self, now: float, requester: str, nonce: int, target: str) -> None:
        """Probe ``target`` on behalf of ``requester``."""
        member = self.member_list.members.get(target)
        if member is None or member.status is Status.LEFT:
            return
        indirect_probe = self.prober.start_indirect_probe(
            now, requester, nonce, self.options.probe_timeout, self.options.period
        )
        if indirect_probe is not None:
            self._send_or_queue(now, Priority.PROBE, target, member.address, wire.Ping(indirect_probe.nonce))

    # Sent packets

    def _encode_packet(
        self,
        now: float,
        receiver: str,
        messages: Iterable[wire.Message],
        statements: Iterable[SignedStatement],
    ) -> bytes:
        self.sequence += 1
        packet = wire.Packet(
            receiver, self.run, self.sequence, self.unix_ms(now), tuple(messages), tuple(statements)
        )
        return wire.encode(self._sign(now, StatementKind.PACKET, packet))

    def _send_or_queue(
        self, now: float, priority: Priority, receiver: str, address: Address, *messages: wire.Message
    ) -> None:
        """Send at once if the traffic limit has room; otherwise queue the messages for a short time."""
        if not self._send_datagram(now, priority, receiver, address, messages):
            self.counts["messages_waited"] += 1
            self._queued_messages.append(
                QueuedMessages(priority, now + MAX_QUEUE_TIME_S, receiver, address, messages)
            )
            if len(self._queued_messages) > MAX_QUEUED_MESSAGES:
                self._queued_messages.remove(
                    max(self._queued_messages, key=lambda queued: (queued.priority, -queued.expires_at))
                )
                self.counts["messages_given_up"] += 1

    def _send_datagram(
        self,
        now: float,
        priority: Priority,
        receiver: str,
        address: Address,
        messages: tuple[wire.Message, ...],
    ) -> bool:
        required = self._required_statements(now, receiver)
        piggybacked = self._select_piggyback(
            now, priority, receiver, sum(statement.size_bound() for statement in required)
        )
        if not messages and not piggybacked:
            return False  # nothing to send
        data = self._encode_packet(
            now, receiver, messages, [*required, *(queued.signed for queued in piggybacked)]
        )
        while len(data) > wire.MAX_DATAGRAM_BYTES and piggybacked:
            piggybacked.pop()
            data = self._encode_packet(
                now, receiver, messages, [*required, *(queued.signed for queued in piggybacked)]
            )
        if not self.egress.admit(now, priority, len(data)):
            return False
        self.dissemination.mark_sent(piggybacked, self.member_list.live_count())
        self.counts["datagrams_out"] += 1
        self.counts["bytes_out"] += len(data)
        self.outbox.append(Datagram(address, data))
        return True

    def _required_statements(self, now: float, receiver: str) -> list[SignedStatement]:
        """Return the statements that the receiver needs before any other: our record, and its suspicion."""
        statements: list[SignedStatement] = []
        member = self.member_list.members.get(receiver)
        if (
            member is None
            or member.status is not Status.ALIVE
            or member.last_heard < now - INTRODUCTION_VALID_S
        ):
            # A new or restarted member lacks our record, and with it the address to answer to.
            statements.append(self.own_record)
        if member is not None and member.suspicion is not None:
            statements += list(member.suspicion.accusers.values())[:1]  # so that it can refute the suspicion
        return statements

    def _select_piggyback(
        self, now: float, priority: Priority, receiver: str, used_bytes: int
    ) -> list[QueuedStatement]:
        """Select statements to piggyback, in priority order and as far as the traffic limit has room."""
        datagram_room = wire.MAX_DATAGRAM_BYTES - PACKET_OVERHEAD_BYTES - used_bytes
        for lowest_priority in (Priority.FORWARDED, Priority.OWN, Priority.REFUTATION):
            rate_room = (
                min(
                    self.egress.available_bytes(now, lowest_priority),
                    self.egress.available_bytes(now, priority),
                )
                - PACKET_OVERHEAD_BYTES
                - used_bytes
            )
            if rate_room >= MIN_PIGGYBACK_BYTES or lowest_priority is Priority.REFUTATION:
                return self.dissemination.select(
                    max(0, min(datagram_room, rate_room)),
                    MAX_PIGGYBACKED_STATEMENTS,
                    receiver,
                    lowest_priority,
                )
        return []

    # Periodic work

    def tick(self, now: float) -> None:
        """Perform all work that is due; after a stall of this process, first postpone running timeouts."""
        stall_s = self.stall_detector.lateness_s(now)
        if stall_s:
            self.counts["stalls"] += 1
            self.member_list.postpone(stall_s)
            self.prober.postpone(stall_s)
        self._send_queued_messages(now)
        if not self.leaving:
            self._run_probes(now)
            self._expire_suspicions(now)
            if now >= self._next_report_at:
                self._next_report_at = now + REPORT_INTERVAL_S
                self._report_failures(now)
            self._contact_members(now)
        if now >= self._next_gossip_at:
            self._next_gossip_at = now + GOSSIP_INTERVAL_PERIODS * self.options.period
            self._send_gossip(now)
        if now >= self._next_snapshot_at:
            self._update_snapshot(now)
        if now >= self._next_cleanup_at:
            self._next_cleanup_at = now + CLEANUP_INTERVAL_S
            self._remove_stale_state(now)
        self.stall_detector.expect_turn_at(self.due())

    def due(self) -> float:
        """Return the time by which ``tick`` must be called next."""
        times = [self._next_gossip_at, self._next_snapshot_at, self._next_cleanup_at]
        if not self.leaving:
            times += [
                self._next_probe_at,
                self._next_report_at,
                self._next_dead_probe_at,
                self._next_exchange_at,
                self._next_seed_at,
            ]
            times += [self.prober.due(), self.member_list.due()]
        return min(times)

    def _send_queued_messages(self, now: float) -> None:
        queued_messages, self._queued_messages = (
            sorted(self._queued_messages, key=lambda queued: queued.priority),
            deque(),
        )
        for queued in queued_messages:
            if now >= queued.expires_at:
                self.counts["messages_given_up"] += 1
            elif not self._send_datagram(
                now, queued.priority, queued.receiver, queued.address, queued.messages
            ):
                self._queued_messages.append(queued)

    def _run_probes(self, now: float) -> None:
        """Request indirect probes, send due nacks, conclude failed probes and start the next probe.

        Period and timeout are stretched by the local health score.
        """
        period, timeout = (
            duration * self.health.multiplier
            for duration in (self.options.period, self.options.probe_timeout)
        )
        for probe in self.prober.due_for_indirect_probes(now):
            for helper_name in self.prober.choose_helpers(probe, self.member_list.live_names()):
                helper = self.member_list.members[helper_name]
                self._send_or_queue(
                    now,
                    Priority.PROBE,
                    helper_name,
                    helper.address,
                    wire.PingRequest(probe.nonce, probe.target),
                )
        for indirect_probe in self.prober.take_due_nacks(now):
            if (requester := self.member_list.members.get(indirect_probe.requester)) is not None:
                self._send_or_queue(
                    now,
                    Priority.REFUTATION,
                    requester.name,
                    requester.address,
                    wire.Nack(indirect_probe.requester_nonce),
                )
        for probe in self.prober.take_failed(now):
            self._handle_failed_probe(now, probe)
        if now >= self._next_probe_at:
            self._next_probe_at = now + period
            target = self.prober.next_target(self.member_list.live_names())
            if target is not None:
                self.counts["probes"] += 1
                probe = self.prober.start_probe(now, target, timeout, period)
                member = self.member_list.members[target]
                self._send_or_queue(now, Priority.PROBE, target, member.address, wire.Ping(probe.nonce))

    def _handle_failed_probe(self, now: float, probe: Probe) -> None:
        """Worsen the local health score, by 1 or by the number of missing nacks, and suspect the target."""
        self.counts["probes_failed"] += 1
        self.health.adjust(len(probe.helpers) - probe.nacks if probe.helpers else +1)
        member = self.member_list.members.get(probe.target)
        if member is None or member.status not in (Status.ALIVE, Status.SUSPECT):
            return
        if member.suspicion is not None and self.options.name in member.suspicion.accusers:
            return
        report = wire.SuspicionReport(probe.target, member.record.incarnation, self.unix_ms(now))
        self._apply_suspicion_report(
            now, self._sign(now, StatementKind.SUSPICION_REPORT, report), report, Priority.OWN
        )

    def _expire_suspicions(self, now: float) -> None:
        self.status_changes += self.member_list.expire_suspicions(now)

    def _send_gossip(self, now: float) -> None:
        """Send queued statements to a few random members, besides those piggybacked on probes."""
        live_names = self.member_list.live_names()
        if not len(self.dissemination) or not live_names:
            return
        for name in self.random.sample(live_names, min(GOSSIP_FANOUT, len(live_names))):
            if len(self.dissemination) and self.egress.available_bytes(now, Priority.FORWARDED) >= 400:
                self._send_datagram(now, Priority.FORWARDED, name, self.member_list.members[name].address, ())

    def _contact_members(self, now: float) -> None:
        """Contact seeds, a random dead member and a partner for an anti-entropy exchange, each when due.

        While no other member is alive, all seeds are contacted, and more often; otherwise only those that are
        no known member's address. Dead members are pinged so that the sides of a healed partition find each
        other.
        """
        period = self.options.period
        if now >= self._next_seed_at:
            is_alone = not self.member_list.live_names()
            self._next_seed_at = now + period * (2 if is_alone else SEED_INTERVAL_PERIODS * 3) * (
                0.5 + self.random.random()
            )
            known_addresses = {member.address for member in self.member_list}
            for seed in self.options.seeds:
                if seed != self.options.address and (is_alone or seed not in known_addresses):
                    self._send_or_queue(now, Priority.PROBE, "", seed, wire.Ping(self.prober.new_nonce()))
        if now >= self._next_dead_probe_at:
            self._next_dead_probe_at = now + period * DEAD_PROBE_INTERVAL_PERIODS * (
                0.5 + self.random.random()
            )
            if dead_members := self.member_list.with_status(Status.DEAD):
                dead_member = self.random.choice(dead_members)
                self._send_or_queue(
                    now,
                    Priority.PROBE,
                    dead_member.name,
                    dead_member.address,
                    wire.Ping(self.prober.new_nonce()),
                )
        if now >= self._next_exchange_at:
            self._next_exchange_at = now + period * self._exchange_interval_periods * (
                0.5 + self.random.random()
            )
            self._exchange_interval_periods = min(
                MAX_EXCHANGE_INTERVAL_PERIODS, 2 * self._exchange_interval_periods
            )
            if live_names := self.member_list.live_names():
                name = self.random.choice(live_names)
                self.exchange_targets.append((name, self.member_list.members[name].address))

    def _remove_stale_state(self, now: float) -> None:
        """Drop the state of members, keys and engines that no longer exist."""
        names = self.keyring.member_names - {self.options.name}
        self.member_list.retain(names)
        self.failure_reports.retain(now, names, self.up_engines)
        self.replay.retain(now, names)
        for signature_key in list(self._verified_signatures):
            if self.keyring.key_rejection(self._unix(now), signature_key[0], signature_key[1]) is not None:
                del self._verified_signatures[signature_key]

    # Anti-entropy exchange: frames over one connection

    def begin_exchange(self, now: float, name: str) -> bytes | None:
        """Return the first frame of an anti-entropy exchange, or None if the traffic limit has no room."""
        digests = wire.BucketDigests(self.member_list.bucket_digests((self.options.name, self.record)))
        return self._encode_frame(now, name, (digests,), [])

    def handle_frame(self, now: float, data: bytes, source: Address) -> list[bytes]:
        """Return the answers to one frame of an anti-entropy exchange; no answer ends the exchange."""
        if not self.ingress.admit(now, source, len(data), len(self.keyring.keys)):
            self.counts["frames_over_rate"] += 1
            return []
        opened = self._open_packet(now, data, wire.MAX_FRAME_BYTES)
        if opened is None:
            return []
        sender, packet = opened
        own_digests = self.member_list.bucket_digests((self.options.name, self.record))
        self.member_list.mark_heard(now, sender)
        for statement in packet.statements:
            self._handle_statement(now, statement)
        answers: list[bytes | None] = []
        for message in packet.messages:
            match message:
                case wire.BucketDigests(their_digests):
                    differing = differing_buckets(own_digests, their_digests)
                    self._record_exchange_result(bool(differing))
                    if differing:
                        answers.append(self._encode_entries(now, sender, differing, reply_requested=True))
                case wire.BucketEntries(buckets, reply_requested):
                    self._record_exchange_result(True)
                    if reply_requested:
                        answers.append(
                            self._encode_entries(now, sender, list(buckets), reply_requested=False)
                        )
                case _:
                    self.counts["messages_out_of_place"] += 1
        return [answer for answer in answers if answer is not None]

    def _record_exchange_result(self, differs: bool) -> None:
        if differs:
            self._exchange_interval_periods = MIN_EXCHANGE_INTERVAL_PERIODS

    def _encode_entries(
        self, now: float, receiver: str, buckets: list[int], reply_requested: bool
    ) -> bytes | None:
        """Return a frame with the entries of these buckets for which the traffic limit has room.

        The first bucket is drawn at random, so that exchanges with little room cover different buckets.
        """
        room_bytes = (
            min(wire.MAX_FRAME_BYTES, self.egress.available_bytes(now, Priority.EXCHANGE))
            - 2 * PACKET_OVERHEAD_BYTES
        )
        first = self.random.randrange(len(buckets)) if buckets else 0
        statements: list[SignedStatement] = []
        for signed in self.member_list.statements_in(buckets[first:] + buckets[:first]):
            if signed.size_bound() <= room_bytes and len(statements) < wire.MAX_STATEMENTS_PER_PACKET - 1:
                room_bytes -= signed.size_bound()
                statements.append(signed)
        bucket_bytes = bytes(bucket for bucket in buckets if bucket < 64)[:64]
        return self._encode_frame(
            now,
            receiver,
            (wire.BucketEntries(bucket_bytes, reply_requested),),
            [self.own_record, *statements],
        )

    def _encode_frame(
        self, now: float, receiver: str, messages: tuple[wire.Message, ...], statements: list[SignedStatement]
    ) -> bytes | None:
        data = self._encode_packet(now, receiver, messages, statements)
        if len(data) > wire.MAX_FRAME_BYTES or not self.egress.admit(now, Priority.EXCHANGE, len(data)):
            self.counts["frames_no_room"] += 1
            return None
        self.counts["bytes_out"] += len(data)
        self.counts["frames_out"] += 1
        return data

    # This gateway's own observations

    def record_attempt(self, now: float, engine: str, failed: bool) -> None:
        """Record the outcome of one of this gateway's own attempts on an engine."""
        if engine in self.up_engines:
            self.failure_reports.observations.record_attempt(now, engine, failed)
            if (
                failed
                and engine not in self._reported_engines
                and self.failure_reports.observations.assessment(now, engine) is Assessment.BAD
            ):
                self._next_report_at = min(self._next_report_at, now + URGENT_REPORT_DELAY_S)

    def update_engine_list(self, now: float, up: set[str], draining: set[str]) -> None:
        """Apply this gateway's own engine list and disseminate engines that have begun to drain."""
        newly_draining = draining & self.up_engines
        self.up_engines = set(up)
        self.drain_reports.set_listed_engines(self.up_engines)
        if newly_draining:
            report = wire.DrainReport(
                self.unix_ms(now), tuple(sorted(newly_draining))[: wire.MAX_ENGINES_PER_STATEMENT]
            )
            signed = self._sign(now, StatementKind.DRAIN_REPORT, report)
            self.dissemination.add(("drains", self.options.name), signed, Priority.OWN)
            self._send_gossip(now)
        self._update_snapshot(now)

    def _report_failures(self, now: float) -> None:
        """Disseminate a failure report about engines, if there is anything to report."""
        rows = self.failure_reports.rows_to_report(now, self.up_engines, self.member_list.live_count())
        if not rows:
            self._reported_engines = set()
            return
        self._reported_engines = {row[0] for row in rows}
        self.report_sequence += 1
        at_ms, window_ms = self.unix_ms(now), 5000
        report = wire.FailureReport(self.run, self.report_sequence, at_ms, window_ms, rows)
        while len(rows) > 1 and len(wire.encode(report)) > 700:
            rows = rows[:-1]
            report = wire.FailureReport(self.run, self.report_sequence, at_ms, window_ms, rows)
        signed = self._sign(now, StatementKind.FAILURE_REPORT, report)
        self.dissemination.add(("failure_report", self.options.name), signed, Priority.OWN)
        self._next_gossip_at = now

    def _update_snapshot(self, now: float) -> None:
        """Update the conclusions for the controller; gateways are counted only after member changes."""
        self._next_snapshot_at = now + SNAPSHOT_INTERVAL_S
        live_count = self.member_list.live_count()
        failing = self.failure_reports.failing_engines(now, self.up_engines, live_count)
        gateways = self.snapshot.gateways
        if self._counted_version != self.member_list.version:
            self._counted_version = self.member_list.version
            states = ((member.name, member.status) for member in self.member_list)
            gateways = count_gateways(self.options.configured_gateways, states, self.options.removed_members)
        self.snapshot = GroupSnapshot(
            failing, self.drain_reports.draining_engines(now), gateways, now + MAX_REPORT_AGE_S
        )

    # Leave and reconfiguration

    def leave(self, now: float) -> None:
        """Announce that this member leaves, so that no member suspects it.

        ``tick`` has to be called for a while longer, so that the announcement spreads.
        """
        self.leaving = True
        self._renew_record(now, Priority.REFUTATION, left=True)
        self._next_gossip_at = now
        self._send_gossip(now)

    def reconfigure(self, now: float, options: GroupOptions, signer: Signer, keyring: Keyring) -> None:
        """Apply changed seeds, rates, removed members and keys; a changed signing key renews our record."""
        self.options, self.signer, self.keyring = options, signer, keyring
        self.egress.rate, self.ingress.rate = options.rate, options.rate_in
        self._next_seed_at, self._counted_version = now, -1
        if signer.sign(now, b"")[0] != self.own_record.key_id:
            self._renew_record(now, Priority.OWN)
        self._remove_stale_state(now)
        self._update_snapshot(now)

    # View for operators

    def is_own_view_request(self, now: float, data: bytes) -> bool:
        """Return whether a frame is a recent request for ``view``, signed with this member's own key."""
        try:
            signed = wire.decode_signed(data, wire.MAX_DATAGRAM_BYTES)
            if signed.origin != self.options.name:
                return False
            packet = wire.decode_body(signed, wire.Packet)
        except WireError:
            return False
        is_view_request = packet.recipient == self.options.name and packet.messages == (wire.ViewRequest(),)
        return (
            is_view_request
            and abs(self._unix(now) - packet.at_ms / 1000) < MAX_STATEMENT_AGE_S
            and self._is_signature_valid(now, signed)
        )

    def view(self, now: float) -> dict[str, object]:
        """Return this member's view of its group as data that can be written as JSON."""
        members = [
            {
                "name": member.name,
                "address": f"{member.record.host}:{member.record.port}",
                "status": member.status.value,
                "incarnation": member.record.incarnation,
                "since_s": round(now - member.status_since, 1),
                "heard_s": round(now - member.last_heard, 1) if member.last_heard > -inf else None,
                "accusers": sorted(member.suspicion.accusers) if member.suspicion is not None else [],
                "believed": self.member_list.is_credible(now, member.name),
                "credit": round(reporter.credibility_at(now), 2)
                if (reporter := self._reporter(member.name))
                else None,
                "liar": member.name in self.failure_reports.equivocations,
            }
            for member in sorted(self.member_list, key=lambda member: member.name)
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

    def _reporter(self, name: str) -> Reporter | None:
        return self.failure_reports.reporters.get(name)
