"""The settings as nested JSON, decoded for the simulator's wire and for the real front alike.

Only translation. Unknown keys are ignored; a value of the wrong shape raises ``FormatError``.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from micahold import interface as api

Json = Mapping[str, Any]

NS_PER_S = 1_000_000_000

EFFECTS = {
    "retryable": api.RepeatSafety.SAFE,
    "dedup": api.RepeatSafety.KEYED,
    "fragile": api.RepeatSafety.UNSAFE,
}
SCOPES = {"all": api.DedupScope.ALL, "zone": api.DedupScope.ZONE, "cell": api.DedupScope.CELL}
REPORT_SOURCES = {"piggyback": "answers", "pull": "probe", "silent": "none"}
WHEN_SHORT = {"line_up": "wait", "cut": "shrink", "overcommit": "page"}


class FormatError(ValueError):
    """Input that is not of the agreed form; the text names what is wrong."""


def seconds(value: Any) -> float:
    """Nanoseconds as seconds."""
    return float(value or 0) / NS_PER_S


def choice(table: Mapping[Any, Any], value: Any, what: str) -> Any:
    try:
        return table[value]
    except (KeyError, TypeError):
        raise FormatError(f"unknown {what} {value!r}") from None


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
        late_worth_share=float(item.get("late_share", 0.0)),
        soft_deadline_s=seconds(item.get("aim_ns")),
        soft_deadline_stretch=float(item.get("aim_stretch", 0.0)),
        deadline_s=seconds(item.get("deadline_ns")),
        repeat_safety=choice(EFFECTS, item.get("effect", "fragile"), "effect"),
        dedup_scope=choice(SCOPES, item.get("group", "all"), "group"),
        dedup_window_s=seconds(item.get("window_ns")),
        streamed=bool(item.get("stream", False)),
        ordered_by_key=bool(item.get("sequential", False)),
        allowed_kinds=_allowed(item, "served_on", list(env.get("models") or [])),
        allowed_zones=_allowed(item, "zones_open", list(env.get("zones") or [])),
        threads=max(1, int(_at(family.get("dop"), index, 1))),
        is_data_load=bool(_at(family.get("is_load"), index, False)),
        waits_for_data_loads=bool(_at(family.get("waits_for_loads"), index, False)),
    )


def _limits(bounds: Json) -> api.Limits:
    return api.Limits(
        cancel_allowed=bool(bounds.get("cancel", False)),
        probing_allowed=bool(bounds.get("probing", False)),
        peer_messages_allowed=bool(bounds.get("peer_messages", False)),
        retry_hints_allowed=bool(bounds.get("retry_after", False)),
        second_copies_allowed=bool(bounds.get("second_copies", False)),
        max_attempts=int(bounds.get("max_attempts", 1)),
        max_open_queries=int(bounds.get("max_open", 0)),
        max_retry_after_s=seconds(bounds.get("max_retry_after_ns")),
        connect_timeout_s=seconds(bounds.get("connect_timeout_ns")),
        idle_timeout_s=seconds(bounds.get("idle_close_ns")),
        streams_per_connection=int(bounds.get("streams_per_conn", 1)),
        cpu_us_per_s=float(bounds.get("cpu_us_per_s", 0.0)),
        cpu_us_per_query=float(bounds.get("cpu_us_per_request", 0.0)),
    )


def _rules(figures: Json) -> api.Rules:
    return api.Rules(
        answer_slack_s=seconds(figures.get("answer_slack_ns")),
        ask_within_s=seconds(figures.get("ask_within_ns")),
        drain_grace_s=seconds(figures.get("drain_grace_ns")),
        cold_initial_speed=float(figures.get("cold_from", 1.0)),
        cold_duration_s=seconds(figures.get("cold_ns")),
        cold_budget_multiple=float(figures.get("tip_multiple", 1.0)),
        cold_window_s=seconds(figures.get("tip_after_ns")),
        order_settle_s=seconds(figures.get("turn_gap_ns")),
        retry_budget_floor=float(figures.get("extra_free", 0.0)),
        retry_budget_ratio=float(figures.get("repeat_ratio", 0.0)),
        retry_window_s=seconds(figures.get("budget_span_ns")),
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
            gateway_index=int(env.get("my_number", 0)),
            gateway_count=max(1, int(env.get("siblings", 1))),
            zone=int(env.get("zone", 0)),
            zones=tuple(str(name) for name in env.get("zones") or []),
            engine_kinds=kinds,
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
            weight_source="none"
            if env.get("weight_source") == "silent"
            else str(env.get("weight_source", "none")),
            report_source=REPORT_SOURCES.get(report.get("source", "silent"), "none"),
            report_columns=tuple(str(name) for name in report.get("columns") or []),
            tick_s=seconds(env.get("round_ns")),
            memory_grants_honored=bool(family.get("grants", False)),
            priorities_honored=bool(family.get("ranks_heeded", False)),
            max_grant=float(family.get("grant_cap", 0.0)),
            memory_shortage_policy=WHEN_SHORT.get(family.get("when_short", ""), ""),
            status_period_s=seconds(family.get("tells_every_ns")),
            engines_report_cost=bool(family.get("tells_cost", False)),
        )
    except (AttributeError, TypeError, ValueError) as error:
        raise FormatError(f"bad settings: {error}") from None


def decode_report(values: Json | None) -> api.LoadReport | None:
    """A load report by the names of the settings; None where there is none."""
    if not values:
        return None
    latency = values.get("lat_ms")
    return api.LoadReport(
        in_flight=values.get("rif"),
        queued=values.get("q"),
        busy_share=values.get("busy"),
        latency_s=None if latency is None else latency / 1000,
        rate_per_s=values.get("rate"),
        error_rate=values.get("fail_rate"),
        memory_granted_share=values.get("x0"),
        disks_busy_share=values.get("x1"),
    )
