"""Answers on kept connections: whole, foreign, doubled, cut off and without length."""

from __future__ import annotations

import time

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_gateway.server_connection import ConnectionLostError, connect

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\nId: 1\r\n\r\n"


@pytest.fixture
def exchange(serve_script):
    """Send one request to a scripted server and read its answer."""
    clock = Clock()

    def run(script, request_id="1", connection=None):
        if connection is None:
            connection = connect(serve_script(script).address, clock, 1000.0)
        deadline_ms = clock.now_ms() + 1000.0
        connection.send(REQUEST, deadline_ms)
        got = connection.read_head(
            deadline_ms, lambda a: dict(a.headers).get("Id") == request_id
        )
        parts = []
        while part := connection.read_more(got, deadline_ms):
            parts.append(part)
        return connection, got, b"".join(parts)

    return run


def test_whole_answer_leaves_the_connection_open(exchange, steps):
    connection, got, body = exchange(lambda head: [steps.answer("1", b"hello")])
    assert (got.status, body) == (200, b"hello")
    assert connection.finish(got)


def test_answer_without_length_is_whole_at_the_end_of_the_connection(exchange, steps):
    head = b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhello"
    connection, got, body = exchange(lambda _: [head, steps.CLOSE])
    assert body == b"hello"
    assert not connection.finish(got)


def test_answer_without_length_is_not_whole_after_a_reset(exchange, steps):
    head = b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhello"

    def script(_head):
        yield head
        time.sleep(0.05)
        yield steps.RESET

    with pytest.raises(ConnectionLostError):
        exchange(script)


def test_truncated_answer_is_not_whole(exchange, steps):
    with pytest.raises(ConnectionLostError):
        exchange(lambda _: [steps.answer("1", b"hello")[:-2], steps.CLOSE])


def test_answer_to_another_request_is_skipped(exchange, steps):
    answers = [steps.answer("0", b"late"), steps.answer("1", b"mine")]
    _, _, body = exchange(lambda _: answers)
    assert body == b"mine"


def test_connection_with_a_second_answer_is_not_used_again(exchange, steps):
    answers = [steps.answer("1", b"mine") + steps.answer("1", b"again")]
    connection, got, body = exchange(lambda _: answers)
    assert body == b"mine"
    assert not connection.finish(got)


def test_bytes_that_come_after_the_answer_end_the_connection(exchange, steps):
    def script(_head):
        yield steps.answer("1", b"mine")
        time.sleep(0.05)
        yield b"garbage"

    connection, got, _ = exchange(script)
    assert connection.finish(got)
    eventlet.sleep(0.1)
    assert not connection.is_quiet()


def test_bytes_that_are_no_answer_end_the_connection(exchange):
    with pytest.raises(ConnectionLostError):
        exchange(lambda _: [b"garbage\r\n\r\n"])


def test_server_that_is_silent_is_given_up_at_the_deadline(exchange):
    with pytest.raises(ConnectionLostError) as failure:
        exchange(lambda _: [])
    assert failure.value.is_timeout


def test_abort_wakes_the_reader(serve_script):
    clock = Clock()
    connection = connect(serve_script(lambda _: []).address, clock, 1000.0)
    connection.send(REQUEST, clock.now_ms() + 5000.0)
    eventlet.spawn_after(0.05, connection.abort)
    since_ms = clock.now_ms()
    with pytest.raises(ConnectionLostError):
        connection.read_head(since_ms + 5000.0, lambda _: True)
    assert clock.now_ms() - since_ms < 1000.0
