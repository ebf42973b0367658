"""The checker finds answers that hold what no engine made."""

from __future__ import annotations

import pytest

from micahold.laboratory.emulated_engine import AttemptRecord
from micahold.laboratory.record_checker import RuleLimits, RunRecords, check_records
from micahold.laboratory.result_rows import MAX_PAGE_BYTES, ResultRow, expected_rows, result_pages
from micahold.laboratory.sql_client import QueryRecord

QUERY_ID, OTHER_ID = "00000001000000aa", "00000001000000bb"
ROWS = expected_rows(QUERY_ID, 300)


def violations(rows: list[ResultRow], ending: str = "ok") -> list[str]:
    query = QueryRecord(QUERY_ID, "lookup", "n1", 1.0, 2.0, 1.5, "served", asked_rows=len(ROWS), rows=rows)
    attempt = AttemptRecord(QUERY_ID, "lookup", "s-1", 2.0, 1.1, 1.4, ending)
    return [one.text for one in check_records(RunRecords([query], [attempt], RuleLimits()))]


def test_rows_that_the_engine_made_are_right() -> None:
    assert violations(ROWS) == []
    pages = result_pages(ROWS)
    assert len(pages) > 1 and max(map(len, pages)) <= MAX_PAGE_BYTES
    assert b"".join(pages).count(b"\n") == len(ROWS)


@pytest.mark.parametrize(
    ("rows", "place"),
    [
        (ROWS[:-1], 299),
        (ROWS[:100] + ROWS[101:], 100),
        (ROWS[:100] + ROWS[99:], 100),
        ([*ROWS, ROWS[-1]], 300),
        (expected_rows(OTHER_ID, 300), 0),
        ([], 0),
    ],
)
def test_rows_that_are_missing_double_or_of_another_query_are_found(
    rows: list[ResultRow], place: int
) -> None:
    """Guards against a soak that looks only at whether a query ended."""
    assert violations(rows) == [f"{len(rows)} rows where 300 were made, wrong from place {place} on"]


@pytest.mark.parametrize("ending", ["error", "deleted", "lapsed", "died", ""])
def test_query_that_is_served_and_that_no_engine_did_is_found(ending: str) -> None:
    assert violations(ROWS, ending) == ["served, and no engine did it"]


def test_lateness_of_the_record_is_neither_a_deadline_passed_on_nor_an_attempt_after_its_client() -> None:
    """Guards against a lateness of the experiment that is judged as the front's."""
    query = QueryRecord(QUERY_ID, "lookup", "n1", 1.0, 2.0, left_at=1.1)
    late = AttemptRecord(QUERY_ID, "lookup", "s-1", 1.95, 1.5, 1.6, "deleted", arrived_at=1.05)
    assert check_records(RunRecords([query], [late], RuleLimits())) == []
    late.arrived_at = 1.5
    found = check_records(RunRecords([query], [late], RuleLimits()))
    assert sorted(one.rule for one in found) == ["deadline", "lost"]
