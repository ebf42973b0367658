"""Reads the operator's own file, S-expressions, into checked settings and reports all errors in one pass.

A section or setting is a list whose first word names it: ``(gossip (rate 16KiB/s) (seeds "a:1" "b:2"))``.
An error names the file, the line, the path of the setting, what was found and what was expected.
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
from micahold.protocol.s_expressions import SExpressionError, parse_s_expressions

MAX_FILE_BYTES = 1 << 20
INVALID = object()  # stands for a value that could not be read and whose error is recorded


class OperatorFileError(Exception):
    """An unusable file; ``problems`` has one line of text per error."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


@dataclass(slots=True)
class LocatedExpression:
    """An expression with its first line; lists have ``items``, words and strings have a ``value``."""

    line: int
    value: Any = None
    items: list[LocatedExpression] | None = None

    def describe(self) -> str:
        """The expression as error messages show it, with lists shortened to their first element."""
        if self.items is not None:
            return f"({self.items[0].describe()} ...)" if self.items else "()"
        if isinstance(self.value, sexpdata.Symbol):
            return str(self.value.value())
        return f'"{self.value}"' if isinstance(self.value, str) else str(self.value)


class UnbalancedError(Exception):
    """A bracket or string without its other end: its line, and what it is."""

    def __init__(self, line: int, found: str) -> None:
        super().__init__(found)
        self.line = line
        self.found = found


def expression_lines(text: str) -> list[Any]:
    """The first lines of all expressions, as nested lists of the structure that sexpdata returns.

    A list of expressions becomes a list that begins with its own line. sexpdata records no positions, so this
    scans the same text for strings, comments and brackets. ``UnbalancedError`` where they do not match.
    """
    stack: list[list[Any]] = [[]]
    line = 1
    position = 0
    while position < len(text):
        character = text[position]
        if character == "\n":
            line += 1
        elif character == ";":
            position = text.find("\n", position)
            if position < 0:
                break
            continue
        elif character == "(":
            inner: list[Any] = [line]
            stack[-1].append(inner)
            stack.append(inner)
        elif character == ")":
            if len(stack) == 1:
                raise UnbalancedError(line, "an unmatched closing bracket")
            stack.pop()
        elif character == '"':
            first_line = line
            stack[-1].append(line)
            position += 1
            while position < len(text) and text[position] != '"':
                line += text[position] == "\n"
                position += 2 if text[position] == "\\" else 1
            if position >= len(text):
                raise UnbalancedError(first_line, "an unterminated string")
        elif not character.isspace():
            stack[-1].append(line)
            while position + 1 < len(text) and text[position + 1] not in '();" \t\r\n':
                position += 1
        position += 1
    if len(stack) > 1:
        raise UnbalancedError(stack[-1][0], "an unclosed bracket")
    return stack[0]


def _locate(value: Any, lines: Any) -> LocatedExpression:
    """``value`` as sexpdata returned it, joined with its ``lines`` from ``expression_lines``."""
    if isinstance(value, list):
        return LocatedExpression(
            lines[0], items=[_locate(element, line) for element, line in zip(value, lines[1:], strict=True)]
        )
    return LocatedExpression(lines, value)


def parse_expressions(text: str, name: str) -> list[LocatedExpression]:
    """All top-level expressions; ``OperatorFileError`` where brackets or strings do not match."""
    try:
        lines = expression_lines(text)
        values = parse_s_expressions(text, true=None, false=None, nil=None)
        return [_locate(value, line) for value, line in zip(values, lines, strict=True)]
    except UnbalancedError as error:
        raise OperatorFileError([f"{name}:{error.line}: found {error.found}"]) from None
    except (SExpressionError, ValueError, IndexError, RecursionError):
        raise OperatorFileError([f"{name}:1: found text that is not an S-expression"]) from None


def _word(expression: LocatedExpression) -> str | None:
    """The name of a symbol; None for other expressions."""
    return expression.value.value() if isinstance(expression.value, sexpdata.Symbol) else None


def unwrap_type(annotation: Any) -> tuple[Any, dict[str, Any], bool]:
    """The bare type, the merged extras of its ``Meta`` (unit, description), and whether it is optional."""
    extras: dict[str, Any] = {}
    optional = False
    while True:
        if get_origin(annotation) is Annotated:
            annotation, *metas = get_args(annotation)
            for meta in metas:
                if isinstance(meta, msgspec.Meta):
                    extras = {**(meta.extra or {}), **extras}
                    if meta.description:
                        extras.setdefault("description", meta.description)
        elif get_origin(annotation) in (Union, types.UnionType):
            annotation = next(member for member in get_args(annotation) if member is not type(None))
            optional = True
        else:
            return annotation, extras, optional


class SettingsReader:
    """Converts expressions to settings; records errors in ``problems`` instead of stopping at the first.

    ``name`` is the file's name in errors, ``folder`` the directory to which paths in the file are relative.
    """

    def __init__(self, name: str, folder: Path) -> None:
        self.name = name
        self.folder = folder
        self.problems: list[str] = []

    def add_problem(self, line: int, path: str, found: str, expected: str) -> Any:
        """Records an error in the setting at ``path``; returns ``INVALID``."""
        self.problems.append(f"{self.name}:{line}: {path}: found {found}, expected {expected}")
        return INVALID

    def read_section(
        self, struct_type: type[msgspec.Struct], items: list[LocatedExpression], line: int, path: str
    ) -> Any:
        """The settings in ``items`` as a struct, or ``INVALID`` where any of them is wrong."""
        fields = {field.encode_name: field for field in msgspec.structs.fields(struct_type)}
        values: dict[str, Any] = {}
        lines_seen: dict[str, int] = {}
        problems_before = len(self.problems)
        for item in items:
            name = _word(item.items[0]) if item.items else None
            if item.items is None or name is None:
                self.add_problem(item.line, path or "file", item.describe(), "a list that begins with a word")
            elif name not in fields:
                known = ", ".join(sorted(fields))
                self.add_problem(item.line, f"{path}{name}", "an unknown name", f"one of {known}")
            elif name in lines_seen:
                self.add_problem(
                    item.line, f"{path}{name}", "a repeated name", f"it once (line {lines_seen[name]})"
                )
            else:
                lines_seen[name] = item.line
                values[name] = self.read_setting(fields[name].type, item, f"{path}{name}")
        for name, field in fields.items():
            if name not in lines_seen and field.required:
                self.add_problem(line, f"{path}{name}", "nothing", "this setting")
        if len(self.problems) > problems_before:
            return INVALID
        try:
            return msgspec.convert(values, struct_type, strict=True)
        except (msgspec.ValidationError, ValueError) as error:
            return self.add_problem(line, path.rstrip(".") or "file", "inconsistent settings", str(error))

    def read_setting(self, annotation: Any, item: LocatedExpression, path: str) -> Any:
        """The value of a named list: a struct, a tuple or a single value, or ``INVALID``."""
        bare_type, _, _ = unwrap_type(annotation)
        arguments = (item.items or [])[1:]
        if isinstance(bare_type, type) and issubclass(bare_type, msgspec.Struct):
            return self.read_section(bare_type, arguments, item.line, path + ".")
        if get_origin(bare_type) is tuple and get_args(bare_type)[1:] == (...,):
            values = [
                self.read_value(get_args(bare_type)[0], argument, f"{path}[{index}]")
                for index, argument in enumerate(arguments)
            ]
            return INVALID if any(value is INVALID for value in values) else tuple(values)
        if len(arguments) != 1:
            return self.add_problem(item.line, path, f"{len(arguments)} values", "one value")
        return self.read_value(annotation, arguments[0], path)

    def read_value(self, annotation: Any, item: LocatedExpression, path: str) -> Any:
        """A word or string converted according to its unit and type, or ``INVALID``."""
        bare_type, extras, _ = unwrap_type(annotation)
        if item.items is not None:
            return self.add_problem(item.line, path, item.describe(), "a single value")
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
            elif bare_type is bool:
                if word not in ("yes", "no"):
                    raise ValueError("yes or no")
                value = word == "yes"
            elif bare_type is str:
                value = text
            else:
                value = item.value
        except ValueError as error:
            return self.add_problem(item.line, path, item.describe(), str(error))
        try:
            return msgspec.convert(value, annotation)
        except msgspec.ValidationError as error:
            return self.add_problem(item.line, path, item.describe(), str(error).removeprefix("Expected "))


def parse_settings(text: str, name: str, folder: Path) -> OperatorSettings:
    """The settings in ``text``; paths in it are relative to ``folder``, errors name the file ``name``."""
    items = parse_expressions(text, name)
    reader = SettingsReader(name, folder)
    value = reader.read_section(OperatorSettings, items, 1, "")
    if reader.problems:
        raise OperatorFileError(reader.problems)
    settings: OperatorSettings = value
    return settings


def read_settings_file(path: str) -> OperatorSettings:
    """The settings in the operator's file at ``path``; ``OperatorFileError`` with all of its errors."""
    try:
        data = Path(path).read_bytes()
        if len(data) > MAX_FILE_BYTES:
            raise OperatorFileError([f"{path}: found {len(data)} bytes, expected at most {MAX_FILE_BYTES}"])
        text = data.decode()
    except OSError as error:
        raise OperatorFileError([f"{path}: cannot be read: {error.strerror}"]) from None
    except UnicodeDecodeError as error:
        raise OperatorFileError([f"{path}: byte {error.start} is not UTF-8"]) from None
    return parse_settings(text, path, Path(path).parent)


def changed_settings(
    old: msgspec.Struct | None, new: msgspec.Struct | None, path: str = ""
) -> tuple[list[str], list[str]]:
    """Paths of the settings that differ: those that apply in service, and those that need a restart."""
    if old is None or new is None or type(old) is not type(new):
        return [], ([path.rstrip(".")] if old is not new else [])
    in_service: list[str] = []
    on_restart: list[str] = []
    for field in msgspec.structs.fields(type(old)):
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        bare_type, extras, _ = unwrap_type(field.type)
        if isinstance(bare_type, type) and issubclass(bare_type, msgspec.Struct):
            inner = changed_settings(before, after, f"{path}{field.encode_name}.")
            in_service += inner[0]
            on_restart += inner[1]
        elif before != after:
            (in_service if extras.get("in_service") else on_restart).append(f"{path}{field.encode_name}")
    return in_service, on_restart


def format_default(field: msgspec.structs.FieldInfo) -> str:
    """The default of a setting as the file would have it."""
    if field.required:
        return "required"
    value = field.default
    _, extras, _ = unwrap_type(field.type)
    if value is None:
        return "none"
    if value == ():
        return "empty"
    if isinstance(value, bool):
        return "yes" if value else "no"
    formatter = {"duration": units.format_duration, "size": units.format_size}.get(extras.get("unit", ""))
    if extras.get("unit") == "byte_rate":
        return units.format_size(value) + "/s"
    return formatter(value) if formatter else str(value)


def render_reference() -> str:
    """The page ``docs/operators/settings.md``, generated from the structs of the settings."""
    lines = [
        "# The operator's own file: reference", "",
        "Generated by `micahold check --reference`. `MICAHOLD_OPERATOR` names the file; sections that it",
        "does not contain are off. Paths in it are relative to its directory. `micahold check FILE` reports",
        "all errors in one pass. SIGHUP applies the settings marked in service; a bad file changes nothing.",
    ]  # fmt: skip
    for section in msgspec.structs.fields(OperatorSettings):
        struct_type, _, _ = unwrap_type(section.type)
        lines += ["", f"## `({section.encode_name} ...)`", "", (struct_type.__doc__ or "").strip(), ""]
        lines += ["| setting | default | in service | meaning |", "| --- | --- | --- | --- |"]
        for field in msgspec.structs.fields(struct_type):
            extras = unwrap_type(field.type)[1]
            service = "yes" if extras.get("in_service") else "restart"
            lines.append(
                f"| `{field.encode_name}` | {format_default(field)} | {service} "
                f"| {extras.get('description', '')} |"
            )
    return "\n".join(lines) + "\n"
