"""Record types of the event log, one struct for each kind of event.

Records are msgpack arrays. A kind never changes its number, and new fields are only added at the end: a
decoder ignores further fields, and uses the defaults for fields that an older writer did not have. For an
unknown kind ``decode`` returns None, and the caller skips and counts the record. Times are Unix microseconds
of the front's own clock.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

UnsignedInt63 = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Base class with the field that begins every record."""

    time_us: UnsignedInt63


class RunStarted(Record, frozen=True, array_like=True):
    """The front started a run: one lifetime of its process."""

    front: str
    run_id: str
    version: str = ""
    settings_digest: str = ""  # digest of the configuration


class RunEnded(Record, frozen=True, array_like=True):
    """The front ended its run."""

    reason: str = ""


class PhaseEntered(Record, frozen=True, array_like=True):
    """The front entered a phase."""

    phase: str


class ConfigurationReload(Record, frozen=True, array_like=True):
    """The configuration was reloaded: settings applied, settings that need a restart, or the rejection."""

    applied: tuple[str, ...] = ()
    pending_restart: tuple[str, ...] = ()
    rejection: str = ""


class EngineListChanged(Record, frozen=True, array_like=True):
    """The front received a change of the engine list."""

    revision: int
    update_kind: str
    engines: tuple[tuple[str, str], ...] = ()  # engine, state


class QueryAccepted(Record, frozen=True, array_like=True):
    """The front took a query from a client.

    ``query`` is the front's number of the query, also in its other records; ``query_id`` is the client's id,
    which a retry repeats. ``deadline_us`` and ``soft_deadline_us`` are times of the front's clock. The query
    earns ``worth`` if served in time and ``late_worth_share`` of it after the soft deadline, if there is one
    (not 0).
    """

    query: int
    query_id: str
    query_class: str
    tenant: str = ""
    worth: float = 1.0
    deadline_us: UnsignedInt63 = 0
    late_worth_share: float = 0.0
    soft_deadline_us: UnsignedInt63 = 0


class AttemptSent(Record, frozen=True, array_like=True):
    """The front sent an attempt of a query to an engine."""

    query: int
    attempt: int
    engine: str


class AttemptEnded(Record, frozen=True, array_like=True):
    """An attempt ended; ``engine_time_us`` is the engine's own timestamp, 0 where it sends none."""

    query: int
    attempt: int
    engine: str
    outcome: str
    engine_time_us: UnsignedInt63 = 0


class QueryHeld(Record, frozen=True, array_like=True):
    """The front holds a query until it can be sent to an engine."""

    query: int
    reason: str = ""


class QueryAnswered(Record, frozen=True, array_like=True):
    """A query ended; ``outcome`` is "served", "refused", "failed" or "dropped"."""

    query: int
    outcome: str
    reason: str = ""
    attempt_count: int = 0


class EngineStateChanged(Record, frozen=True, array_like=True):
    """The front's assessment of an engine changed.

    ``state`` is "suspected", "on trial" (half-open), "trusted", or "doubted by hearsay" (peer reports).
    """

    engine: str
    state: str
    reason: str = ""


class TenantInDebt(Record, frozen=True, array_like=True):
    """A tenant's token bucket went into debt, to ``bucket_level``."""

    tenant: str
    bucket_level: float


class MemberStatusChanged(Record, frozen=True, array_like=True):
    """A member of the gossip group changed its status."""

    name: str
    status: str
    reason: str = ""


class Summary(Record, frozen=True, array_like=True):
    """State of the front, written once a second."""

    open_queries: int
    held_queries: int
    in_flight: tuple[tuple[str, int], ...] = ()
    client_bytes: int = 0
    late_ms: int = 0


class RecordsLost(Record, frozen=True, array_like=True):
    """``count`` records were not written, because the buffer was full or the disk did not accept them."""

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
NUMBERS_BY_TYPE = {record_type: number for number, record_type in TYPES_BY_NUMBER.items()}
_encode = msgspec.msgpack.Encoder().encode
_decoders: dict[int, msgspec.msgpack.Decoder[Any]] = {
    number: msgspec.msgpack.Decoder(record_type) for number, record_type in TYPES_BY_NUMBER.items()
}


def encode(record: Record) -> tuple[int, bytes]:
    """Returns the kind number of a record and its msgpack payload."""
    return NUMBERS_BY_TYPE[type(record)], _encode(record)


def decode(kind: int, payload: bytes) -> Record | None:
    """Decodes a payload; None for an unknown kind, or for a payload that does not fit the kind."""
    decoder = _decoders.get(kind)
    if decoder is None:
        return None
    try:
        record: Record = decoder.decode(payload)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return record
