from __future__ import annotations

import signal

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_core.messages import SlotCancel

CLOCK = Clock()

SILENCE_MS = 1600.0
HEARTBEAT_MS = 400.0
TIMES = {"silence_ms": SILENCE_MS, "heartbeat_ms": HEARTBEAT_MS}


def check_closed_in_time(link) -> None:
    """Check that the first stream closed within the silence timeout and a heartbeat."""
    _, stream, closed_ms = link.of("close")[0]
    assert stream.close_reason == "closed_silent"
    silent_ms = closed_ms - stream.last_received_ms
    assert SILENCE_MS <= silent_ms <= SILENCE_MS + HEARTBEAT_MS


def test_frozen_process_is_noticed_and_its_late_frames_are_dropped(
    start_child, make_peer, wait_until
):
    child = start_child("--ticks", "--silence-ms", "1600", "--heartbeat-ms", "400")
    link = make_peer(f"127.0.0.1:{child.port}", **TIMES)
    wait_until(lambda: len(link.messages(SlotCancel)) > 5)
    child.signal(signal.SIGSTOP)
    # Frames sent from here on stay in the socket buffers of the frozen process.
    old = link.peer.stream
    eventlet.sleep(0.3)
    old.send(SlotCancel(777))
    wait_until(lambda: link.of("close"))
    check_closed_in_time(link)
    child.signal(signal.SIGCONT)
    wait_until(lambda: len(link.of("open")) == 2)
    new = link.streams()[1]
    count = len(link.messages(SlotCancel))
    wait_until(lambda: len(link.messages(SlotCancel)) > count + 20)
    link.check_order()
    new.send(SlotCancel(778))
    wait_until(lambda: child.of("message"))
    assert [event["ticket"] for event in child.of("message")] == [778]
    closed = [event["stream"] for event in child.of("close")]
    assert closed.count(0) == 1


def test_frozen_path_is_replaced_by_a_new_connection(
    pair, make_peer, start_relay, wait_until
):
    server = make_peer(name="server", **TIMES)
    relay = start_relay(server.peer.port)
    link = make_peer(f"127.0.0.1:{relay.port}", name="behind", **TIMES)
    wait_until(lambda: link.of("open") and len(server.of("open")) == 1)
    relay.freeze()
    frozen_ms = CLOCK.now_ms()
    server_stream = server.streams()[-1]
    link.peer.stream.send(SlotCancel(1))
    wait_until(lambda: len(link.of("open")) == 2)
    # Silence timeout, one heartbeat, the first backoff, and a second for the dial.
    assert CLOCK.now_ms() - frozen_ms < SILENCE_MS + HEARTBEAT_MS + 100.0 + 1000.0
    check_closed_in_time(link)
    assert len(relay.connections) >= 2
    relay.thaw()
    link.peer.stream.send(SlotCancel(2))
    wait_until(lambda: server.messages(SlotCancel))
    eventlet.sleep(0.1)
    assert [item.ticket for item in server.messages(SlotCancel)] == [2]
    assert server_stream.close_reason == "closed_silent"


def test_peer_without_hello_is_closed_as_silent_and_never_opens(pair, raw_call):
    server, _ = pair
    raw_call(server.peer.port, [])
    assert server.peer.counters["closed_silent"] == 1
    assert len(server.of("open")) == 1


def test_frame_after_the_silence_timeout_is_not_delivered(make_peer, wait_until):
    times = {"silence_ms": 2000.0, "heartbeat_ms": 1000.0}
    server = make_peer(name="server", **times)
    link = make_peer(f"127.0.0.1:{server.peer.port}", **times)
    wait_until(lambda: link.of("open") and server.of("open"))
    # As if the server's process had been suspended and its timers had not run yet.
    server.ahead_ms = 2001.0
    link.peer.stream.send(SlotCancel(1))
    wait_until(lambda: server.of("close"))
    assert server.streams()[0].close_reason == "closed_silent"
    assert not server.messages(SlotCancel)


def test_links_to_one_address_share_no_connection(make_peer, start_relay, wait_until):
    server = make_peer(name="server")
    relay = start_relay(server.peer.port)
    links = [make_peer(f"127.0.0.1:{relay.port}", f"r{n}") for n in range(3)]
    wait_until(lambda: all(link.of("open") for link in links))
    assert len(relay.connections) == 3
