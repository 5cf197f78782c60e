from __future__ import annotations

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lagoonsail_config.document import ServiceDocument, parse_document
from lagoonsail_config.document_changes import describe_changes, edit_state
from lagoonsail_config.document_schema import DocumentError
from lagoonsail_config.settings import RouterSettings, SettingsError, parse_settings

WORDS = [
    "[service]",
    "[server",
    "a]",
    "[server",
    "",
    "a]",
    "[failure-domain",
    "a]",
    "[account",
    "a]",
    "[calls",
    "GET",
    "/a]",
    "[router]",
    "[listen]",
    "[store]",
    "[peers]",
    "[DEFAULT]",
    "[",
    "]",
    "[]",
    "]",
    "=",
    ":",
    "#",
    ";",
    "state",
    "name",
    "side",
    "kind",
    "slots",
    "share",
    "key_sha256",
    "address",
    "callers",
    "admin",
    "endpoints",
    "in",
    "out",
    "yes",
    "no",
    "engine",
    "plain",
    "1",
    "-1",
    "1e9",
    "a",
    "127.0.0.1:1",
    "[::1]:2",
    "%(a)s",
    "${a}",
]

PIECES = st.one_of(
    st.sampled_from([*WORDS, "\n", "\n", "\n", " = ", "\r\n", "\t", "\\\n "]),
    st.text(max_size=6),
)
TEXTS = st.one_of(st.text(), st.lists(PIECES, max_size=60).map("".join))
FUZZ = settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    # Slow data generation on a busy machine must not fail the tests.
    suppress_health_check=[HealthCheck.too_slow],
)


def refuse_key(name: str) -> bytes:
    raise ValueError(name)


@FUZZ
@given(TEXTS)
def test_any_document_gives_a_value_or_a_typed_error(text):
    try:
        assert type(parse_document(text)) is ServiceDocument
    except DocumentError as error:
        assert error.problems
        assert str(error)


@FUZZ
@given(TEXTS)
def test_any_settings_give_a_value_or_a_typed_error(text):
    try:
        assert type(parse_settings(text, "f", refuse_key)) is RouterSettings
    except SettingsError as error:
        assert error.problems
        assert str(error)


@FUZZ
@given(st.lists(st.tuples(st.integers(0, 30), PIECES), max_size=4))
def test_mutated_document_stays_editable(insertions):
    lines = [
        "[service]",
        "side = a",
        "name = b",
        "kind = plain",
        "region = r",
        "[failure-domain d]",
        "[server s]",
        "address = 127.0.0.1:1",
        "failure_domain = d",
        "slots = 1",
    ]
    for position, piece in insertions:
        lines.insert(position, piece)
    text = "\n".join(lines)
    try:
        document = parse_document(text)
    except DocumentError:
        return
    state = {"in": "out", "out": "in"}[document.servers["s"].state]
    changed = edit_state(text, "server s", state)
    assert parse_document(changed).servers["s"].state == state
    assert len(describe_changes(text, changed)) == 1


@FUZZ
@given(TEXTS, TEXTS)
def test_any_two_texts_can_be_compared(old, new):
    assert describe_changes(old, old) == []
    assert all(type(change) is str for change in describe_changes(old, new))
