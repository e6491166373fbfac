"""Parser of the policy's settings: text with one path=value a line, to typed settings."""

from __future__ import annotations

import math
from enum import Enum
from typing import TypeVar

from gateway.policy.settings import DedupScope, Effect, Limits, Plan, RequestClass, Rules, Settings

E = TypeVar("E", bound=Enum)


class SettingsError(ValueError):
    """A settings key that is missing or malformed; the text names the key and the value.

    Attributes:
        key: The path of the setting.
        value: The malformed value; None where the setting is missing.
    """

    def __init__(self, key: str, value: str | None = None, problem: str = "") -> None:
        super().__init__(f"missing setting {key}" if value is None else f"setting {key} {problem}: {value}")
        self.key = key
        self.value = value


class _SettingsReader:
    """Typed look-ups in the path=value lines.

    A look-up without a default raises ``SettingsError`` when the setting is missing.
    """

    def __init__(self, text: str) -> None:
        self._values: dict[str, str] = {}
        for line in text.splitlines():
            key, separator, value = line.partition("=")
            if separator:
                self._values[key.strip()] = value.strip()

    def keys_under(self, prefix: str) -> list[str]:
        """The keys with this prefix, in the order of their lines."""
        return [key for key in self._values if key.startswith(prefix)]

    def text(self, key: str, default: str | None = None) -> str:
        """The value as it stands."""
        value = self._values.get(key, default)
        if value is None:
            raise SettingsError(key)
        return value

    def number(self, key: str, default: float | None = None) -> float:
        """A finite number."""
        value = self.text(key, None if default is None else repr(default))
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if not math.isfinite(number):
            raise SettingsError(key, value, "is not a number")
        return number

    def integer(self, key: str, default: int | None = None) -> int:
        """A number without a fraction."""
        number = self.number(key, default)
        if not number.is_integer():
            raise SettingsError(key, self._values[key], "is not a whole number")
        return int(number)

    def boolean(self, key: str, default: bool | None = None) -> bool:
        """``true`` or ``false``."""
        value = self.text(key, None if default is None else str(default).lower())
        if value not in ("true", "false"):
            raise SettingsError(key, value, "is neither true nor false")
        return value == "true"

    def names(self, key: str) -> tuple[str, ...]:
        """A comma-separated list; empty where the setting is missing."""
        return tuple(name for name in self._values.get(key, "").split(",") if name)

    def member(self, kind: type[E], key: str, problem: str, default: str | None = None) -> E:
        """The member of an enumeration that has the value."""
        value = self.text(key, default)
        try:
            return kind(value)
        except ValueError:
            raise SettingsError(key, value, problem) from None


def parse_settings(text: str) -> Settings:
    """The settings text as a typed object; keys that it does not know are skipped.

    Raises:
        SettingsError: A setting is missing or malformed.
    """
    reader = _SettingsReader(text)
    rules = _parse_rules(reader)
    limits = _parse_limits(reader)
    prices = {key.removeprefix("penalties."): reader.number(key) for key in reader.keys_under("penalties.")}
    has_counter = reader.boolean("extra.has_counter", False)
    return Settings(
        gateway_index=reader.integer("me"),
        gateway_count=reader.integer("peers_total"),
        zone=reader.integer("az"),
        zones=reader.names("zones"),
        period=reader.number("period_s"),
        classes=_parse_classes(reader),
        plans=_parse_plans(reader),
        rules=rules,
        limits=limits,
        has_counter=has_counter,
        counter_price=reader.number("extra.counter_price", 0.0),
        counter_timeout=reader.number("extra.counter_timeout_s") if has_counter else 0.0,
        settles_usage=reader.boolean("extra.settles", False),
        membership_push=reader.text("membership_mode", "push") == "push",
        weight_source=reader.text("weight_source", "silent"),
        report_mode=reader.text("report.how", "silent"),
        report_columns=reader.names("report.columns"),
        prices=prices,
    )


def _parse_rules(reader: _SettingsReader) -> Rules:
    return Rules(
        answer_slack=reader.number("rules.answer_slack_s"),
        drain_grace=reader.number("rules.drain_grace_s"),
        cold_capacity_fraction=reader.number("rules.cold_share"),
        slow_start_time=reader.number("rules.warm_up_s"),
        cold_overload_multiple=reader.number("rules.fall_multiple"),
        cold_overload_window=reader.number("rules.fall_s"),
        poll_within=reader.number("rules.ask_within_s", 0.0),
    )


def _parse_limits(reader: _SettingsReader) -> Limits:
    return Limits(
        max_attempts=reader.integer("caps.max_attempts"),
        may_hedge=reader.boolean("caps.second_copies"),
        may_cancel=reader.boolean("caps.cancel", False),
        may_probe=reader.boolean("caps.may_probe", False),
        may_tell_retry_after=reader.boolean("caps.retry_after", False),
        max_retry_after=reader.number("caps.max_retry_after_s", 0.0),
        connect_timeout=reader.number("caps.connect_timeout_s"),
    )


def _parse_classes(reader: _SettingsReader) -> tuple[RequestClass, ...]:
    return tuple(
        _parse_class(reader, f"classes.{index}.") for index in range(reader.integer("classes.count"))
    )


def _parse_class(reader: _SettingsReader, prefix: str) -> RequestClass:
    return RequestClass(
        name=reader.text(prefix + "name"),
        latency_objective=reader.number(prefix + "goal_time_s"),
        deadline=reader.number(prefix + "deadline_s"),
        effect=reader.member(Effect, prefix + "effect", "is no effect"),
        dedup_scope=reader.member(DedupScope, prefix + "dedup_scope", "is no scope", DedupScope.ALL.value),
        dedup_window=reader.number(prefix + "memory_span_s", 0.0),
        priority_weight=reader.number(prefix + "worth"),
        late_weight=reader.number(prefix + "late_value", 0.0),
        stream=reader.boolean(prefix + "stream", False),
    )


def _parse_plans(reader: _SettingsReader) -> tuple[Plan, ...]:
    return tuple(
        _parse_plan(reader, f"tariffs.{index}.") for index in range(reader.integer("tariffs.count", 0))
    )


def _parse_plan(reader: _SettingsReader, prefix: str) -> Plan:
    return Plan(
        name=reader.text(prefix + "name"),
        rate=reader.number(prefix + "quota_rate", 0.0),
        burst=reader.number(prefix + "peak_units", 0.0),
        max_concurrency=reader.integer(prefix + "parallel", 0),
        price_weight=reader.number(prefix + "pays"),
        over_quota_cost=reader.number(prefix + "over_cost", 0.0),
        over_quota_weight=reader.number(prefix + "beyond_earns", 0.0),
        ceiling_rate=reader.number(prefix + "never_over_rate", 0.0),
        ceiling_burst=reader.number(prefix + "hard_burst", 0.0),
        ceiling_slack=reader.number(prefix + "ceiling_slack", 0.0),
    )
