"""Decodes settings and load reports from JSON objects, for the simulator's protocol and the production front.

Unknown keys are ignored and missing keys get defaults; a value of the wrong type raises ``FormatError``.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from micahold import interface as api

JsonObject = Mapping[str, Any]

NS_PER_S = 1_000_000_000

REPEAT_SAFETY_BY_EFFECT = {
    "retryable": api.RepeatSafety.SAFE,
    "dedup": api.RepeatSafety.KEYED,
    "fragile": api.RepeatSafety.UNSAFE,
}
DEDUP_SCOPE_BY_GROUP = {"all": api.DedupScope.ALL, "zone": api.DedupScope.ZONE, "cell": api.DedupScope.CELL}
REPORT_SOURCES = {"piggyback": "answers", "pull": "probe", "silent": "none"}
MEMORY_SHORTAGE_POLICIES = {"line_up": "wait", "cut": "shrink", "overcommit": "page"}


class FormatError(ValueError):
    """Input does not have the specified format; the message says what is wrong with it."""


def seconds_from_ns(value: Any) -> float:
    """Converts nanoseconds to seconds; a missing value counts as 0."""
    return float(value or 0) / NS_PER_S


def look_up(table: Mapping[Any, Any], key: Any, description: str) -> Any:
    """Returns ``table[key]``; raises ``FormatError`` if there is no such key, or it is unhashable."""
    try:
        return table[key]
    except (KeyError, TypeError):
        raise FormatError(f"unknown {description} {key!r}") from None


def _value_at(values: Any, index: int, default: Any) -> Any:
    return values[index] if values and index < len(values) else default


def _decode_allowed(class_settings: JsonObject, key: str, names: list[Any]) -> frozenset[int] | None:
    """Indices of the engine kinds or zones that a class is limited to, or None without a limit.

    The simulator sends indices; names are accepted as well.
    """
    if class_settings.get(key) is None:
        return None
    return frozenset(names.index(value) if value in names else int(value) for value in class_settings[key])


def _decode_query_class(index: int, class_settings: JsonObject, env: JsonObject) -> api.QueryClass:
    family_info = env.get("family_info") or {}
    return api.QueryClass(
        name=str(class_settings.get("name", "")),
        worth=float(class_settings.get("worth", 1.0)),
        late_worth_share=float(class_settings.get("late_share", 0.0)),
        soft_deadline_s=seconds_from_ns(class_settings.get("aim_ns")),
        soft_deadline_stretch=float(class_settings.get("aim_stretch", 0.0)),
        deadline_s=seconds_from_ns(class_settings.get("deadline_ns")),
        repeat_safety=look_up(REPEAT_SAFETY_BY_EFFECT, class_settings.get("effect", "fragile"), "effect"),
        dedup_scope=look_up(DEDUP_SCOPE_BY_GROUP, class_settings.get("group", "all"), "group"),
        dedup_window_s=seconds_from_ns(class_settings.get("window_ns")),
        streamed=bool(class_settings.get("stream", False)),
        ordered_by_key=bool(class_settings.get("sequential", False)),
        allowed_kinds=_decode_allowed(class_settings, "served_on", list(env.get("models") or [])),
        allowed_zones=_decode_allowed(class_settings, "zones_open", list(env.get("zones") or [])),
        threads=max(1, int(_value_at(family_info.get("dop"), index, 1))),
        is_data_load=bool(_value_at(family_info.get("is_load"), index, False)),
        waits_for_data_loads=bool(_value_at(family_info.get("waits_for_loads"), index, False)),
    )


def _decode_limits(bounds: JsonObject) -> api.Limits:
    return api.Limits(
        cancel_allowed=bool(bounds.get("cancel", False)),
        probing_allowed=bool(bounds.get("probing", False)),
        peer_messages_allowed=bool(bounds.get("peer_messages", False)),
        retry_hints_allowed=bool(bounds.get("retry_after", False)),
        second_copies_allowed=bool(bounds.get("second_copies", False)),
        max_attempts=int(bounds.get("max_attempts", 1)),
        max_open_queries=int(bounds.get("max_open", 0)),
        max_retry_after_s=seconds_from_ns(bounds.get("max_retry_after_ns")),
        connect_timeout_s=seconds_from_ns(bounds.get("connect_timeout_ns")),
        idle_timeout_s=seconds_from_ns(bounds.get("idle_close_ns")),
        streams_per_connection=int(bounds.get("streams_per_conn", 1)),
        cpu_us_per_s=float(bounds.get("cpu_us_per_s", 0.0)),
        cpu_us_per_query=float(bounds.get("cpu_us_per_request", 0.0)),
    )


def _decode_rules(invariants: JsonObject) -> api.Rules:
    return api.Rules(
        answer_slack_s=seconds_from_ns(invariants.get("answer_slack_ns")),
        ask_within_s=seconds_from_ns(invariants.get("ask_within_ns")),
        drain_grace_s=seconds_from_ns(invariants.get("drain_grace_ns")),
        cold_initial_speed=float(invariants.get("cold_from", 1.0)),
        cold_duration_s=seconds_from_ns(invariants.get("cold_ns")),
        cold_budget_multiple=float(invariants.get("tip_multiple", 1.0)),
        cold_window_s=seconds_from_ns(invariants.get("tip_after_ns")),
        order_settle_s=seconds_from_ns(invariants.get("turn_gap_ns")),
        retry_budget_floor=float(invariants.get("extra_free", 0.0)),
        retry_budget_ratio=float(invariants.get("repeat_ratio", 0.0)),
        retry_window_s=seconds_from_ns(invariants.get("budget_span_ns")),
    )


def decode_settings(env: JsonObject) -> api.Settings:
    """Decodes the settings of a gateway.

    ``env`` is the ``env`` of the simulator's launch event or the ``settings`` of the front's configuration.
    Raises ``FormatError`` for a value of the wrong type or an unknown effect or deduplication group.
    """
    try:
        family_info = env.get("family_info") or {}
        report = env.get("report") or {}
        score_parts = env.get("score_parts") or {}
        kinds = tuple(
            api.EngineKind(
                name=str(name),
                cores=float(_value_at(family_info.get("size_cores"), index, 0.0)),
                memory_mb=float(_value_at(family_info.get("size_mb"), index, 0.0)),
            )
            for index, name in enumerate(env.get("models") or [])
        )
        tenants = tuple(
            api.Tenant(
                str(tenant.get("name", "")),
                float(tenant.get("share", 1.0)),
                float(tenant.get("quota_per_s", 0.0)),
            )
            for tenant in env.get("tenants") or []
        )
        classes = tuple(
            _decode_query_class(index, class_settings, env)
            for index, class_settings in enumerate(env.get("classes") or [])
        )
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
            limits=_decode_limits(env.get("bounds") or {}),
            rules=_decode_rules(env.get("invariants") or {}),
            score=api.ScoreWeights(
                whole=float(score_parts.get("whole", 0.0)),
                worst_window=float(score_parts.get("worst_window", 0.0)),
                worst_class=float(score_parts.get("worst_class", 0.0)),
                worst_tenant=float(score_parts.get("worst_tenant", 0.0)),
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
            tick_s=seconds_from_ns(env.get("round_ns")),
            memory_grants_honored=bool(family_info.get("grants", False)),
            priorities_honored=bool(family_info.get("ranks_heeded", False)),
            max_grant=float(family_info.get("grant_cap", 0.0)),
            memory_shortage_policy=MEMORY_SHORTAGE_POLICIES.get(family_info.get("when_short", ""), ""),
            status_period_s=seconds_from_ns(family_info.get("tells_every_ns")),
            engines_report_cost=bool(family_info.get("tells_cost", False)),
        )
    except (AttributeError, TypeError, ValueError) as error:
        raise FormatError(f"invalid settings: {error}") from None


def decode_report(values: JsonObject | None) -> api.LoadReport | None:
    """Decodes a load report whose keys are the column names of the settings; None if it is empty or missing.

    The latency is converted from milliseconds to seconds.
    """
    if not values:
        return None
    latency_ms = values.get("lat_ms")
    return api.LoadReport(
        in_flight=values.get("rif"),
        queued=values.get("q"),
        busy_share=values.get("busy"),
        latency_s=None if latency_ms is None else latency_ms / 1000,
        rate_per_s=values.get("rate"),
        error_rate=values.get("fail_rate"),
        memory_granted_share=values.get("x0"),
        disks_busy_share=values.get("x1"),
    )
