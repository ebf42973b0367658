"""The client side of HTTP/1.1 (RFC 9110 and RFC 9112): encodes requests, parses responses in any split."""

from __future__ import annotations

from dataclasses import dataclass

from micahold.protocol.errors import ProtocolError

# Status line and header section of a response.
MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
# Each field of a response costs far more memory than its bytes.
MAX_HEADER_FIELDS = 100
# Interim (1xx) responses that may precede one final response.
MAX_INTERIM_RESPONSES = 16
# A line with a chunk size or a trailer field.
MAX_CHUNK_LINE_BYTES = 1024
VERSION_PREFIX = b"HTTP/1."
# Status codes of responses without a body.
BODILESS_STATUSES = (204, 304)
# Header fields that delimit the body: two different values leave open where the response ends.
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class NotAResponseError(ProtocolError):
    """What was received where a response was to begin does not begin one."""


@dataclass(slots=True, weakref_slot=True)
class HttpResponse:
    """One complete final response.

    ``headers`` maps field names in lower case to values. ``keep_alive`` tells whether the connection can be
    used for another request.

    A body whose stated length is too short looks complete; only what follows on its connection tells.
    ``has_trailing_data`` says that something else than another response followed, which may be the rest of
    the body; ``is_end_confirmed`` says that no rest of it can follow. The connection sets both later,
    where that does not show in what was received together with the response.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool
    has_trailing_data: bool = False
    is_end_confirmed: bool = False


def encode_request(
    method: bytes,
    path: bytes,
    host: bytes,
    headers: tuple[tuple[bytes, bytes], ...],
    body: bytes | None = None,
) -> bytes:
    """Encodes a request; Content-Length is added if there is a body, which may be empty."""
    lines = [method + b" " + path + b" HTTP/1.1\r\nHost: " + host]
    lines += [name + b": " + value for name, value in headers]
    if body is not None:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + (body or b"")


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """Status line and header section; ``headers`` and ``keep_alive`` are those of ``HttpResponse``."""

    status: int
    headers: dict[bytes, bytes]
    keep_alive: bool


def take_response_head(buffer: bytearray) -> ResponseHead | None:
    """Removes a head from the front of ``buffer`` and parses it; None if it is not complete yet.

    Raises ``ProtocolError`` if the head is too long or malformed, as soon as that shows.
    """
    head_end = buffer.find(b"\r\n\r\n")
    if head_end > MAX_HEAD_BYTES or (head_end < 0 and len(buffer) > MAX_HEAD_BYTES):
        raise ProtocolError("response head too long")
    if not VERSION_PREFIX.startswith(bytes(buffer[: len(VERSION_PREFIX)])):
        # Not deferred to the end of the head, which other data may never contain.
        raise NotAResponseError("not an HTTP/1.x response")
    if head_end < 0:
        return None
    head = parse_response_head(bytes(buffer[:head_end]))
    del buffer[: head_end + 4]
    return head


def parse_response_head(head: bytes) -> ResponseHead:
    """Parses the status line and the header section, without the empty line that ends them.

    Raises ``ProtocolError`` if the head is malformed.
    """
    if head.count(b"\r\n") > MAX_HEADER_FIELDS:
        raise ProtocolError("too many header fields")
    status_line, *field_lines = head.split(b"\r\n")
    version, _, status_and_reason = status_line.partition(b" ")
    if (
        version not in (b"HTTP/1.1", b"HTTP/1.0")
        or not status_and_reason[:3].isdigit()
        or status_and_reason[3:4] not in (b"", b" ")
    ):
        raise NotAResponseError("not an HTTP/1.x response")
    headers: dict[bytes, bytes] = {}
    for line in field_lines:
        name, colon, value = line.partition(b":")
        if not colon or not name.strip():
            raise ProtocolError("malformed header field line")
        name, value = name.strip().lower(), value.strip()
        if name in FRAMING_HEADERS and headers.get(name, value) != value:
            raise ProtocolError("conflicting values of one header field")
        headers[name] = value
    connection_option = headers.get(b"connection", b"").lower()
    return ResponseHead(
        int(status_and_reason[:3]),
        headers,
        connection_option != b"close" and (version == b"HTTP/1.1" or connection_option == b"keep-alive"),
    )


def body_length(status: int, headers: dict[bytes, bytes]) -> int | None:
    """Returns the length of a body that is not chunked, or None if the end of the connection delimits it."""
    if status in BODILESS_STATUSES:
        return 0
    value = headers.get(b"content-length")
    if value is None:
        return None
    if not value.isdigit() or len(value) > 10:
        raise ProtocolError("invalid Content-Length")
    return int(value)


def is_chunked(headers: dict[bytes, bytes]) -> bool:
    """Whether the body uses the chunked transfer coding."""
    return headers.get(b"transfer-encoding", b"").lower() == b"chunked"


class ChunkedDecoder:
    """Decodes the chunked transfer coding; ``complete`` is set after the last chunk and its trailer section.

    Chunk extensions and trailer fields are ignored.
    """

    def __init__(self) -> None:
        self.complete = False
        self._chunk_remaining = 0  # bytes of the current chunk that are still to come
        self._expects_chunk_end = False  # the CRLF after the data of a chunk comes next
        self._in_trailer = False

    def decode(self, buffer: bytearray) -> bytes:
        """Removes all that can be decoded from the front of ``buffer`` and returns the data in it."""
        data = bytearray()
        while not self.complete and buffer:
            if self._chunk_remaining:
                part = buffer[: self._chunk_remaining]
                del buffer[: len(part)]
                data += part
                self._chunk_remaining -= len(part)
                self._expects_chunk_end = not self._chunk_remaining
                continue
            line_end = buffer.find(b"\r\n")
            if line_end > MAX_CHUNK_LINE_BYTES or (line_end < 0 and len(buffer) > MAX_CHUNK_LINE_BYTES):
                raise ProtocolError("chunk size or trailer line too long")
            if line_end < 0:
                break
            line = bytes(buffer[:line_end])
            del buffer[: line_end + 2]
            if self._expects_chunk_end:
                if line:
                    raise ProtocolError("chunk data longer than its chunk size")
                self._expects_chunk_end = False
            elif self._in_trailer:
                self.complete = not line
            else:
                size = line.partition(b";")[0].strip()
                if not size or size.strip(b"0123456789abcdefABCDEF") or len(size) > 8:
                    raise ProtocolError("invalid chunk size")
                self._chunk_remaining = int(size, 16)
                self._in_trailer = not self._chunk_remaining
        return bytes(data)


class ResponseParser:
    """Parses the responses on one connection, one at a time.

    A complete response is valid whatever data follows it, but its connection is then not kept alive. A
    response with status 200 must state its length: a body that only the end of the connection delimits may
    have been truncated.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self._max_body_bytes = max_body_bytes
        self._buffer = bytearray()
        self._head: ResponseHead | None = None
        self._body_length: int | None = None
        self._chunked_decoder: ChunkedDecoder | None = None
        self._body = bytearray()
        self._interim_responses = 0

    @property
    def has_unread_data(self) -> bool:
        """Whether data was received that is not yet part of a response."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> HttpResponse | None:
        """Accepts received data; returns the response once it is complete.

        Raises ``ProtocolError`` for data that is not an HTTP response or exceeds a limit.
        """
        if self._head is None and not self._buffer:
            response = self._parse_whole(data)
            if response is not None:
                return response
        self._buffer += data
        if self._head is None and not self._read_head():
            return None
        return self._finish() if self._read_body() else None

    def _read_head(self) -> bool:
        """Reads the head of the final response, after those of interim ones; False if it is incomplete."""
        while True:
            head = take_response_head(self._buffer)
            if head is None:
                return False
            if head.status >= 200:
                break
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                raise ProtocolError("too many interim responses")
        self._head = head
        self._chunked_decoder = ChunkedDecoder() if is_chunked(head.headers) else None
        self._body_length = None if self._chunked_decoder else body_length(head.status, head.headers)
        if self._body_length is None and self._chunked_decoder is None and head.status == 200:
            raise ProtocolError("200 response without Content-Length or chunked transfer coding")
        if self._body_length is not None and self._body_length > self._max_body_bytes:
            raise ProtocolError("response body too long")
        return True

    def _read_body(self) -> bool:
        """Reads as much of the body as has come; True if that completes the response."""
        if self._chunked_decoder is not None:
            self._body += self._chunked_decoder.decode(self._buffer)
        elif self._body_length is not None:
            part = self._buffer[: self._body_length - len(self._body)]
            self._body += part
            del self._buffer[: len(part)]
        else:
            self._body += self._buffer
            self._buffer.clear()
        if len(self._body) > self._max_body_bytes:
            raise ProtocolError("response body too long")
        if self._chunked_decoder is not None:
            return self._chunked_decoder.complete
        return self._body_length == len(self._body)

    def _parse_whole(self, data: bytes) -> HttpResponse | None:
        """Fast path for data that is exactly one final response of known length; None for all other data."""
        head_end = data.find(b"\r\n\r\n")
        if not 0 < head_end <= MAX_HEAD_BYTES:
            return None
        head = parse_response_head(data[:head_end])
        length = body_length(head.status, head.headers)
        is_whole = length is not None and len(data) == head_end + 4 + length
        if head.status < 200 or length is None or is_chunked(head.headers) or not is_whole:
            return None
        if length > self._max_body_bytes:
            raise ProtocolError("response body too long")
        return HttpResponse(head.status, head.headers, data[head_end + 4 :], head.keep_alive)

    def connection_closed(self) -> HttpResponse | None:
        """Returns the response that the end of the connection completes, or None if there is none."""
        if self._head is None or self._chunked_decoder is not None or self._body_length is not None:
            return None
        return self._finish()

    def _finish(self) -> HttpResponse:
        """Returns the current response and prepares for the next."""
        assert self._head is not None
        head = self._head
        is_delimited = self._body_length is not None or self._chunked_decoder is not None
        response = HttpResponse(
            head.status,
            head.headers,
            bytes(self._body),
            head.keep_alive and is_delimited and not self._buffer,
            has_trailing_data=self.has_unread_data and not self._buffer.startswith(VERSION_PREFIX),
        )
        self._head = None
        self._body_length = None
        self._chunked_decoder = None
        self._interim_responses = 0
        self._body = bytearray()
        return response
