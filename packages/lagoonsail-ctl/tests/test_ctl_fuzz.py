from __future__ import annotations

import json

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lagoonsail_config.settings import SettingsError
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_ctl.connection import SETTINGS_KEYS, Connection, load_connection
from lagoonsail_ctl.document_commands import split_revision_line
from lagoonsail_ctl.fleet import Member, decode_member
from lagoonsail_ctl.records import RecordError
from lagoonsail_ctl.report import render_table
from lagoonsail_ctl.router_status import RouterStatus, decode_status

scalars = st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text())
values = st.recursive(
    scalars,
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
names = st.sampled_from([*RouterStatus.__slots__, "servers", "accounts", "epoch"])
statuses = st.dictionaries(names, values | st.dictionaries(st.text(), values))
members = st.dictionaries(st.sampled_from(Member.__slots__), values)
fuzzed = settings(
    derandomize=True,
    deadline=None,
    max_examples=100,
    # Slow generation of examples on a busy machine is no failure.
    suppress_health_check=[HealthCheck.too_slow],
)


@fuzzed
@given(values | statuses)
def test_any_status_gives_a_value_or_a_typed_error(body):
    try:
        assert type(decode_status(body)) is RouterStatus
    except RecordError as error:
        assert error.remedy


@fuzzed
@given(st.text() | values.map(json.dumps) | members.map(json.dumps))
def test_any_member_gives_a_value_or_a_reason(text):
    member = decode_member(text)
    assert isinstance(member, Member | Unavailable)


@fuzzed
@given(st.text())
def test_any_text_has_a_revision_or_none(text):
    revision, rest = split_revision_line(text)
    assert text.endswith(rest)
    assert revision is None or revision >= 0


@fuzzed
@given(st.lists(st.lists(scalars, min_size=2, max_size=2)))
def test_any_table_is_printable(rows):
    lines = render_table(["a", "b"], rows)
    assert all(line.isprintable() for line in lines)
    assert len(lines) == max(len(rows), 0) + 1


@fuzzed
@given(st.sampled_from(SETTINGS_KEYS), st.text(max_size=20))
def test_any_option_is_taken_or_refused_as_a_mistake(key, text):
    try:
        assert type(load_connection(None, {key.name: text})) is Connection
    except SettingsError as error:
        assert error.problems
        assert str(error)
