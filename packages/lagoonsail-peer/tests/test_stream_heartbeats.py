"""Scheduling of the heartbeats of many streams."""

from __future__ import annotations

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_core.messages import Heartbeat, Hello, SlotCancel, encode_frame
from lagoonsail_peer.heartbeats import HeartbeatScheduler

CLOCK = Clock()
INTERVAL_MS = 500.0


class FakeStream:
    """Records when heartbeats are sent and when it is closed."""

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
    """Raises when a heartbeat is sent."""

    def send_heartbeat(self):
        raise OSError("meant to fail")


@pytest.fixture
def heartbeats():
    """Heartbeats with INTERVAL_MS and a clock that the test sets."""
    now_ms = [0.0]
    scheduler = HeartbeatScheduler(INTERVAL_MS, Clock(lambda: now_ms[0], lambda: 0.0))
    streams = []

    def add(kind=FakeStream, **options):
        stream = kind(Clock(lambda: now_ms[0]), **options)
        scheduler.add(stream)
        streams.append(stream)
        return stream

    def set_time_ms(time_ms):
        now_ms[0] = time_ms

    yield scheduler, add, set_time_ms
    for stream in streams:
        scheduler.discard(stream)


@pytest.mark.parametrize(
    ("heard_ms", "sent_ms"),
    [(1.0, []), (249.0, []), (251.0, [251.0]), (499.0, [499.0])],
)
def test_received_heartbeat_triggers_sending_in_the_second_half_only(
    heartbeats, heard_ms, sent_ms
):
    scheduler, add, set_time_ms = heartbeats
    streams = [add(), add()]
    set_time_ms(heard_ms)
    scheduler.send_if_due_soon()
    scheduler.send_if_due_soon()
    assert [stream.sent_ms for stream in streams] == [sent_ms, sent_ms]


def test_failing_stream_does_not_block_heartbeats_of_others(heartbeats):
    scheduler, add, set_time_ms = heartbeats
    add(FailingStream)
    other = add()
    set_time_ms(400.0)
    scheduler.send_if_due_soon()
    assert other.sent_ms == [400.0]


def test_streams_added_and_discarded_share_one_green_thread(heartbeats, monkeypatch):
    scheduler, add, _ = heartbeats
    spawned = []
    spawn = eventlet.spawn
    monkeypatch.setattr(
        eventlet, "spawn", lambda *task: spawned.append(task) or spawn(*task)
    )
    for _ in range(5):
        stream = add()
        eventlet.sleep(0)
        scheduler.discard(stream)
    assert len(spawned) == 1


def test_stream_after_an_idle_time_has_heartbeats_again(wait_until):
    scheduler = HeartbeatScheduler(20.0, CLOCK)
    for _ in range(3):
        stream = FakeStream(CLOCK)
        scheduler.add(stream)
        wait_until(lambda stream=stream: len(stream.sent_ms) > 2)
        scheduler.discard(stream)
        # Longer than an interval, so that the green thread has ended.
        eventlet.sleep(0.05)


def test_silent_stream_is_closed_between_two_heartbeats(wait_until):
    scheduler = HeartbeatScheduler(60_000.0, CLOCK)
    stream = FakeStream(CLOCK, silence_deadline_ms=CLOCK.now_ms() + 100.0)
    scheduler.add(stream)
    wait_until(lambda: stream.closed_ms)
    scheduler.discard(stream)


def test_no_more_than_an_interval_passes_between_two_heartbeats(make_peer, wait_until):
    times = {"silence_ms": 4000.0, "heartbeat_ms": INTERVAL_MS}
    server = make_peer(name="server", **times)
    links = []
    for number in range(4):
        links.append(make_peer(f"127.0.0.1:{server.peer.port}", f"r{number}", **times))
        eventlet.sleep(0.11)
    wait_until(lambda: all(len(link.messages(Heartbeat)) > 5 for link in links))
    for link in links:
        sent_ms = [message.sent_ms for message in link.messages(Heartbeat)]
        gaps_ms = [b - a for a, b in zip(sent_ms, sent_ms[1:], strict=False)]
        assert min(gaps_ms) > INTERVAL_MS / 2 - 1.0
        # Half an interval of tolerance for a busy machine; a missed heartbeat would
        # take a whole interval.
        assert max(gaps_ms) < INTERVAL_MS * 1.5


@pytest.mark.parametrize("transport", ["tcp"], indirect=True)
@pytest.mark.parametrize(("region", "most"), [("r", 2.0), ("elsewhere", 1.0)])
def test_flood_of_heartbeats_triggers_few_heartbeats(
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
    raw_call(server.peer.port, flood())
    intervals = (CLOCK.now_ms() - started_ms) / INTERVAL_MS
    wait_until(lambda: server.messages(SlotCancel))
    # Its Hello is not a heartbeat.
    sent = server.peer.counters["messages_sent"] - 1
    assert 2 <= sent <= most * intervals + 1


@pytest.mark.parametrize("transport", ["tcp"], indirect=True)
def test_routers_of_one_region_converge_on_one_send_time(make_peer, wait_until):
    times = {"silence_ms": 4000.0, "heartbeat_ms": INTERVAL_MS}
    server = make_peer(name="server", **times)
    received_ms = []
    server.on_messages = lambda stream, messages: received_ms.append(CLOCK.now_ms())
    for number in range(4):
        make_peer(f"127.0.0.1:{server.peer.port}", f"r{number}", **times)
        eventlet.sleep(INTERVAL_MS / 4 / 1000.0)
    wait_until(lambda: len(received_ms) > 12)
    # Unaligned, four routers give 32 gaps of a quarter interval; aligned, 8 gaps of a
    # whole one.
    received_ms.clear()
    wait_until(lambda: len(received_ms) > 32)
    gaps_ms = [b - a for a, b in zip(received_ms, received_ms[1:], strict=False)]
    assert sum(gap_ms > INTERVAL_MS / 10 for gap_ms in gaps_ms) <= 12
