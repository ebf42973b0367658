"""structlog over the front's own writer, for subsystems: context bound once, levels, the same JSON lines.

The front itself calls its writer directly: a line through structlog takes two to three times as long, and a
front without subsystems does not import it. What is written still goes through the writer that never blocks.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog
from structlog.typing import EventDict, WrappedLogger


class LogWriter:
    """Ends a chain of structlog processors in a call of the front's log."""

    def __init__(self, log: Callable[..., None]) -> None:
        self.log = log

    def __getattr__(self, level: str) -> Callable[..., None]:
        return self.log


def _to_fields(logger: WrappedLogger, level: str, item: EventDict) -> tuple[tuple[str], dict[str, Any]]:
    """The event's name as the one positional argument; a level other than info as a field."""
    name = str(item.pop("event"))
    if level != "info":
        item["level"] = level
    return (name,), dict(item)


def bind_logger(log: Callable[..., None], **context: Any) -> structlog.BoundLogger:
    """A structlog logger whose lines go to ``log`` with ``context`` in each."""
    bound: structlog.BoundLogger = structlog.wrap_logger(
        LogWriter(log),
        processors=[structlog.processors.format_exc_info, _to_fields],
        wrapper_class=structlog.BoundLogger,
        cache_logger_on_first_use=True,
    ).bind(**context)
    return bound
