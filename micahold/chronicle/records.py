"""The records, one struct a kind: a kind keeps its number for ever, new fields come at the end.

Arrays of msgpack: a reader passes over further fields that it does not know, and takes defaults for those
that an older writer did not have. A kind that it does not know is skipped and counted by the caller. Times
are Unix microseconds of the front's own clock.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

UnsignedInt63 = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class Record(msgspec.Struct, frozen=True, array_like=True):
    """What every record begins with."""

    time_us: UnsignedInt63


class RunStarted(Record, frozen=True, array_like=True):
    front: str
    run_id: str
    version: str = ""
    settings_digest: str = ""  # digest of the configuration


class RunEnded(Record, frozen=True, array_like=True):
    reason: str = ""


class PhaseEntered(Record, frozen=True, array_like=True):
    phase: str


class ConfigurationReload(Record, frozen=True, array_like=True):
    applied: tuple[str, ...] = ()
    pending_restart: tuple[str, ...] = ()
    rejection: str = ""


class EngineListChanged(Record, frozen=True, array_like=True):
    revision: int
    update_kind: str
    engines: tuple[tuple[str, str], ...] = ()  # engine, state


class QueryAccepted(Record, frozen=True, array_like=True):
    """``deadline_us`` is a time of the same clock; ``worth`` what it earns if served in time."""

    query: int
    query_id: str
    query_class: str
    tenant: str = ""
    worth: float = 1.0
    deadline_us: UnsignedInt63 = 0
    late_worth_share: float = 0.0
    soft_deadline_us: UnsignedInt63 = 0


class AttemptSent(Record, frozen=True, array_like=True):
    query: int
    attempt: int
    engine: str


class AttemptEnded(Record, frozen=True, array_like=True):
    """``engine_time_us`` is the engine's own time of it, 0 where it tells none."""

    query: int
    attempt: int
    engine: str
    outcome: str
    engine_time_us: UnsignedInt63 = 0


class QueryHeld(Record, frozen=True, array_like=True):
    query: int
    reason: str = ""


class QueryAnswered(Record, frozen=True, array_like=True):
    """``outcome``: served, refused, failed, dropped."""

    query: int
    outcome: str
    reason: str = ""
    attempt_count: int = 0


class EngineStateChanged(Record, frozen=True, array_like=True):
    """``state``: suspected, on trial, trusted, doubted by hearsay."""

    engine: str
    state: str
    reason: str = ""


class TenantInDebt(Record, frozen=True, array_like=True):
    tenant: str
    bucket_level: float


class MemberStatusChanged(Record, frozen=True, array_like=True):
    name: str
    status: str
    reason: str = ""


class Summary(Record, frozen=True, array_like=True):
    """Once a second."""

    open_queries: int
    held_queries: int
    in_flight: tuple[tuple[str, int], ...] = ()
    client_bytes: int = 0
    late_ms: int = 0


class RecordsLost(Record, frozen=True, array_like=True):
    """So many records could not be kept: the buffer was full, or the disk did not take them."""

    count: UnsignedInt63
    reason: str = ""


TYPES_BY_NUMBER: dict[int, type[Record]] = {
    1: RunStarted,
    2: RunEnded,
    3: PhaseEntered,
    4: ConfigurationReload,
    5: EngineListChanged,
    6: QueryAccepted,
    7: AttemptSent,
    8: AttemptEnded,
    9: QueryHeld,
    10: QueryAnswered,
    11: EngineStateChanged,
    12: TenantInDebt,
    13: MemberStatusChanged,
    14: Summary,
    15: RecordsLost,
}
NUMBERS_BY_TYPE = {kind: number for number, kind in TYPES_BY_NUMBER.items()}
_encode = msgspec.msgpack.Encoder().encode
_decoders: dict[int, msgspec.msgpack.Decoder[Any]] = {
    number: msgspec.msgpack.Decoder(kind) for number, kind in TYPES_BY_NUMBER.items()
}


def encode(record: Record) -> tuple[int, bytes]:
    """Kind and payload."""
    return NUMBERS_BY_TYPE[type(record)], _encode(record)


def decode(kind: int, payload: bytes) -> Record | None:
    """None for a kind, or a form of it, that this version does not know."""
    decoder = _decoders.get(kind)
    if decoder is None:
        return None
    try:
        record: Record = decoder.decode(payload)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return record
