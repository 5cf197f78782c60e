from __future__ import annotations

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonsail_core.messages import (
    MAX_FRAME_BYTES,
    ConfigPush,
    FrameError,
    Heartbeat,
    Hello,
    Inventory,
    SlotCancel,
    decode_frame,
    encode_frame,
)

FUZZ = settings(max_examples=200, deadline=None, derandomize=True)
TAGS = st.sampled_from(["hello", "beat", "offer", "push", "ask", "inv", "digest", "?"])
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**64 - 1),
    st.floats(),
    st.text(max_size=8),
    st.binary(max_size=8),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.one_of(st.text(max_size=4), st.integers(0, 9)), inner),
    ),
    max_leaves=12,
)
SAMPLE = encode_frame(
    9,
    [
        Hello("r1", 3, "sierra", 1.5),
        Heartbeat(2.5, 2**63),
        ConfigPush([["k", 4, "v"]]),
        Inventory("s", [[1, 2, "x", "a", 0.5, 3.0]]),
        SlotCancel(7),
    ],
)


def check_total(data: bytes) -> None:
    """Check that data decodes to messages that encode again, or raises FrameError."""
    try:
        logical, messages = decode_frame(data)
    except FrameError:
        return
    encoded = encode_frame(logical, messages)
    assert encode_frame(*decode_frame(encoded)) == encoded


@FUZZ
@given(st.binary(max_size=200))
def test_any_bytes_decode_or_raise_frame_error(data):
    check_total(data)


@FUZZ
@given(VALUES)
def test_any_value_decodes_or_raises_frame_error(value):
    check_total(msgpack.packb(value))


@FUZZ
@given(st.integers(-1, 2**62), TAGS, st.lists(VALUES, max_size=8))
def test_any_fields_decode_or_raise_frame_error(logical, tag, values):
    check_total(msgpack.packb([logical, [[tag, *values]]]))


@FUZZ
@given(st.integers(0, len(SAMPLE) - 1), st.integers(0, 255))
def test_one_changed_byte_decodes_or_raises_frame_error(index, value):
    changed = bytearray(SAMPLE)
    changed[index] = value
    check_total(bytes(changed))


def test_document_that_is_not_utf8_round_trips():
    text = b"# M\xe9xico\n[service]\n".decode("utf-8", "surrogateescape")
    push = ConfigPush([["documents/a/b", 7, text]])
    assert decode_frame(encode_frame(1, [push])) == (1, [push])


@pytest.mark.parametrize("length", range(len(SAMPLE)))
def test_truncated_frame_is_rejected(length):
    with pytest.raises(FrameError):
        decode_frame(SAMPLE[:length])


@pytest.mark.parametrize(
    "data",
    [
        b"\x81\x90\x01",
        b"\x92\x00\x91\x81\x90\x01",
        b"\x91" * 5000 + b"\x01",
        b"\xdd\xff\xff\xff\xff",
        b"\xc7\x05\xff12345",
        b"\x00" * (MAX_FRAME_BYTES + 1),
    ],
    ids=["list_key", "nested_list_key", "deep", "huge_count", "bad_time", "oversized"],
)
def test_malformed_frame_is_rejected(data):
    with pytest.raises(FrameError):
        decode_frame(data)
