"""Parses the settings text, which has one path=value per line, into the policy's typed settings."""

from __future__ import annotations

from gateway import settings_keys as keys
from gateway.policy.settings import DedupScope, Effect, Limits, Plan, RequestClass, Rules, Settings
from gateway.settings_reader import SettingsError, SettingsReader

MAX_GATEWAYS = 100_000  # the choice of a subset takes time in proportion to their number
SILENT = "silent"  # default value of REPORT_MODE and WEIGHT_SOURCE


def parse_settings(text: str) -> Settings:
    """Parse a settings text; unknown keys are ignored.

    Raises:
        SettingsError: A setting is missing or malformed.
    """
    reader = SettingsReader(text)
    rules = _parse_rules(reader)
    limits = _parse_limits(reader)
    prices = _parse_prices(reader)
    has_counter = reader.boolean(keys.HAS_COUNTER, default=False)
    return Settings(
        gateway_index=reader.integer(keys.GATEWAY_INDEX),
        gateway_count=_parse_gateway_count(reader),
        zone=reader.integer(keys.ZONE),
        zones=reader.names(keys.ZONES),
        period=reader.number(keys.PERIOD),
        classes=_parse_classes(reader),
        plans=_parse_plans(reader),
        rules=rules,
        limits=limits,
        has_counter=has_counter,
        counter_price=reader.number(keys.COUNTER_PRICE, 0.0),
        counter_timeout=reader.number(keys.COUNTER_TIMEOUT) if has_counter else 0.0,
        settles_usage=reader.boolean(keys.SETTLES_USAGE, default=False),
        membership_push=reader.text(keys.MEMBERSHIP_MODE, keys.MEMBERSHIP_PUSH) == keys.MEMBERSHIP_PUSH,
        weight_source=reader.text(keys.WEIGHT_SOURCE, SILENT),
        report_mode=reader.text(keys.REPORT_MODE, SILENT),
        report_columns=reader.names(keys.REPORT_COLUMNS),
        prices=prices,
    )


def _parse_gateway_count(reader: SettingsReader) -> int:
    count = reader.integer(keys.GATEWAY_COUNT)
    if count > MAX_GATEWAYS:
        raise SettingsError(keys.GATEWAY_COUNT, str(count), f"at most {MAX_GATEWAYS}")
    return count


def _parse_rules(reader: SettingsReader) -> Rules:
    return Rules(
        answer_slack=reader.number(keys.ANSWER_SLACK),
        drain_grace=reader.number(keys.DRAIN_GRACE),
        cold_capacity_fraction=reader.number(keys.COLD_CAPACITY_FRACTION),
        slow_start_time=reader.number(keys.SLOW_START_TIME),
        cold_overload_multiple=reader.number(keys.COLD_OVERLOAD_MULTIPLE),
        cold_overload_window=reader.number(keys.COLD_OVERLOAD_WINDOW),
        poll_within=reader.number(keys.POLL_WITHIN, 0.0),
    )


def _parse_limits(reader: SettingsReader) -> Limits:
    return Limits(
        max_attempts=reader.integer(keys.MAX_ATTEMPTS),
        may_hedge=reader.boolean(keys.MAY_HEDGE),
        may_cancel=reader.boolean(keys.MAY_CANCEL, default=False),
        may_probe=reader.boolean(keys.MAY_PROBE, default=False),
        may_tell_retry_after=reader.boolean(keys.MAY_TELL_RETRY_AFTER, default=False),
        max_retry_after=reader.number(keys.MAX_RETRY_AFTER, 0.0),
        connect_timeout=reader.number(keys.CONNECT_TIMEOUT),
    )


def _parse_prices(reader: SettingsReader) -> dict[str, float]:
    price_keys = reader.keys_with_prefix(keys.PRICES_PREFIX)
    return {key.removeprefix(keys.PRICES_PREFIX): reader.number(key) for key in price_keys}


def _parse_classes(reader: SettingsReader) -> tuple[RequestClass, ...]:
    count = reader.integer(keys.CLASS_COUNT)
    return tuple(_parse_class(reader, keys.CLASS_PREFIX.format(index=index)) for index in range(count))


def _parse_class(reader: SettingsReader, prefix: str) -> RequestClass:
    return RequestClass(
        name=reader.name(prefix + keys.CLASS_NAME),
        latency_objective=reader.number(prefix + keys.CLASS_LATENCY_OBJECTIVE),
        deadline=reader.number(prefix + keys.CLASS_DEADLINE),
        effect=reader.member(Effect, prefix + keys.CLASS_EFFECT),
        dedup_scope=_parse_dedup_scope(reader, prefix),
        dedup_window=reader.number(prefix + keys.CLASS_DEDUP_WINDOW, 0.0),
        priority_weight=reader.number(prefix + keys.CLASS_PRIORITY_WEIGHT),
        late_weight=reader.number(prefix + keys.CLASS_LATE_WEIGHT, 0.0),
        stream=reader.boolean(prefix + keys.CLASS_STREAM, default=False),
    )


def _parse_dedup_scope(reader: SettingsReader, prefix: str) -> DedupScope:
    key = prefix + keys.CLASS_DEDUP_SCOPE
    return reader.member(DedupScope, key, DedupScope.ALL.value)


def _parse_plans(reader: SettingsReader) -> tuple[Plan, ...]:
    count = reader.integer(keys.PLAN_COUNT, 0)
    return tuple(_parse_plan(reader, keys.PLAN_PREFIX.format(index=index)) for index in range(count))


def _parse_plan(reader: SettingsReader, prefix: str) -> Plan:
    return Plan(
        name=reader.name(prefix + keys.PLAN_NAME),
        rate=reader.number(prefix + keys.PLAN_RATE, 0.0),
        burst=reader.number(prefix + keys.PLAN_BURST, 0.0),
        max_concurrency=reader.integer(prefix + keys.PLAN_MAX_CONCURRENCY, 0),
        price_weight=reader.number(prefix + keys.PLAN_PRICE_WEIGHT),
        over_quota_cost=reader.number(prefix + keys.PLAN_OVER_QUOTA_COST, 0.0),
        over_quota_weight=reader.number(prefix + keys.PLAN_OVER_QUOTA_WEIGHT, 0.0),
        ceiling_rate=reader.number(prefix + keys.PLAN_CEILING_RATE, 0.0),
        ceiling_burst=reader.number(prefix + keys.PLAN_CEILING_BURST, 0.0),
        ceiling_slack=reader.number(prefix + keys.PLAN_CEILING_SLACK, 0.0),
    )
