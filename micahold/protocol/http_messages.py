"""HTTP/1.1 as a client needs it: requests to bytes, and answers from bytes in any split."""

from __future__ import annotations

from dataclasses import dataclass

from micahold.protocol.errors import ProtocolError

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
MOST_INTERIM = 16  # interim answers ahead of one answer
LONGEST_LINE = 1024  # of a chunk size or a trailer
START = b"HTTP/1."
NO_BODY = (204, 304)
SINGLE = (b"content-length", b"transfer-encoding")  # two that differ leave open where the answer ends


@dataclass(slots=True)
class HttpResponse:
    """One whole answer; names of headers are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool


def encode_request(
    method: bytes,
    path: bytes,
    host: bytes,
    headers: tuple[tuple[bytes, bytes], ...],
    body: bytes | None = None,
) -> bytes:
    lines = [method + b" " + path + b" HTTP/1.1\r\nHost: " + host]
    lines += [name + b": " + value for name, value in headers]
    if body is not None:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + (body or b"")


def parse_response_head(head: bytes) -> tuple[int, dict[bytes, bytes], bool]:
    """Status, headers and whether the connection stays open, from a head without its empty line."""
    first, *lines = head.split(b"\r\n")
    version, _, rest = first.partition(b" ")
    if version not in (b"HTTP/1.1", b"HTTP/1.0") or not rest[:3].isdigit() or rest[3:4] not in (b"", b" "):
        raise ProtocolError("not an HTTP answer")
    headers: dict[bytes, bytes] = {}
    for line in lines:
        name, sign, value = line.partition(b":")
        if not sign or not name.strip():
            raise ProtocolError("a header line that can't be read")
        name, value = name.strip().lower(), value.strip()
        if name in SINGLE and headers.get(name, value) != value:
            raise ProtocolError("a header that contradicts itself")
        headers[name] = value
    word = headers.get(b"connection", b"").lower()
    return int(rest[:3]), headers, word != b"close" and (version == b"HTTP/1.1" or word == b"keep-alive")


def body_size(status: int, headers: dict[bytes, bytes]) -> int | None:
    """The size that the head tells; None where only the end of the connection tells it."""
    if status in NO_BODY:
        return 0
    value = headers.get(b"content-length")
    if value is None:
        return None
    if not value.isdigit() or len(value) > 10:
        raise ProtocolError("a length that can't be read")
    return int(value)


def is_chunked(headers: dict[bytes, bytes]) -> bool:
    return headers.get(b"transfer-encoding", b"").lower() == b"chunked"


class ChunkedDecoder:
    """A chunked body, chunk by chunk; whole once the last chunk and its trailer have come."""

    def __init__(self) -> None:
        self.complete = False
        self._left = 0  # bytes of the chunk being read
        self._ends_line = False  # the line end behind a chunk is due
        self._in_trailer = False

    def decode(self, kept: bytearray) -> bytes:
        """Cuts what is whole off the front of ``kept`` and gives the data in it."""
        data = bytearray()
        while not self.complete and kept:
            if self._left:
                part = kept[: self._left]
                del kept[: len(part)]
                data += part
                self._left -= len(part)
                self._ends_line = not self._left
                continue
            end = kept.find(b"\r\n")
            if end > LONGEST_LINE or (end < 0 and len(kept) > LONGEST_LINE):
                raise ProtocolError("a chunk size that can't be read")
            if end < 0:
                break
            line = bytes(kept[:end])
            del kept[: end + 2]
            if self._ends_line:
                if line:
                    raise ProtocolError("a chunk without its end")
                self._ends_line = False
            elif self._in_trailer:
                self.complete = not line
            else:
                size = line.partition(b";")[0].strip()
                if not size or size.strip(b"0123456789abcdefABCDEF") or len(size) > 8:
                    raise ProtocolError("a chunk size that can't be read")
                self._left = int(size, 16)
                self._in_trailer = not self._left
        return bytes(data)


class ResponseParser:
    """Answers on one connection, one at a time.

    A whole answer counts whatever comes behind it, but its connection is then of no further use. A good
    answer tells its size: one that only the end of the connection ends may have been cut off.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self._max_body_bytes = max_body_bytes
        self._kept = bytearray()
        self._head: tuple[int, dict[bytes, bytes], bool] | None = None
        self._size: int | None = None
        self._chunks: ChunkedDecoder | None = None
        self._body = bytearray()
        self._interim = 0

    def feed(self, data: bytes) -> HttpResponse | None:
        """The answer once it is whole."""
        if self._head is None and not self._kept:
            answer = self._whole(data)
            if answer is not None:
                return answer
        self._kept += data
        while self._head is None:
            end = self._kept.find(b"\r\n\r\n")
            if end > MAX_HEAD_BYTES or (end < 0 and len(self._kept) > MAX_HEAD_BYTES):
                raise ProtocolError("a head that is too long")
            if not START.startswith(bytes(self._kept[: len(START)])):
                raise ProtocolError("not an HTTP answer")  # at once: noise may never have the end of a head
            if end < 0:
                return None
            head = parse_response_head(bytes(self._kept[:end]))
            del self._kept[: end + 4]
            if head[0] < 200:
                self._interim += 1
                if self._interim > MOST_INTERIM:
                    raise ProtocolError("interim answers without end")
                continue  # the real one follows
            self._head = head
            self._chunks = ChunkedDecoder() if is_chunked(head[1]) else None
            self._size = None if self._chunks else body_size(head[0], head[1])
            if self._size is None and self._chunks is None and head[0] == 200:
                raise ProtocolError("a body of no told size")
            if self._size is not None and self._size > self._max_body_bytes:
                raise ProtocolError("a body that is too long")
        if self._chunks is not None:
            self._body += self._chunks.decode(self._kept)
        elif self._size is not None:
            part = self._kept[: self._size - len(self._body)]
            self._body += part
            del self._kept[: len(part)]
        else:
            self._body += self._kept
            self._kept.clear()
        if len(self._body) > self._max_body_bytes:
            raise ProtocolError("a body that is too long")
        whole = self._chunks.complete if self._chunks else self._size == len(self._body)
        return self._finish() if whole else None

    def _whole(self, data: bytes) -> HttpResponse | None:
        """The usual case at one go: one answer of a told size, come all at once."""
        end = data.find(b"\r\n\r\n")
        if not 0 < end <= MAX_HEAD_BYTES:
            return None
        status, headers, keep_alive = parse_response_head(data[:end])
        size = body_size(status, headers)
        if status < 200 or size is None or is_chunked(headers) or len(data) != end + 4 + size:
            return None
        if size > self._max_body_bytes:
            raise ProtocolError("a body that is too long")
        return HttpResponse(status, headers, data[end + 4 :], keep_alive)

    def connection_closed(self) -> HttpResponse | None:
        """The connection has ended: the answer whose end only that could tell, if there is one."""
        if self._head is None or self._chunks is not None or self._size is not None:
            return None
        return self._finish()

    def _finish(self) -> HttpResponse:
        assert self._head is not None
        status, headers, keep_alive = self._head
        told = self._size is not None or self._chunks is not None
        answer = HttpResponse(status, headers, bytes(self._body), keep_alive and told and not self._kept)
        self._head, self._size, self._chunks, self._interim = None, None, None, 0
        self._body = bytearray()
        return answer
