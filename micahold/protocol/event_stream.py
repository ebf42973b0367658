"""Server-sent events: lines in any split to events with their ids."""

from __future__ import annotations

from dataclasses import dataclass

from micahold.protocol.errors import ProtocolError

MOST_LINE = 4 * 1024 * 1024


@dataclass(slots=True, frozen=True)
class ServerSentEvent:
    """One event; ``last_event_id`` is the last that the stream gave."""

    last_event_id: bytes
    data: bytes


class EventStreamParser:
    """Takes the bytes of one stream; comments and fields that are not known are passed over."""

    def __init__(self, max_line_bytes: int = MOST_LINE) -> None:
        self._most = max_line_bytes
        self._kept = bytearray()
        self._skip_feed = False  # the last line ended in a carriage return: a line feed belongs to it
        self._id = b""
        self._data: list[bytes] = []
        self._size = 0

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """The events that are whole now."""
        if self._skip_feed and data:
            data = data.removeprefix(b"\n")
            self._skip_feed = False
        self._skip_feed = data.endswith(b"\r")
        self._kept += data
        *lines, rest = bytes(self._kept).replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n")
        self._kept = bytearray(rest)
        if len(self._kept) > self._most:
            raise ProtocolError("a line that is too long")
        events = []
        for line in lines:
            event = self._line(line)
            if event is not None:
                events.append(event)
        return events

    def _line(self, line: bytes) -> ServerSentEvent | None:
        if not line:
            data, self._data, self._size = self._data, [], 0
            return ServerSentEvent(self._id, b"\n".join(data)) if data else None
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            self._data.append(value)
            self._size += len(value)
            if self._size > self._most:
                raise ProtocolError("an event that is too long")
        elif name == b"id" and b"\0" not in value:
            self._id = value
        return None
