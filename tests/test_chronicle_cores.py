"""Pure modules of the event log: frames with damage, clock offsets from ordered events, query lifecycles."""

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

RUN_ID = bytes(range(16))
OTHER_RUN_ID = bytes(16)

# Frames


def make_segment(
    record_count: int = 40, seed: int = 1, run_id: bytes = RUN_ID
) -> tuple[bytes, list[tuple[int, int, bytes]], list[int]]:
    """Returns a segment, its frames (sequence number, kind, payload), and the end offset of each frame."""
    random, data, frames, ends = Random(seed), bytearray(SegmentHeader(run_id, 0, 0).encode()), [], []
    for sequence_number in range(record_count):
        kind, payload = rec.encode(
            rec.QueryAnswered(random.getrandbits(50), sequence_number, "served", "x" * random.randrange(9))
        )
        data += encode_frame(run_id, sequence_number, kind, payload)
        frames.append((sequence_number, kind, payload))
        ends.append(len(data))
    return bytes(data), frames, ends


def scan_segment(data: bytes, run_id: bytes = RUN_ID) -> tuple[list[tuple[int, int, bytes]], list[Gap]]:
    """Returns the frames, as ``make_segment`` does, and the gaps."""
    scanned = list(scan_frames(data, run_id))
    frames = [
        (frame.sequence_number, frame.kind, frame.payload) for frame in scanned if isinstance(frame, Frame)
    ]
    return frames, [gap for gap in scanned if isinstance(gap, Gap)]


def test_intact_segment_is_read_back_completely() -> None:
    data, written, _ = make_segment()
    assert decode_header(data) == SegmentHeader(RUN_ID, 0, 0)
    assert scan_segment(data) == (written, [])


def test_segment_truncated_at_any_byte_yields_all_complete_frames() -> None:
    data, written, ends = make_segment()
    for length in range(SEGMENT_HEADER_BYTES, len(data)):
        complete_count = sum(end <= length for end in ends)
        frames, gaps = scan_segment(data[:length])
        assert frames == written[:complete_count]
        assert bool(gaps) == (length not in ends and length > SEGMENT_HEADER_BYTES)


def test_flipped_bit_loses_only_the_frame_that_holds_it() -> None:
    data, written, ends = make_segment(20)
    for offset in range(SEGMENT_HEADER_BYTES, len(data)):
        for bit in (0, 3, 7):
            damaged = bytearray(data)
            damaged[offset] ^= 1 << bit
            hit_index = sum(end <= offset for end in ends)
            frames, gaps = scan_segment(bytes(damaged))
            assert frames == written[:hit_index] + written[hit_index + 1 :]
            assert [gap.lost_records for gap in gaps] == ([1] if hit_index < len(written) - 1 else [None])


def test_damaged_or_truncated_header_is_an_error() -> None:
    data, _, _ = make_segment(1)
    for offset in range(SEGMENT_HEADER_BYTES):
        damaged = bytearray(data)
        damaged[offset] ^= 4
        with pytest.raises(SegmentError):
            decode_header(bytes(damaged))
    with pytest.raises(SegmentError):
        decode_header(data[: SEGMENT_HEADER_BYTES - 1])


def test_frames_of_another_run_and_repeated_frames_are_skipped() -> None:
    data, written, ends = make_segment(6)
    foreign_data, _, _ = make_segment(6, seed=2, run_id=OTHER_RUN_ID)
    mixed = data[: ends[2]] + foreign_data[SEGMENT_HEADER_BYTES:] + data[ends[0] : ends[1]] + data[ends[3] :]
    frames, gaps = scan_segment(mixed)
    assert frames == written[:3] + written[4:]
    assert [gap.lost_records for gap in gaps] == [1]


@given(st.binary(max_size=400), st.integers(0, 2**40))
@settings(max_examples=200)
def test_random_bytes_after_a_marker_yield_no_frame(data: bytes, min_sequence_number: int) -> None:
    assert not [
        frame
        for frame in scan_frames(b"\xc5\x7e" + data, RUN_ID, 0, min_sequence_number)
        if isinstance(frame, Frame)
    ]


def test_payload_over_the_maximum_is_rejected() -> None:
    with pytest.raises(ValueError, match="payload of 60001 bytes exceeds the maximum"):
        encode_frame(RUN_ID, 1, 1, bytes(60_001))


# Records


@pytest.mark.parametrize(
    "record_type", list(rec.TYPES_BY_NUMBER.values()), ids=lambda struct: struct.__name__
)
def test_every_record_type_decodes_with_added_fields_and_without_optional_ones(
    record_type: type[rec.Record],
) -> None:
    samples = {int: 3, str: "a", float: 0.5}
    fields = msgspec.structs.fields(record_type)
    values: list[Any] = [samples.get(field.type, 3) for field in fields if field.required]
    record = record_type(*values)
    number, payload = rec.encode(record)
    assert rec.decode(number, payload) == record
    newer_payload = msgspec.msgpack.encode([*msgspec.msgpack.decode(payload), "of a later version"])
    assert rec.decode(number, newer_payload) == record
    older_payload = msgspec.msgpack.encode(
        msgspec.msgpack.decode(payload)[: sum(field.required for field in fields)]
    )
    assert rec.decode(number, older_payload) == record


def test_unknown_kind_or_malformed_payload_decodes_to_none() -> None:
    assert rec.decode(200, b"\x90") is None
    assert rec.decode(1, b"\xc1") is None
    assert rec.decode(9, b"\x93\x01\xa1x\xa0") is None


# Clock offsets


def make_message_pairs(
    offsets: dict[str, float], message_count: int, seed: int, drift: float = 0.0, max_delay_s: float = 0.02
) -> list[HappenedBefore]:
    """Messages between clocks whose own time is true time less the offset; all but clock a drift."""
    random, clocks, pairs = Random(seed), sorted(offsets), list[HappenedBefore]()

    def own_time(clock: str, true_time: float) -> float:
        return true_time - offsets[clock] - (drift * true_time if clock != "a" else 0.0)

    for _ in range(message_count):
        sent_at = random.uniform(0.0, 100.0)
        sender, receiver = random.sample(clocks, 2)
        pairs.append(
            HappenedBefore(
                sender,
                own_time(sender, sent_at),
                receiver,
                own_time(receiver, sent_at + random.uniform(0.0005, max_delay_s)),
            )
        )
    return pairs


@pytest.mark.parametrize("seed", range(10))
def test_offset_interval_contains_the_true_offset(seed: int) -> None:
    offsets = {"a": 0.0, "b": 1.0, "c": -0.7, "d": 0.3}
    clock_offsets = ClockOffsets("a", make_message_pairs(offsets, 400, seed, drift=100e-6))
    assert not clock_offsets.jumps
    for clock, offset in offsets.items():
        for time_s in (5.0, 50.0, 95.0):
            interval = clock_offsets.offset(clock, time_s - offset)
            true_offset = offset + (100e-6 * time_s if clock != "a" else 0.0)
            assert interval.low_s - 1e-6 <= true_offset <= interval.high_s + 1e-6
            assert interval.high_s - interval.low_s < 0.08


def test_messages_in_one_direction_bound_only_one_side() -> None:
    clock_offsets = ClockOffsets("a", [HappenedBefore("a", 1.0, "b", 3.0)])
    assert clock_offsets.offset("b", 3.0).low_s == pytest.approx(-2.0, abs=0.01)
    assert clock_offsets.offset("b", 3.0).high_s == float("inf")
    assert clock_offsets.offset("unknown", 3.0) == Interval(-float("inf"), float("inf"))


def test_clock_that_jumps_back_gets_two_epochs_with_correct_offsets() -> None:
    pairs = []
    for second in range(100):
        true_time = second + 0.5
        offset = 1.0 if true_time < 50 else 6.0
        pairs.append(HappenedBefore("a", true_time, "b", true_time + 0.01 - offset))
        pairs.append(HappenedBefore("b", true_time - offset, "a", true_time + 0.01))
    clock_offsets = ClockOffsets("a", pairs)
    assert [jump.clock for jump in clock_offsets.jumps] == ["b"]
    before_jump, after_jump = clock_offsets.offset("b", 20.0), clock_offsets.offset("b", 85.0)
    assert before_jump.low_s - 0.02 <= 1.0 <= before_jump.high_s + 0.02
    assert after_jump.low_s - 0.02 <= 6.0 <= after_jump.high_s + 0.02


def test_order_of_overlapping_intervals_is_unknown() -> None:
    assert Interval(1.0, 2.0).precedes(Interval(2.5, 3.0)) is True
    assert Interval(2.5, 3.0).precedes(Interval(1.0, 2.0)) is False
    assert Interval(1.0, 2.0).precedes(Interval(1.5, 3.0)) is None


# Lifecycles


def query_accepted(
    query: int, time_us: int = 0, query_id: str = "", worth: float = 0.1, **fields: int | float
) -> rec.QueryAccepted:
    return rec.QueryAccepted(time_us, query, query_id or f"q{query}", "lookup", "one", worth, **fields)  # type: ignore[arg-type]


def test_each_query_is_counted_once_and_worth_adds_up_exactly() -> None:
    tracker = LifecycleTracker()
    outcomes = ["served", "refused", "failed", "dropped"]
    for query in range(1000):
        tracker.add_record("f", "r", query_accepted(query, query))
        tracker.add_record("f", "r", rec.AttemptSent(query, query, 0, "e1"))
        if query % 5 < 4:
            tracker.add_record("f", "r", rec.AttemptEnded(query, query, 0, "e1", "ok"))
            tracker.add_record("f", "r", rec.QueryAnswered(query, query, outcomes[query % 5]))
    tracker.end_run("f", "r", 2000, "crashed")
    totals = tracker.combined_totals()
    assert totals.query_count == 1000 and set(totals.query_counts.values()) == {200}
    assert sum(totals.worth_millionths.values()) == 100_000_000 and totals.earned_millionths == 20_000_000
    assert totals.unearned_millionths == 80_000_000
    assert not tracker.open_queries and sum(1 for _ in tracker.take_finished()) == 1000


def test_open_queries_of_a_crashed_run_are_unknown_and_answers_without_a_query_are_orphans() -> None:
    tracker = LifecycleTracker()
    tracker.add_record("f", "r1", query_accepted(1))
    tracker.add_record("f", "r2", query_accepted(1))
    tracker.add_record("f", "r2", rec.QueryAnswered(5, 1, "served"))
    tracker.add_record("f", "r2", rec.QueryAnswered(6, 99, "served"))
    tracker.end_run("f", "r1", 3, "crashed")
    assert tracker.combined_totals().query_counts == {QueryOutcome.SERVED: 1, QueryOutcome.UNKNOWN: 1}
    assert tracker.orphan_records == {"answered": 1} and not tracker.duplicate_answers


def test_second_answer_is_reported_as_duplicate_and_the_query_counted_once() -> None:
    tracker = LifecycleTracker()
    tracker.add_record("f", "r", query_accepted(1))
    for outcome in ("served", "failed"):
        tracker.add_record("f", "r", rec.QueryAnswered(5, 1, outcome))
    assert tracker.duplicate_answers == [("f", "r", 1)] and tracker.combined_totals().query_counts == {
        QueryOutcome.SERVED: 1
    }


def test_late_answer_earns_its_share_and_a_retry_joins_its_refusal_once() -> None:
    tracker = LifecycleTracker()
    tracker.add_record("f", "r", query_accepted(1, worth=2.0, soft_deadline_us=100, late_worth_share=0.25))
    tracker.add_record("f", "r", rec.QueryAnswered(101, 1, "served"))
    assert (
        tracker.combined_totals().earned_millionths == 500_000 and tracker.combined_totals().late_count == 1
    )
    tracker.add_record("f", "r", query_accepted(2, query_id="same"))
    tracker.add_record("f", "r", rec.QueryAnswered(102, 2, "refused"))
    tracker.add_record("g", "r", query_accepted(1, time_us=200, query_id="same"))
    assert tracker.combined_totals().joined_retries == 1
    assert tracker.open_queries["g", "r", 1].earlier_refusals == 1
    tracker.add_record("h", "r", query_accepted(1, time_us=300, query_id="same"))
    assert tracker.combined_totals().joined_retries == 1


@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 5)), max_size=80))
@settings(max_examples=150)
def test_totals_equal_the_accepted_queries_whatever_records_are_missing(steps: list[tuple[int, int]]) -> None:
    tracker, accepted = LifecycleTracker(), set[int]()
    for time_us, (event, query) in enumerate(steps):
        if event == 0 and query not in accepted:
            accepted.add(query)
            tracker.add_record("f", "r", query_accepted(query, time_us))
        elif event == 1:
            tracker.add_record("f", "r", rec.AttemptSent(time_us, query, time_us, "e"))
        elif event == 2:
            tracker.add_record("f", "r", rec.AttemptEnded(time_us, query, time_us, "e", "error"))
        elif event == 3:
            tracker.add_record("f", "r", rec.QueryAnswered(time_us, query, "served"))
        elif event == 4:
            tracker.add_record("f", "r", rec.QueryAnswered(time_us, query, "of a later version"))
    tracker.end_run("f", "r", len(steps), "crashed")
    assert tracker.combined_totals().query_count == len(accepted)
    assert sum(tracker.combined_totals().worth_millionths.values()) == 100_000 * len(accepted)
