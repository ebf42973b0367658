"""The simulator's wire: plain JSON objects to settings and events, actions to JSON objects.

Only translation. Unknown keys are ignored; a value of the wrong shape raises ``WireError``.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from micahold import interface as api

Json = Mapping[str, Any]

NS_PER_S = 1_000_000_000
WORK_UNIT = 4096  # a bill is milliseconds of work times this, plus memory steps
MEMORY_STEP_MB = 4

EFFECTS = {"retryable": api.Effect.SAFE, "dedup": api.Effect.KEYED, "fragile": api.Effect.UNSAFE}
SCOPES = {"all": api.DedupScope.ALL, "zone": api.DedupScope.ZONE, "cell": api.DedupScope.CELL}
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
    80: api.Outcome.MOOT,
}
REPORT_SOURCES = {"piggyback": "answers", "pull": "probe", "silent": "none"}
WHEN_SHORT = {"line_up": "wait", "cut": "shrink", "overcommit": "page"}


class WireError(ValueError):
    """Input that is not of the wire; the text names what is wrong."""


def seconds(value: Any) -> float:
    """Nanoseconds of the wire as seconds."""
    return float(value or 0) / NS_PER_S


def nanoseconds(value: float) -> int:
    """Seconds as whole nanoseconds of the wire."""
    return round(value * NS_PER_S)


def _choice(table: Mapping[Any, Any], value: Any, what: str) -> Any:
    try:
        return table[value]
    except (KeyError, TypeError):
        raise WireError(f"unknown {what} {value!r}") from None


def _at(values: Any, index: int, default: Any) -> Any:
    return values[index] if values and index < len(values) else default


def _allowed(item: Json, name: str, names: list[Any]) -> frozenset[int] | None:
    """Indices of a class's allowed kinds or zones; the wire gives indices, names are taken as well."""
    if item.get(name) is None:
        return None
    return frozenset(names.index(one) if one in names else int(one) for one in item[name])


def _query_class(index: int, item: Json, env: Json) -> api.QueryClass:
    family = env.get("family_info") or {}
    return api.QueryClass(
        name=str(item.get("name", "")),
        worth=float(item.get("worth", 1.0)),
        late_share=float(item.get("late_share", 0.0)),
        aim=seconds(item.get("aim_ns")),
        aim_stretch=float(item.get("aim_stretch", 0.0)),
        deadline=seconds(item.get("deadline_ns")),
        effect=_choice(EFFECTS, item.get("effect", "fragile"), "effect"),
        dedup_scope=_choice(SCOPES, item.get("group", "all"), "group"),
        dedup_window=seconds(item.get("window_ns")),
        streamed=bool(item.get("stream", False)),
        in_order=bool(item.get("sequential", False)),
        allowed_kinds=_allowed(item, "served_on", list(env.get("models") or [])),
        allowed_zones=_allowed(item, "zones_open", list(env.get("zones") or [])),
        threads=max(1, int(_at(family.get("dop"), index, 1))),
        is_load=bool(_at(family.get("is_load"), index, False)),
        waits_for_loads=bool(_at(family.get("waits_for_loads"), index, False)),
    )


def _limits(bounds: Json) -> api.Limits:
    return api.Limits(
        cancel=bool(bounds.get("cancel", False)),
        probing=bool(bounds.get("probing", False)),
        peer_messages=bool(bounds.get("peer_messages", False)),
        retry_hints=bool(bounds.get("retry_after", False)),
        second_copies=bool(bounds.get("second_copies", False)),
        max_attempts=int(bounds.get("max_attempts", 1)),
        max_open=int(bounds.get("max_open", 0)),
        max_retry_after=seconds(bounds.get("max_retry_after_ns")),
        connect_timeout=seconds(bounds.get("connect_timeout_ns")),
        idle_close=seconds(bounds.get("idle_close_ns")),
        streams_per_connection=int(bounds.get("streams_per_conn", 1)),
        cpu_us_per_s=float(bounds.get("cpu_us_per_s", 0.0)),
        cpu_us_per_query=float(bounds.get("cpu_us_per_request", 0.0)),
    )


def _rules(figures: Json) -> api.Rules:
    return api.Rules(
        answer_slack=seconds(figures.get("answer_slack_ns")),
        ask_within=seconds(figures.get("ask_within_ns")),
        drain_grace=seconds(figures.get("drain_grace_ns")),
        cold_from=float(figures.get("cold_from", 1.0)),
        cold_time=seconds(figures.get("cold_ns")),
        cold_multiple=float(figures.get("tip_multiple", 1.0)),
        cold_window=seconds(figures.get("tip_after_ns")),
        order_settle=seconds(figures.get("turn_gap_ns")),
        retry_free=float(figures.get("extra_free", 0.0)),
        retry_share=float(figures.get("repeat_ratio", 0.0)),
        retry_window=seconds(figures.get("budget_span_ns")),
    )


def decode_settings(env: Json) -> api.Settings:
    """The settings in a ``launch``."""
    try:
        family = env.get("family_info") or {}
        report = env.get("report") or {}
        parts = env.get("score_parts") or {}
        kinds = tuple(
            api.EngineKind(
                name=str(name),
                cores=float(_at(family.get("size_cores"), index, 0.0)),
                memory_mb=float(_at(family.get("size_mb"), index, 0.0)),
            )
            for index, name in enumerate(env.get("models") or [])
        )
        tenants = tuple(
            api.Tenant(
                str(one.get("name", "")), float(one.get("share", 1.0)), float(one.get("quota_per_s", 0.0))
            )
            for one in env.get("tenants") or []
        )
        classes = tuple(_query_class(index, item, env) for index, item in enumerate(env.get("classes") or []))
        return api.Settings(
            gateway=int(env.get("my_number", 0)),
            gateways=max(1, int(env.get("siblings", 1))),
            zone=int(env.get("zone", 0)),
            zones=tuple(str(name) for name in env.get("zones") or []),
            kinds=kinds,
            classes=classes,
            tenants=tenants,
            tiers=tuple(str(name) for name in env.get("layers") or []),
            tier=int(env.get("tier", 0)),
            family=str(env.get("family", "")),
            limits=_limits(env.get("bounds") or {}),
            rules=_rules(env.get("invariants") or {}),
            score=api.ScoreWeights(
                whole=float(parts.get("whole", 0.0)),
                worst_window=float(parts.get("worst_window", 0.0)),
                worst_class=float(parts.get("worst_class", 0.0)),
                worst_tenant=float(parts.get("worst_tenant", 0.0)),
            ),
            prices={str(name): float(price) for name, price in (env.get("prices") or {}).items()},
            list_is_pushed=env.get("discovery", "pushed") == "pushed",
            clients_mark_retries=bool((env.get("clients") or {}).get("marks_retry", False)),
            over_share_worth=float(env.get("over_share_worth", 1.0)),
            worth_by_work=env.get("worth_by") == "work",
            weights="none" if env.get("weight_source") == "silent" else str(env.get("weight_source", "none")),
            report_source=REPORT_SOURCES.get(report.get("source", "silent"), "none"),
            report_columns=tuple(str(name) for name in report.get("columns") or []),
            tick=seconds(env.get("round_ns")),
            grants_heeded=bool(family.get("grants", False)),
            priorities_heeded=bool(family.get("ranks_heeded", False)),
            most_grant=float(family.get("grant_cap", 0.0)),
            when_short=WHEN_SHORT.get(family.get("when_short", ""), ""),
            note_period=seconds(family.get("tells_every_ns")),
            tells_cost=bool(family.get("tells_cost", False)),
        )
    except (AttributeError, TypeError, ValueError) as error:
        raise WireError(f"bad settings: {error}") from None


def decode_entry(item: Json) -> api.EngineEntry:
    """One line of a numbered list."""
    try:
        return api.EngineEntry(
            engine=str(item["engine"]),
            state=_choice(STATES, item.get("condition"), "condition"),
            zone=int(item.get("failure_domain", 0)),
            kind=int(item.get("hw", 0)),
            cell=int(item.get("unit_group", 0)),
            started=seconds(item.get("came_up_ns")),
            weight=float(item.get("share", 1.0)),
        )
    except KeyError as error:
        raise WireError(f"list entry without {error}") from None
    except (AttributeError, TypeError, ValueError) as error:
        raise WireError(f"bad list entry: {error}") from None


def _report(values: Json | None) -> api.LoadReport | None:
    if not values:
        return None
    latency = values.get("lat_ms")
    return api.LoadReport(
        in_flight=values.get("rif"),
        queued=values.get("q"),
        busy=values.get("busy"),
        latency=None if latency is None else latency / 1000,
        rate=values.get("rate"),
        error_rate=values.get("fail_rate"),
        memory_granted=values.get("x0"),
        disks_busy=values.get("x1"),
    )


def _query(item: Json) -> api.QueryArrived:
    cost = item.get("est_cost_ns")
    return api.QueryArrived(
        query=int(item["txn"]),
        query_class=int(item.get("qos") or 0),
        tenant=int(item.get("party") or 0),
        deadline=seconds(item["deadline_ns"]),
        key=item.get("relation"),
        cost=seconds(cost) if cost else None,
        memory_mb=float(item["mem_mb"]) if item.get("mem_mb") else None,
        tables=int(item.get("dataset") or 0),
        is_repeat=bool(item.get("repeat", False)),
        is_write=bool(item.get("is_write", False)),
    )


def _streaming(item: Json) -> api.AttemptStreaming:
    return api.AttemptStreaming(
        int(item["txn"]), int(item.get("try") or 0), str(item["engine"]), seconds(item.get("cost_time_ns"))
    )


def _note(item: Json) -> api.AttemptNote | None:
    kind = int(item["kind"])
    if kind not in (1, 2, 3):
        return None
    return api.AttemptNote(
        query=int(item["txn"]),
        attempt=int(item.get("try") or 0),
        engine=str(item["engine"]),
        kind=api.NoteKind(kind),
        value=float(item.get("level") or 0.0),
    )


def _ended(item: Json) -> api.AttemptEnded:
    bill = int(item.get("bill") or 0)
    return api.AttemptEnded(
        query=int(item["txn"]),
        attempt=int(item.get("try") or 0),
        engine=str(item["engine"]),
        outcome=_choice(OUTCOMES, item.get("result"), "result"),
        elapsed=seconds(item.get("cost_time_ns")),
        settled=bool(item.get("settled", False)),
        work=bill // WORK_UNIT / 1000,
        memory_mb=float(bill % WORK_UNIT * MEMORY_STEP_MB),
        report=_report(item.get("health_info")),
    )


def _probe_ended(item: Json) -> api.ProbeEnded:
    return api.ProbeEnded(
        engine=str(item["engine"]),
        outcome=_choice(OUTCOMES, item.get("result"), "result"),
        elapsed=seconds(item.get("cost_time_ns")),
        report=_report(item.get("health_info")),
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
        raise WireError(f"unknown event kind {what!r}")
    try:
        return DECODERS[what](item)
    except WireError:
        raise
    except KeyError as error:
        raise WireError(f"event {what!r} without {error}") from None
    except (AttributeError, TypeError, ValueError) as error:
        raise WireError(f"bad event {what!r}: {error}") from None


def decode_update(item: Json, lists: Mapping[int, tuple[api.EngineEntry, ...]]) -> api.ListUpdate:
    """News of the engine list, with its entries looked up by number."""
    kind = _choice(LIST_KINDS, item.get("how"), "kind of list update")
    entries: tuple[api.EngineEntry, ...] = ()
    if kind is not api.ListKind.UNAVAILABLE:
        entries = _choice(lists, item.get("table", 0), "list number")
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
