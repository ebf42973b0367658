"""The connection phase of the MySQL client/server protocol, and the packets OK, EOF and ERR."""

from __future__ import annotations

from dataclasses import dataclass

from micahold.protocol.errors import ProtocolError
from micahold.protocol.mysql_errors import GENERAL_SQL_STATE, SQL_STATES, ErrorCode

SERVER_VERSION = b"5.7.0-micahold"
AUTH_PLUGIN_NAME = b"mysql_native_password"
SCRAMBLE_BYTES = 20
# Number of the character set utf8_general_ci.
UTF8_GENERAL_CI = 33
# Status flag.
SERVER_STATUS_AUTOCOMMIT = 2

# Capability flags.
CLIENT_LONG_PASSWORD = 0x1
CLIENT_CONNECT_WITH_DB = 0x8
CLIENT_PROTOCOL_41 = 0x200
CLIENT_SSL = 0x800
CLIENT_TRANSACTIONS = 0x2000
CLIENT_SECURE_CONNECTION = 0x8000
CLIENT_PLUGIN_AUTH = 0x80000
CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA = 0x200000
# Capabilities that the server offers.
SERVER_CAPABILITIES = (
    CLIENT_LONG_PASSWORD
    | CLIENT_CONNECT_WITH_DB
    | CLIENT_PROTOCOL_41
    | CLIENT_TRANSACTIONS
    | CLIENT_SECURE_CONNECTION
    | CLIENT_PLUGIN_AUTH
)


@dataclass(slots=True, frozen=True)
class HandshakeResponse:
    """The fields of Protocol::HandshakeResponse41 that the front uses."""

    user: bytes
    auth_response: bytes
    database: bytes


def handshake_payload(connection_id: int, scramble: bytes) -> bytes:
    """Encodes the payload of Protocol::HandshakeV10, the first packet of the server.

    ``scramble`` is the auth-plugin-data of SCRAMBLE_BYTES bytes, none of them zero.
    """
    return b"".join(
        (
            b"\x0a" + SERVER_VERSION + b"\0",
            (connection_id & 0xFFFFFFFF).to_bytes(4, "little"),
            scramble[:8] + b"\0",
            (SERVER_CAPABILITIES & 0xFFFF).to_bytes(2, "little"),
            bytes((UTF8_GENERAL_CI,)) + SERVER_STATUS_AUTOCOMMIT.to_bytes(2, "little"),
            (SERVER_CAPABILITIES >> 16).to_bytes(2, "little"),
            bytes((SCRAMBLE_BYTES + 1,)) + bytes(10),
            scramble[8:SCRAMBLE_BYTES] + b"\0",
            AUTH_PLUGIN_NAME + b"\0",
        )
    )


def _read_null_terminated(payload: bytes, start: int) -> tuple[bytes, int]:
    """Reads a ``string<NUL>``; returns it and the offset after its terminator."""
    end = payload.find(b"\0", start)
    if end < 0:
        raise ProtocolError("login cut short")
    return payload[start:end], end + 1


def parse_handshake_response(payload: bytes) -> HandshakeResponse:
    """Parses the payload of Protocol::HandshakeResponse41, the client's first packet.

    Raises ``ProtocolError`` if it is truncated, of another protocol version or requests TLS.
    """
    if len(payload) < 32:
        raise ProtocolError("login cut short")
    capabilities = int.from_bytes(payload[:4], "little")
    if not capabilities & CLIENT_PROTOCOL_41:
        raise ProtocolError("not the 4.1 protocol")
    if capabilities & CLIENT_SSL:
        raise ProtocolError("encryption is not offered")
    user, offset = _read_null_terminated(payload, 32)
    if capabilities & (CLIENT_SECURE_CONNECTION | CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA):
        # One byte of length in both forms: a length-encoded integer below 251 is that byte.
        end = offset + 1 + payload[offset] if offset < len(payload) else offset + 1
        if end > len(payload):
            raise ProtocolError("login cut short")
        auth_response, offset = payload[offset + 1 : end], end
    else:
        auth_response, offset = _read_null_terminated(payload, offset)
    database = b""
    if capabilities & CLIENT_CONNECT_WITH_DB and offset < len(payload):
        end = payload.find(b"\0", offset)
        database = payload[offset : len(payload) if end < 0 else end]
    return HandshakeResponse(user, auth_response, database)


def ok_payload() -> bytes:
    """Encodes the payload of an OK_Packet without affected rows, insert id or warnings."""
    return b"\0\0\0" + SERVER_STATUS_AUTOCOMMIT.to_bytes(2, "little") + b"\0\0"


def eof_payload() -> bytes:
    """Encodes the payload of an EOF_Packet without warnings."""
    return b"\xfe\0\0" + SERVER_STATUS_AUTOCOMMIT.to_bytes(2, "little")


def error_payload(code: ErrorCode, text: str) -> bytes:
    """Encodes the payload of an ERR_Packet."""
    sql_state = SQL_STATES.get(code, GENERAL_SQL_STATE)
    return b"\xff" + code.to_bytes(2, "little") + b"#" + sql_state + text.encode()
