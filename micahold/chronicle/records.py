"""The records, one struct a kind: a kind keeps its number for ever, new fields come at the end.

Arrays of msgpack: a reader passes over further fields that it does not know, and takes defaults for those
that an older writer did not have. A kind that it does not know is skipped and counted by the caller. Times
are Unix microseconds of the front's own clock.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

Number = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class Record(msgspec.Struct, frozen=True, array_like=True):
    """What every record begins with."""

    at: Number


class RunStarted(Record, frozen=True, array_like=True):
    front: str
    run: str
    version: str = ""
    settings: str = ""  # digest of the configuration


class RunEnded(Record, frozen=True, array_like=True):
    why: str = ""


class PhaseEntered(Record, frozen=True, array_like=True):
    phase: str


class ConfigurationTaken(Record, frozen=True, array_like=True):
    what: tuple[str, ...] = ()
    waits: tuple[str, ...] = ()
    refused: str = ""


class ListChanged(Record, frozen=True, array_like=True):
    revision: int
    kind: str
    engines: tuple[tuple[str, str], ...] = ()  # engine, state


class QueryTaken(Record, frozen=True, array_like=True):
    """``deadline`` is a time of the same clock; ``worth`` what it earns if served in time."""

    query: int
    id: str
    query_class: str
    tenant: str = ""
    worth: float = 1.0
    deadline: Number = 0
    late_share: float = 0.0
    aim: Number = 0


class AttemptSent(Record, frozen=True, array_like=True):
    query: int
    attempt: int
    engine: str


class AttemptEnded(Record, frozen=True, array_like=True):
    """``stamp`` is the engine's own time of it, 0 where it tells none."""

    query: int
    attempt: int
    engine: str
    outcome: str
    stamp: Number = 0


class QueryHeld(Record, frozen=True, array_like=True):
    query: int
    why: str = ""


class QueryAnswered(Record, frozen=True, array_like=True):
    """``how``: served, refused, failed, dropped."""

    query: int
    how: str
    why: str = ""
    attempts: int = 0


class EngineJudged(Record, frozen=True, array_like=True):
    """``state``: suspected, on trial, trusted, doubted by hearsay."""

    engine: str
    state: str
    why: str = ""


class TenantInDebt(Record, frozen=True, array_like=True):
    tenant: str
    level: float


class MemberChanged(Record, frozen=True, array_like=True):
    name: str
    status: str
    why: str = ""


class Summary(Record, frozen=True, array_like=True):
    """Once a second."""

    open: int
    held: int
    out: tuple[tuple[str, int], ...] = ()
    client_bytes: int = 0
    late_ms: int = 0


class Missing(Record, frozen=True, array_like=True):
    """So many records could not be kept: the buffer was full, or the disk did not take them."""

    count: Number
    why: str = ""


KINDS: dict[int, type[Record]] = {
    1: RunStarted,
    2: RunEnded,
    3: PhaseEntered,
    4: ConfigurationTaken,
    5: ListChanged,
    6: QueryTaken,
    7: AttemptSent,
    8: AttemptEnded,
    9: QueryHeld,
    10: QueryAnswered,
    11: EngineJudged,
    12: TenantInDebt,
    13: MemberChanged,
    14: Summary,
    15: Missing,
}
NUMBERS = {kind: number for number, kind in KINDS.items()}
_encode = msgspec.msgpack.Encoder().encode
_decoders: dict[int, msgspec.msgpack.Decoder[Any]] = {
    number: msgspec.msgpack.Decoder(kind) for number, kind in KINDS.items()
}


def encode(record: Record) -> tuple[int, bytes]:
    """Kind and payload."""
    return NUMBERS[type(record)], _encode(record)


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
