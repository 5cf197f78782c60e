from __future__ import annotations

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_core.messages import Heartbeat, SlotCancel

CLOCK = Clock()


def tickets(recorder):
    return [message.ticket for message in recorder.messages(SlotCancel)]


def test_hello_identifies_the_remote_side(pair):
    server, link = pair
    assert (server.streams()[0].name, link.streams()[0].name) == ("link", "server")
    assert link.of("open")[0][2].region == "r"


def test_messages_arrive_in_order_both_ways(pair, wait_until):
    server, link = pair
    for ticket in range(300):
        link.peer.stream.send(SlotCancel(ticket))
        server.streams()[0].send(SlotCancel(ticket))
        if ticket % 7 == 0:
            eventlet.sleep(0.001)
    wait_until(lambda: len(tickets(server)) == len(tickets(link)) == 300)
    assert tickets(server) == tickets(link) == list(range(300))


def test_ten_thousand_messages_at_once_share_few_frames(pair, wait_until):
    server, link = pair
    for ticket in range(10_000):
        link.peer.stream.send(SlotCancel(ticket))
    wait_until(lambda: len(tickets(server)) == 10_000)
    assert tickets(server) == list(range(10_000))
    assert link.peer.counters["frames_sent"] < 50


def test_messages_within_the_flush_time_share_a_frame(pair, wait_until):
    server, link = pair
    before = link.peer.counters["frames_sent"]
    started_ms = CLOCK.now_ms()
    for ticket in range(200):
        link.peer.stream.send(SlotCancel(ticket))
        eventlet.sleep(0)
    spent_ms = CLOCK.now_ms() - started_ms
    wait_until(lambda: len(tickets(server)) == 200)
    # One at once, one per flush interval of 2 ms, the last one, and heartbeats.
    assert link.peer.counters["frames_sent"] - before <= spent_ms / 2.0 + 4


def test_message_sent_along_is_part_of_the_next_frame(make_peer, wait_until):
    # Longer than the test, so that no heartbeat carries the message.
    quiet = {"heartbeat_ms": 60_000.0, "silence_ms": 120_000.0}
    server = make_peer(name="server", **quiet)
    link = make_peer(f"127.0.0.1:{server.peer.port}", **quiet)
    wait_until(lambda: link.of("open") and server.of("open"))
    before = link.peer.counters["frames_sent"]
    link.peer.stream.send_with_next_frame(SlotCancel(1))
    eventlet.sleep(0.05)
    assert link.peer.counters["frames_sent"] == before
    link.peer.stream.send(SlotCancel(2))
    wait_until(lambda: tickets(server) == [1, 2])
    assert link.peer.counters["frames_sent"] == before + 1


def test_heartbeat_takes_messages_sent_along_with_it(pair, wait_until):
    server, link = pair
    link.peer.stream.send_with_next_frame(SlotCancel(1))
    wait_until(lambda: tickets(server) == [1])


def test_idle_stream_sends_without_waiting_for_the_flush_time(pair):
    server, link = pair
    eventlet.sleep(0.02)
    before = link.peer.counters["frames_sent"]
    link.peer.stream.send(SlotCancel(1))
    eventlet.sleep(0)
    eventlet.sleep(0)
    assert link.peer.counters["frames_sent"] > before


def test_heartbeats_carry_the_remote_time_both_ways(pair, wait_until):
    server, link = pair
    wait_until(lambda: len(server.messages(Heartbeat)) > 2)
    wait_until(lambda: len(link.messages(Heartbeat)) > 2)
    stream = link.peer.stream
    assert stream.remote_sent_ms == link.messages(Heartbeat)[-1].sent_ms
    # Both ends share a clock, so the send time cannot be later than the receive time.
    assert stream.remote_sent_ms <= stream.remote_received_ms <= CLOCK.now_ms()


def test_logical_time_is_propagated(pair, wait_until):
    server, link = pair
    link.timeline.observe(1234)
    link.peer.stream.send(SlotCancel(1))
    wait_until(lambda: tickets(server))
    assert server.timeline.logical >= 1234


def test_orderly_close_delivers_what_was_sent(pair, wait_until):
    server, link = pair
    for ticket in range(50):
        link.peer.stream.send(SlotCancel(ticket))
    link.peer.stream.close()
    wait_until(lambda: server.of("close"))
    assert tickets(server) == list(range(50))
    assert server.streams()[0].close_reason == "closed_ended"


def test_orderly_close_loses_nothing_at_a_slow_receiver(pair, wait_until):
    server, link = pair
    # In total longer than the grace period of closing, shorter than the silence
    # timeout.
    server.on_messages = lambda stream, messages: eventlet.sleep(0.04)
    for ticket in range(10):
        link.peer.stream.send(SlotCancel(ticket))
        eventlet.sleep(0.005)
    link.peer.stream.close()
    wait_until(lambda: server.of("close"))
    assert tickets(server) == list(range(10))
    assert server.streams()[0].close_reason == "closed_ended"


def test_slow_callback_delays_no_other_stream(pair, make_peer, wait_until):
    server, link = pair
    other = make_peer(f"127.0.0.1:{server.peer.port}", name="other")
    wait_until(lambda: len(server.of("open")) == 2)
    slow = server.streams()[0]
    returned = []

    def take(stream, messages):
        if stream is slow:
            eventlet.sleep(0.5)
            returned.append(stream)

    server.on_messages = take
    link.peer.stream.send(SlotCancel(1))
    wait_until(lambda: tickets(server) == [1])
    other.peer.stream.send(SlotCancel(2))
    wait_until(lambda: tickets(server) == [1, 2])
    assert not returned
