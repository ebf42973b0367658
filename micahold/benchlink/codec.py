"""The simulator's wire: plain JSON objects to settings and events, actions to JSON objects.

Only translation. Unknown keys are ignored; a value of the wrong shape raises ``FormatError``.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from micahold import interface as api
from micahold.settings import NS_PER_S, FormatError, Json, choice, decode_report, seconds

WORK_UNIT = 4096  # a bill is milliseconds of work times this, plus memory steps
MEMORY_STEP_MB = 4

STATES = {
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


def nanoseconds(value: float) -> int:
    """Seconds as whole nanoseconds of the wire."""
    return round(value * NS_PER_S)


def decode_entry(item: Json) -> api.EngineEntry:
    """One line of a numbered list."""
    try:
        return api.EngineEntry(
            engine=str(item["engine"]),
            state=choice(STATES, item.get("condition"), "condition"),
            zone=int(item.get("failure_domain", 0)),
            kind=int(item.get("hw", 0)),
            cell=int(item.get("unit_group", 0)),
            started_at=seconds(item.get("came_up_ns")),
            weight=float(item.get("share", 1.0)),
        )
    except KeyError as error:
        raise FormatError(f"list entry without {error}") from None
    except (AttributeError, TypeError, ValueError) as error:
        raise FormatError(f"bad list entry: {error}") from None


def _query(item: Json) -> api.QueryArrived:
    cost = item.get("est_cost_ns")
    return api.QueryArrived(
        query=int(item["txn"]),
        class_index=int(item.get("qos") or 0),
        tenant_index=int(item.get("party") or 0),
        deadline=seconds(item["deadline_ns"]),
        ordering_key=item.get("relation"),
        estimated_cost_s=seconds(cost) if cost else None,
        estimated_memory_mb=float(item["mem_mb"]) if item.get("mem_mb") else None,
        table_group=int(item.get("dataset") or 0),
        is_client_retry=bool(item.get("repeat", False)),
        is_write=bool(item.get("is_write", False)),
    )


def _streaming(item: Json) -> api.AttemptStreaming:
    return api.AttemptStreaming(
        int(item["txn"]), int(item.get("try") or 0), str(item["engine"]), seconds(item.get("cost_time_ns"))
    )


def _note(item: Json) -> api.AttemptStatus | None:
    kind = int(item["kind"])
    if kind not in (1, 2, 3):
        return None
    return api.AttemptStatus(
        query=int(item["txn"]),
        attempt=int(item.get("try") or 0),
        engine=str(item["engine"]),
        kind=api.AttemptStatusKind(kind),
        value=float(item.get("level") or 0.0),
    )


def _ended(item: Json) -> api.AttemptEnded:
    bill = int(item.get("bill") or 0)
    return api.AttemptEnded(
        query=int(item["txn"]),
        attempt=int(item.get("try") or 0),
        engine=str(item["engine"]),
        outcome=choice(OUTCOMES, item.get("result"), "result"),
        elapsed_s=seconds(item.get("cost_time_ns")),
        query_settled=bool(item.get("settled", False)),
        work_s=bill // WORK_UNIT / 1000,
        memory_mb=float(bill % WORK_UNIT * MEMORY_STEP_MB),
        report=decode_report(item.get("health_info")),
    )


def _probe_ended(item: Json) -> api.ProbeEnded:
    return api.ProbeEnded(
        engine=str(item["engine"]),
        outcome=choice(OUTCOMES, item.get("result"), "result"),
        elapsed_s=seconds(item.get("cost_time_ns")),
        report=decode_report(item.get("health_info")),
    )


def _peer_message(item: Json) -> api.PeerMessage:
    return api.PeerMessage(int(item.get("origin_peer") or 0), bytes.fromhex(item.get("msg") or ""))


DECODERS: dict[str, Callable[[Json], api.Event | None]] = {
    "call": _query,
    "flowing": _streaming,
    "heartbeat": _note,
    "answer": _ended,
    "dropped": lambda item: api.QueryDropped(int(item["txn"])),
    "reminder": lambda item: api.TimerFired(int(item.get("cookie") or 0)),
    "ping_result": _probe_ended,
    "whisper": _peer_message,
}


def decode_event(item: Json) -> api.Event | None:
    """One event that needs no list; None for a note of a kind not known."""
    what = item.get("what")
    if not isinstance(what, str) or what not in DECODERS:
        raise FormatError(f"unknown event kind {what!r}")
    try:
        return DECODERS[what](item)
    except FormatError:
        raise
    except KeyError as error:
        raise FormatError(f"event {what!r} without {error}") from None
    except (AttributeError, TypeError, ValueError) as error:
        raise FormatError(f"bad event {what!r}: {error}") from None


def decode_update(item: Json, lists: Mapping[int, tuple[api.EngineEntry, ...]]) -> api.ListUpdate:
    """News of the engine list, with its entries looked up by number."""
    kind = choice(LIST_KINDS, item.get("how"), "kind of list update")
    entries: tuple[api.EngineEntry, ...] = ()
    if kind is not api.ListKind.UNAVAILABLE:
        entries = choice(lists, item.get("table", 0), "list number")
    return api.ListUpdate(kind, int(item.get("revision") or 0), entries)


def encode_action(action: api.Action) -> dict[str, Any]:
    """One action as the wire's object."""
    match action:
        case api.Send(query, engine, expires):
            return {"what": "relay", "txn": query, "expire_at_ns": nanoseconds(expires), "engine": engine}
        case api.SetTerms(query, grant_mb, priority):
            return {"what": "grant_and_rank", "txn": query, "grant_mb": grant_mb, "rank": priority}
        case api.Refuse(query, retry_after):
            return {"what": "bounce", "txn": query, "come_back_ns": nanoseconds(retry_after)}
        case api.Fail(query):
            return {"what": "end_failed", "txn": query}
        case api.Cancel(query, attempt):
            return {"what": "revoke", "txn": query, "try": attempt}
        case api.SetTimer(timer, delay):
            return {"what": "wake_me", "cookie": timer, "in_ns": nanoseconds(delay)}
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
