"""Whatever bytes arrive: nothing is raised, nothing changes, and the way out is bounded."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from micahold.laboratory.gossip_network import START, Network, QuickHand, secret_of
from micahold.membership import wire
from micahold.membership.group import Group
from micahold.membership.wire import Kind, Signed, WireError

SOURCE = ("10.0.0.1", 7946)


def settled(seed: int = 1) -> Group:
    net = Network(seed=seed)
    net.group(3)
    net.run(10)
    return net.nodes["m0"].group


GROUP = settled()
NOW = START + 10.0


def state(group: Group) -> list[object]:
    return [
        [(one.name, one.record, one.status) for one in group.member_list],
        dict(group.failure_reports.reporters),
        dict(group.drain_reports.reported),
        group.record,
    ]


def by_m1(body: bytes, kind: int = Kind.PACKET) -> bytes:
    """Signed as m1 signs: what a member with good keys may send."""
    hand = QuickHand("k1", secret_of("m1"))
    signature = hand.sign(0.0, wire.signed_bytes(kind, "m1", "k1", body))[1]
    return msgspec.msgpack.encode([kind, "m1", "k1", body, signature])


@given(st.binary(max_size=3000))
@settings(max_examples=300)
def test_garbage_is_counted_and_dropped(data: bytes) -> None:
    before = state(GROUP)
    GROUP.ingress.buckets.clear()
    GROUP.ingress.window.__init__()  # type: ignore[misc]
    GROUP.receive(NOW, data, SOURCE)
    assert GROUP.frame(NOW, data, SOURCE) == []
    assert state(GROUP) == before
    assert not GROUP.outbox


FIELDS = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats() | st.binary(max_size=100)
    | st.text(max_size=80),
    lambda inner: st.lists(inner, max_size=6),
    max_leaves=20,
)  # fmt: skip


@given(FIELDS, st.sampled_from(list(Kind)))
@settings(max_examples=300)
def test_any_field_out_of_range_is_dropped_even_under_a_good_signature(body: object, kind: Kind) -> None:
    before = state(GROUP)
    GROUP.ingress.buckets.clear()
    GROUP.ingress.window.__init__()  # type: ignore[misc]
    data = by_m1(msgspec.msgpack.encode(body), kind)
    GROUP.receive(NOW, data, SOURCE)
    assert GROUP.frame(NOW, data, SOURCE) == []
    assert state(GROUP) == before


def test_every_cut_of_a_good_datagram_is_dropped_and_the_whole_is_taken_once() -> None:
    group = settled(2)
    packet = wire.Packet("m0", 2**62, 1, int(NOW * 1000), (wire.Ping(7),), ())
    data = by_m1(wire.encode(packet))
    for end in range(len(data)):
        group.receive(NOW + end, data[:end], SOURCE)
    assert not group.outbox
    for _ in range(2):
        group.receive(NOW + 30, data, SOURCE)
    assert len(group.outbox) == 1
    assert group.counts["datagrams_repeated"] == 1


@pytest.mark.parametrize(
    "packet",
    [
        wire.Packet("m2", 2**62, 1, int(NOW * 1000), (wire.Ping(7),), ()),
        wire.Packet("m0", 2**62, 1, int(NOW * 1000) - 3_600_000, (wire.Ping(7),), ()),
        wire.Packet("m0", 1, 1, int(NOW * 1000), (wire.Ping(7),), ()),
    ],
    ids=["to another", "an hour old", "an old run"],
)
def test_a_good_datagram_out_of_place_is_dropped(packet: wire.Packet) -> None:
    group = settled(3)
    group.receive(NOW, by_m1(wire.encode(packet)), SOURCE)
    assert not group.outbox


def test_too_long_is_dropped_unread() -> None:
    with pytest.raises(WireError):
        wire.decode_signed(bytes(wire.MOST_DATAGRAM + 1))


def test_nobody_speaks_for_another() -> None:
    group = settled(4)
    before = group.member_list.members["m2"].record
    forged = wire.Record(2**60, "10.9.9.9", 1, left=True)
    body = wire.encode(forged)
    hand = QuickHand("k1", secret_of("m1"))
    data = wire.signed_bytes(Kind.RECORD, "m2", "k1", body)
    item = Signed(Kind.RECORD, "m2", "k1", body, hand.sign(0.0, data)[1])
    packet = wire.Packet("m0", 2**62, 1, int(NOW * 1000), (), (item,))
    group.receive(NOW, by_m1(wire.encode(packet)), SOURCE)
    assert group.member_list.members["m2"].record == before
    assert group.counts["statements_bad_signature"] == 1


def test_a_signature_of_one_kind_is_none_of_another() -> None:
    body, hand = wire.encode(wire.Record(1, "a", 1)), QuickHand("k1", secret_of("m1"))
    made = hand.sign(0.0, wire.signed_bytes(Kind.RECORD, "m1", "k1", body))[1]
    assert made != hand.sign(0.0, wire.signed_bytes(Kind.DRAINS, "m1", "k1", body))[1]
    assert wire.signed_bytes(1, "ab", "c", b"") != wire.signed_bytes(1, "a", "bc", b"")


FIGURE, BIG = st.integers(0, 10**6), st.integers(0, 2**62)
ROW_LISTS = st.lists(st.tuples(st.text(min_size=1, max_size=64), FIGURE, FIGURE), max_size=16).map(tuple)


@given(st.builds(wire.Testimony, run=BIG, sequence=BIG, at=BIG, window=FIGURE, rows=ROW_LISTS))
def test_what_is_encoded_is_read_back(said: wire.Testimony) -> None:
    signed = Signed(Kind.TESTIMONY, "m1", "k1", wire.encode(said), bytes(64))
    again = wire.decode_signed(wire.encode(signed), wire.MOST_FRAME)
    assert wire.decode_body(again, wire.Testimony) == said
    assert len(wire.encode(signed)) <= signed.length()
