"""The operator's own file: what is read, and that every error names where and what."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from micahold.commands.cli import main
from micahold.program import units
from micahold.program.operator_file import (
    OperatorFileError,
    changed_settings,
    expression_lines,
    parse_expressions,
    parse_settings,
    read_settings_file,
    render_reference,
)
from micahold.program.operator_settings import GossipSettings, OperatorSettings
from micahold.program.structured import bind_logger

ROOT = Path(__file__).parent.parent
LEAST = '(gossip (listen "127.0.0.1:7946") (keys "a.keys") (members "m.keys") {more})'


def read(text: str) -> OperatorSettings:
    return parse_settings(text, "file", Path("/etc/micahold"))


def problems(text: str) -> list[str]:
    with pytest.raises(OperatorFileError) as caught:
        read(text)
    return caught.value.problems


def test_nothing_is_on_in_an_empty_file() -> None:
    assert read("; nothing\n").gossip is None


def test_settings_are_read_with_their_units_and_paths_from_the_file() -> None:
    more = '(rate 32KiB/s) (period 500ms) (probe_timeout 200ms) (seeds "a:1" "b:2") (hearsay no) (gone x y)'
    gossip = read(LEAST.format(more=more)).gossip
    assert gossip is not None
    assert (gossip.rate, gossip.period, gossip.seeds) == (32768, 0.5, (("a", 1), ("b", 2)))
    assert gossip.hearsay is False and gossip.gone == ("x", "y")
    assert gossip.keys == "/etc/micahold/a.keys"


def test_the_example_holds_every_setting_with_its_default() -> None:
    example = read_settings_file(str(ROOT / "deploy" / "operator.example.sexp")).gossip
    assert example is not None
    text = (ROOT / "deploy" / "operator.example.sexp").read_text()
    for name in GossipSettings.__struct_fields__:
        assert f"({name}" in text
    least = read(LEAST.format(more="")).gossip
    assert least is not None
    for name in ("rate", "rate_in", "period", "probe_timeout", "clock_error", "gone", "hearsay"):
        assert getattr(example, name) == getattr(least, name)


def test_the_reference_is_the_generated_one() -> None:
    assert (ROOT / "docs" / "operators" / "settings.md").read_text() == render_reference()


def test_every_error_is_found_in_one_pass_with_its_line_path_and_what_was_expected() -> None:
    text = """; comment
(gossip (listen "nowhere")
        (rate 16KB)
        (rat 3)
        (period 1s)
        (period 2s)
        (hearsay perhaps)
        (seeds "127.0.0.1:1" (x)
               "b")
        words)
(goship)
"""
    found = problems(text)
    wanted = [
        ("file:2: gossip.listen:", "nowhere", "an address such as"),
        ("file:3: gossip.rate:", "16KB", "bytes a second such as 16KiB/s"),
        ("file:4: gossip.rat:", "an unknown word", "one of advertise"),
        ("file:6: gossip.period:", "a second time", "line 5"),
        ("file:7: gossip.hearsay:", "perhaps", "yes or no"),
        ("file:8: gossip.seeds[1]:", "(x ...)", "a single value"),
        ("file:9: gossip.seeds[2]:", '"b"', "an address"),
        ("file:10: gossip.:", "words", "a list that begins with a word"),
        ("file:2: gossip.keys:", "nothing", "this setting"),
        ("file:2: gossip.members:", "nothing", "this setting"),
        ("file:11: goship:", "an unknown word", "one of gossip"),
    ]
    assert len(found) == len(wanted)
    for begin, what, expected in wanted:
        assert any(one.startswith(begin) and what in one and expected in one for one in found), (begin, found)


@pytest.mark.parametrize(
    ("text", "line", "what"),
    [("(a\n(b", 2, "never closed"), ("(a)\n)", 2, "closes nothing"), ('(a)\n\n(b "x', 3, "without an end")],
)
def test_brackets_and_strings_that_do_not_match_are_told_with_their_line(
    text: str, line: int, what: str
) -> None:
    assert f"file:{line}:" in problems(text)[0] and what in problems(text)[0]


@pytest.mark.parametrize(
    ("more", "what"),
    [
        ("(period 300ms)", "shorter than period"),
        ("(rate 1KiB/s)", "4KiB/s or more"),
        ('(name "a b")', "matching regex"),
    ],
)
def test_settings_that_do_not_fit_each_other_are_told(more: str, what: str) -> None:
    assert what in problems(LEAST.format(more=more))[0]


@given(st.text(alphabet="()\";ab \n\\'`,.#[]{}|1", max_size=60))
def test_no_text_brings_anything_but_settings_or_errors(text: str) -> None:
    try:
        read(text)
    except OperatorFileError as problem:
        assert problem.problems and all(one.startswith("file:") for one in problem.problems)


@given(st.lists(st.sampled_from(["(a", ")", '"s\n"', "w", "; c\n", "\n"]), max_size=20))
def test_lines_are_found_where_the_expressions_begin(parts: list[str]) -> None:
    text = " ".join(parts)
    try:
        items = parse_expressions(text, "file")
    except OperatorFileError:
        return
    assert len(items) == len(expression_lines(text))
    assert all(1 <= one.line <= text.count("\n") + 1 for one in items)


def test_what_can_change_in_service_is_told_from_what_needs_a_restart() -> None:
    old, new = read(LEAST.format(more="")), read(LEAST.format(more="(rate 8KiB/s) (period 2s)"))
    assert changed_settings(old, new) == (["gossip.rate"], ["gossip.period"])
    assert changed_settings(old, old) == ([], [])
    assert changed_settings(old, read("")) == ([], ["gossip"])


@pytest.mark.parametrize(
    ("word", "seconds"), [("250ms", 0.25), ("5s", 5), ("2min", 120), ("1d", 86400), ("10us", 1e-5)]
)
def test_durations(word: str, seconds: float) -> None:
    assert units.duration(word) == pytest.approx(seconds)
    assert units.duration(units.format_duration(5.0)) == 5.0


@pytest.mark.parametrize("word", ["", "5", "s", "-5s", "5 s", "5m", "1e3s", "5KiB", "5s/s", "nan", "inf"])
def test_what_is_no_duration_is_an_error(word: str) -> None:
    with pytest.raises(ValueError, match="a time such as"):
        units.duration(word)


def test_lines_of_subsystems_go_to_the_fronts_writer_with_what_is_bound() -> None:
    lines: list[tuple[str, dict[str, object]]] = []

    def log(event: str, **fields: object) -> None:
        lines.append((event, fields))

    bound = bind_logger(log, part="gossip")
    bound.info("member", name="a")
    bound.bind(run=3).warning("late", s=0.5)
    assert lines == [
        ("member", {"part": "gossip", "name": "a"}),
        ("late", {"part": "gossip", "run": 3, "s": 0.5, "level": "warning"}),
    ]


def test_check_tells_all_and_answers_with_its_exit_code(tmp_path: Path) -> None:
    good, bad = tmp_path / "good", tmp_path / "bad"
    good.write_text(LEAST.format(more=""))
    bad.write_text("(gossip (rate x) (period y))")
    run = CliRunner()
    assert run.invoke(main, ["check", str(good)]).exit_code == 0
    told = run.invoke(main, ["check", str(bad), "--json"])
    assert told.exit_code == 1 and told.output.count("bad:1") == 5
    assert run.invoke(main, ["check", str(tmp_path / "none")]).exit_code == 1
    assert run.invoke(main, ["check"]).exit_code == 2
