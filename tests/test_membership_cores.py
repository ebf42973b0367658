"""The pure cores of membership, each alone."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from micahold.laboratory.gossip_network import QuickHand, quick_keyring, secret_of
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

AT = 1_700_000_000.0


def signed(
    origin: str, kind: wire.StatementKind, body: wire.MemberRecord | wire.SuspicionReport | wire.FailureReport
) -> wire.SignedStatement:
    data = wire.encode(body)
    hand = QuickHand("k1", secret_of(origin))
    return wire.SignedStatement(
        kind, origin, "k1", data, hand.sign(0.0, wire.signed_bytes(kind, origin, "k1", data))[1]
    )


# Traffic


@given(
    st.lists(
        st.tuples(st.floats(0, 0.3), st.sampled_from(list(Priority)), st.integers(1, 1500)), max_size=200
    ),
    st.integers(4096, 20000),
)
@settings(max_examples=60)
def test_no_window_ever_holds_more_than_the_rate(steps: list[tuple[float, Priority, int]], rate: int) -> None:
    egress, now, sent = EgressLimiter(rate), 0.0, list[tuple[float, int]]()
    for passed, level, size in steps:
        now += passed
        if egress.admit(now, level, size):
            sent.append((now, size))
    for begin, _ in sent:
        assert sum(size for at, size in sent if begin <= at <= begin + RATE_WINDOW_S) <= rate


def test_what_matters_more_finds_room_when_rumours_have_filled_their_part() -> None:
    egress = EgressLimiter(10_000)
    while egress.admit(0.0, Priority.FORWARDED, 100):
        pass
    assert not egress.admit(0.0, Priority.FORWARDED, 100)
    for level in (Priority.OWN, Priority.PROBE, Priority.REFUTATION):
        assert egress.admit(0.0, level, 500)
    assert egress.admit(0.0, Priority.EXCHANGE, 2500)


def test_a_lower_rate_holds_at_once_over_what_was_sent_before() -> None:
    egress = EgressLimiter(16_000)
    assert egress.admit(0.0, Priority.REFUTATION, 8_000)
    egress.rate = 6_000
    assert egress.available_bytes(0.0, Priority.EXCHANGE) < 0
    assert not egress.admit(0.5, Priority.REFUTATION, 100)
    assert egress.admit(1.1, Priority.REFUTATION, 100)


def test_a_flooding_sender_takes_the_free_half_and_no_more() -> None:
    ingress, taken = IngressLimiter(64 * 1024), {"flood": 0, "other": 0}
    lost = 0
    for step in range(10_000):
        now = step / 1000
        taken["flood"] += ingress.admit(now, ("flood", 1), 1200, 10) * 1200
        if step % 500 == 0:
            for number in range(9):
                lost += not ingress.admit(now, ("other", number), 400, 10)
    assert lost == 0
    assert taken["flood"] <= 10 * 64 * 1024 * (0.5 + 0.05) + 6000


def test_what_comes_in_has_a_bound_whoever_sends() -> None:
    ingress = IngressLimiter(10_000)
    taken = sum(ingress.admit(0.5, ("new", number), 1000, 3) for number in range(100))
    assert taken == 10
    for number in range(5000):
        ingress.admit(float(number), ("x", number), 10, 3)
    assert len(ingress.buckets) <= 2048


# Replay


def test_a_datagram_counts_once_in_any_order() -> None:
    guard = ReplayProtection(30.0)
    order = list(range(1, 600))
    Random(4).shuffle(order)
    late = [one for one in order if guard.check(AT, "a", 7, one, int(AT * 1000)) is None]
    for one in order:
        if guard.check(AT, "a", 7, one, int(AT * 1000)) is None:
            guard.commit(AT, "a", 7, one, int(AT * 1000))
        assert guard.check(AT, "a", 7, one, int(AT * 1000)) == "repeated"
    assert late == order
    guard.commit(AT, "a", 7, 5000, int(AT * 1000))
    assert guard.check(AT, "a", 7, 5000 - WINDOW_SEQUENCES, int(AT * 1000)) == "repeated"
    assert guard.check(AT, "a", 7, 5000 - WINDOW_SEQUENCES + 1, int(AT * 1000)) is None


@pytest.mark.parametrize(("apart", "why"), [(29.0, None), (-29.0, None), (3600.0, "time"), (-3600.0, "time")])
def test_clocks_may_be_thirty_seconds_apart_and_an_hour_is_too_old(apart: float, why: str | None) -> None:
    guard = ReplayProtection(30.0)
    assert guard.check(AT, "a", 1, 1, int((AT - apart) * 1000)) == why


def test_a_new_run_replaces_the_old_and_the_old_is_over() -> None:
    guard = ReplayProtection(30.0)
    guard.commit(AT, "a", 5, 100, int(AT * 1000))
    assert guard.check(AT, "a", 6, 1, int(AT * 1000)) is None
    guard.commit(AT, "a", 6, 1, int(AT * 1000))
    assert guard.check(AT, "a", 5, 101, int(AT * 1000)) == "old_run"
    guard.retain(AT + 60, {"a"})
    assert guard.check(AT + 60, "a", 5, 101, int(AT * 1000)) is not None  # not before no copy of it counts
    guard.retain(AT + 71, {"a"})
    assert not guard.senders


# Rumours


def test_each_rumour_goes_out_a_bounded_number_of_times_the_least_sent_and_newest_first() -> None:
    rumours, sent = DisseminationQueue(), dict[str, int]()
    for number in range(30):
        one = signed(f"m{number}", wire.StatementKind.MEMBER_RECORD, wire.MemberRecord(1, "h", 1))
        rumours.add(("record", one.origin), one, Priority.FORWARDED)
    assert [one.signed.origin for one in rumours.select(1000, 12)][:2] == ["m29", "m28"]
    assert [one.signed.origin for one in rumours.select(1000, 12, receiver="m29")][:2] == ["m28", "m27"]
    for _ in range(500):
        picked = rumours.select(1000, 12)
        rumours.mark_sent(picked, 100)
        for rumour in picked:
            origin = rumour.signed.origin
            sent[origin] = sent.get(origin, 0) + 1
    assert not len(rumours)
    assert max(sent.values()) <= retransmission_limit(100) == 12
    assert retransmission_limit(1000) <= 2 * retransmission_limit(99)


def test_a_refutation_goes_before_own_news_and_these_before_others() -> None:
    rumours = DisseminationQueue()
    for origin, level in (
        ("other", Priority.FORWARDED),
        ("own", Priority.OWN),
        ("refuted", Priority.REFUTATION),
    ):
        rumours.add(
            origin, signed(origin, wire.StatementKind.MEMBER_RECORD, wire.MemberRecord(1, "h", 1)), level
        )
    assert [one.signed.origin for one in rumours.select(1000, 9)] == ["refuted", "own", "other"]
    assert [one.signed.origin for one in rumours.select(1000, 9, lowest=Priority.REFUTATION)] == ["refuted"]


def test_rumours_are_bounded_and_what_is_heard_again_stops_sooner() -> None:
    rumours = DisseminationQueue()
    for number in range(MAX_QUEUED_STATEMENTS + 100):
        one = signed(f"m{number}", wire.StatementKind.MEMBER_RECORD, wire.MemberRecord(1, "h", 1))
        rumours.add(number, one, Priority.FORWARDED)
    assert len(rumours) == MAX_QUEUED_STATEMENTS
    last = signed("x", wire.StatementKind.MEMBER_RECORD, wire.MemberRecord(1, "h", 1))
    rumours = DisseminationQueue()
    rumours.add("x", last, Priority.FORWARDED)
    for _ in range(3):
        rumours.count_duplicate("x", last)
    assert rumours.statements["x"].transmissions == 3
    rumours.add("y", last, Priority.REFUTATION)
    rumours.count_duplicate("y", last)
    assert rumours.statements["y"].transmissions == 0  # one that never hears a refutation buries who lives


# Roster


def known(*names: str, period: float = 1.0) -> MemberList:
    roster = MemberList("me", period)
    for name in names:
        roster.apply_record(
            AT,
            signed(name, wire.StatementKind.MEMBER_RECORD, wire.MemberRecord(10, name, 1)),
            wire.MemberRecord(10, name, 1),
        )
    return roster


def accuse(roster: MemberList, now: float, accuser: str, subject: str, incarnation: int = 10) -> bool:
    said = wire.SuspicionReport(subject, incarnation, int(now * 1000))
    return roster.apply_accusation(now, signed(accuser, wire.StatementKind.SUSPICION_REPORT, said), said)[0]


def test_nobody_is_dead_without_a_suspicion_that_ran_out() -> None:
    roster = known("a", "b", "c")
    assert accuse(roster, AT, "b", "a")
    assert roster.members["a"].status is Status.SUSPECT
    due = roster.due()
    assert not roster.expire_suspicions(due - 0.01)
    assert [one.after for one in roster.expire_suspicions(due)] == [Status.DEAD]


def test_confirmations_by_different_members_shorten_a_suspicion_and_repeats_do_not() -> None:
    roster = known(*"abcdefgh")
    accuse(roster, AT, "b", "a")
    alone = roster.due()
    assert not accuse(roster, AT + 1, "b", "a")
    assert roster.due() == alone
    times = []
    for accuser in "cde":
        accuse(roster, AT + 1, accuser, "a")
        times.append(roster.due())
    assert alone > times[0] > times[1] > times[2] - 1e-9
    suspicion = roster.members["a"].suspicion
    assert suspicion is not None
    assert times[2] == pytest.approx(AT + suspicion.min_timeout_s)


def test_a_refutation_clears_and_an_old_accusation_comes_too_late() -> None:
    roster = known("a", "b", "c")
    accuse(roster, AT, "b", "a")
    roster.apply_record(
        AT + 1,
        signed("a", wire.StatementKind.MEMBER_RECORD, wire.MemberRecord(11, "a", 1)),
        wire.MemberRecord(11, "a", 1),
    )
    assert roster.members["a"].status is Status.ALIVE
    assert not accuse(roster, AT + 2, "c", "a", 10)
    assert not accuse(roster, AT + 2, "c", "a", 12)  # nobody raises another's incarnation
    assert roster.members["a"].status is Status.ALIVE


def test_an_accuser_that_is_refuted_again_and_again_is_not_believed_for_a_while() -> None:
    roster = known("a", "b", "c")
    for incarnation in range(10, 18):
        assert accuse(roster, AT, "b", "a", incarnation)
        fresh = wire.MemberRecord(incarnation + 1, "a", 1)
        roster.apply_record(AT, signed("a", wire.StatementKind.MEMBER_RECORD, fresh), fresh)
    assert not accuse(roster, AT, "b", "a", 18)
    assert accuse(roster, AT, "c", "a", 18)
    assert roster.is_credible(AT + 31, "b")


def test_who_spoke_to_us_since_is_not_buried() -> None:
    roster = known("a", "b", "c")
    accuse(roster, AT, "b", "a")
    roster.mark_heard(AT + 3, "a")
    assert [one.after for one in roster.expire_suspicions(roster.due())] == [Status.ALIVE]


def test_incarnations_never_fall_and_a_leave_is_the_members_own_word() -> None:
    roster = known("a")
    old, gone = wire.MemberRecord(9, "x", 1), wire.MemberRecord(10, "a", 1, left=True)
    assert not roster.apply_record(AT, signed("a", wire.StatementKind.MEMBER_RECORD, old), old)[0]
    assert roster.apply_record(AT, signed("a", wire.StatementKind.MEMBER_RECORD, gone), gone)[0]
    assert not accuse(roster, AT, "b", "a")
    back = wire.MemberRecord(11, "a", 2)
    changes = roster.apply_record(AT, signed("a", wire.StatementKind.MEMBER_RECORD, back), back)[1]
    assert [(one.before, one.after) for one in changes] == [(Status.LEFT, Status.ALIVE)]


def test_summaries_differ_only_where_rosters_do() -> None:
    one, other = known(*"abcdefghij"), known(*"abcdefghij")
    own = ("me", wire.MemberRecord(1, "me", 1))
    assert not differing_buckets(one.bucket_digests(own), other.bucket_digests(own))
    fresh = wire.MemberRecord(11, "c", 1)
    other.apply_record(AT, signed("c", wire.StatementKind.MEMBER_RECORD, fresh), fresh)
    differ = differing_buckets(one.bucket_digests(own), other.bucket_digests(own))
    assert len(differ) == 1 and 0 <= differ[0] < BUCKET_COUNT
    assert "c" in {entry.origin for entry in other.statements_in(differ)}


# Prober, health


def test_each_round_probes_everybody_once_in_an_order_of_its_own() -> None:
    prober, names = Prober(Random(1)), [f"m{one}" for one in range(20)]
    rounds = [[prober.next_target(names) for _ in names] for _ in range(3)]
    assert all(sorted(map(str, one)) == sorted(names) for one in rounds)
    assert rounds[0] != rounds[1] != rounds[2]
    prober.add_to_round("new")
    assert "new" in [prober.next_target([*names, "new"]) for _ in range(21)]


def test_only_those_asked_can_end_a_probe() -> None:
    prober = Prober(Random(1))
    probe = prober.start_probe(AT, "a", 0.4, 1.0)
    assert prober.handle_ack(probe.nonce, "liar") is None
    helpers = prober.choose_helpers(probe, ["a", "b", "c"])
    assert sorted(helpers) == ["b", "c"]
    prober.handle_nack(probe.nonce, "liar")
    assert probe.nacks == 0
    assert prober.handle_ack(probe.nonce, "b") is probe
    assert prober.handle_ack(probe.nonce, "b") is None


def test_a_relay_says_so_where_the_target_does_not_answer_and_ends() -> None:
    prober = Prober(Random(1))
    relay = prober.start_indirect_probe(AT, "asker", 5, 0.4, 1.0)
    assert isinstance(relay, IndirectProbe)
    assert not prober.take_due_nacks(AT + 0.3)
    assert prober.take_due_nacks(AT + 0.35) == [relay]
    assert not prober.take_due_nacks(AT + 0.4)
    prober.take_due_nacks(AT + 1.0)
    assert not prober.indirect_probes
    for _ in range(300):
        prober.start_indirect_probe(AT, "asker", 5, 0.4, 1.0)
    assert len(prober.indirect_probes) <= 256


def test_local_health_stays_in_its_range_and_stretches_what_is_waited_for() -> None:
    health = LocalHealth()
    for change in [1] * 20:
        health.adjust(change)
    assert health.score == MAX_SCORE and health.multiplier == MAX_SCORE + 1
    for change in [-1] * 20:
        health.adjust(change)
    assert health.multiplier == 1
    off = LocalHealth(enabled=False)
    off.adjust(5)
    assert off.multiplier == 1


def test_a_stall_is_what_is_late_beyond_the_ordinary() -> None:
    stall = StallDetector()
    stall.expect_turn_at(AT)
    assert stall.lateness_s(AT + 0.1) == 0.0
    assert stall.lateness_s(AT + 2.0) == pytest.approx(2.0)


# Evidence


def hear(
    evidence: FailureReports, now: float, origin: str, *rows: tuple[str, int, int], sequence: int = 0
) -> bool:
    said = wire.FailureReport(1, sequence or int(now * 1000), int(now * 1000), 5000, rows)
    return evidence.add_report(now, signed(origin, wire.StatementKind.FAILURE_REPORT, said), said, now)


ENGINES = {f"e{one}" for one in range(12)}


@pytest.mark.parametrize(("living", "needed"), [(1, 3), (3, 3), (10, 4), (50, 7), (1000, 7)])
def test_the_quorum_is_more_than_a_third_of_a_small_group(living: int, needed: int) -> None:
    assert quorum(living) == needed


def test_no_word_counts_without_enough_members_of_like_word() -> None:
    evidence = FailureReports()
    for at, origin in enumerate("abcd"):
        assert evidence.failing_engines(AT, ENGINES, 10) == frozenset()
        hear(evidence, AT, origin, ("e1", 10, 10))
        hear(evidence, AT + 0.1, origin, ("e1", 10, 10))  # twice the same voice is one
        assert (evidence.failing_engines(AT + 0.1, ENGINES, 10) == {"e1"}) == (at == 3)


def test_own_good_sight_outweighs_any_number() -> None:
    evidence = FailureReports()
    for _ in range(3):
        evidence.observations.record_attempt(AT, "e1", False)
    for origin in "abcdefgh":
        hear(evidence, AT, origin, ("e1", 50, 50))
    assert evidence.failing_engines(AT, ENGINES, 10) == frozenset()


def test_a_greater_number_that_says_the_opposite_holds() -> None:
    evidence = FailureReports()
    for origin in "abcd":
        hear(evidence, AT, origin, ("e1", 50, 50))
    for origin in "efgh":
        hear(evidence, AT, origin, ("e1", 50, 0))
    assert evidence.failing_engines(AT, ENGINES, 10) == frozenset()


def test_words_fade_and_hearsay_touches_only_a_part_of_the_engines() -> None:
    evidence = FailureReports()
    for origin in "abcdef":
        hear(evidence, AT, origin, *[(one, 9, 9) for one in sorted(ENGINES)])
    assert len(evidence.failing_engines(AT, ENGINES, 10)) == len(ENGINES) // 4
    assert evidence.failing_engines(AT + 6.1, ENGINES, 10) == frozenset()
    assert evidence.failing_engines(AT, {"e1"}, 10) == {"e1"}


def test_who_keeps_contradicting_own_sight_loses_credit_and_regains_it_slowly() -> None:
    evidence = FailureReports()
    for second in range(3):
        now = AT + second
        for _ in range(3):
            evidence.observations.record_attempt(now, "e1", False)
        hear(evidence, now, "liar", ("e1", 50, 50))
    assert not evidence.is_counted(AT + 2, evidence.reporters["liar"])
    hear(evidence, AT + 3, "honest", ("e1", 50, 0))
    assert evidence.is_counted(AT + 3, evidence.reporters["honest"])
    assert (
        evidence.reporters["liar"].credibility_at(AT + 10)
        < 0.5
        < evidence.reporters["liar"].credibility_at(AT + 30)
    )


def test_two_words_under_one_sequence_are_proof_and_end_a_voice() -> None:
    evidence = FailureReports()
    assert hear(evidence, AT, "liar", ("e1", 9, 9), sequence=3)
    assert not hear(evidence, AT, "liar", ("e1", 9, 9), sequence=3)
    assert hear(evidence, AT, "liar", ("e1", 9, 0), sequence=3)
    assert "liar" in evidence.equivocations and "liar" not in evidence.reporters
    assert not hear(evidence, AT, "liar", ("e2", 9, 9), sequence=4)
    evidence.retain(AT, {"other"}, ENGINES)
    assert not evidence.equivocations


def test_an_older_word_that_comes_late_changes_nothing() -> None:
    evidence = FailureReports()
    hear(evidence, AT, "a", ("e1", 9, 0), sequence=5)
    hear(evidence, AT, "a", ("e1", 9, 9), sequence=4)
    assert evidence.reporters["a"].rows == (("e1", 9, 0),)


def test_of_what_enough_have_said_nothing_more_is_said() -> None:
    evidence = FailureReports()
    for _ in range(4):
        evidence.observations.record_attempt(AT, "e1", True)
    assert evidence.rows_to_report(AT, ENGINES, 10) == (("e1", 4, 4),)
    for number in range(8):
        hear(evidence, AT, f"m{number}", ("e1", 9, 9))
    assert evidence.rows_to_report(AT, ENGINES, 10) == ()


def test_sight_is_of_the_last_seconds_and_goes_with_the_engine() -> None:
    sight = LocalObservations()
    sight.record_attempt(AT, "e1", True)
    sight.record_attempt(AT + 1, "e1", True)
    assert sight.assessment(AT + 1, "e1") is Assessment.BAD
    assert sight.assessment(AT + 8, "e1") is Assessment.NONE
    sight.retain(AT + 1, set())
    assert not sight.engines
    assert (
        assess(10, 3) is Assessment.NONE
        and assess(1, 1) is Assessment.NONE
        and assess(2, 5) is Assessment.NONE
    )


# Drains and size


def test_a_drain_needs_two_members_ends_by_itself_and_mutes_who_told_of_it() -> None:
    drains = DrainReports()
    drains.set_listed_engines({f"e{one}" for one in range(16)})
    drains.add_report(AT, "a", ("e1",))
    assert not drains.draining_engines(AT)
    drains.add_report(AT + 0.1, "b", ("e1", "e2", "e3", "unknown"))
    drains.add_report(AT + 0.1, "c", ("e2", "e3"))
    assert drains.draining_engines(AT + 0.2) == {"e1", "e2"}  # an eighth of sixteen
    assert not drains.draining_engines(AT + 0.2 + CONFIRMATION_TIMEOUT_S)
    drains.add_report(AT + 4, "a", ("e1",))
    drains.add_report(AT + 4, "b", ("e1",))
    assert not drains.reported
    drains.add_report(AT + 4 + REPORTER_IGNORED_S, "a", ("e1",))
    assert drains.reported


def test_a_drain_that_our_list_confirms_is_held_against_nobody() -> None:
    drains = DrainReports()
    drains.set_listed_engines({"e1", "e2"})
    for origin in "ab":
        drains.add_report(AT, origin, ("e1",))
    drains.set_listed_engines({"e2"})
    drains.draining_engines(AT + 10)
    assert not drains.reported and not drains.ignored_until


@pytest.mark.parametrize(
    ("told", "states", "gone", "size"),
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
def test_only_a_leave_or_the_operator_lowers_what_bounds_the_rules(
    told: int, states: dict[str, Status], gone: tuple[str, ...], size: GatewayCount
) -> None:
    assert count_gateways(told, states.items(), gone) == size


# Keys


def test_keys_count_within_their_time_and_for_their_member_alone() -> None:
    hand = QuickHand("k2", secret_of("a", "k2"))
    ring = Keyring([PublicKey("a", "k2", secret_of("a", "k2"), AT, AT + 10)], quick_keyring([]).verifier)
    signature = hand.sign(AT, b"text")[1]
    assert ring.signature_rejection(AT, "a", "k2", b"text", signature) is None
    assert ring.signature_rejection(AT, "a", "k2", b"texT", signature) == "bad_signature"
    assert ring.signature_rejection(AT - 1, "a", "k2", b"text", signature) == "key_not_yet"
    assert ring.signature_rejection(AT + 10, "a", "k2", b"text", signature) == "key_expired"
    assert ring.signature_rejection(AT, "a", "k1", b"text", signature) == "unknown_key"
    assert ring.signature_rejection(AT, "b", "k2", b"text", signature) == "unknown_member"
