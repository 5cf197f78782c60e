from __future__ import annotations

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_router.batched_gets import MAX_BODY_BYTES, BatchedGets
from lagoonsail_standins.relay import Relay
from lagoonsail_standins.serving import listen

CLOCK = Clock()
TIMEOUT_MS = 400.0
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.fixture
def serve():
    """Serve connections with a function of socket and request; return the address."""
    threads = []

    def start(respond):
        listener = listen(0)

        def handle(connection):
            request = connection.recv(65_536)
            respond(connection, request)
            connection.close()

        def accept():
            while True:
                connection, _ = listener.accept()
                threads.append(eventlet.spawn(handle, connection))

        threads.append(eventlet.spawn(accept))
        return f"127.0.0.1:{listener.getsockname()[1]}"

    yield start
    for thread in threads:
        thread.kill()


def responds(*parts, pause_s=0.0, stays_open=False):
    """Return a function that sends a response in parts."""

    def respond(connection, _request):
        for part in parts:
            connection.sendall(part)
            eventlet.sleep(pause_s)
        if stays_open:
            eventlet.sleep(60.0)

    return respond


@pytest.fixture
def get_all(real_time_context, wait_until):
    """Request a path from many addresses in one batch.

    Return results and times by index, and the number of results after each round.
    """

    def get(addresses, timeout_ms=TIMEOUT_MS, path="/metrics"):
        results, times_ms, rounds = {}, {}, []
        gets = BatchedGets(real_time_context, lambda: rounds.append(len(results)))
        start_ms = CLOCK.now_ms()

        def record(index):
            def on_response(result):
                assert index not in results
                results[index] = result
                times_ms[index] = CLOCK.now_ms() - start_ms

            return on_response

        for index, address in enumerate(addresses):
            gets.add(address, path, timeout_ms, record(index))
        assert results == {}
        wait_until(lambda: len(results) == len(addresses))
        eventlet.sleep(0)
        assert rounds[-1] == len(addresses)
        return results, times_ms, rounds

    return get


def body_of(response):
    return response.body if response else response


def test_each_request_gets_its_own_complete_response(serve, get_all):
    def numbered(number):
        def respond(connection, request):
            assert request.startswith(b"GET /metrics HTTP/1.1\r\nHost: 127.0.0.1:")
            eventlet.sleep((40 - number) % 7 / 1000.0)
            body = b"%d," % number * 1000
            head = b"X-Server-Incarnation: i%d\r\nContent-Length: %d\r\n\r\n"
            connection.sendall(OK + head % (number, len(body)) + body)

        return respond

    addresses = [serve(numbered(number)) for number in range(40)]
    results, _, rounds = get_all(addresses)
    for number, response in results.items():
        assert response.status == 200
        assert response.headers["x-server-incarnation"] == f"i{number}"
        assert response.body == b"%d," % number * 1000
    # Responses that arrive at about the same time are processed in one round.
    assert len(rounds) <= 10


@pytest.mark.parametrize(
    "parts",
    [
        (OK, b"Content-Length: 4\r\n\r\n", b"load"),
        (OK + b"CONTENT-LENGTH:4\r\nX: 1\r\n\r\nlo", b"ad"),
        (
            OK + CHUNKED,
            b"2\r\nlo\r\n",
            b"2\r\nad\r\n0\r\n\r\n",
        ),
    ],
)
@pytest.mark.parametrize("stays_open", [False, True])
def test_response_in_parts(serve, get_all, parts, stays_open):
    address = serve(responds(*parts, pause_s=0.02, stays_open=stays_open))
    results, _, _ = get_all([address])
    assert body_of(results[0]) == b"load"


def test_response_without_length_ends_with_the_connection(serve, get_all):
    results, _, _ = get_all([serve(responds(OK + b"\r\nlo", b"ad", pause_s=0.02))])
    assert body_of(results[0]) == b"load"


BAD_RESPONSES = {
    "empty": responds(),
    "not HTTP": responds(b"\x16\x03\x01\x02\x00\x01\x00" * 20),
    "truncated head": responds(OK + b"X: 1\r\n"),
    "truncated body": responds(OK + b"Content-Length: 9\r\n\r\nload"),
    "truncated chunk": responds(OK + CHUNKED + b"9\r\nload"),
    "invalid chunk size": responds(OK + CHUNKED + b"-2\r\nload"),
    "many headers": responds(OK + b"X: 1\r\n" * 200 + b"\r\n"),
    "long": responds(OK + b"\r\n" + b"x" * (MAX_BODY_BYTES + 1)),
    "endless": responds(OK + b"\r\n", *[b"x" * 50_000] * 50),
    "endless head": responds(OK, *[b"X: " + b"x" * 50_000] * 50),
    "silent": responds(stays_open=True),
    "stops midway": responds(OK + b"Content-Length: 9\r\n\r\nload", stays_open=True),
    "slow": responds(OK + b"Content-Length: 99\r\n\r\n", *[b"x"] * 99, pause_s=0.02),
}


@pytest.mark.parametrize("kind", BAD_RESPONSES)
def test_bad_response_is_unavailable_and_delays_no_other_request(serve, get_all, kind):
    good = responds(OK + b"Content-Length: 4\r\n\r\nload")
    addresses = [serve(BAD_RESPONSES[kind]), serve(good), "127.0.0.1:1", serve(good)]
    results, times_ms, _ = get_all(addresses)
    assert isinstance(results[0], Unavailable)
    assert f"{addresses[0]}/metrics" in results[0].reason
    assert isinstance(results[2], Unavailable)
    assert body_of(results[1]) == body_of(results[3]) == b"load"
    if kind in ("silent", "stops midway", "slow"):
        assert times_ms[0] >= TIMEOUT_MS
        assert max(times_ms[1], times_ms[2], times_ms[3]) < TIMEOUT_MS


def test_each_request_has_its_own_timeout(
    serve, get_all, real_time_context, wait_until
):
    results = []
    gets = BatchedGets(real_time_context, lambda: None)
    silent = [serve(responds(stays_open=True)) for _ in range(2)]
    start_ms = CLOCK.now_ms()

    def record(result):
        results.append((result, CLOCK.now_ms() - start_ms))

    gets.add(silent[0], "/metrics", 500.0, record)
    gets.add(silent[1], "/metrics", 50.0, record)
    wait_until(lambda: results)
    assert results[0][1] < 500.0
    wait_until(lambda: len(results) == 2)
    assert results[1][1] >= 500.0


def test_dead_connection_does_not_hide_a_live_server(serve, get_all):
    """The open connection delivers nothing more; new connections work."""
    slow = responds(OK + b"Content-Length: 4\r\n\r\n", b"load", pause_s=0.1)
    relay = Relay(serve(slow), CLOCK)
    listener = listen(0)
    accepting = eventlet.spawn(relay.accept_all, listener)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    try:
        results, _, _ = get_all([address])
        assert body_of(results[0]) == b"load"
        freezing = eventlet.spawn_after(
            0.05, lambda: relay.set_control({"mode": "freeze"})
        )
        results, _, _ = get_all([address])
        assert isinstance(results[0], Unavailable)
        results, times_ms, _ = get_all([address])
        assert body_of(results[0]) == b"load"
        assert times_ms[0] < TIMEOUT_MS
        freezing.wait()
    finally:
        accepting.kill()


def test_exception_in_one_callback_does_not_stop_the_other_requests(
    serve, real_time_context, wait_until
):
    good = responds(OK + b"Content-Length: 4\r\n\r\nload")
    after, results = [], []

    def fail(_result):
        raise KeyError("fault")

    def fail_after():
        after.append(1)
        raise KeyError("fault")

    gets = BatchedGets(real_time_context, fail_after)
    gets.add("127.0.0.1:1", "/metrics", TIMEOUT_MS, fail)
    for _ in range(3):
        gets.add(serve(good), "/metrics", TIMEOUT_MS, fail)
        gets.add(serve(good), "/metrics", TIMEOUT_MS, results.append)
    wait_until(lambda: len(results) == 3)
    wait_until(
        lambda: real_time_context.counters["task_errors_total", "batched_gets"] >= 4
    )
    gets.add(serve(good), "/metrics", TIMEOUT_MS, results.append)
    wait_until(lambda: len(results) == 4)
    assert [body_of(result) for result in results] == [b"load"] * 4


def test_request_added_by_a_callback_is_sent_while_another_is_pending(
    serve, real_time_context, wait_until
):
    good = serve(responds(OK + b"Content-Length: 4\r\n\r\nload"))
    results = []
    gets = BatchedGets(real_time_context, lambda: None)
    gets.add(serve(responds(stays_open=True)), "/metrics", 60_000.0, results.append)

    def add_second(_result):
        gets.add(good, "/cache_events", TIMEOUT_MS, results.append)

    gets.add(good, "/metrics", TIMEOUT_MS, add_second)
    wait_until(lambda: results)
    assert body_of(results[0]) == b"load"
