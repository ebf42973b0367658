"""MySQL client protocol 4.1: greeting, login, and the short answers OK, EOF and ERR."""

from __future__ import annotations

from dataclasses import dataclass

from micahold.protocol.errors import ProtocolError

SERVER_VERSION = b"5.7.0-micahold"
AUTH_PLUGIN = b"mysql_native_password"
SCRAMBLE_BYTES = 20
UTF8_GENERAL_CI = 33
SERVER_STATUS_AUTOCOMMIT = 2

CLIENT_LONG_PASSWORD = 0x1
CLIENT_CONNECT_WITH_DB = 0x8
CLIENT_PROTOCOL_41 = 0x200
CLIENT_SSL = 0x800
CLIENT_TRANSACTIONS = 0x2000
CLIENT_SECURE_CONNECTION = 0x8000
CLIENT_PLUGIN_AUTH = 0x80000
CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA = 0x200000
CAPABILITIES = (
    CLIENT_LONG_PASSWORD
    | CLIENT_CONNECT_WITH_DB
    | CLIENT_PROTOCOL_41
    | CLIENT_TRANSACTIONS
    | CLIENT_SECURE_CONNECTION
    | CLIENT_PLUGIN_AUTH
)

SQL_STATES = {
    1040: b"08004", 1043: b"08S01", 1045: b"28000", 1047: b"08S01", 1049: b"42000",
    1053: b"08S01", 1064: b"42000", 1094: b"HY000", 1105: b"HY000", 1153: b"08S01", 1156: b"08S01",
    1159: b"08S01",
    1203: b"42000", 1226: b"42000", 1317: b"70100",
}  # fmt: skip


@dataclass(slots=True, frozen=True)
class HandshakeResponse:
    """What a client says of itself."""

    user: bytes
    auth_response: bytes
    database: bytes


def handshake_payload(connection_id: int, scramble: bytes) -> bytes:
    """The server's first packet."""
    return b"".join(
        (
            b"\x0a" + SERVER_VERSION + b"\0",
            (connection_id & 0xFFFFFFFF).to_bytes(4, "little"),
            scramble[:8] + b"\0",
            (CAPABILITIES & 0xFFFF).to_bytes(2, "little"),
            bytes((UTF8_GENERAL_CI,)) + SERVER_STATUS_AUTOCOMMIT.to_bytes(2, "little"),
            (CAPABILITIES >> 16).to_bytes(2, "little"),
            bytes((SCRAMBLE_BYTES + 1,)) + bytes(10),
            scramble[8:SCRAMBLE_BYTES] + b"\0",
            AUTH_PLUGIN + b"\0",
        )
    )


def _until_zero(payload: bytes, start: int) -> tuple[bytes, int]:
    end = payload.find(b"\0", start)
    if end < 0:
        raise ProtocolError("login cut short")
    return payload[start:end], end + 1


def parse_handshake_response(payload: bytes) -> HandshakeResponse:
    """The client's answer to the greeting."""
    if len(payload) < 32:
        raise ProtocolError("login cut short")
    flags = int.from_bytes(payload[:4], "little")
    if not flags & CLIENT_PROTOCOL_41:
        raise ProtocolError("not the 4.1 protocol")
    if flags & CLIENT_SSL:
        raise ProtocolError("encryption is not offered")
    user, at = _until_zero(payload, 32)
    if flags & (CLIENT_SECURE_CONNECTION | CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA):
        end = at + 1 + payload[at] if at < len(payload) else at + 1
        if end > len(payload):
            raise ProtocolError("login cut short")
        auth_response, at = payload[at + 1 : end], end
    else:
        auth_response, at = _until_zero(payload, at)
    database = b""
    if flags & CLIENT_CONNECT_WITH_DB and at < len(payload):
        end = payload.find(b"\0", at)
        database = payload[at : len(payload) if end < 0 else end]
    return HandshakeResponse(user, auth_response, database)


def ok_payload() -> bytes:
    """OK: no rows touched, no warnings."""
    return b"\0\0\0" + SERVER_STATUS_AUTOCOMMIT.to_bytes(2, "little") + b"\0\0"


def eof_payload() -> bytes:
    return b"\xfe\0\0" + SERVER_STATUS_AUTOCOMMIT.to_bytes(2, "little")


def error_payload(code: int, text: str) -> bytes:
    state = SQL_STATES.get(code, b"HY000")
    return b"\xff" + code.to_bytes(2, "little") + b"#" + state + text.encode()
