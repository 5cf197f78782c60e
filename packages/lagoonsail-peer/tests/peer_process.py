"""Peer server in a separate process, for tests.

Prints one JSON line per event and echoes every message except heartbeats. With --ticks
it sends a numbered message on each open stream every 10 ms.
"""

from __future__ import annotations

import argparse
import json

from lagoonsail_core.clock import Clock
from lagoonsail_core.events import Timeline
from lagoonsail_core.green import eventlet
from lagoonsail_core.messages import Heartbeat, Hello, SlotCancel
from lagoonsail_peer.heartbeats import HeartbeatScheduler
from lagoonsail_peer.server import PeerServer
from lagoonsail_peer.stream import StreamOptions


def print_event(**fields: object) -> None:
    """Print one event as a JSON line."""
    print(json.dumps(fields), flush=True)


def main() -> None:
    """Serve until the process is killed or --exit-after-ms has passed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--incarnation", type=int, default=1)
    parser.add_argument("--heartbeat-ms", type=float, default=100.0)
    parser.add_argument("--silence-ms", type=float, default=800.0)
    parser.add_argument("--ticks", action="store_true")
    parser.add_argument("--exit-after-ms", type=float, default=0.0)
    parser.add_argument("--transport", default="grpc")
    parser.add_argument("--skip-stop", action="store_true")
    options = parser.parse_args()
    clock = Clock()
    streams = {}

    def echo_messages(stream, messages) -> None:
        for message in messages:
            if type(message) is Heartbeat:
                continue
            print_event(event="message", stream=streams[stream], ticket=message.ticket)
            stream.send(message)

    def on_stream_open(stream, hello) -> None:
        streams[stream] = len(streams)
        print_event(event="open", stream=streams[stream], router=hello.router)

    server = PeerServer(
        f"127.0.0.1:{options.port}",
        b"key",
        StreamOptions(
            make_hello=lambda: Hello("child", options.incarnation, "r", clock.now_ms()),
            timeline=Timeline("child", clock),
            on_open=on_stream_open,
            on_messages=echo_messages,
            on_close=lambda stream: print_event(
                event="close", stream=streams[stream], reason=stream.close_reason
            ),
            flush_ms=2.0,
            silence_ms=options.silence_ms,
            make_heartbeat=lambda: Heartbeat(clock.now_ms(), 0),
            heartbeats=HeartbeatScheduler(options.heartbeat_ms, clock),
            clock=clock,
        ),
        options.transport,
    )
    server.start()
    print_event(event="listening", port=server.port)
    end_ms = clock.now_ms() + options.exit_after_ms
    tick = 0
    while True:
        eventlet.sleep(0.01)
        tick += 1
        for stream in streams if options.ticks else ():
            if not stream.is_closed:
                stream.send(SlotCancel(tick))
        if options.exit_after_ms and clock.now_ms() > end_ms:
            break
    if options.skip_stop:
        return
    server.stop()
    print_event(event="stopped")


if __name__ == "__main__":
    main()
