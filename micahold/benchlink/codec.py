"""Decodes the simulator's JSON objects into events and engine lists, and encodes actions as JSON objects.

Unknown keys are ignored; a value of the wrong type raises ``FormatError``.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from micahold import interface as api
from micahold.settings import NS_PER_S, FormatError, JsonObject, decode_report, look_up, seconds_from_ns

BILL_WORK_FACTOR = 4096  # bill = work in ms * BILL_WORK_FACTOR + memory in MB / BILL_MEMORY_STEP_MB
BILL_MEMORY_STEP_MB = 4

ENGINE_STATES = {
    "SERVING": api.EngineState.UP,
    "DRAINING": api.EngineState.DRAINING,
    "DELETED": api.EngineState.GONE,
}
LIST_KINDS = {
    "update": api.ListKind.CHANGES,
    "replace": api.ListKind.FULL,
    "restored": api.ListKind.RESTORED,
    "unavailable": api.ListKind.UNAVAILABLE,
}
OUTCOMES = {
    10: api.Outcome.OK,
    20: api.Outcome.ERROR,
    30: api.Outcome.FULL,
    40: api.Outcome.TIMEOUT,
    50: api.Outcome.CONNECT_FAILED,
    60: api.Outcome.RESET,
    70: api.Outcome.CANCELLED,
    80: api.Outcome.NOT_STARTED,
}


def ns_from_seconds(value: float) -> int:
    """Converts seconds to whole nanoseconds, the unit of the simulator's protocol."""
    return round(value * NS_PER_S)


def decode_engine_entry(entry: JsonObject) -> api.EngineEntry:
    """Decodes one entry of a numbered engine list."""
    try:
        return api.EngineEntry(
            engine=str(entry["engine"]),
            state=look_up(ENGINE_STATES, entry.get("condition"), "condition"),
            zone=int(entry.get("failure_domain", 0)),
            kind=int(entry.get("hw", 0)),
            cell=int(entry.get("unit_group", 0)),
            started_at=seconds_from_ns(entry.get("came_up_ns")),
            weight=float(entry.get("share", 1.0)),
        )
    except KeyError as error:
        raise FormatError(f"list entry is missing key {error}") from None
    except (AttributeError, TypeError, ValueError) as error:
        raise FormatError(f"invalid list entry: {error}") from None


def _decode_query(message: JsonObject) -> api.QueryArrived:
    cost = message.get("est_cost_ns")
    return api.QueryArrived(
        query=int(message["txn"]),
        class_index=int(message.get("qos") or 0),
        tenant_index=int(message.get("party") or 0),
        deadline=seconds_from_ns(message["deadline_ns"]),
        ordering_key=message.get("relation"),
        estimated_cost_s=seconds_from_ns(cost) if cost else None,
        estimated_memory_mb=float(message["mem_mb"]) if message.get("mem_mb") else None,
        table_group=int(message.get("dataset") or 0),
        is_client_retry=bool(message.get("repeat", False)),
        is_write=bool(message.get("is_write", False)),
    )


def _decode_streaming(message: JsonObject) -> api.AttemptStreaming:
    return api.AttemptStreaming(
        int(message["txn"]),
        int(message.get("try") or 0),
        str(message["engine"]),
        seconds_from_ns(message.get("cost_time_ns")),
    )


def _decode_status(message: JsonObject) -> api.AttemptStatus | None:
    kind = int(message["kind"])
    if kind not in (1, 2, 3):
        return None
    return api.AttemptStatus(
        query=int(message["txn"]),
        attempt=int(message.get("try") or 0),
        engine=str(message["engine"]),
        kind=api.AttemptStatusKind(kind),
        value=float(message.get("level") or 0.0),
    )


def _decode_attempt_end(message: JsonObject) -> api.AttemptEnded:
    bill = int(message.get("bill") or 0)
    return api.AttemptEnded(
        query=int(message["txn"]),
        attempt=int(message.get("try") or 0),
        engine=str(message["engine"]),
        outcome=look_up(OUTCOMES, message.get("result"), "result"),
        elapsed_s=seconds_from_ns(message.get("cost_time_ns")),
        query_settled=bool(message.get("settled", False)),
        work_s=bill // BILL_WORK_FACTOR / 1000,
        memory_mb=float(bill % BILL_WORK_FACTOR * BILL_MEMORY_STEP_MB),
        report=decode_report(message.get("health_info")),
    )


def _decode_probe_end(message: JsonObject) -> api.ProbeEnded:
    return api.ProbeEnded(
        engine=str(message["engine"]),
        outcome=look_up(OUTCOMES, message.get("result"), "result"),
        elapsed_s=seconds_from_ns(message.get("cost_time_ns")),
        report=decode_report(message.get("health_info")),
    )


def _decode_peer_message(message: JsonObject) -> api.PeerMessage:
    return api.PeerMessage(int(message.get("origin_peer") or 0), bytes.fromhex(message.get("msg") or ""))


DECODERS: dict[str, Callable[[JsonObject], api.Event | None]] = {
    "call": _decode_query,
    "flowing": _decode_streaming,
    "heartbeat": _decode_status,
    "answer": _decode_attempt_end,
    "dropped": lambda message: api.QueryDropped(int(message["txn"])),
    "reminder": lambda message: api.TimerFired(int(message.get("cookie") or 0)),
    "ping_result": _decode_probe_end,
    "whisper": _decode_peer_message,
}


def decode_event(message: JsonObject) -> api.Event | None:
    """Decodes an event other than a list update; None for an attempt status of unknown kind."""
    event_kind = message.get("what")
    if not isinstance(event_kind, str) or event_kind not in DECODERS:
        raise FormatError(f"unknown event kind {event_kind!r}")
    try:
        return DECODERS[event_kind](message)
    except FormatError:
        raise
    except KeyError as error:
        raise FormatError(f"event {event_kind!r} is missing key {error}") from None
    except (AttributeError, TypeError, ValueError) as error:
        raise FormatError(f"invalid event {event_kind!r}: {error}") from None


def decode_list_update(
    message: JsonObject, lists: Mapping[int, tuple[api.EngineEntry, ...]]
) -> api.ListUpdate:
    """Decodes an update of the engine list, whose entries are looked up in ``lists`` by number."""
    kind = look_up(LIST_KINDS, message.get("how"), "kind of list update")
    entries: tuple[api.EngineEntry, ...] = ()
    if kind is not api.ListKind.UNAVAILABLE:
        entries = look_up(lists, message.get("table", 0), "list number")
    return api.ListUpdate(kind, int(message.get("revision") or 0), entries)


def encode_action(action: api.Action) -> dict[str, Any]:
    """Encodes one action as an object of the simulator's protocol."""
    match action:
        case api.Send(query, engine, expires):
            return {"what": "relay", "txn": query, "expire_at_ns": ns_from_seconds(expires), "engine": engine}
        case api.SetTerms(query, grant_mb, priority):
            return {"what": "grant_and_rank", "txn": query, "grant_mb": grant_mb, "rank": priority}
        case api.Refuse(query, retry_after):
            return {"what": "bounce", "txn": query, "come_back_ns": ns_from_seconds(retry_after)}
        case api.Fail(query):
            return {"what": "end_failed", "txn": query}
        case api.Cancel(query, attempt):
            return {"what": "revoke", "txn": query, "try": attempt}
        case api.SetTimer(timer, delay):
            return {"what": "wake_me", "cookie": timer, "in_ns": ns_from_seconds(delay)}
        case api.WatchList(wanted):
            return {"what": "follow", "want": wanted}
        case api.FetchList():
            return {"what": "resolve"}
        case api.Probe(engine):
            return {"what": "sound_out", "engine": engine}
        case api.CloseIdle(engine):
            return {"what": "disconnect", "engine": engine}
        case api.TellPeer(payload, gateway):
            recipient = "all" if gateway is None else gateway
            return {"what": "share", "recipient": recipient, "msg": payload.hex()}
        case api.Log(line):
            return {"what": "print", "line": line}
