"""MySQL result sets in the text protocol, from an engine's pages; cells stay the bytes that came.

Rows are put into packets in one pass as the pages are read, since this is the most done work of a front.
"""

from __future__ import annotations

from micahold.protocol.errors import ProtocolError
from micahold.protocol.mysql_handshake import UTF8_GENERAL_CI, eof_payload
from micahold.protocol.mysql_packets import encode_lenenc_int, encode_lenenc_string, encode_packet

COLUMNS = (b"c1", b"c2", b"c3")
VAR_STRING = 0xFD
WIDEST_CELL = 65535
# of one result, which holds 48,000 at most; results are kept until they are whole
MAX_RESULT_BYTES = 64 * 1024


def _column(name: bytes) -> bytes:
    return b"".join(
        (
            encode_lenenc_string(b"def"),
            b"\0\0\0" + encode_lenenc_string(name) + b"\0",
            b"\x0c" + UTF8_GENERAL_CI.to_bytes(2, "little") + WIDEST_CELL.to_bytes(4, "little"),
            bytes((VAR_STRING,)) + b"\0\0\0\0\0",
        )
    )


EOF = eof_payload()
_HEAD = (encode_lenenc_int(len(COLUMNS)), *(_column(name) for name in COLUMNS), EOF)
HEAD = b"".join(encode_packet(number, payload) for number, payload in enumerate(_HEAD, start=1))
FIRST_ROW_SEQUENCE_ID = len(_HEAD) + 1  # sequence number of the first row in the answer to a query

_SHORT = 0xFB  # a row below this many bytes has all its lengths in one byte each
_BYTE = [bytes((value,)) for value in range(256)]
_SIZE = [value.to_bytes(3, "little") for value in range(_SHORT)]


class ResultSetEncoder:
    """Takes pages in order and gives the whole answer to the query."""

    def __init__(self) -> None:
        self._parts: list[bytes] = [HEAD]
        self._sequence = FIRST_ROW_SEQUENCE_ID
        self._size = 0

    def add_page(self, page: bytes) -> None:
        """One page; it holds whole rows."""
        if not page:
            return
        self._size += len(page)
        if self._size > MAX_RESULT_BYTES:
            raise ProtocolError("a result that is too large")
        lines = page.split(b"\n")
        if lines.pop():
            raise ProtocolError("a page that ends within a row")
        parts, sequence = self._parts, self._sequence
        for line in lines:
            try:
                first, second, third = line.split(b"\t")
            except ValueError:
                raise ProtocolError("a row of the wrong number of columns") from None
            size = len(line) + 1  # two tabs go, three lengths come
            if size < _SHORT:
                parts += (
                    _SIZE[size], _BYTE[sequence & 255],
                    _BYTE[len(first)], first, _BYTE[len(second)], second, _BYTE[len(third)], third,
                )  # fmt: skip
            else:
                cells = (
                    encode_lenenc_string(first),
                    encode_lenenc_string(second),
                    encode_lenenc_string(third),
                )
                parts.append(encode_packet(sequence, b"".join(cells)))
            sequence += 1
        self._sequence = sequence

    def finish(self) -> bytes:
        """The packets from the number of columns to the last EOF."""
        self._parts.append(encode_packet(self._sequence, EOF))
        return b"".join(self._parts)
