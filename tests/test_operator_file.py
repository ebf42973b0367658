"""The operator's own file: what is read, and that every error names its place and what was expected."""

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
MINIMAL_FILE = '(gossip (listen "127.0.0.1:7946") (keys "a.keys") (members "m.keys") {more})'


def read(text: str) -> OperatorSettings:
    return parse_settings(text, "file", Path("/etc/micahold"))


def problems(text: str) -> list[str]:
    with pytest.raises(OperatorFileError) as caught:
        read(text)
    return caught.value.problems


def test_an_empty_file_enables_nothing() -> None:
    assert read("; nothing\n").gossip is None


def test_settings_are_converted_by_unit_and_paths_are_relative_to_the_file() -> None:
    more = '(rate 32KiB/s) (period 500ms) (probe_timeout 200ms) (seeds "a:1" "b:2") (hearsay no) (gone x y)'
    gossip = read(MINIMAL_FILE.format(more=more)).gossip
    assert gossip is not None
    assert (gossip.rate, gossip.period, gossip.seeds) == (32768, 0.5, (("a", 1), ("b", 2)))
    assert gossip.hearsay is False and gossip.gone == ("x", "y")
    assert gossip.keys == "/etc/micahold/a.keys"


def test_the_example_file_has_every_setting_with_its_default() -> None:
    example = read_settings_file(str(ROOT / "deploy" / "operator.example.sexp")).gossip
    assert example is not None
    text = (ROOT / "deploy" / "operator.example.sexp").read_text()
    for name in GossipSettings.__struct_fields__:
        assert f"({name}" in text
    minimal = read(MINIMAL_FILE.format(more="")).gossip
    assert minimal is not None
    for name in ("rate", "rate_in", "period", "probe_timeout", "clock_error", "gone", "hearsay"):
        assert getattr(example, name) == getattr(minimal, name)


def test_the_reference_page_equals_the_generated_one() -> None:
    assert (ROOT / "docs" / "operators" / "settings.md").read_text() == render_reference()


def test_all_errors_are_reported_in_one_pass_with_line_path_and_expected_form() -> None:
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
        ("file:4: gossip.rat:", "an unknown name", "one of advertise"),
        ("file:6: gossip.period:", "a repeated name", "line 5"),
        ("file:7: gossip.hearsay:", "perhaps", "yes or no"),
        ("file:8: gossip.seeds[1]:", "(x ...)", "a single value"),
        ("file:9: gossip.seeds[2]:", '"b"', "an address"),
        ("file:10: gossip.:", "words", "a list that begins with a word"),
        ("file:2: gossip.keys:", "nothing", "this setting"),
        ("file:2: gossip.members:", "nothing", "this setting"),
        ("file:11: goship:", "an unknown name", "one of gossip"),
    ]
    assert len(found) == len(wanted)
    for prefix, shown, expected in wanted:
        assert any(
            problem.startswith(prefix) and shown in problem and expected in problem for problem in found
        ), (prefix, found)


@pytest.mark.parametrize(
    ("text", "line", "fault"),
    [
        ("(a\n(b", 2, "an unclosed bracket"),
        ("(a)\n)", 2, "an unmatched closing bracket"),
        ('(a)\n\n(b "x', 3, "an unterminated string"),
    ],
)
def test_unbalanced_brackets_and_strings_are_reported_with_their_line(
    text: str, line: int, fault: str
) -> None:
    assert f"file:{line}:" in problems(text)[0] and fault in problems(text)[0]


@pytest.mark.parametrize(
    ("more", "expected"),
    [
        ("(period 300ms)", "shorter than period"),
        ("(rate 1KiB/s)", "4KiB/s or more"),
        ('(name "a b")', "matching regex"),
    ],
)
def test_inconsistent_settings_are_reported(more: str, expected: str) -> None:
    assert expected in problems(MINIMAL_FILE.format(more=more))[0]


@given(st.text(alphabet="()\";ab \n\\'`,.#[]{}|1", max_size=60))
def test_no_text_brings_anything_but_settings_or_errors(text: str) -> None:
    try:
        read(text)
    except OperatorFileError as error:
        assert error.problems and all(problem.startswith("file:") for problem in error.problems)


@pytest.mark.parametrize("text", ['\\;"', '"\\', "'", "(\\", '#"'])
def test_text_that_the_parser_fails_on_is_one_error_with_its_place(text: str) -> None:
    assert all(problem.startswith("file:") for problem in problems(text))


@given(st.lists(st.sampled_from(["(a", ")", '"s\n"', "w", "; c\n", "\n"]), max_size=20))
def test_each_expression_has_a_line_within_the_text(parts: list[str]) -> None:
    text = " ".join(parts)
    try:
        items = parse_expressions(text, "file")
    except OperatorFileError:
        return
    assert len(items) == len(expression_lines(text))
    assert all(1 <= item.line <= text.count("\n") + 1 for item in items)


def test_changes_that_apply_in_service_are_separated_from_those_that_need_a_restart() -> None:
    old = read(MINIMAL_FILE.format(more=""))
    new = read(MINIMAL_FILE.format(more="(rate 8KiB/s) (period 2s)"))
    assert changed_settings(old, new) == (["gossip.rate"], ["gossip.period"])
    assert changed_settings(old, old) == ([], [])
    assert changed_settings(old, read("")) == ([], ["gossip"])


@pytest.mark.parametrize(
    ("word", "seconds"), [("250ms", 0.25), ("5s", 5), ("2min", 120), ("1d", 86400), ("10us", 1e-5)]
)
def test_durations_are_parsed_to_seconds(word: str, seconds: float) -> None:
    assert units.duration(word) == pytest.approx(seconds)
    assert units.duration(units.format_duration(5.0)) == 5.0


@pytest.mark.parametrize("word", ["", "5", "s", "-5s", "5 s", "5m", "1e3s", "5KiB", "5s/s", "nan", "inf"])
def test_a_word_that_is_not_a_duration_is_an_error(word: str) -> None:
    with pytest.raises(ValueError, match="a time such as"):
        units.duration(word)


def test_a_bound_logger_writes_to_the_fronts_log_with_context_and_level() -> None:
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


def test_check_prints_all_errors_and_sets_the_exit_code(tmp_path: Path) -> None:
    good, bad = tmp_path / "good", tmp_path / "bad"
    good.write_text(MINIMAL_FILE.format(more=""))
    bad.write_text("(gossip (rate x) (period y))")
    runner = CliRunner()
    assert runner.invoke(main, ["check", str(good)]).exit_code == 0
    result = runner.invoke(main, ["check", str(bad), "--json"])
    assert result.exit_code == 1 and result.output.count("bad:1") == 5
    assert runner.invoke(main, ["check", str(tmp_path / "none")]).exit_code == 1
    assert runner.invoke(main, ["check"]).exit_code == 2
