"""Processor time and bytes used by a stream between two routers.

A dialling and a listening process exchange messages through a relay in this process,
which counts bytes. Prints one JSON object: figures by transport and, if both transports
are measured, the ratios of TCP to gRPC. Takes about 15 s per transport.

    python packages/lagoonsail-peer/benchmarks/stream_cost.py --transport both
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import threading
import time
from collections import Counter

from lagoonsail_core.clock import Clock
from lagoonsail_core.events import Timeline
from lagoonsail_core.green import eventlet, green_socket
from lagoonsail_core.messages import Heartbeat, Hello, SlotCancel, SlotRequest
from lagoonsail_peer.heartbeats import HeartbeatScheduler
from lagoonsail_peer.link import PeerLink
from lagoonsail_peer.server import PeerServer
from lagoonsail_peer.stream import StreamOptions

BATCHES = (1, 10, 100)
"""Measured numbers of messages per flush."""
FLUSHES = 200
"""Flushes per measured batch size."""
PAUSE_MS = 10.0
"""Pause between two flushes; longer than the flush interval of the streams."""
IDLE_STREAMS = 20
"""Open streams during the measurement of idle streams."""
IDLE_MS = 4000.0
"""Duration of the measurement of idle streams."""
HEARTBEAT_MS = 500.0
"""Heartbeat interval."""
SHARED_KEY = b"benchmark"
"""Shared key of both processes."""

TRANSPORTS = ("grpc", "tcp")
"""Transports of the streams."""

CLOCK = Clock()


def print_event(**fields: object) -> None:
    """Print one event with the processor time used so far."""
    fields["cpu_ms"] = time.process_time() * 1000.0
    print(json.dumps(fields), flush=True)


def make_options(name: str, on_messages) -> StreamOptions:
    """Return stream options for a server or a link.

    Args:
        name: Name of the router.
        on_messages: The callback for messages.

    Returns:
        The options.
    """
    return StreamOptions(
        make_hello=lambda: Hello(name, 1, "sierra-central", CLOCK.now_ms()),
        timeline=Timeline(name, CLOCK),
        on_open=lambda stream, hello: None,
        on_messages=on_messages,
        on_close=lambda stream: None,
        flush_ms=2.0,
        silence_ms=2000.0,
        make_heartbeat=lambda: Heartbeat(CLOCK.now_ms(), 2**63),
        heartbeats=HeartbeatScheduler(HEARTBEAT_MS, CLOCK),
        clock=CLOCK,
    )


def listen(transport: str) -> None:
    """Serve, and print the processor time at each SlotCancel, which is a mark.

    Args:
        transport: Transport of the streams.
    """

    def on_messages(stream, messages) -> None:
        for message in messages:
            if type(message) is SlotCancel:
                print_event(event="mark", mark=message.ticket)
                stream.send(message)

    options = make_options("cordero-1", on_messages)
    server = PeerServer("127.0.0.1:0", SHARED_KEY, options, transport)
    server.start()
    print_event(event="listening", port=server.port)
    while True:
        eventlet.sleep(60)


class Dialler:
    """The dialling process, which sends messages and marks between measurements."""

    __slots__ = ("address", "links", "marked", "transport")

    def __init__(self, address: str, transport: str) -> None:
        self.address = address
        self.transport = transport
        self.marked = -1
        self.links: list[PeerLink] = []

    def dial(self, count: int) -> None:
        """Open streams.

        Args:
            count: Number of additional streams.
        """
        for _ in range(count):
            name = f"cordero-{len(self.links) + 2}"
            options = make_options(name, self.on_messages)
            link = PeerLink(self.address, SHARED_KEY, options, self.transport)
            link.start()
            self.links.append(link)
        while not all(link.stream and link.stream.name for link in self.links):
            eventlet.sleep(0.01)

    def on_messages(self, stream, messages) -> None:
        """Record a mark that the listener returned."""
        for message in messages:
            if type(message) is SlotCancel:
                self.marked = message.ticket

    def mark(self, number: int) -> None:
        """Print the processor time after all sent messages have been received."""
        self.links[0].stream.send(SlotCancel(number))
        while self.marked != number:
            eventlet.sleep(0.002)
        eventlet.sleep(0.1)
        print_event(event="mark", mark=number)
        eventlet.sleep(0.1)

    def flush_batches(self, batch: int) -> None:
        """Send batches with pauses between them.

        Args:
            batch: Messages per flush; 0 measures only the loop.

        Raises:
            RuntimeError: If the stream was closed, which invalidates the measurement.
        """
        stream = self.links[0].stream
        for number in range(FLUSHES):
            for index in range(batch):
                ticket = number * batch + index
                stream.send(
                    SlotRequest(
                        ticket=ticket,
                        shard="cordero/asistente@sierra-central",
                        account="club-norte",
                        estimate=256.0,
                        prefix=[2**63 + 1, 2**63 + 2],
                        key=0,
                        call=ticket,
                        age_ms=1.25,
                    )
                )
            eventlet.sleep(PAUSE_MS / 1000.0)
        if stream.is_closed:
            raise RuntimeError(f"the stream was closed: {stream.close_reason}")

    def run(self) -> None:
        """Run all measurements."""
        self.dial(1)
        eventlet.sleep(0.2)
        self.mark(0)
        for number, batch in enumerate((0, *BATCHES), 1):
            self.flush_batches(batch)
            self.mark(number)
        self.dial(IDLE_STREAMS - 1)
        eventlet.sleep(0.2)
        last = len(BATCHES) + 2
        self.mark(last)
        eventlet.sleep(IDLE_MS / 1000.0)
        self.mark(last + 1)
        for link in self.links:
            link.stop()


class CountingRelay:
    """TCP relay that counts the bytes of each direction."""

    __slots__ = ("counts", "listener", "port", "target")

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.counts = Counter()
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        eventlet.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            inbound, _ = self.listener.accept()
            outbound = green_socket.create_connection(self.target)
            eventlet.spawn(self._forward, inbound, outbound, "to_listener")
            eventlet.spawn(self._forward, outbound, inbound, "to_dialler")

    def _forward(self, source, destination, direction: str) -> None:
        try:
            while data := source.recv(65536):
                self.counts[direction] += len(data)
                destination.sendall(data)
        except (OSError, EOFError):
            return
        finally:
            destination.close()


class Process:
    """A measured process with the events that it printed."""

    __slots__ = ("cpu_ms", "events", "process")

    def __init__(self, *options: str) -> None:
        paths = os.pathsep.join(path for path in sys.path if path)
        self.events: list[dict] = []
        self.cpu_ms: dict[int, float] = {}
        self.process = subprocess.Popen(
            [sys.executable, __file__, *options],
            env={**os.environ, "PYTHONPATH": paths},
            stdout=subprocess.PIPE,
        )
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        for line in iter(self.process.stdout.readline, b""):
            event = json.loads(line)
            if event["event"] == "mark":
                self.cpu_ms[event["mark"]] = event["cpu_ms"]
            self.events.append(event)

    def spent_ms(self, mark: int) -> float:
        """Return the processor time between the previous mark and this one."""
        return self.cpu_ms[mark] - self.cpu_ms[mark - 1]


def measure(transport: str) -> dict:
    """Run both processes and return the figures.

    Args:
        transport: Transport of the streams.

    Returns:
        Costs by messages per flush, and of an idle stream.
    """
    listener = Process("listen", transport)
    processes = [listener]
    try:
        while not listener.events:
            eventlet.sleep(0.02)
        relay = CountingRelay(("127.0.0.1", listener.events[0]["port"]))
        dialler = Process("dial", transport, f"127.0.0.1:{relay.port}")
        processes.append(dialler)
        byte_counts = count_bytes(dialler, relay)
    finally:
        for item in processes:
            item.process.kill()
            item.process.wait()
    return evaluate(dialler, listener, byte_counts)


def count_bytes(dialler: Process, relay: CountingRelay) -> dict[int, Counter]:
    """Record the relay's byte counts at each mark until the last.

    Args:
        dialler: The dialling process, which prints the marks.
        relay: The relay between the processes.

    Returns:
        Bytes by direction, by mark.

    Raises:
        RuntimeError: If the dialling process ended early.
    """
    byte_counts: dict[int, Counter] = {}
    while len(BATCHES) + 3 not in byte_counts:
        for mark in list(dialler.cpu_ms):
            byte_counts.setdefault(mark, Counter(relay.counts))
        if dialler.process.poll():
            raise RuntimeError("the dialling process failed")
        eventlet.sleep(0.01)
    return byte_counts


def evaluate(
    dialler: Process, listener: Process, byte_counts: dict[int, Counter]
) -> dict:
    """Compute the figures from the marks.

    Args:
        dialler: The dialling process.
        listener: The listening process.
        byte_counts: Bytes by direction, by mark.

    Returns:
        Costs by messages per flush, and of an idle stream.
    """
    last = len(BATCHES) + 3
    loop_ms = dialler.spent_ms(1)
    figures = {}
    for mark, batch in enumerate(BATCHES, 2):
        messages = batch * FLUSHES
        sent = byte_counts[mark]["to_listener"] - byte_counts[mark - 1]["to_listener"]
        back = byte_counts[mark]["to_dialler"] - byte_counts[mark - 1]["to_dialler"]
        figures[batch] = {
            "messages": messages,
            "sender_us": round((dialler.spent_ms(mark) - loop_ms) * 1e3 / messages, 2),
            "receiver_us": round(listener.spent_ms(mark) * 1e3 / messages, 2),
            "bytes_sent": round(sent / messages, 1),
            "bytes_back": round(back / messages, 1),
        }
    idle = byte_counts[last] - byte_counts[last - 1]
    # The interval includes the 200 ms of the marks.
    seconds = IDLE_STREAMS * (IDLE_MS + 200.0) / 1000.0
    return {
        "per_message_by_messages_a_flush": figures,
        "loop_us_per_flush": round(loop_ms * 1e3 / FLUSHES, 2),
        "idle_stream_per_second": {
            "heartbeat_ms": HEARTBEAT_MS,
            "streams": IDLE_STREAMS,
            "dialler_us": round(dialler.spent_ms(last) * 1e3 / seconds, 1),
            "listener_us": round(listener.spent_ms(last) * 1e3 / seconds, 1),
            "bytes_to_listener": round(idle["to_listener"] / seconds, 1),
            "bytes_to_dialler": round(idle["to_dialler"] / seconds, 1),
        },
    }


def ratios(figures: dict, base: dict) -> dict:
    """Divide figures by base figures.

    Args:
        figures: Figures, nested by name.
        base: Figures of the same form.

    Returns:
        Ratios of the same form; None where the base is not positive.
    """
    result = {}
    for key, value in figures.items():
        if isinstance(value, dict):
            result[key] = ratios(value, base[key])
        else:
            result[key] = round(value / base[key], 3) if base[key] > 0 else None
    return result


def measure_all(transports: tuple[str, ...]) -> dict:
    """Measure transports one after the other.

    Args:
        transports: Transports to measure.

    Returns:
        Figures by transport, ratios if there are two, and load averages.
    """
    result: dict = {"load_before": os.getloadavg()}
    for transport in transports:
        result[transport] = measure(transport)
    if len(transports) > 1:
        result["tcp_to_grpc"] = ratios(result["tcp"], result["grpc"])
    result["load_after"] = os.getloadavg()
    return result


def main() -> None:
    """Run the process that the command line names, or the whole benchmark."""
    if sys.argv[1:2] == ["listen"]:
        listen(sys.argv[2])
        return
    if sys.argv[1:2] == ["dial"]:
        Dialler(sys.argv[3], sys.argv[2]).run()
        return
    parser = argparse.ArgumentParser()
    parser.add_argument("--transport", choices=(*TRANSPORTS, "both"), default="both")
    chosen = parser.parse_args().transport
    transports = TRANSPORTS if chosen == "both" else (chosen,)
    print(json.dumps(measure_all(transports), indent=2))


if __name__ == "__main__":
    main()
