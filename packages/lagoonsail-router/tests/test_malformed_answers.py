"""Answers that HTTP does not allow, at each reader of a fleet by INI settings."""

from __future__ import annotations

import json

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_core.messages import SlotGrant
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_router import engine_calls
from lagoonsail_router.backend import Attempt, IncompleteAnswerError
from lagoonsail_router.batched_gets import BatchedGets
from lagoonsail_router.call import read_call
from lagoonsail_store.exchange import ExchangeFailure, exchange, open_pool

TIMEOUT_MS = 3000.0
GRANT = SlotGrant(1, 2, "cordero/registro@sierra-central", 3, "s1", 0.0)
OK = b"HTTP/1.1 200 OK\r\n"
LENGTH = b"Content-Length: 2\r\n"
END = b"\r\n{}"
GOOD_ANSWERS = {
    "with a length": OK + LENGTH + END,
    "chunked": OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    "after an interim one": b"HTTP/1.1 100 Continue\r\n\r\n" + OK + LENGTH + END,
    "without a reason": b"HTTP/1.1 200\r\n" + LENGTH + END,
}
MALFORMED_ANSWERS = {
    "status 000": b"HTTP/1.1 000 OK\r\n" + LENGTH + END,
    "status 700": b"HTTP/1.1 700 OK\r\n" + LENGTH + END,
    "signed status": b"HTTP/1.1 +200 OK\r\n" + LENGTH + END,
    "HTTP/2.0": b"HTTP/2.0 200 OK\r\n" + LENGTH + END,
    "blank in a name": OK + b"X Y: a\r\n" + LENGTH + END,
    "blank after a name": OK + b"X : a\r\n" + LENGTH + END,
    "control byte in a name": OK + b"X\x01: a\r\n" + LENGTH + END,
    "8-bit name": OK + b"X\xe9: a\r\n" + LENGTH + END,
    "no colon": OK + b"dawn\r\n" + LENGTH + END,
    "continued value": OK + b"X: a\r\n b\r\n" + LENGTH + END,
    "carriage return in a value": OK + b"X: a\rb\r\n" + LENGTH + END,
    "length in a value": OK + b"X: a\rContent-Length: 0\r\n" + LENGTH + END,
    "two lengths": OK + b"Content-Length: 1\r\n" + LENGTH + END,
    "signed length": OK + b"Content-Length: +2\r\n" + END,
    "underscored length": OK + b"Content-Length: 0_2\r\n" + END,
    "length and coding": OK
    + LENGTH
    + b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    "unknown coding": OK + b"Transfer-Encoding: gzip, chunked\r\n" + END,
    "head that stops": OK + LENGTH,
}


@pytest.fixture
def serve():
    """Return a function that answers each request with some bytes, and closes."""
    listeners, tasks = [], []

    def start(answer):
        listener = eventlet.listen(("127.0.0.1", 0))
        listeners.append(listener)

        def play():
            while True:
                connection, _ = listener.accept()
                connection.recv(65_536)
                connection.sendall(answer)
                connection.close()

        tasks.append(eventlet.spawn(play))
        return f"127.0.0.1:{listener.getsockname()[1]}"

    yield start
    for task in tasks:
        task.kill()
    for listener in listeners:
        listener.close()


@pytest.fixture
def readers(configuration, make_document, make_env, real_time_context, wait_until):
    """Functions that read the answer of an address; None if there is no proper one."""

    def read_by_attempt(address):
        document = make_document(kind="plain")
        configuration.apply("documents/cordero/registro", 1, document)
        env = make_env("/cordero/registro/bibs", "POST", b"{}", HTTP_X_REQUEST_ID="r-1")
        attempt = Attempt(read_call(env, configuration, 0.0), GRANT, address, Clock())
        attempt.connect()
        try:
            return attempt.send().body
        except IncompleteAnswerError:
            return None
        finally:
            attempt.close()

    def read_by_batch(address):
        results = []
        gets = BatchedGets(real_time_context, lambda: None)
        gets.add(address, "/metrics", TIMEOUT_MS, results.append)
        wait_until(lambda: results)
        return None if isinstance(results[0], Unavailable) else results[0].body

    def read_by_order(address):
        response = engine_calls.exchange("POST", address, {}, {})
        return None if isinstance(response, Unavailable) else response.body

    def read_from_store(address):
        reply = exchange(open_pool(address), "POST", "/v3/kv", b"{}", TIMEOUT_MS)
        return None if isinstance(reply, ExchangeFailure) else reply.body

    return {
        "attempt": read_by_attempt,
        "batch": read_by_batch,
        "order": read_by_order,
        "store": read_from_store,
    }


READERS = ["attempt", "batch", "order", "store"]


# MIXED: a body that was not the server's was passed on after a flawed header line.
@pytest.mark.parametrize("reader", READERS)
@pytest.mark.parametrize("kind", MALFORMED_ANSWERS)
def test_malformed_answer_is_no_answer(serve, readers, reader, kind):
    assert readers[reader](serve(MALFORMED_ANSWERS[kind])) is None


@pytest.mark.parametrize("reader", READERS)
@pytest.mark.parametrize("kind", GOOD_ANSWERS)
def test_well_formed_answer_is_accepted(serve, readers, reader, kind):
    assert json.loads(readers[reader](serve(GOOD_ANSWERS[kind]))) == {}


# MIXED: eventlet's sockets report a reset as the end, so the rest may be missing.
@pytest.mark.parametrize("reader", ["attempt", "order", "store"])
def test_answer_without_a_length_is_not_whole(serve, readers, reader):
    assert readers[reader](serve(OK + END)) is None
