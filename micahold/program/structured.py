"""structlog on top of the front's log, for subsystems: bound context, levels, and the same JSON lines.

The front itself calls its log directly: a line through structlog takes two to three times as long, and a
front without subsystems does not import structlog. All lines still go through ``Log``, which never blocks.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog
from structlog.typing import EventDict, WrappedLogger


class LogWriter:
    """The innermost logger of structlog, which passes each line to the front's log."""

    def __init__(self, log: Callable[..., None]) -> None:
        self.log = log

    def __getattr__(self, level: str) -> Callable[..., None]:
        return self.log


def _to_log_call(logger: WrappedLogger, level: str, line: EventDict) -> tuple[tuple[str], dict[str, Any]]:
    """The arguments of a log call: the event's name, and its fields with any level other than info."""
    name = str(line.pop("event"))
    if level != "info":
        line["level"] = level
    return (name,), dict(line)


def bind_logger(log: Callable[..., None], **context: Any) -> structlog.BoundLogger:
    """A structlog logger whose lines go to ``log``, each with the fields of ``context``."""
    bound: structlog.BoundLogger = structlog.wrap_logger(
        LogWriter(log),
        processors=[structlog.processors.format_exc_info, _to_log_call],
        wrapper_class=structlog.BoundLogger,
        cache_logger_on_first_use=True,
    ).bind(**context)
    return bound
