"""Encodes MySQL text result sets from the pages of an engine; the bytes of the values are not changed.

Rows are encoded in one pass as the pages arrive, since this is the most frequent work of a front.
"""

from __future__ import annotations

from dataclasses import dataclass

from micahold.protocol.errors import ProtocolError
from micahold.protocol.mysql_handshake import UTF8_GENERAL_CI, eof_payload
from micahold.protocol.mysql_packets import encode_lenenc_int, encode_lenenc_string, encode_packet

COLUMN_NAMES = (b"c1", b"c2", b"c3")
MYSQL_TYPE_VAR_STRING = 0xFD
MAX_VALUE_BYTES = 65535
# Bounds the pages of one result, which is buffered until it is complete. Engines send at most 48,000 bytes.
MAX_RESULT_BYTES = 64 * 1024


def _column_definition(name: bytes) -> bytes:
    """Encodes the payload of a Protocol::ColumnDefinition41 for a column of strings."""
    return b"".join(
        (
            encode_lenenc_string(b"def"),
            b"\0\0\0" + encode_lenenc_string(name) + b"\0",
            b"\x0c" + UTF8_GENERAL_CI.to_bytes(2, "little") + MAX_VALUE_BYTES.to_bytes(4, "little"),
            bytes((MYSQL_TYPE_VAR_STRING,)) + b"\0\0\0\0\0",
        )
    )


EOF_PAYLOAD = eof_payload()
_METADATA_PAYLOADS = (
    encode_lenenc_int(len(COLUMN_NAMES)),
    *(_column_definition(name) for name in COLUMN_NAMES),
    EOF_PAYLOAD,
)
METADATA_PACKETS = b"".join(
    encode_packet(sequence_id, payload) for sequence_id, payload in enumerate(_METADATA_PAYLOADS, start=1)
)
# Sequence id of the first row in the response to a query.
FIRST_ROW_SEQUENCE_ID = len(_METADATA_PAYLOADS) + 1

# In a row with a payload below this size, the length of every value is encoded in one byte.
_SHORT_ROW_BYTES = 0xFB
_BYTE = [bytes((value,)) for value in range(256)]
_PAYLOAD_LENGTH = [value.to_bytes(3, "little") for value in range(_SHORT_ROW_BYTES)]


@dataclass(slots=True, frozen=True)
class ResultMark:
    """A place between two pages of a result."""

    encoded_parts: int
    sequence_id: int
    page_bytes: int


class ResultSetEncoder:
    """Encodes the complete response to a query from its pages, which are added in order."""

    def __init__(self) -> None:
        self._encoded: list[bytes] = [METADATA_PACKETS]
        self._sequence_id = FIRST_ROW_SEQUENCE_ID
        self._page_bytes = 0

    def add_page(self, page: bytes) -> None:
        """Encodes the rows of one page: lines of tab-separated values, one for each column.

        Raises ``ProtocolError`` if the page ends within a row, a row has another number of values, or the
        result is too large. Nothing of such a page is kept, so that it can be requested and added again.
        """
        if not page:
            return
        if self._page_bytes + len(page) > MAX_RESULT_BYTES:
            raise ProtocolError("result too large")
        lines = page.split(b"\n")
        if lines.pop():
            raise ProtocolError("page ends within a row")
        encoded: list[bytes] = []
        sequence_id = self._sequence_id
        for line in lines:
            try:
                first, second, third = line.split(b"\t")
            except ValueError:
                raise ProtocolError("row with the wrong number of columns") from None
            payload_bytes = len(line) + 1  # three length bytes replace two tabs
            if payload_bytes < _SHORT_ROW_BYTES:
                encoded += (
                    _PAYLOAD_LENGTH[payload_bytes], _BYTE[sequence_id & 255],
                    _BYTE[len(first)], first, _BYTE[len(second)], second, _BYTE[len(third)], third,
                )  # fmt: skip
            else:
                values = (
                    encode_lenenc_string(first),
                    encode_lenenc_string(second),
                    encode_lenenc_string(third),
                )
                encoded.append(encode_packet(sequence_id, b"".join(values)))
            sequence_id += 1
        self._encoded += encoded
        self._sequence_id = sequence_id
        self._page_bytes += len(page)

    def mark(self) -> ResultMark:
        """The place behind the pages so far."""
        return ResultMark(len(self._encoded), self._sequence_id, self._page_bytes)

    def remove_behind(self, mark: ResultMark) -> None:
        """Removes the pages that were added behind ``mark``."""
        del self._encoded[mark.encoded_parts :]
        self._sequence_id = mark.sequence_id
        self._page_bytes = mark.page_bytes

    def finish(self) -> bytes:
        """Returns all packets, from the column count to the final EOF_Packet; ends the use of the encoder."""
        self._encoded.append(encode_packet(self._sequence_id, EOF_PAYLOAD))
        return b"".join(self._encoded)
