"""Heartbeats of many streams: sent together, early with a near router, never lost."""

from __future__ import annotations

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_core.messages import Heartbeat, Hello, SlotCancel, encode_frame
from lagoonsail_peer.heartbeats import Heartbeats

CLOCK = Clock()
INTERVAL_MS = 500.0


class FakeStream:
    """Notes when heartbeats were sent on it."""

    def __init__(self, clock, name="near", silence_deadline_ms=1e9):
        self.name = name
        self.sent_ms = []
        self.closed_ms = []
        self._clock = clock
        self._silence_deadline_ms = silence_deadline_ms

    def silence_deadline_ms(self):
        return self._silence_deadline_ms

    def close_if_silent(self, now_ms):
        if now_ms > self._silence_deadline_ms:
            self._silence_deadline_ms = 1e9
            self.closed_ms.append(now_ms)

    def send_heartbeat(self):
        self.sent_ms.append(self._clock.now_ms())


class FailingStream(FakeStream):
    """Cannot send."""

    def send_heartbeat(self):
        raise OSError("meant to fail")


@pytest.fixture
def heartbeats():
    """Heartbeats of a router at every INTERVAL_MS, by a clock that the test sets."""
    now_ms = [0.0]
    made = Heartbeats(INTERVAL_MS, Clock(lambda: now_ms[0], lambda: 0.0))
    made_streams = []

    def add(kind=FakeStream, **options):
        stream = kind(Clock(lambda: now_ms[0]), **options)
        made.add(stream)
        made_streams.append(stream)
        return stream

    def at(time_ms):
        now_ms[0] = time_ms

    yield made, add, at
    for stream in made_streams:
        made.discard(stream)


@pytest.mark.parametrize(
    ("heard_ms", "sent_ms"),
    [(1.0, []), (249.0, []), (251.0, [251.0]), (499.0, [499.0])],
)
def test_received_heartbeat_is_followed_in_the_second_half_only(
    heartbeats, heard_ms, sent_ms
):
    made, add, at = heartbeats
    streams = [add(), add()]
    at(heard_ms)
    made.send_if_due_soon()
    made.send_if_due_soon()
    assert [stream.sent_ms for stream in streams] == [sent_ms, sent_ms]


def test_stream_that_fails_keeps_no_heartbeat_from_the_others(heartbeats):
    made, add, at = heartbeats
    add(FailingStream)
    other = add()
    at(400.0)
    made.send_if_due_soon()
    assert other.sent_ms == [400.0]


def test_streams_that_come_and_go_share_one_green_thread(heartbeats, monkeypatch):
    made, add, _ = heartbeats
    spawned = []
    spawn = eventlet.spawn
    monkeypatch.setattr(
        eventlet, "spawn", lambda *task: spawned.append(task) or spawn(*task)
    )
    for _ in range(5):
        stream = add()
        eventlet.sleep(0)
        made.discard(stream)
    assert len(spawned) == 1


def test_stream_after_an_idle_time_has_heartbeats_again(wait_until):
    made = Heartbeats(20.0, CLOCK)
    for _ in range(3):
        stream = FakeStream(CLOCK)
        made.add(stream)
        wait_until(lambda stream=stream: len(stream.sent_ms) > 2)
        made.discard(stream)
        # Longer than an interval: the green thread has ended.
        eventlet.sleep(0.05)


def test_silent_stream_is_closed_between_two_heartbeats(wait_until):
    made = Heartbeats(60_000.0, CLOCK)
    stream = FakeStream(CLOCK, silence_deadline_ms=CLOCK.now_ms() + 100.0)
    made.add(stream)
    wait_until(lambda: stream.closed_ms)
    made.discard(stream)


def test_no_more_than_an_interval_passes_between_two_heartbeats(make_peer, wait_until):
    times = {"silence_ms": 4000.0, "heartbeat_ms": INTERVAL_MS}
    server = make_peer(name="server", **times)
    links = []
    for number in range(4):
        links.append(make_peer(f"127.0.0.1:{server.end.port}", f"r{number}", **times))
        eventlet.sleep(0.11)
    wait_until(lambda: all(len(link.messages(Heartbeat)) > 5 for link in links))
    for link in links:
        sent_ms = [message.sent_ms for message in link.messages(Heartbeat)]
        gaps_ms = [b - a for a, b in zip(sent_ms, sent_ms[1:], strict=False)]
        assert min(gaps_ms) > INTERVAL_MS / 2 - 1.0
        # Half an interval is for a busy machine: one left out would be a whole one.
        assert max(gaps_ms) < INTERVAL_MS * 1.5


@pytest.mark.parametrize("transport", ["tcp"], indirect=True)
@pytest.mark.parametrize(("region", "most"), [("r", 2.0), ("elsewhere", 1.0)])
def test_flood_of_heartbeats_is_answered_by_few(
    make_peer, raw_call, wait_until, region, most
):
    server = make_peer(name="server", silence_ms=2000.0, heartbeat_ms=INTERVAL_MS)

    def flood():
        yield encode_frame(0, [Hello("raw", 1, region, 0.0)])
        for _ in range(150):
            yield encode_frame(1, [Heartbeat(1.0, 0)])
            eventlet.sleep(0.01)
        yield encode_frame(1, [SlotCancel(1)])
        yield None

    started_ms = CLOCK.now_ms()
    raw_call(server.end.port, flood())
    intervals = (CLOCK.now_ms() - started_ms) / INTERVAL_MS
    wait_until(lambda: server.messages(SlotCancel))
    # Its Hello is no heartbeat.
    sent = server.end.counters["messages_sent"] - 1
    assert 2 <= sent <= most * intervals + 1


@pytest.mark.parametrize("transport", ["tcp"], indirect=True)
def test_near_routers_end_up_sending_at_the_same_moment(make_peer, wait_until):
    times = {"silence_ms": 4000.0, "heartbeat_ms": INTERVAL_MS}
    server = make_peer(name="server", **times)
    came_ms = []
    server.on_messages = lambda stream, messages: came_ms.append(CLOCK.now_ms())
    for number in range(4):
        make_peer(f"127.0.0.1:{server.end.port}", f"r{number}", **times)
        eventlet.sleep(INTERVAL_MS / 4 / 1000.0)
    wait_until(lambda: len(came_ms) > 12)
    # Apart, four routers leave 32 gaps of a quarter; together, 8 of a whole interval.
    came_ms.clear()
    wait_until(lambda: len(came_ms) > 32)
    gaps_ms = [b - a for a, b in zip(came_ms, came_ms[1:], strict=False)]
    assert sum(gap_ms > INTERVAL_MS / 10 for gap_ms in gaps_ms) <= 12
