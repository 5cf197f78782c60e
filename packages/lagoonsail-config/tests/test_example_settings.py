from __future__ import annotations

import re
import shutil
from pathlib import Path

import pytest

from lagoonsail_config.settings import SETTINGS_KEYS, SettingsError, load_settings

ROOT = Path(__file__).resolve().parents[3]
EXAMPLES = sorted((ROOT / "deploy" / "settings").glob("*.ini"))
KEY = b"an example key of the fleet"


@pytest.fixture(params=EXAMPLES, ids=lambda path: path.stem)
def example(request, tmp_path):
    return Path(shutil.copy(request.param, tmp_path))


def test_each_side_has_an_example():
    assert [path.stem for path in EXAMPLES] == ["cordero-1", "kalapati-1"]


def test_example_is_valid(example):
    (example.parent / "fleet.key").write_bytes(KEY)
    settings = load_settings(example)
    assert settings.name == example.stem
    assert settings.shared_key == KEY


def test_example_without_its_key_file_is_rejected(example):
    with pytest.raises(SettingsError) as caught:
        load_settings(example)
    assert [problem.key for problem in caught.value.problems] == ["shared_key_file"]


def test_page_lists_every_key_with_its_default():
    page = (ROOT / "docs" / "OPERATING.md").read_text()
    rows = set(
        re.findall(r"^\| `\[([a-z-]+)\] ([a-z_]+)` .*\| ([^|]*) \|$", page, re.M)
    )
    expected = {
        (section, key.name, _displayed_default(key.default))
        for section, keys in SETTINGS_KEYS.items()
        for key in keys
    }
    assert rows == expected


def _displayed_default(default):
    if default is None:
        return "required"
    return f"`{default}`" if default else "empty"
