"""The platform's settings file: errors name the missing or malformed field."""

from __future__ import annotations

import pytest
from lagoonsail_platform_standin.fleet import make_settings

from lagoonsail_platform.settings_file import (
    EXPOSURE_FIELDS,
    SettingsFileError,
    decode_settings,
    load_settings_file,
    read_fields,
)
from lagoonsail_rollout.exposure import ExposureBounds


@pytest.fixture
def fields():
    return read_fields(make_settings("r1", "10.0.0.9:8781", 8783, 8780, 7400))


def test_settings_are_decoded(fields):
    settings = decode_settings(fields | {"a.new": "field"})
    assert settings.name == "r1"
    assert settings.digests_address == "127.0.0.1:7400"
    assert settings.stop_timeout_ms == 4000.0


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("listen.front", "10.0.0.1"),
        ("bounds.grace-s", "-1"),
        ("bounds.retry-ratio", "many"),
        ("port-range", ""),
        ("platform.address", "host:99999"),
    ],
)
def test_malformed_field_is_named(fields, name, value):
    with pytest.raises(SettingsFileError, match=name):
        decode_settings(fields | {name: value})


# An earlier deployment without these fields must be served as before.
@pytest.mark.parametrize("value", [None, ""])
def test_roll_outs_are_off_unless_all_their_bounds_are_set(fields, value):
    assert decode_settings(fields).exposure == ExposureBounds(0.1, 50.0, 5000.0)
    for name in EXPOSURE_FIELDS:
        changed = {k: v for k, v in fields.items() if k != name}
        changed |= {} if value is None else {name: value}
        assert decode_settings(changed).exposure is None


def test_missing_field_is_named(fields):
    del fields["node-name"]
    with pytest.raises(SettingsFileError, match="node-name"):
        decode_settings(fields)


def test_missing_file_names_the_variable(tmp_path):
    with pytest.raises(SettingsFileError, match="LAGOONSAIL_CONFIG"):
        load_settings_file(tmp_path / "none")
