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
    """Has a function of socket and request answer connections; gives the address."""
    threads = []

    def start(answer):
        listener = listen(0)

        def take(connection):
            request = connection.recv(65_536)
            answer(connection, request)
            connection.close()

        def accept():
            while True:
                connection, _ = listener.accept()
                threads.append(eventlet.spawn(take, connection))

        threads.append(eventlet.spawn(accept))
        return f"127.0.0.1:{listener.getsockname()[1]}"

    yield start
    for thread in threads:
        thread.kill()


def sends(*parts, pause_s=0.0, stays_open=False):
    """An answer in parts."""

    def answer(connection, _request):
        for part in parts:
            connection.sendall(part)
            eventlet.sleep(pause_s)
        if stays_open:
            eventlet.sleep(60.0)

    return answer


@pytest.fixture
def get_all(real, wait_until):
    """Gets a path of many addresses in one batch; gives results and times by index."""

    def get(addresses, timeout_ms=TIMEOUT_MS, path="/metrics"):
        results, times_ms, rounds = {}, {}, []
        gets = BatchedGets(real, lambda: rounds.append(len(results)))
        begun_ms = CLOCK.now_ms()

        def keep(index):
            def on_answer(result):
                assert index not in results
                results[index] = result
                times_ms[index] = CLOCK.now_ms() - begun_ms

            return on_answer

        for index, address in enumerate(addresses):
            gets.add(address, path, timeout_ms, keep(index))
        assert results == {}
        wait_until(lambda: len(results) == len(addresses))
        eventlet.sleep(0)
        assert rounds[-1] == len(addresses)
        return results, times_ms, rounds

    return get


def body_of(answer):
    return answer.body if answer else answer


def test_each_gets_its_own_whole_answer(serve, get_all):
    def named(number):
        def answer(connection, request):
            assert request.startswith(b"GET /metrics HTTP/1.1\r\nHost: 127.0.0.1:")
            eventlet.sleep((40 - number) % 7 / 1000.0)
            body = b"%d," % number * 1000
            head = b"X-Server-Incarnation: i%d\r\nContent-Length: %d\r\n\r\n"
            connection.sendall(OK + head % (number, len(body)) + body)

        return answer

    addresses = [serve(named(number)) for number in range(40)]
    results, _, rounds = get_all(addresses)
    for number, answer in results.items():
        assert answer.status == 200
        assert answer.headers["x-server-incarnation"] == f"i{number}"
        assert answer.body == b"%d," % number * 1000
    # What comes at about one time is looked at together.
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
def test_answer_in_parts(serve, get_all, parts, stays_open):
    address = serve(sends(*parts, pause_s=0.02, stays_open=stays_open))
    results, _, _ = get_all([address])
    assert body_of(results[0]) == b"load"


def test_end_of_the_connection_ends_an_answer_without_a_length(serve, get_all):
    results, _, _ = get_all([serve(sends(OK + b"\r\nlo", b"ad", pause_s=0.02))])
    assert body_of(results[0]) == b"load"


BAD = {
    "nothing": sends(),
    "no HTTP": sends(b"\x16\x03\x01\x02\x00\x01\x00" * 20),
    "no head": sends(OK + b"X: 1\r\n"),
    "short": sends(OK + b"Content-Length: 9\r\n\r\nload"),
    "broken chunk": sends(OK + CHUNKED + b"9\r\nload"),
    "no chunk": sends(OK + CHUNKED + b"-2\r\nload"),
    "many headers": sends(OK + b"X: 1\r\n" * 200 + b"\r\n"),
    "long": sends(OK + b"\r\n" + b"x" * (MAX_BODY_BYTES + 1)),
    "endless": sends(OK + b"\r\n", *[b"x" * 50_000] * 50),
    "endless head": sends(OK, *[b"X: " + b"x" * 50_000] * 50),
    "silent": sends(stays_open=True),
    "stops midway": sends(OK + b"Content-Length: 9\r\n\r\nload", stays_open=True),
    "slow": sends(OK + b"Content-Length: 99\r\n\r\n", *[b"x"] * 99, pause_s=0.02),
}


@pytest.mark.parametrize("kind", BAD)
def test_bad_answer_is_a_typed_failure_and_holds_up_no_other(serve, get_all, kind):
    good = sends(OK + b"Content-Length: 4\r\n\r\nload")
    addresses = [serve(BAD[kind]), serve(good), "127.0.0.1:1", serve(good)]
    results, times_ms, _ = get_all(addresses)
    assert isinstance(results[0], Unavailable)
    assert f"{addresses[0]}/metrics" in results[0].reason
    assert isinstance(results[2], Unavailable)
    assert body_of(results[1]) == body_of(results[3]) == b"load"
    if kind in ("silent", "stops midway", "slow"):
        assert times_ms[0] >= TIMEOUT_MS
        assert max(times_ms[1], times_ms[2], times_ms[3]) < TIMEOUT_MS


def test_each_request_has_its_own_time(serve, get_all, real, wait_until):
    results = []
    gets = BatchedGets(real, lambda: None)
    silent = [serve(sends(stays_open=True)) for _ in range(2)]
    begun_ms = CLOCK.now_ms()

    def keep(result):
        results.append((result, CLOCK.now_ms() - begun_ms))

    gets.add(silent[0], "/metrics", 500.0, keep)
    gets.add(silent[1], "/metrics", 50.0, keep)
    wait_until(lambda: results)
    assert results[0][1] < 500.0
    wait_until(lambda: len(results) == 2)
    assert results[1][1] >= 500.0


def test_connections_that_went_silent_do_not_hide_a_server(serve, get_all):
    """The connection that is open goes silent for good; new ones work."""
    slow = sends(OK + b"Content-Length: 4\r\n\r\n", b"load", pause_s=0.1)
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


def test_fault_at_one_answer_keeps_no_other_from_being_read(serve, real, wait_until):
    good = sends(OK + b"Content-Length: 4\r\n\r\nload")
    after, results = [], []

    def fail(_result):
        raise KeyError("fault")

    def fail_after():
        after.append(1)
        raise KeyError("fault")

    gets = BatchedGets(real, fail_after)
    gets.add("127.0.0.1:1", "/metrics", TIMEOUT_MS, fail)
    for _ in range(3):
        gets.add(serve(good), "/metrics", TIMEOUT_MS, fail)
        gets.add(serve(good), "/metrics", TIMEOUT_MS, results.append)
    wait_until(lambda: len(results) == 3)
    wait_until(lambda: real.counters["task_errors_total", "batched_gets"] >= 4)
    gets.add(serve(good), "/metrics", TIMEOUT_MS, results.append)
    wait_until(lambda: len(results) == 4)
    assert [body_of(result) for result in results] == [b"load"] * 4


def test_request_added_at_an_answer_is_sent_while_others_are_silent(
    serve, real, wait_until
):
    good = serve(sends(OK + b"Content-Length: 4\r\n\r\nload"))
    results = []
    gets = BatchedGets(real, lambda: None)
    gets.add(serve(sends(stays_open=True)), "/metrics", 60_000.0, results.append)

    def ask_again(_result):
        gets.add(good, "/cache_events", TIMEOUT_MS, results.append)

    gets.add(good, "/metrics", TIMEOUT_MS, ask_again)
    wait_until(lambda: results)
    assert body_of(results[0]) == b"load"
