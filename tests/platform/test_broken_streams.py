"""Answers that servers break off, at each place in which they can."""

from __future__ import annotations

import pytest
from lagoonsail_platform_standin.answer_reader import AnswerReader, CallerAnswer

from lagoonsail_core.green import eventlet, green_socket

ROUTER = "router-1"
SEAL = b"Lagoonsail-Server-Seal: seal\r\n"
STREAM = b"Content-Type: text/event-stream\r\n"
UNFRAMED = b"Connection: close\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
ERROR_TEXT = b"secret error of the server"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def ok(fields, body):
    return b"HTTP/1.1 200 OK\r\n" + SEAL + STREAM + fields + b"\r\n" + body


def failure(status, *, body=ERROR_TEXT, fields=SEAL):
    length = b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 " + status + b"\r\n" + fields + length + b"\r\n" + body


def serve_raw(answers):
    """Serve each connection with the next answer, and close it; return the address."""
    listener = green_socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(16)

    def serve():
        for answer in answers:
            connection, _ = listener.accept()
            with connection:
                request = connection.recv(65_536)
                if not request:
                    # The router looked whether the server still listens.
                    continue
                head = request.lower()
                start = head.index(b"lagoonsail-attempt-id:")
                line = request[start : head.index(b"\r\n", start) + 2]
                status, _, rest = answer.partition(b"\r\n")
                connection.sendall(status + b"\r\n" + line + rest)
        listener.close()

    eventlet.spawn(serve)
    return f"127.0.0.1:{listener.getsockname()[1]}"


@pytest.fixture
def ask(fleet):
    """Return a function that asks a router whose engines give one answer each."""
    return make_ask(fleet)


def make_ask(fleet):
    def ask(path, *answers):
        for number, answer in enumerate(answers, start=1):
            server = fleet.servers[f"engine-{number}"]
            server.address = serve_raw([answer] * 4)
            server.born += 1
            fleet.store.put_json(f"servers/{server.server_id}", server.record())
        eventlet.sleep(0.2)
        answer = CallerAnswer()
        with fleet.send(ROUTER, "POST", path, "id-1") as sock:
            try:
                AnswerReader(sock).read(answer)
            except OSError:
                assert not answer.is_whole
        return answer

    return ask


def read_metric(fleet, name):
    """Return the sum of a metric of the router, 0 if it has none."""
    address = ("127.0.0.1", fleet.metrics_ports[ROUTER])
    text = b""
    with green_socket.create_connection(address) as sock:
        sock.sendall(b"GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        while data := sock.recv(65_536):
            text += data
    lines = [line for line in text.decode().splitlines() if line.startswith(name)]
    return sum(float(line.rpartition(" ")[2]) for line in lines)


# ORDER: a stream that ended inside an event was passed on as complete.
@pytest.mark.parametrize("path", ["/stream/1", "/resume/1"])
@pytest.mark.parametrize(
    "answer",
    [
        ok(UNFRAMED, EVENTS + b"id: 3\nda"),
        ok(CHUNKED, chunk(EVENTS + b"id: 3\nda") + b"0\r\n\r\n"),
    ],
    ids=["unframed", "chunked"],
)
def test_stream_that_ends_inside_an_event_is_not_complete(ask, path, answer):
    received = ask(path, answer, answer)
    assert not received.is_whole


@pytest.mark.parametrize("path", ["/stream/1", "/resume/1"])
def test_stream_without_a_length_is_passed_on_as_a_whole(ask, path):
    received = ask(path, *[ok(UNFRAMED, EVENTS)] * 2)
    assert (received.status, received.body) == (200, EVENTS)
    assert received.is_whole


# Events with CR LF line ends were held back until the stream ended.
def test_event_with_crlf_line_ends_is_passed_on_at_once(fleet):
    listener = eventlet.listen(("127.0.0.1", 0))

    def serve():
        connection, _ = listener.accept()
        connection.recv(65_536)
        head = ok(UNFRAMED, b"id: 1\r\ndata: a\r\n\r\n")
        connection.sendall(
            head.replace(SEAL, SEAL + b"Lagoonsail-Attempt-Id: id-1\r\n")
        )
        eventlet.event.Event().wait()

    eventlet.spawn(serve)
    for number in (1, 2):
        server = fleet.servers[f"engine-{number}"]
        server.address = f"127.0.0.1:{listener.getsockname()[1]}"
        server.born += 1
        fleet.store.put_json(f"servers/{server.server_id}", server.record())
    eventlet.sleep(0.2)
    received = b""
    sock = fleet.send(ROUTER, "POST", "/resume/1", "id-1")
    with sock, eventlet.Timeout(2.0):
        while b"data: a\r\n\r\n" not in received:
            received += sock.recv(65_536)
    listener.close()


# ORDER, MIXED: the next server's error, or its head, came in the middle of a stream.
@pytest.mark.parametrize(
    "error",
    [
        failure(b"500 Error"),
        failure(b"500 Error", fields=b""),
        failure(b"503 Full"),
        failure(b"404 None"),
        failure(b"302 Moved"),
        failure(b"200 OK", fields=b""),
        failure(b"200 OK", fields=SEAL + b"Content-Encoding: br\r\n"),
        ERROR_TEXT,
        b"HTTP/1.1 200 OK\r\n" + SEAL + STREAM,
    ],
    ids=["500", "500 unsealed", "503", "404", "302", "200", "encoded", "text", "head"],
)
def test_error_of_the_next_server_does_not_come_into_a_stream(ask, error):
    broken = ok(CHUNKED, chunk(EVENTS + b"id: 3\nda"))
    received = ask("/resume/1", broken, error)
    if received.status == 200:
        assert received.body in (b"", EVENTS)
        assert not received.is_whole
    else:
        assert b"HTTP/1.1" not in received.body
    # The other engine is as likely to be asked first.
    received = ask("/resume/1", error, broken)
    assert received.status != 200 or not received.is_whole


# MIXED: an answer with status 000 was passed on to the caller.
@pytest.mark.parametrize("path", ["/stream/1", "/resume/1"])
@pytest.mark.parametrize(
    "answer",
    [
        ok(CHUNKED, chunk(EVENTS) + b"0\r\n\r\n").replace(b"200", b"000"),
        failure(b"000 Error"),
        failure(b"700 Error"),
        ok(b"X Y: a\r\n" + CHUNKED, chunk(EVENTS) + b"0\r\n\r\n"),
        ok(b"X\x01: a\r\n" + CHUNKED, chunk(EVENTS) + b"0\r\n\r\n"),
        ok(b"Transfer-Encoding : chunked\r\n", chunk(EVENTS) + b"0\r\n\r\n"),
        ok(b"Transfer-Encoding: gzip, chunked\r\n", chunk(EVENTS) + b"0\r\n\r\n"),
    ],
    ids=["000", "000 error", "700", "blank", "control byte", "blank coding", "coding"],
)
def test_answer_that_the_protocol_does_not_allow_is_not_passed_on(ask, path, answer):
    received = ask(path, answer, answer)
    assert received.status == 502
    assert EVENTS not in received.body


# MIXED: an error that broke off was completed with the events of another server's run.
@pytest.mark.parametrize("status", [b"500 Error", b"404 None", b"201 Made"])
def test_answer_that_is_no_stream_is_not_completed_by_another_server(ask, status):
    head = b"HTTP/1.1 %s\r\n%sContent-Length: 1400000\r\n\r\n" % (status, SEAL)
    broken = head + b"line\n\n" * 200_000
    whole = ok(CHUNKED, chunk(EVENTS) + b"0\r\n\r\n")
    for answers in ((broken, whole), (whole, broken)):
        received = ask("/resume/1", *answers)
        is_stream = received.body == EVENTS
        assert is_stream or EVENTS not in received.body
        assert is_stream or not received.is_whole


# MIXED: an answer that stopped in its head became a success with an empty body.
@pytest.mark.parametrize("path", ["/stream/1", "/resume/1"])
@pytest.mark.parametrize("length", range(1, 200, 13))
def test_answer_that_stops_in_its_head_is_not_a_success(ask, path, length):
    head = ok(CHUNKED, b"").partition(b"\r\n\r\n")[0]
    answer = head[: max(10, length)]
    received = ask(path, answer, answer)
    assert received.status != 200


# Each such answer used up a part of the byte budget for good.
def test_error_that_takes_up_no_stream_is_not_held(make_fleet):
    fleet = make_fleet(1, memory_mb=120)
    ask = make_ask(fleet)
    broken = ok(CHUNKED, chunk(EVENTS) + b"ffff\r\n")
    error = failure(b"500 Error", body=b"x" * 1_000_000)
    for _ in range(40):
        received = ask("/resume/1", broken, error)
        assert not (received.status == 200 and received.is_whole)
    assert read_metric(fleet, "lagoonsail_answers_not_buffered_total") == 0.0
