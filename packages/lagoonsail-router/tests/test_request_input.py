"""Framing of chunked bodies must not fill the memory, nor let a body end wrongly."""

from __future__ import annotations

import io

import pytest

from lagoonsail_overload.body_intake import PROGRESS_BYTES
from lagoonsail_router.request_input import (
    MAX_CHUNK_LINE_BYTES,
    MAX_TRAILER_BYTES,
    BoundedInput,
)


def make_input(data):
    file = io.BufferedReader(io.BytesIO(data))
    return BoundedInput(file, None, None, chunked_input=True), file


@pytest.mark.parametrize(
    "data",
    [
        b"1;" + b"x" * MAX_CHUNK_LINE_BYTES,
        b"1" * MAX_CHUNK_LINE_BYTES,
        b"-1\r\n",
        b"0x1\r\na\r\n0\r\n\r\n",
        b"1_0\r\n",
        b"\r\n",
        b"1\r\nab\r\n0\r\n\r\n",
        b"0\r\nx: " + b"x" * MAX_TRAILER_BYTES,
        b"0\r\n" + b"x: y\r\n" * MAX_TRAILER_BYTES,
    ],
)
def test_malformed_or_endless_framing_is_refused(data):
    body, _ = make_input(data)
    with pytest.raises(ValueError):
        body.read()
    assert body.must_close


def test_connection_that_ends_within_a_chunk_does_not_end_the_body():
    body, _ = make_input(b"5\r\nab")
    with pytest.raises(OSError):
        body.read()


def test_next_request_stays_in_the_buffer():
    data = b"3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nx: y\r\n\r\nGET /"
    body, file = make_input(data)
    assert body.read() == b"abcde"
    assert body.chunk_length == 0
    assert file.read() == b"GET /"


# Each small chunk was an object of its own until the body was whole.
def test_small_chunks_are_joined_as_they_arrive():
    body, _ = make_input(b"2\r\nab\r\n" * 5000 + b"0\r\n\r\n")
    sizes = []
    while part := body.read_some(65_536):
        sizes.append(len(part))
    assert sum(sizes) == 10_000
    assert set(sizes[:-1]) == {PROGRESS_BYTES}
