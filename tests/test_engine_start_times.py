"""Start times of engines keep their place on the monotonic clock, whatever the wall clock does."""

from __future__ import annotations

import pytest

from micahold import interface as api
from micahold.program.engine_start_times import EngineStartTimes

COLD_S = 10.0
UNIX_NOW = 1_800_000_000.0


def convert(
    times: EngineStartTimes, started_at: float, unix_now: float, now: float, is_news: bool = True
) -> float:
    """The converted start time of one engine."""
    entry = api.EngineEntry("a", started_at=started_at)
    update = api.ListUpdate(api.ListKind.CHANGES, 1, (entry,))
    (converted,) = times.convert(update, unix_now, now, is_news).entries
    return converted.started_at


def test_age_of_an_engine_is_taken_over_and_kept_when_the_wall_clock_steps() -> None:
    times = EngineStartTimes(COLD_S)
    assert convert(times, UNIX_NOW - 4.0, UNIX_NOW, 50.0) == pytest.approx(46.0)
    assert convert(times, UNIX_NOW - 4.0, UNIX_NOW + 3600.0, 51.0) == pytest.approx(46.0)
    assert convert(times, UNIX_NOW - 4.0, UNIX_NOW - 3600.0, 52.0) == pytest.approx(46.0)


@pytest.mark.parametrize("step_s", [3600.0, -3600.0])
def test_engine_that_starts_after_a_step_of_the_wall_clock_is_cold(step_s: float) -> None:
    times = EngineStartTimes(COLD_S)
    assert convert(times, UNIX_NOW, UNIX_NOW + step_s, 50.0) == 50.0


def test_engine_of_the_first_list_that_started_long_ago_is_warm() -> None:
    times = EngineStartTimes(COLD_S)
    started_at = convert(times, UNIX_NOW - 3600.0, UNIX_NOW, 50.0, is_news=False)
    assert 0 < started_at < 50.0 - COLD_S


def test_unknown_start_stays_unknown_and_a_new_start_counts_anew() -> None:
    times = EngineStartTimes(COLD_S)
    assert convert(times, 0.0, UNIX_NOW, 50.0) == 0.0
    assert convert(times, UNIX_NOW - 1.0, UNIX_NOW, 50.0) == pytest.approx(49.0)
    assert convert(times, UNIX_NOW + 20.0, UNIX_NOW + 21.0, 71.0) == pytest.approx(70.0)
