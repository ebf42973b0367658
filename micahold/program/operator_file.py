"""The operator's own file: S-expressions to checked settings, with every error found in one pass.

A section or setting is a list whose first word names it: ``(gossip (rate 16KiB/s) (seeds "a:1" "b:2"))``.
An error names the file, the line, the path within it, what was found and what was expected.
"""

from __future__ import annotations

import types
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Union, get_args, get_origin

import msgspec
import sexpdata

from micahold.program import units
from micahold.program.operator_settings import OperatorSettings

MAX_FILE_BYTES = 1 << 20
MISSING = object()
SEXP_ERRORS = (sexpdata.ExpectNothing, sexpdata.ExpectSExp, sexpdata.ExpectClosingBracket)


class OperatorFileError(Exception):
    """``problems`` has one line of text an error."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


@dataclass(slots=True)
class LocatedExpression:
    """An expression with the line it begins on; ``items`` for lists, ``value`` for words and strings."""

    line: int
    value: Any = None
    items: list[LocatedExpression] | None = None

    def show(self) -> str:
        if self.items is not None:
            return f"({self.items[0].show()} ...)" if self.items else "()"
        if isinstance(self.value, sexpdata.Symbol):
            return str(self.value.value())
        return f'"{self.value}"' if isinstance(self.value, str) else str(self.value)


class UnbalancedError(Exception):
    """A bracket or string without its other end: the line, and which it is."""

    def __init__(self, line: int, what: str) -> None:
        super().__init__(what)
        self.line, self.what = line, what


def expression_lines(text: str) -> list[Any]:
    """The lines on which expressions begin, as nested lists in the shape of what sexpdata reads.

    sexpdata keeps no positions, so this walks the same text beside it: strings, comments and brackets.
    ``UnbalancedError`` where they do not match.
    """
    stack: list[list[Any]] = [[]]
    line, at = 1, 0
    while at < len(text):
        sign = text[at]
        if sign == "\n":
            line += 1
        elif sign == ";":
            at = text.find("\n", at)
            if at < 0:
                break
            continue
        elif sign == "(":
            inner: list[Any] = [line]
            stack[-1].append(inner)
            stack.append(inner)
        elif sign == ")":
            if len(stack) == 1:
                raise UnbalancedError(line, "a bracket that closes nothing")
            stack.pop()
        elif sign == '"':
            began = line
            stack[-1].append(line)
            at += 1
            while at < len(text) and text[at] != '"':
                line += text[at] == "\n"
                at += 2 if text[at] == "\\" else 1
            if at >= len(text):
                raise UnbalancedError(began, "a string without an end")
        elif not sign.isspace():
            stack[-1].append(line)
            while at + 1 < len(text) and text[at + 1] not in '();" \t\r\n':
                at += 1
        at += 1
    if len(stack) > 1:
        raise UnbalancedError(stack[-1][0], "a bracket that is never closed")
    return stack[0]


def _join(value: Any, where: Any) -> LocatedExpression:
    if isinstance(value, list):
        return LocatedExpression(
            where[0], items=[_join(one, at) for one, at in zip(value, where[1:], strict=True)]
        )
    return LocatedExpression(where, value)


def parse_expressions(text: str, name: str) -> list[LocatedExpression]:
    """All top-level expressions; ``OperatorFileError`` where brackets or strings do not match."""
    try:
        lines = expression_lines(text)
        values = sexpdata.parse(text, true=None, false=None, nil=None)
        return [_join(value, where) for value, where in zip(values, lines, strict=True)]
    except UnbalancedError as fault:
        raise OperatorFileError([f"{name}:{fault.line}: found {fault.what}"]) from None
    except (*SEXP_ERRORS, ValueError, TypeError, AssertionError, IndexError, RecursionError):
        raise OperatorFileError([f"{name}:1: found text that is no S-expression"]) from None


def _word(item: LocatedExpression) -> str | None:
    return item.value.value() if isinstance(item.value, sexpdata.Symbol) else None


def unwrap_type(kind: Any) -> tuple[Any, dict[str, Any], bool]:
    """The bare type, the merged extras of its ``Meta`` (unit, description) and whether it may be missing."""
    extras: dict[str, Any] = {}
    optional = False
    while True:
        if get_origin(kind) is Annotated:
            kind, *metas = get_args(kind)
            for meta in metas:
                if isinstance(meta, msgspec.Meta):
                    extras = {**(meta.extra or {}), **extras}
                    if meta.description:
                        extras.setdefault("description", meta.description)
        elif get_origin(kind) in (Union, types.UnionType):
            kind = next(one for one in get_args(kind) if one is not type(None))
            optional = True
        else:
            return kind, extras, optional


class SettingsReader:
    """Collects errors instead of stopping at the first."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name, self.folder = name, folder
        self.problems: list[str] = []

    def add_problem(self, line: int, path: str, found: str, expected: str) -> Any:
        self.problems.append(f"{self.name}:{line}: {path}: found {found}, expected {expected}")
        return MISSING

    def section(
        self, kind: type[msgspec.Struct], items: list[LocatedExpression], line: int, path: str
    ) -> Any:
        """The settings in ``items`` as a struct, or ``MISSING`` where any of them is wrong."""
        fields = {one.encode_name: one for one in msgspec.structs.fields(kind)}
        values: dict[str, Any] = {}
        seen: dict[str, int] = {}
        before = len(self.problems)
        for item in items:
            name = _word(item.items[0]) if item.items else None
            if item.items is None or name is None:
                self.add_problem(item.line, path or "file", item.show(), "a list that begins with a word")
            elif name not in fields:
                known = ", ".join(sorted(fields))
                self.add_problem(item.line, f"{path}{name}", "an unknown word", f"one of {known}")
            elif name in seen:
                self.add_problem(
                    item.line, f"{path}{name}", "it a second time", f"it once (line {seen[name]})"
                )
            else:
                seen[name] = item.line
                values[name] = self.setting(fields[name].type, item, f"{path}{name}")
        for name, one in fields.items():
            if name not in seen and one.required:
                self.add_problem(line, f"{path}{name}", "nothing", "this setting")
        if len(self.problems) > before:
            return MISSING
        try:
            return msgspec.convert(values, kind, strict=True)
        except (msgspec.ValidationError, ValueError) as problem:
            return self.add_problem(
                line, path.rstrip(".") or "file", "settings that do not fit", str(problem)
            )

    def setting(self, kind: Any, item: LocatedExpression, path: str) -> Any:
        bare, _, _ = unwrap_type(kind)
        words = (item.items or [])[1:]
        if isinstance(bare, type) and issubclass(bare, msgspec.Struct):
            return self.section(bare, words, item.line, path + ".")
        if get_origin(bare) is tuple and get_args(bare)[1:] == (...,):
            found = [self.value(get_args(bare)[0], one, f"{path}[{at}]") for at, one in enumerate(words)]
            return MISSING if any(one is MISSING for one in found) else tuple(found)
        if len(words) != 1:
            return self.add_problem(item.line, path, f"{len(words)} values", "one value")
        return self.value(kind, words[0], path)

    def value(self, kind: Any, item: LocatedExpression, path: str) -> Any:
        bare, extras, _ = unwrap_type(kind)
        if item.items is not None:
            return self.add_problem(item.line, path, item.show(), "a single value")
        word = _word(item)
        text = word if word is not None else str(item.value)
        unit = extras.get("unit")
        try:
            if unit in ("duration", "size", "byte_rate", "per_second"):
                value: Any = getattr(units, unit)(text)
            elif unit == "address":
                value = units.address(text)
            elif unit == "file":
                value = str(self.folder / text)
            elif bare is bool:
                if word not in ("yes", "no"):
                    raise ValueError("yes or no")
                value = word == "yes"
            elif bare is str:
                value = text
            else:
                value = item.value
        except ValueError as problem:
            return self.add_problem(item.line, path, item.show(), str(problem))
        try:
            return msgspec.convert(value, kind)
        except msgspec.ValidationError as problem:
            return self.add_problem(item.line, path, item.show(), str(problem).removeprefix("Expected "))


def parse_settings(text: str, name: str, folder: Path) -> OperatorSettings:
    """The settings in the text; files within it are taken relative to ``folder``."""
    items = parse_expressions(text, name)
    reader = SettingsReader(name, folder)
    found = reader.section(OperatorSettings, items, 1, "")
    if reader.problems:
        raise OperatorFileError(reader.problems)
    settings: OperatorSettings = found
    return settings


def read_settings_file(path: str) -> OperatorSettings:
    """The operator's file at ``path``; ``OperatorFileError`` with all that is wrong with it."""
    try:
        data = Path(path).read_bytes()
        if len(data) > MAX_FILE_BYTES:
            raise OperatorFileError([f"{path}: found {len(data)} bytes, expected at most {MAX_FILE_BYTES}"])
        text = data.decode()
    except OSError as problem:
        raise OperatorFileError([f"{path}: cannot be read: {problem.strerror}"]) from None
    except UnicodeDecodeError as problem:
        raise OperatorFileError([f"{path}: byte {problem.start} is no UTF-8"]) from None
    return parse_settings(text, path, Path(path).parent)


def changed_settings(
    old: msgspec.Struct | None, new: msgspec.Struct | None, path: str = ""
) -> tuple[list[str], list[str]]:
    """Paths of settings that differ: those that are taken over in service, those that need a restart."""
    if old is None or new is None or type(old) is not type(new):
        return [], ([path.rstrip(".")] if old is not new else [])
    now: list[str] = []
    later: list[str] = []
    for one in msgspec.structs.fields(type(old)):
        before, after = getattr(old, one.name), getattr(new, one.name)
        bare, extras, _ = unwrap_type(one.type)
        if isinstance(bare, type) and issubclass(bare, msgspec.Struct):
            inner = changed_settings(before, after, f"{path}{one.encode_name}.")
            now += inner[0]
            later += inner[1]
        elif before != after:
            (now if extras.get("in_service") else later).append(f"{path}{one.encode_name}")
    return now, later


def format_default(one: msgspec.structs.FieldInfo) -> str:
    """A default as it would be written in the file."""
    if one.required:
        return "required"
    value, (_, extras, _) = one.default, unwrap_type(one.type)
    if value is None:
        return "none"
    if value == ():
        return "empty"
    if isinstance(value, bool):
        return "yes" if value else "no"
    shown = {"duration": units.format_duration, "size": units.format_size}.get(extras.get("unit", ""))
    if extras.get("unit") == "byte_rate":
        return units.format_size(value) + "/s"
    return shown(value) if shown else str(value)


def render_reference() -> str:
    """The page ``docs/operators/settings.md``, from the structs."""
    lines = [
        "# The operator's own file: reference", "",
        "Generated by `micahold check --reference`. The file is named by `MICAHOLD_OPERATOR`; what it does",
        "not hold is off. Paths within it are relative to it. `micahold check FILE` finds every error in one",
        "pass. SIGHUP takes over what is marked in service, and a bad file changes nothing.",
    ]  # fmt: skip
    for section in msgspec.structs.fields(OperatorSettings):
        kind, _, _ = unwrap_type(section.type)
        lines += ["", f"## `({section.encode_name} ...)`", "", (kind.__doc__ or "").strip(), ""]
        lines += ["| setting | default | in service | meaning |", "| --- | --- | --- | --- |"]
        for field in msgspec.structs.fields(kind):
            extras = unwrap_type(field.type)[1]
            service = "yes" if extras.get("in_service") else "restart"
            lines.append(
                f"| `{field.encode_name}` | {format_default(field)} | {service} "
                f"| {extras.get('description', '')} |"
            )
    return "\n".join(lines) + "\n"
