"""Malformed, forged or replayed input raises no exception, changes no state and causes bounded output."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from micahold.laboratory.gossip_network import START_UNIX_S, KeyedHashSigner, Network, derive_secret
from micahold.membership import wire
from micahold.membership.group import Group
from micahold.membership.wire import SignedStatement, StatementKind, WireError

SOURCE_ADDRESS = ("10.0.0.1", 7946)


def converged_member(seed: int = 1) -> Group:
    """Return member m0 of a group of three after ten seconds, when all members have found each other."""
    network = Network(seed=seed)
    network.start_group(3)
    network.run(10)
    return network.nodes["m0"].group


GROUP = converged_member()
NOW = START_UNIX_S + 10.0


def state(group: Group) -> list[object]:
    """Return the state of a group that a dropped datagram must not change."""
    return [
        [(member.name, member.record, member.status) for member in group.member_list],
        dict(group.failure_reports.reporters),
        dict(group.drain_reports.reported),
        group.record,
    ]


def signed_by_m1(body: bytes, kind: int = StatementKind.PACKET) -> bytes:
    """Encode a statement with a valid signature of m1, as any member with valid keys can send it."""
    signer = KeyedHashSigner("k1", derive_secret("m1"))
    signature = signer.sign(0.0, wire.signed_bytes(kind, "m1", "k1", body))[1]
    return msgspec.msgpack.encode([kind, "m1", "k1", body, signature])


@given(st.binary(max_size=3000))
@settings(max_examples=300)
def test_random_bytes_are_dropped_without_a_state_change(data: bytes) -> None:
    state_before = state(GROUP)
    GROUP.ingress.buckets.clear()
    GROUP.ingress.window.__init__()  # type: ignore[misc]
    GROUP.receive(NOW, data, SOURCE_ADDRESS)
    assert GROUP.handle_frame(NOW, data, SOURCE_ADDRESS) == []
    assert state(GROUP) == state_before
    assert not GROUP.outbox


ARBITRARY_BODIES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats() | st.binary(max_size=100)
    | st.text(max_size=80),
    lambda children: st.lists(children, max_size=6),
    max_leaves=20,
)  # fmt: skip


@given(ARBITRARY_BODIES, st.sampled_from(list(StatementKind)))
@settings(max_examples=300)
def test_body_of_wrong_shape_is_dropped_even_with_valid_signature(body: object, kind: StatementKind) -> None:
    state_before = state(GROUP)
    GROUP.ingress.buckets.clear()
    GROUP.ingress.window.__init__()  # type: ignore[misc]
    data = signed_by_m1(msgspec.msgpack.encode(body), kind)
    GROUP.receive(NOW, data, SOURCE_ADDRESS)
    assert GROUP.handle_frame(NOW, data, SOURCE_ADDRESS) == []
    assert state(GROUP) == state_before


def test_truncated_datagrams_are_dropped_and_the_whole_one_is_accepted_only_once() -> None:
    group = converged_member(2)
    packet = wire.Packet("m0", 2**62, 1, int(NOW * 1000), (wire.Ping(7),), ())
    data = signed_by_m1(wire.encode(packet))
    for end in range(len(data)):
        group.receive(NOW + end, data[:end], SOURCE_ADDRESS)
    assert not group.outbox
    for _ in range(2):
        group.receive(NOW + 30, data, SOURCE_ADDRESS)
    assert len(group.outbox) == 1
    assert group.counts["datagrams_repeated"] == 1


@pytest.mark.parametrize(
    "packet",
    [
        wire.Packet("m2", 2**62, 1, int(NOW * 1000), (wire.Ping(7),), ()),
        wire.Packet("m0", 2**62, 1, int(NOW * 1000) - 3_600_000, (wire.Ping(7),), ()),
        wire.Packet("m0", 1, 1, int(NOW * 1000), (wire.Ping(7),), ()),
    ],
    ids=["to another member", "an hour old", "of an earlier run"],
)
def test_validly_signed_datagram_that_is_misaddressed_or_stale_is_dropped(packet: wire.Packet) -> None:
    group = converged_member(3)
    group.receive(NOW, signed_by_m1(wire.encode(packet)), SOURCE_ADDRESS)
    assert not group.outbox


def test_datagram_above_the_maximum_size_is_rejected() -> None:
    with pytest.raises(WireError):
        wire.decode_signed(bytes(wire.MAX_DATAGRAM_BYTES + 1))


def test_record_forged_in_the_name_of_another_member_is_rejected() -> None:
    group = converged_member(4)
    record_before = group.member_list.members["m2"].record
    forged_record = wire.MemberRecord(2**60, "10.9.9.9", 1, left=True)
    body = wire.encode(forged_record)
    signer = KeyedHashSigner("k1", derive_secret("m1"))
    data = wire.signed_bytes(StatementKind.MEMBER_RECORD, "m2", "k1", body)
    statement = SignedStatement(StatementKind.MEMBER_RECORD, "m2", "k1", body, signer.sign(0.0, data)[1])
    packet = wire.Packet("m0", 2**62, 1, int(NOW * 1000), (), (statement,))
    group.receive(NOW, signed_by_m1(wire.encode(packet)), SOURCE_ADDRESS)
    assert group.member_list.members["m2"].record == record_before
    assert group.counts["statements_bad_signature"] == 1


def test_signature_covers_the_kind_and_the_boundaries_between_fields() -> None:
    body, signer = wire.encode(wire.MemberRecord(1, "a", 1)), KeyedHashSigner("k1", derive_secret("m1"))
    signature = signer.sign(0.0, wire.signed_bytes(StatementKind.MEMBER_RECORD, "m1", "k1", body))[1]
    assert signature != signer.sign(0.0, wire.signed_bytes(StatementKind.DRAIN_REPORT, "m1", "k1", body))[1]
    assert wire.signed_bytes(1, "ab", "c", b"") != wire.signed_bytes(1, "a", "bc", b"")


COUNTS = st.integers(0, 10**6)
LARGE_INTEGERS = st.integers(0, 2**62)
ROWS = st.lists(st.tuples(st.text(min_size=1, max_size=64), COUNTS, COUNTS), max_size=16).map(tuple)


@given(
    st.builds(
        wire.FailureReport,
        run=LARGE_INTEGERS,
        sequence=LARGE_INTEGERS,
        at_ms=LARGE_INTEGERS,
        window_ms=COUNTS,
        rows=ROWS,
    )
)
def test_encoded_testimony_decodes_to_the_same_and_fits_its_size_bound(testimony: wire.FailureReport) -> None:
    signed = SignedStatement(StatementKind.FAILURE_REPORT, "m1", "k1", wire.encode(testimony), bytes(64))
    decoded = wire.decode_signed(wire.encode(signed), wire.MAX_FRAME_BYTES)
    assert wire.decode_body(decoded, wire.FailureReport) == testimony
    assert len(wire.encode(signed)) <= signed.size_bound()
