"""The pure cores of the chronicle: frames under damage, clocks from order, what became of each query."""

from __future__ import annotations

from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from micahold.chronicle import records as rec
from micahold.chronicle.clocks import ClockOffsets, HappenedBefore, Interval
from micahold.chronicle.frames import (
    SEGMENT_HEADER_BYTES,
    Frame,
    Gap,
    SegmentError,
    SegmentHeader,
    decode_header,
    encode_frame,
    scan_frames,
)
from micahold.chronicle.lifecycles import LifecycleTracker, QueryOutcome

RUN, OTHER = bytes(range(16)), bytes(16)


def segment(
    number: int = 40, seed: int = 1, run: bytes = RUN
) -> tuple[bytes, list[tuple[int, int, bytes]], list[int]]:
    """A segment, its records, and the offsets at which each ends."""
    random, data, kept, ends = Random(seed), bytearray(SegmentHeader(run, 0, 0).encode()), [], []
    for sequence in range(number):
        kind, payload = rec.encode(
            rec.QueryAnswered(random.getrandbits(50), sequence, "served", "x" * random.randrange(9))
        )
        data += encode_frame(run, sequence, kind, payload)
        kept.append((sequence, kind, payload))
        ends.append(len(data))
    return bytes(data), kept, ends


def read(data: bytes, run: bytes = RUN) -> tuple[list[tuple[int, int, bytes]], list[Gap]]:
    found = list(scan_frames(data, run))
    frames = [(one.sequence_number, one.kind, one.payload) for one in found if isinstance(one, Frame)]
    return frames, [one for one in found if isinstance(one, Gap)]


def test_a_segment_is_read_back_whole() -> None:
    data, kept, _ = segment()
    assert decode_header(data) == SegmentHeader(RUN, 0, 0)
    assert read(data) == (kept, [])


def test_cut_at_every_byte_it_ends_at_the_last_whole_record() -> None:
    data, kept, ends = segment()
    for cut in range(SEGMENT_HEADER_BYTES, len(data)):
        whole = sum(end <= cut for end in ends)
        frames, gaps = read(data[:cut])
        assert frames == kept[:whole]
        assert bool(gaps) == (cut not in ends and cut > SEGMENT_HEADER_BYTES)


def test_with_any_byte_flipped_nothing_is_invented_and_only_what_was_hit_is_lost() -> None:
    data, kept, ends = segment(20)
    for at in range(SEGMENT_HEADER_BYTES, len(data)):
        for bit in (0, 3, 7):
            spoilt = bytearray(data)
            spoilt[at] ^= 1 << bit
            hit = sum(end <= at for end in ends)
            frames, gaps = read(bytes(spoilt))
            assert frames == kept[:hit] + kept[hit + 1 :]
            assert [one.lost_records for one in gaps] == ([1] if hit < len(kept) - 1 else [None])


def test_a_flipped_header_is_told() -> None:
    data, _, _ = segment(1)
    for at in range(SEGMENT_HEADER_BYTES):
        spoilt = bytearray(data)
        spoilt[at] ^= 4
        with pytest.raises(SegmentError):
            decode_header(bytes(spoilt))
    with pytest.raises(SegmentError):
        decode_header(data[: SEGMENT_HEADER_BYTES - 1])


def test_frames_of_another_run_and_of_an_earlier_place_do_not_count() -> None:
    data, kept, ends = segment(6)
    foreign, _, _ = segment(6, seed=2, run=OTHER)
    mixed = data[: ends[2]] + foreign[SEGMENT_HEADER_BYTES:] + data[ends[0] : ends[1]] + data[ends[3] :]
    frames, gaps = read(mixed)
    assert frames == kept[:3] + kept[4:]
    assert [one.lost_records for one in gaps] == [1]


@given(st.binary(max_size=400), st.integers(0, 2**40))
@settings(max_examples=200)
def test_garbage_holds_no_record(data: bytes, least: int) -> None:
    assert not [one for one in scan_frames(b"\xc5\x7e" + data, RUN, 0, least) if isinstance(one, Frame)]


def test_a_payload_too_long_is_refused() -> None:
    with pytest.raises(ValueError, match="payload of 60001 bytes exceeds the maximum"):
        encode_frame(RUN, 1, 1, bytes(60_001))


# Records


@pytest.mark.parametrize("kind", list(rec.TYPES_BY_NUMBER.values()), ids=lambda one: one.__name__)
def test_every_kind_is_read_back_and_bears_fields_of_a_later_version(kind: type[rec.Record]) -> None:
    samples = {int: 3, str: "a", float: 0.5}
    fields = msgspec.structs.fields(kind)
    values: list[Any] = [samples.get(one.type, 3) for one in fields if one.required]
    made = kind(*values)
    number, payload = rec.encode(made)
    assert rec.decode(number, payload) == made
    grown = msgspec.msgpack.encode([*msgspec.msgpack.decode(payload), "of a later version"])
    assert rec.decode(number, grown) == made
    older = msgspec.msgpack.encode(msgspec.msgpack.decode(payload)[: sum(one.required for one in fields)])
    assert rec.decode(number, older) == made


def test_a_kind_or_form_that_is_not_known_is_none() -> None:
    assert rec.decode(200, b"\x90") is None
    assert rec.decode(1, b"\xc1") is None
    assert rec.decode(9, b"\x93\x01\xa1x\xa0") is None


# Clocks


def told(
    offsets: dict[str, float], number: int, seed: int, drift: float = 0.0, delay: float = 0.02
) -> list[HappenedBefore]:
    """Messages back and forth between clocks whose own time is true time less the offset."""
    random, names, pairs = Random(seed), sorted(offsets), list[HappenedBefore]()

    def own(name: str, true: float) -> float:
        return true - offsets[name] - (drift * true if name != "a" else 0.0)

    for _ in range(number):
        true = random.uniform(0.0, 100.0)
        one, other = random.sample(names, 2)
        pairs.append(
            HappenedBefore(one, own(one, true), other, own(other, true + random.uniform(0.0005, delay)))
        )
    return pairs


@pytest.mark.parametrize("seed", range(10))
def test_the_true_offset_lies_within_the_stated_interval(seed: int) -> None:
    offsets = {"a": 0.0, "b": 1.0, "c": -0.7, "d": 0.3}
    clocks = ClockOffsets("a", told(offsets, 400, seed, drift=100e-6))
    assert not clocks.jumps
    for name, offset in offsets.items():
        for at in (5.0, 50.0, 95.0):
            found = clocks.offset(name, at - offset)
            true = offset + (100e-6 * at if name != "a" else 0.0)
            assert found.low_s - 1e-6 <= true <= found.high_s + 1e-6
            assert found.high_s - found.low_s < 0.08


def test_one_way_messages_bound_one_side_alone() -> None:
    clocks = ClockOffsets("a", [HappenedBefore("a", 1.0, "b", 3.0)])
    assert clocks.offset("b", 3.0).low_s == pytest.approx(-2.0, abs=0.01)
    assert clocks.offset("b", 3.0).high_s == float("inf")
    assert clocks.offset("unknown", 3.0) == Interval(-float("inf"), float("inf"))


def test_a_clock_that_jumps_back_splits_its_run_and_both_parts_are_right() -> None:
    pairs = []
    for number in range(100):
        true = number + 0.5
        offset = 1.0 if true < 50 else 6.0
        pairs.append(HappenedBefore("a", true, "b", true + 0.01 - offset))
        pairs.append(HappenedBefore("b", true - offset, "a", true + 0.01))
    clocks = ClockOffsets("a", pairs)
    assert [one.clock for one in clocks.jumps] == ["b"]
    early, late = clocks.offset("b", 20.0), clocks.offset("b", 85.0)
    assert early.low_s - 0.02 <= 1.0 <= early.high_s + 0.02
    assert late.low_s - 0.02 <= 6.0 <= late.high_s + 0.02


def test_an_order_that_is_not_known_is_said_to_be_so() -> None:
    assert Interval(1.0, 2.0).precedes(Interval(2.5, 3.0)) is True
    assert Interval(2.5, 3.0).precedes(Interval(1.0, 2.0)) is False
    assert Interval(1.0, 2.0).precedes(Interval(1.5, 3.0)) is None


# Lives


def taken(
    number: int, at: int = 0, id_: str = "", worth: float = 0.1, **more: int | float
) -> rec.QueryAccepted:
    return rec.QueryAccepted(at, number, id_ or f"q{number}", "lookup", "one", worth, **more)  # type: ignore[arg-type]


def test_each_query_is_counted_once_and_worth_adds_up_exactly() -> None:
    lives = LifecycleTracker()
    hows = ["served", "refused", "failed", "dropped"]
    for number in range(1000):
        lives.add_record("f", "r", taken(number, number))
        lives.add_record("f", "r", rec.AttemptSent(number, number, 0, "e1"))
        if number % 5 < 4:
            lives.add_record("f", "r", rec.AttemptEnded(number, number, 0, "e1", "ok"))
            lives.add_record("f", "r", rec.QueryAnswered(number, number, hows[number % 5]))
    lives.end_run("f", "r", 2000, "crashed")
    total = lives.combined_totals()
    assert total.query_count == 1000 and set(total.query_counts.values()) == {200}
    assert sum(total.worth_millionths.values()) == 100_000_000 and total.earned_millionths == 20_000_000
    assert total.unearned_millionths == 80_000_000
    assert not lives.open_queries and sum(1 for _ in lives.take_finished()) == 1000


def test_what_a_crashed_front_had_open_is_unknown_and_what_has_no_beginning_is_unplaced() -> None:
    lives = LifecycleTracker()
    lives.add_record("f", "r1", taken(1))
    lives.add_record("f", "r2", taken(1))
    lives.add_record("f", "r2", rec.QueryAnswered(5, 1, "served"))
    lives.add_record("f", "r2", rec.QueryAnswered(6, 99, "served"))
    lives.end_run("f", "r1", 3, "crashed")
    assert lives.combined_totals().query_counts == {QueryOutcome.SERVED: 1, QueryOutcome.UNKNOWN: 1}
    assert lives.orphan_records == {"answered": 1} and not lives.duplicate_answers


def test_a_second_answer_is_a_breach_and_counted_once() -> None:
    lives = LifecycleTracker()
    lives.add_record("f", "r", taken(1))
    for how in ("served", "failed"):
        lives.add_record("f", "r", rec.QueryAnswered(5, 1, how))
    assert lives.duplicate_answers == [("f", "r", 1)] and lives.combined_totals().query_counts == {
        QueryOutcome.SERVED: 1
    }


def test_late_answers_earn_their_part_and_further_tries_are_joined() -> None:
    lives = LifecycleTracker()
    lives.add_record("f", "r", taken(1, worth=2.0, soft_deadline_us=100, late_worth_share=0.25))
    lives.add_record("f", "r", rec.QueryAnswered(101, 1, "served"))
    assert lives.combined_totals().earned_millionths == 500_000 and lives.combined_totals().late_count == 1
    lives.add_record("f", "r", taken(2, id_="same"))
    lives.add_record("f", "r", rec.QueryAnswered(102, 2, "refused"))
    lives.add_record("g", "r", taken(1, at=200, id_="same"))
    assert lives.combined_totals().joined_retries == 1
    assert lives.open_queries["g", "r", 1].earlier_refusals == 1
    lives.add_record("h", "r", taken(1, at=300, id_="same"))
    assert lives.combined_totals().joined_retries == 1


@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 5)), max_size=80))
@settings(max_examples=150)
def test_whatever_records_are_missing_sums_equal_what_was_taken(steps: list[tuple[int, int]]) -> None:
    lives, begun = LifecycleTracker(), set[int]()
    for at, (what, query) in enumerate(steps):
        if what == 0 and query not in begun:
            begun.add(query)
            lives.add_record("f", "r", taken(query, at))
        elif what == 1:
            lives.add_record("f", "r", rec.AttemptSent(at, query, at, "e"))
        elif what == 2:
            lives.add_record("f", "r", rec.AttemptEnded(at, query, at, "e", "error"))
        elif what == 3:
            lives.add_record("f", "r", rec.QueryAnswered(at, query, "served"))
        elif what == 4:
            lives.add_record("f", "r", rec.QueryAnswered(at, query, "of a later version"))
    lives.end_run("f", "r", len(steps), "crashed")
    assert lives.combined_totals().query_count == len(begun)
    assert sum(lives.combined_totals().worth_millionths.values()) == 100_000 * len(begun)
