from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonsail_core.clock import Clock
from lagoonsail_peer import signing
from lagoonsail_peer.signing import (
    SIGNATURE_VALIDITY_MS,
    SignatureChecker,
    SignatureError,
    parse_signature,
    sign,
)

FUZZ = settings(max_examples=200, deadline=None, derandomize=True)
REQUEST = ("POST", "/documents", b"body")


class ManualWallClock:
    """A wall clock that the test sets."""

    def __init__(self):
        self.ms = 1_000_000.0
        self.clock = Clock(lambda: 0.0, lambda: self.ms)


@pytest.fixture
def wall():
    return ManualWallClock()


def refusal_reason(checker, value, request=REQUEST):
    with pytest.raises(SignatureError) as caught:
        checker.check(*request, value)
    return caught.value.reason


def test_valid_signature_is_accepted_once(wall):
    checker = SignatureChecker(b"k", wall.clock)
    value = sign(b"k", *REQUEST, wall.clock)
    checker.check(*REQUEST, value)
    assert refusal_reason(checker, value) == signing.REFUSED_REPLAYED


@pytest.mark.parametrize(
    "request_",
    [("GET", *REQUEST[1:]), ("POST", "/x", b"body"), ("POST", REQUEST[1], b"")],
)
def test_signature_of_another_request_is_wrong(wall, request_):
    checker = SignatureChecker(b"k", wall.clock)
    value = sign(b"k", *REQUEST, wall.clock)
    assert refusal_reason(checker, value, request_) == signing.REFUSED_WRONG


def test_parts_cannot_be_shifted_between_fields(wall):
    checker = SignatureChecker(b"k", wall.clock)
    value = sign(b"k", "A\nB", "C", b"", wall.clock)
    assert refusal_reason(checker, value, ("A", "B\nC", b"")) == signing.REFUSED_WRONG


@pytest.mark.parametrize(
    "shift_ms", [SIGNATURE_VALIDITY_MS + 2, -SIGNATURE_VALIDITY_MS - 2]
)
def test_signature_far_from_the_wall_time_is_expired(wall, shift_ms):
    checker = SignatureChecker(b"k", wall.clock)
    value = sign(b"k", *REQUEST, wall.clock)
    wall.ms += shift_ms
    assert refusal_reason(checker, value) == signing.REFUSED_EXPIRED


def test_replay_is_refused_also_when_the_wall_clock_is_set_back(wall):
    checker = SignatureChecker(b"k", wall.clock)
    old = sign(b"k", *REQUEST, wall.clock)
    checker.check(*REQUEST, old)
    wall.ms += 3 * SIGNATURE_VALIDITY_MS
    checker.check(*REQUEST, sign(b"k", *REQUEST, wall.clock))
    wall.ms -= 3 * SIGNATURE_VALIDITY_MS
    assert refusal_reason(checker, old) == signing.REFUSED_EXPIRED


def test_remembered_nonces_are_bounded(wall, monkeypatch):
    monkeypatch.setattr(signing, "MAX_NONCES", 3)
    checker = SignatureChecker(b"k", wall.clock)
    for _ in range(3):
        checker.check(*REQUEST, sign(b"k", *REQUEST, wall.clock))
    value = sign(b"k", *REQUEST, wall.clock)
    assert refusal_reason(checker, value) == signing.REFUSED_TOO_MANY
    wall.ms += 2 * SIGNATURE_VALIDITY_MS
    checker.check(*REQUEST, sign(b"k", *REQUEST, wall.clock))


def test_empty_key_accepts_everything(wall):
    SignatureChecker(b"", wall.clock).check(*REQUEST, "")


@FUZZ
@given(st.one_of(st.text(), st.from_regex(r"t=\d+,n=[0-9a-f]*,s=\w*", fullmatch=True)))
def test_any_text_is_parsed_or_raises_signature_error(value):
    try:
        wall_ms, nonce, digest = parse_signature(value)
    except SignatureError as error:
        assert error.reason in (signing.REFUSED_MISSING, signing.REFUSED_MALFORMED)
        return
    assert f"t={wall_ms},n={nonce},s={digest}".isascii()


@FUZZ
@given(st.text(max_size=20), st.text(max_size=20), st.binary(max_size=40), st.data())
def test_any_changed_signature_is_refused(method, path, body, data):
    wall = ManualWallClock()
    checker = SignatureChecker(b"k", wall.clock)
    value = sign(b"k", method, path, body, wall.clock)
    index = data.draw(st.integers(0, len(value) - 1))
    character = data.draw(st.characters(exclude_characters=value[index]))
    changed = value[:index] + character + value[index + 1 :]
    with pytest.raises(SignatureError):
        checker.check(method, path, body, changed)
    checker.check(method, path, body, value)
