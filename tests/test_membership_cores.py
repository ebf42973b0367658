"""Unit tests of the pure modules of the membership, each on its own."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from micahold.laboratory.gossip_network import KeyedHashSigner, derive_secret, keyed_hash_keyring
from micahold.membership import wire
from micahold.membership.dissemination import MAX_QUEUED_STATEMENTS, DisseminationQueue, retransmission_limit
from micahold.membership.drain_reports import CONFIRMATION_TIMEOUT_S, REPORTER_IGNORED_S, DrainReports
from micahold.membership.failure_reports import Assessment, FailureReports, LocalObservations, assess, quorum
from micahold.membership.gateway_count import GatewayCount, count_gateways
from micahold.membership.health import MAX_SCORE, LocalHealth, StallDetector
from micahold.membership.keyring import Keyring, PublicKey
from micahold.membership.member_list import BUCKET_COUNT, MemberList, Status, differing_buckets
from micahold.membership.prober import IndirectProbe, Prober
from micahold.membership.replay import WINDOW_SEQUENCES, ReplayProtection
from micahold.membership.traffic import RATE_WINDOW_S, EgressLimiter, IngressLimiter, Priority

NOW = 1_700_000_000.0


def sign(
    origin: str, kind: wire.StatementKind, body: wire.MemberRecord | wire.SuspicionReport | wire.FailureReport
) -> wire.SignedStatement:
    data = wire.encode(body)
    signer = KeyedHashSigner("k1", derive_secret(origin))
    return wire.SignedStatement(
        kind, origin, "k1", data, signer.sign(0.0, wire.signed_bytes(kind, origin, "k1", data))[1]
    )


# Traffic


@given(
    st.lists(
        st.tuples(st.floats(0, 0.3), st.sampled_from(list(Priority)), st.integers(1, 1500)), max_size=200
    ),
    st.integers(4096, 20000),
)
@settings(max_examples=60)
def test_no_window_exceeds_the_egress_rate(steps: list[tuple[float, Priority, int]], rate: int) -> None:
    egress, now, sent = EgressLimiter(rate), 0.0, list[tuple[float, int]]()
    for elapsed_s, priority, size in steps:
        now += elapsed_s
        if egress.admit(now, priority, size):
            sent.append((now, size))
    for start, _ in sent:
        assert sum(size for at, size in sent if start <= at <= start + RATE_WINDOW_S) <= rate


def test_higher_priorities_find_room_when_forwarded_statements_fill_their_share() -> None:
    egress = EgressLimiter(10_000)
    while egress.admit(0.0, Priority.FORWARDED, 100):
        pass
    assert not egress.admit(0.0, Priority.FORWARDED, 100)
    for priority in (Priority.OWN, Priority.PROBE, Priority.REFUTATION):
        assert egress.admit(0.0, priority, 500)
    assert egress.admit(0.0, Priority.EXCHANGE, 2500)


def test_a_lowered_rate_applies_at_once_to_bytes_already_sent() -> None:
    egress = EgressLimiter(16_000)
    assert egress.admit(0.0, Priority.REFUTATION, 8_000)
    egress.rate = 6_000
    assert egress.available_bytes(0.0, Priority.EXCHANGE) < 0
    assert not egress.admit(0.5, Priority.REFUTATION, 100)
    assert egress.admit(1.1, Priority.REFUTATION, 100)


def test_a_flooding_sender_gets_no_more_than_the_shared_half() -> None:
    ingress, admitted_bytes = IngressLimiter(64 * 1024), {"flood": 0, "other": 0}
    rejected = 0
    for step in range(10_000):
        now = step / 1000
        admitted_bytes["flood"] += ingress.admit(now, ("flood", 1), 1200, 10) * 1200
        if step % 500 == 0:
            for number in range(9):
                rejected += not ingress.admit(now, ("other", number), 400, 10)
    assert rejected == 0
    assert admitted_bytes["flood"] <= 10 * 64 * 1024 * (0.5 + 0.05) + 6000


def test_ingress_is_bounded_for_any_number_of_senders() -> None:
    ingress = IngressLimiter(10_000)
    admitted = sum(ingress.admit(0.5, ("new", number), 1000, 3) for number in range(100))
    assert admitted == 10
    for number in range(5000):
        ingress.admit(float(number), ("x", number), 10, 3)
    assert len(ingress.buckets) <= 2048


# Replay


def test_a_datagram_is_accepted_once_in_any_order() -> None:
    replay = ReplayProtection(30.0)
    order = list(range(1, 600))
    Random(4).shuffle(order)
    accepted = [
        sequence for sequence in order if replay.check(NOW, "a", 7, sequence, int(NOW * 1000)) is None
    ]
    for sequence in order:
        if replay.check(NOW, "a", 7, sequence, int(NOW * 1000)) is None:
            replay.commit(NOW, NOW, "a", 7, sequence, int(NOW * 1000))
        assert replay.check(NOW, "a", 7, sequence, int(NOW * 1000)) == "repeated"
    assert accepted == order
    replay.commit(NOW, NOW, "a", 7, 5000, int(NOW * 1000))
    assert replay.check(NOW, "a", 7, 5000 - WINDOW_SEQUENCES, int(NOW * 1000)) == "repeated"
    assert replay.check(NOW, "a", 7, 5000 - WINDOW_SEQUENCES + 1, int(NOW * 1000)) is None


@pytest.mark.parametrize(
    ("offset_s", "reason"), [(29.0, None), (-29.0, None), (3600.0, "time"), (-3600.0, "time")]
)
def test_clocks_may_differ_by_thirty_seconds_and_an_hour_is_rejected(
    offset_s: float, reason: str | None
) -> None:
    replay = ReplayProtection(30.0)
    assert replay.check(NOW, "a", 1, 1, int((NOW - offset_s) * 1000)) == reason


def test_a_new_run_replaces_the_old_one_for_good() -> None:
    replay = ReplayProtection(30.0)
    replay.commit(NOW, NOW, "a", 5, 100, int(NOW * 1000))
    assert replay.check(NOW, "a", 6, 1, int(NOW * 1000)) is None
    replay.commit(NOW, NOW, "a", 6, 1, int(NOW * 1000))
    assert replay.check(NOW, "a", 5, 101, int(NOW * 1000)) == "old_run"
    replay.retain(NOW + 60, {"a"})
    # The state is kept while a copy of a datagram could still pass the time check.
    assert replay.check(NOW + 60, "a", 5, 101, int(NOW * 1000)) is not None
    replay.retain(NOW + 71, {"a"})
    assert not replay.senders


# Dissemination


def test_statements_are_sent_up_to_the_retransmission_limit_least_sent_and_newest_first() -> None:
    queue, sent = DisseminationQueue(), dict[str, int]()
    for number in range(30):
        statement = sign(f"m{number}", wire.StatementKind.MEMBER_RECORD, wire.MemberRecord(1, "h", 1))
        queue.add(("record", statement.origin), statement, Priority.FORWARDED)
    assert [queued.signed.origin for queued in queue.select(1000, 12)][:2] == ["m29", "m28"]
    assert [queued.signed.origin for queued in queue.select(1000, 12, receiver="m29")][:2] == ["m28", "m27"]
    for _ in range(500):
        selected = queue.select(1000, 12)
        queue.mark_sent(selected, 100)
        for queued in selected:
            origin = queued.signed.origin
            sent[origin] = sent.get(origin, 0) + 1
    assert not len(queue)
    assert max(sent.values()) <= retransmission_limit(100) == 12
    assert retransmission_limit(1000) <= 2 * retransmission_limit(99)


def test_refutations_precede_own_statements_and_those_precede_forwarded_ones() -> None:
    queue = DisseminationQueue()
    for origin, priority in (
        ("other", Priority.FORWARDED),
        ("own", Priority.OWN),
        ("refuted", Priority.REFUTATION),
    ):
        queue.add(
            origin, sign(origin, wire.StatementKind.MEMBER_RECORD, wire.MemberRecord(1, "h", 1)), priority
        )
    assert [queued.signed.origin for queued in queue.select(1000, 9)] == ["refuted", "own", "other"]
    assert [queued.signed.origin for queued in queue.select(1000, 9, lowest=Priority.REFUTATION)] == [
        "refuted"
    ]


def test_the_queue_is_bounded_and_duplicates_count_as_transmissions_except_for_refutations() -> None:
    queue = DisseminationQueue()
    for number in range(MAX_QUEUED_STATEMENTS + 100):
        statement = sign(f"m{number}", wire.StatementKind.MEMBER_RECORD, wire.MemberRecord(1, "h", 1))
        queue.add(number, statement, Priority.FORWARDED)
    assert len(queue) == MAX_QUEUED_STATEMENTS
    duplicate = sign("x", wire.StatementKind.MEMBER_RECORD, wire.MemberRecord(1, "h", 1))
    queue = DisseminationQueue()
    queue.add("x", duplicate, Priority.FORWARDED)
    for _ in range(3):
        queue.count_duplicate("x", duplicate)
    assert queue.statements["x"].transmissions == 3
    queue.add("y", duplicate, Priority.REFUTATION)
    queue.count_duplicate("y", duplicate)
    assert queue.statements["y"].transmissions == 0  # a member without it would declare a live one dead


# Member list


def member_list_of(*names: str, period: float = 1.0) -> MemberList:
    member_list = MemberList("me", period)
    for name in names:
        member_list.apply_record(
            NOW,
            sign(name, wire.StatementKind.MEMBER_RECORD, wire.MemberRecord(10, name, 1)),
            wire.MemberRecord(10, name, 1),
        )
    return member_list


def accuse(member_list: MemberList, now: float, accuser: str, subject: str, incarnation: int = 10) -> bool:
    accusation = wire.SuspicionReport(subject, incarnation, int(now * 1000))
    return member_list.apply_suspicion_report(
        now, sign(accuser, wire.StatementKind.SUSPICION_REPORT, accusation), accusation
    )[0]


def test_a_member_is_declared_dead_only_when_its_suspicion_expires() -> None:
    member_list = member_list_of("a", "b", "c")
    assert accuse(member_list, NOW, "b", "a")
    assert member_list.members["a"].status is Status.SUSPECT
    due = member_list.due()
    assert not member_list.expire_suspicions(due - 0.01)
    assert [change.after for change in member_list.expire_suspicions(due)] == [Status.DEAD]


def test_confirmations_by_different_members_shorten_a_suspicion_and_repeats_do_not() -> None:
    member_list = member_list_of(*"abcdefgh")
    accuse(member_list, NOW, "b", "a")
    unconfirmed_due = member_list.due()
    assert not accuse(member_list, NOW + 1, "b", "a")
    assert member_list.due() == unconfirmed_due
    due_times = []
    for accuser in "cde":
        accuse(member_list, NOW + 1, accuser, "a")
        due_times.append(member_list.due())
    assert unconfirmed_due > due_times[0] > due_times[1] > due_times[2] - 1e-9
    suspicion = member_list.members["a"].suspicion
    assert suspicion is not None
    assert due_times[2] == pytest.approx(NOW + suspicion.min_timeout_s)


def test_a_refutation_ends_a_suspicion_and_accusations_of_other_incarnations_are_ignored() -> None:
    member_list = member_list_of("a", "b", "c")
    accuse(member_list, NOW, "b", "a")
    member_list.apply_record(
        NOW + 1,
        sign("a", wire.StatementKind.MEMBER_RECORD, wire.MemberRecord(11, "a", 1)),
        wire.MemberRecord(11, "a", 1),
    )
    assert member_list.members["a"].status is Status.ALIVE
    assert not accuse(member_list, NOW + 2, "c", "a", 10)
    # An accuser cannot raise the incarnation of another member.
    assert not accuse(member_list, NOW + 2, "c", "a", 12)
    assert member_list.members["a"].status is Status.ALIVE


def test_an_accuser_with_many_refuted_accusations_is_ignored_for_a_while() -> None:
    member_list = member_list_of("a", "b", "c")
    for incarnation in range(10, 18):
        assert accuse(member_list, NOW, "b", "a", incarnation)
        newer_record = wire.MemberRecord(incarnation + 1, "a", 1)
        member_list.apply_record(NOW, sign("a", wire.StatementKind.MEMBER_RECORD, newer_record), newer_record)
    assert not accuse(member_list, NOW, "b", "a", 18)
    assert accuse(member_list, NOW, "c", "a", 18)
    assert member_list.is_credible(NOW + 31, "b")


def test_a_suspect_that_sent_a_datagram_since_is_not_declared_dead() -> None:
    member_list = member_list_of("a", "b", "c")
    accuse(member_list, NOW, "b", "a")
    member_list.mark_heard(NOW + 3, "a")
    assert [change.after for change in member_list.expire_suspicions(member_list.due())] == [Status.ALIVE]


def test_incarnations_never_decrease_and_only_a_members_own_record_makes_it_leave() -> None:
    member_list = member_list_of("a")
    older, leave = wire.MemberRecord(9, "x", 1), wire.MemberRecord(10, "a", 1, left=True)
    assert not member_list.apply_record(NOW, sign("a", wire.StatementKind.MEMBER_RECORD, older), older)[0]
    assert member_list.apply_record(NOW, sign("a", wire.StatementKind.MEMBER_RECORD, leave), leave)[0]
    assert not accuse(member_list, NOW, "b", "a")
    rejoin = wire.MemberRecord(11, "a", 2)
    changes = member_list.apply_record(NOW, sign("a", wire.StatementKind.MEMBER_RECORD, rejoin), rejoin)[1]
    assert [(change.before, change.after) for change in changes] == [(Status.LEFT, Status.ALIVE)]


def test_bucket_digests_differ_only_where_member_lists_differ() -> None:
    first, second = member_list_of(*"abcdefghij"), member_list_of(*"abcdefghij")
    own = ("me", wire.MemberRecord(1, "me", 1))
    assert not differing_buckets(first.bucket_digests(own), second.bucket_digests(own))
    newer_record = wire.MemberRecord(11, "c", 1)
    second.apply_record(NOW, sign("c", wire.StatementKind.MEMBER_RECORD, newer_record), newer_record)
    differ = differing_buckets(first.bucket_digests(own), second.bucket_digests(own))
    assert len(differ) == 1 and 0 <= differ[0] < BUCKET_COUNT
    assert "c" in {statement.origin for statement in second.statements_in(differ)}


# Prober and local health


def test_each_round_probes_every_member_once_in_a_new_order() -> None:
    prober, names = Prober(Random(1)), [f"m{number}" for number in range(20)]
    rounds = [[prober.next_target(names) for _ in names] for _ in range(3)]
    assert all(sorted(map(str, targets)) == sorted(names) for targets in rounds)
    assert rounds[0] != rounds[1] != rounds[2]
    prober.add_to_round("new")
    assert "new" in [prober.next_target([*names, "new"]) for _ in range(21)]


def test_only_the_target_and_the_helpers_can_complete_a_probe() -> None:
    prober = Prober(Random(1))
    probe = prober.start_probe(NOW, "a", 0.4, 1.0)
    assert prober.handle_ack(probe.nonce, "liar") is None
    helpers = prober.choose_helpers(probe, ["a", "b", "c"])
    assert sorted(helpers) == ["b", "c"]
    prober.handle_nack(probe.nonce, "liar")
    assert probe.nacks == 0
    assert prober.handle_ack(probe.nonce, "b") is probe
    assert prober.handle_ack(probe.nonce, "b") is None


def test_an_indirect_probe_sends_one_nack_and_ends() -> None:
    prober = Prober(Random(1))
    indirect = prober.start_indirect_probe(NOW, "asker", 5, 0.4, 1.0)
    assert isinstance(indirect, IndirectProbe)
    assert not prober.take_due_nacks(NOW + 0.3)
    assert prober.take_due_nacks(NOW + 0.35) == [indirect]
    assert not prober.take_due_nacks(NOW + 0.4)
    prober.take_due_nacks(NOW + 1.0)
    assert not prober.indirect_probes
    for _ in range(300):
        prober.start_indirect_probe(NOW, "asker", 5, 0.4, 1.0)
    assert len(prober.indirect_probes) <= 256


def test_local_health_stays_within_its_bounds_and_multiplies_timeouts() -> None:
    health = LocalHealth()
    for change in [1] * 20:
        health.adjust(change)
    assert health.score == MAX_SCORE and health.multiplier == MAX_SCORE + 1
    for change in [-1] * 20:
        health.adjust(change)
    assert health.multiplier == 1
    disabled = LocalHealth(enabled=False)
    disabled.adjust(5)
    assert disabled.multiplier == 1


def test_only_a_timer_that_is_late_beyond_the_threshold_counts_as_a_stall() -> None:
    detector = StallDetector()
    detector.expect_turn_at(NOW)
    assert detector.lateness_s(NOW + 0.1) == 0.0
    assert detector.lateness_s(NOW + 2.0) == pytest.approx(2.0)


# Failure reports


def add_report(
    reports: FailureReports, now: float, origin: str, *rows: tuple[str, int, int], sequence: int = 0
) -> bool:
    report = wire.FailureReport(1, sequence or int(now * 1000), int(now * 1000), 5000, rows)
    return reports.add_report(now, sign(origin, wire.StatementKind.FAILURE_REPORT, report), report, now)


ENGINES = {f"e{number}" for number in range(12)}


@pytest.mark.parametrize(("live_members", "required"), [(1, 3), (3, 3), (10, 4), (50, 7), (1000, 7)])
def test_the_quorum_is_more_than_a_third_of_a_small_group(live_members: int, required: int) -> None:
    assert quorum(live_members) == required


def test_an_engine_is_not_failing_without_a_quorum_of_different_members() -> None:
    reports = FailureReports()
    for index, origin in enumerate("abcd"):
        assert reports.failing_engines(NOW, ENGINES, 10) == frozenset()
        add_report(reports, NOW, origin, ("e1", 10, 10))
        add_report(reports, NOW + 0.1, origin, ("e1", 10, 10))  # a member that reports twice counts once
        assert (reports.failing_engines(NOW + 0.1, ENGINES, 10) == {"e1"}) == (index == 3)


def test_own_good_observations_overrule_any_number_of_reports() -> None:
    reports = FailureReports()
    for _ in range(3):
        reports.observations.record_attempt(NOW, "e1", False)
    for origin in "abcdefgh":
        add_report(reports, NOW, origin, ("e1", 50, 50))
    assert reports.failing_engines(NOW, ENGINES, 10) == frozenset()


def test_an_engine_with_as_many_good_reports_as_bad_ones_is_not_failing() -> None:
    reports = FailureReports()
    for origin in "abcd":
        add_report(reports, NOW, origin, ("e1", 50, 50))
    for origin in "efgh":
        add_report(reports, NOW, origin, ("e1", 50, 0))
    assert reports.failing_engines(NOW, ENGINES, 10) == frozenset()


def test_reports_expire_and_mark_only_a_share_of_the_engines() -> None:
    reports = FailureReports()
    for origin in "abcdef":
        add_report(reports, NOW, origin, *[(engine, 9, 9) for engine in sorted(ENGINES)])
    assert len(reports.failing_engines(NOW, ENGINES, 10)) == len(ENGINES) // 4
    assert reports.failing_engines(NOW + 6.1, ENGINES, 10) == frozenset()
    assert reports.failing_engines(NOW, {"e1"}, 10) == {"e1"}


def test_contradicting_own_observations_costs_credibility_that_returns_slowly() -> None:
    reports = FailureReports()
    for second in range(3):
        now = NOW + second
        for _ in range(3):
            reports.observations.record_attempt(now, "e1", False)
        add_report(reports, now, "liar", ("e1", 50, 50))
    assert not reports.is_counted(NOW + 2, reports.reporters["liar"])
    add_report(reports, NOW + 3, "honest", ("e1", 50, 0))
    assert reports.is_counted(NOW + 3, reports.reporters["honest"])
    assert (
        reports.reporters["liar"].credibility_at(NOW + 10)
        < 0.5
        < reports.reporters["liar"].credibility_at(NOW + 30)
    )


def test_two_reports_under_one_sequence_prove_equivocation_and_exclude_the_member() -> None:
    reports = FailureReports()
    assert add_report(reports, NOW, "liar", ("e1", 9, 9), sequence=3)
    assert not add_report(reports, NOW, "liar", ("e1", 9, 9), sequence=3)
    assert add_report(reports, NOW, "liar", ("e1", 9, 0), sequence=3)
    assert "liar" in reports.equivocations and "liar" not in reports.reporters
    assert not add_report(reports, NOW, "liar", ("e2", 9, 9), sequence=4)
    reports.retain(NOW, {"other"}, ENGINES)
    assert not reports.equivocations


def test_an_older_report_that_arrives_late_changes_nothing() -> None:
    reports = FailureReports()
    add_report(reports, NOW, "a", ("e1", 9, 0), sequence=5)
    add_report(reports, NOW, "a", ("e1", 9, 9), sequence=4)
    assert reports.reporters["a"].rows == (("e1", 9, 0),)


def test_an_engine_that_enough_members_reported_is_not_reported_again() -> None:
    reports = FailureReports()
    for _ in range(4):
        reports.observations.record_attempt(NOW, "e1", True)
    assert reports.rows_to_report(NOW, ENGINES, 10) == (("e1", 4, 4),)
    for number in range(8):
        add_report(reports, NOW, f"m{number}", ("e1", 9, 9))
    assert reports.rows_to_report(NOW, ENGINES, 10) == ()


def test_observations_cover_the_window_and_are_removed_with_the_engine() -> None:
    observations = LocalObservations()
    observations.record_attempt(NOW, "e1", True)
    observations.record_attempt(NOW + 1, "e1", True)
    assert observations.assessment(NOW + 1, "e1") is Assessment.BAD
    assert observations.assessment(NOW + 8, "e1") is Assessment.NONE
    observations.retain(NOW + 1, set())
    assert not observations.engines
    assert (
        assess(10, 3) is Assessment.NONE
        and assess(1, 1) is Assessment.NONE
        and assess(2, 5) is Assessment.NONE
    )


# Drain reports and the number of gateways


def test_a_reported_drain_needs_two_members_expires_and_its_reporters_are_ignored() -> None:
    drains = DrainReports()
    drains.set_listed_engines({f"e{number}" for number in range(16)})
    drains.add_report(NOW, "a", ("e1",))
    assert not drains.draining_engines(NOW)
    drains.add_report(NOW + 0.1, "b", ("e1", "e2", "e3", "unknown"))
    drains.add_report(NOW + 0.1, "c", ("e2", "e3"))
    assert drains.draining_engines(NOW + 0.2) == {"e1", "e2"}  # an eighth of sixteen
    assert not drains.draining_engines(NOW + 0.2 + CONFIRMATION_TIMEOUT_S)
    drains.add_report(NOW + 4, "a", ("e1",))
    drains.add_report(NOW + 4, "b", ("e1",))
    assert not drains.reported
    drains.add_report(NOW + 4 + REPORTER_IGNORED_S, "a", ("e1",))
    assert drains.reported


def test_reporters_of_a_confirmed_drain_are_not_ignored() -> None:
    drains = DrainReports()
    drains.set_listed_engines({"e1", "e2"})
    for origin in "ab":
        drains.add_report(NOW, origin, ("e1",))
    drains.set_listed_engines({"e2"})
    drains.draining_engines(NOW + 10)
    assert not drains.reported and not drains.ignored_until


@pytest.mark.parametrize(
    ("configured", "statuses", "removed", "expected"),
    [
        (1, {}, (), GatewayCount(1, 1)),
        (10, {}, (), GatewayCount(10, 10)),
        (3, {"a": Status.ALIVE, "b": Status.ALIVE}, (), GatewayCount(3, 3)),
        (3, {"a": Status.ALIVE, "b": Status.DEAD}, (), GatewayCount(3, 2)),
        (3, {"a": Status.ALIVE, "b": Status.LEFT}, (), GatewayCount(2, 2)),
        (3, {"a": Status.SUSPECT, "b": Status.DEAD}, ("b",), GatewayCount(2, 2)),
        (2, {"a": Status.ALIVE, "b": Status.ALIVE, "c": Status.ALIVE}, (), GatewayCount(4, 4)),
        (5, {"a": Status.DEAD}, ("x",), GatewayCount(4, 3)),
    ],
)
def test_only_a_leave_or_the_operator_lowers_the_upper_bound(
    configured: int, statuses: dict[str, Status], removed: tuple[str, ...], expected: GatewayCount
) -> None:
    assert count_gateways(configured, statuses.items(), removed) == expected


# Keys


def test_keys_are_valid_within_their_time_and_for_their_member_only() -> None:
    signer = KeyedHashSigner("k2", derive_secret("a", "k2"))
    keyring = Keyring(
        [PublicKey("a", "k2", derive_secret("a", "k2"), NOW, NOW + 10)], keyed_hash_keyring([]).verifier
    )
    signature = signer.sign(NOW, b"text")[1]
    assert keyring.signature_rejection(NOW, "a", "k2", b"text", signature) is None
    assert keyring.signature_rejection(NOW, "a", "k2", b"texT", signature) == "bad_signature"
    assert keyring.signature_rejection(NOW - 1, "a", "k2", b"text", signature) == "key_not_yet"
    assert keyring.signature_rejection(NOW + 10, "a", "k2", b"text", signature) == "key_expired"
    assert keyring.signature_rejection(NOW, "a", "k1", b"text", signature) == "unknown_key"
    assert keyring.signature_rejection(NOW, "b", "k2", b"text", signature) == "unknown_member"
