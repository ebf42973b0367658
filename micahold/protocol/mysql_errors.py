"""Error codes of the MySQL server that the front sends, by their names in the server's reference."""

from __future__ import annotations

from enum import IntEnum


class ErrorCode(IntEnum):
    """Codes of ERR packets; clients may repeat a query after those that refuse it."""

    CON_COUNT_ERROR = 1040
    HANDSHAKE_ERROR = 1043
    ACCESS_DENIED_ERROR = 1045
    UNKNOWN_COM_ERROR = 1047
    BAD_DB_ERROR = 1049
    PARSE_ERROR = 1064
    NO_SUCH_THREAD = 1094
    UNKNOWN_ERROR = 1105
    NET_PACKET_TOO_LARGE = 1153
    NET_PACKETS_OUT_OF_ORDER = 1156
    NET_READ_INTERRUPTED = 1159
    USER_LIMIT_REACHED = 1226
    QUERY_INTERRUPTED = 1317


# SQLSTATE by error code; all others have HY000.
SQL_STATES = {
    ErrorCode.CON_COUNT_ERROR: b"08004",
    ErrorCode.HANDSHAKE_ERROR: b"08S01",
    ErrorCode.ACCESS_DENIED_ERROR: b"28000",
    ErrorCode.UNKNOWN_COM_ERROR: b"08S01",
    ErrorCode.BAD_DB_ERROR: b"42000",
    ErrorCode.PARSE_ERROR: b"42000",
    ErrorCode.NET_PACKET_TOO_LARGE: b"08S01",
    ErrorCode.NET_PACKETS_OUT_OF_ORDER: b"08S01",
    ErrorCode.NET_READ_INTERRUPTED: b"08S01",
    ErrorCode.USER_LIMIT_REACHED: b"42000",
    ErrorCode.QUERY_INTERRUPTED: b"70100",
}
GENERAL_SQL_STATE = b"HY000"
