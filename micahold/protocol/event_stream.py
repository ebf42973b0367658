"""Parses event streams (server-sent events, HTML standard, section 9.2) that arrive in any split."""

from __future__ import annotations

from dataclasses import dataclass

from micahold.protocol.errors import ProtocolError

# Bounds a line, and the data of one event.
MAX_LINE_BYTES = 4 * 1024 * 1024
# A stream may begin with one, which is no part of its first line.
BYTE_ORDER_MARK = b"\xef\xbb\xbf"


@dataclass(slots=True, frozen=True)
class ServerSentEvent:
    """One event; ``last_event_id`` is the id that the stream set last, in this event or before it."""

    last_event_id: bytes
    data: bytes


class EventStreamParser:
    """Parses one event stream; ignores comments and all fields but ``data`` and ``id``."""

    def __init__(self, max_line_bytes: int = MAX_LINE_BYTES) -> None:
        self._max_bytes = max_line_bytes
        self._unfinished_line = bytearray()
        # Data ended in a carriage return: a line feed next is part of that line end.
        self._skip_line_feed = False
        self._is_first_line = True
        self._last_event_id = b""
        self._data_lines: list[bytes] = []
        self._data_bytes = 0

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """Accepts received data and returns the events that it completes.

        Raises ``ProtocolError`` if a line or the data of an event is too long.
        """
        if not data:
            return []  # a line feed may still follow
        ends_in_carriage_return = data.endswith(b"\r")
        if self._skip_line_feed:
            data = data.removeprefix(b"\n")
        self._skip_line_feed = ends_in_carriage_return
        *lines, rest = data.replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n")
        if lines:
            lines[0] = bytes(self._unfinished_line) + lines[0]
            self._unfinished_line.clear()
        self._unfinished_line += rest
        if len(self._unfinished_line) > self._max_bytes:
            raise ProtocolError("event stream line too long")
        events = []
        for line in lines:
            event = self._process_line(line)
            if event is not None:
                events.append(event)
        return events

    def _process_line(self, line: bytes) -> ServerSentEvent | None:
        """Processes one line; returns an event if the line is the empty one that ends an event with data."""
        if self._is_first_line:
            self._is_first_line = False
            line = line.removeprefix(BYTE_ORDER_MARK)
        if not line:
            data_lines = self._data_lines
            self._data_lines = []
            self._data_bytes = 0
            return ServerSentEvent(self._last_event_id, b"\n".join(data_lines)) if data_lines else None
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            self._data_lines.append(value)
            self._data_bytes += len(value)
            if self._data_bytes > self._max_bytes:
                raise ProtocolError("event data too long")
        elif name == b"id" and b"\0" not in value:
            self._last_event_id = value
        return None
