"""The settings parser: errors for malformed and missing settings, and unknown settings."""

from __future__ import annotations

import pytest

from gateway.settings_parser import parse_settings
from gateway.settings_reader import SettingsError
from tests.support.policy import settings_text


@pytest.mark.parametrize(
    ("changes", "key", "value"),
    [
        pytest.param({"me": "x"}, "me", "x", id="number"),
        pytest.param({"me": "1.5"}, "me", "1.5", id="integer"),
        pytest.param({"caps__second_copies": "perhaps"}, "caps.second_copies", "perhaps", id="boolean"),
        pytest.param({"classes__1__effect": "odd"}, "classes.1.effect", "odd", id="effect"),
        pytest.param({"classes__1__dedup_scope": "moon"}, "classes.1.dedup_scope", "moon", id="dedup scope"),
        pytest.param({"tariffs__0__quota_rate": "nan"}, "tariffs.0.quota_rate", "nan", id="finite number"),
    ],
)
def test_errors_for_malformed_settings_name_key_and_value(
    changes: dict[str, str], key: str, value: str
) -> None:
    with pytest.raises(SettingsError, match=key) as raised:
        parse_settings(settings_text(**changes))
    assert raised.value.key == key
    assert raised.value.value == value


def test_errors_for_missing_settings_name_the_key() -> None:
    with pytest.raises(SettingsError, match=r"rules\.fall_s") as raised:
        parse_settings(settings_text().replace("rules.fall_s", "rules.other"))
    assert raised.value.key == "rules.fall_s"
    assert raised.value.value is None


def test_unknown_settings_are_ignored() -> None:
    assert parse_settings(settings_text() + "\nnew.key=7\nnonsense").plans[2].max_concurrency == 2
