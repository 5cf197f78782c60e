"""Stand-in for the network between processes: a TCP relay that fails on demand.

One relay process can forward to several targets, each with a port of its own. Faults
can be set per target and per source address.
"""

from __future__ import annotations

import json
import struct
from collections import Counter
from dataclasses import asdict, dataclass, replace
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet, green_socket
from lagoonsail_standins.serving import (
    Answer,
    MalformedRequestError,
    Request,
    answer_json,
    exit_on_sigterm,
    listen,
    make_app,
    print_listening,
    run,
    serve_listener,
)

if TYPE_CHECKING:
    from collections.abc import Callable

CHUNK_BYTES = 65536
"""Most bytes read at once."""
MAX_CHUNKS_IN_FLIGHT = 64
"""Most chunks buffered in one direction of a connection."""
MODES = ("pass", "cut", "freeze")
"""Accepted values of `Control.mode`."""

SOCKET_ERRORS = (OSError, EOFError)
"""Errors that green sockets raise when the connection breaks or when another green
thread closes them."""

_LINGER_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER value that makes `close` send a TCP reset."""


@dataclass(slots=True)
class Control:
    """Faults that the relay applies to connections."""

    mode: str = "pass"
    """One of MODES."""
    delay_ms: float = 0.0
    """Added latency in each direction, milliseconds."""
    drop_new: bool = False
    """Accept new connections, but forward nothing while this is set."""
    cut_from: str = ""
    """Cut only connections whose client sends this text in its first chunk."""


class Gate:
    """A gate that blocks green threads while it is closed."""

    __slots__ = ("_opened", "is_open")

    is_open: bool
    """Whether `wait` returns at once."""

    def __init__(self) -> None:
        self.is_open = True
        self._opened = eventlet.event.Event()

    def close(self) -> None:
        """Close the gate, so that later calls of `wait` block."""
        self.is_open = False

    def open(self) -> None:
        """Open the gate and resume all waiting green threads."""
        self.is_open = True
        opened, self._opened = self._opened, eventlet.event.Event()
        opened.send()

    def wait(self) -> None:
        """Block until the gate is open."""
        while not self.is_open:
            self._opened.wait()


@dataclass(slots=True, eq=False)
class Connection:
    """A client's connection and its connection to the target."""

    client: green_socket.socket
    """Socket to the client."""
    source: str
    """Source address of the client's connection."""
    gate: Gate
    """Closed while the connection is frozen."""
    target: green_socket.socket | None = None
    """Socket to the target; None until it is connected."""
    first_chunk: bytes = b""
    """First chunk that the client sent."""


def reset(sock: green_socket.socket | None) -> None:
    """Close a socket with a TCP reset.

    Args:
        sock: The socket, or None.
    """
    if sock is None:
        return
    try:
        sock.setsockopt(green_socket.SOL_SOCKET, green_socket.SO_LINGER, _LINGER_RESET)
        # Wakes the green threads that read from the socket.
        sock.shutdown(green_socket.SHUT_RD)
    except OSError:
        # The socket is already closed.
        pass
    sock.close()


class Relay:
    """Forwards connections to a target.

    Freezing closes the gates of the existing connections: the connections stay open,
    and their data waits in the relay.
    """

    __slots__ = (
        "_by_source",
        "_clock",
        "_connections",
        "_target",
        "control",
        "counts",
        "target",
    )

    control: Control
    """Faults of connections whose source address has no faults of its own."""
    target: str
    """Address to which connections are forwarded, `ip:port`."""
    counts: Counter
    """Connections accepted, refused and broken, and bytes in each direction."""

    def __init__(self, target: str, clock: Clock) -> None:
        host, _, port = target.rpartition(":")
        self.target = target
        self.control = Control()
        self.counts = Counter()
        self._by_source: dict[str, Control] = {}
        self._target = (host, int(port))
        self._clock = clock
        self._connections: set[Connection] = set()

    def accept_all(self, listener: green_socket.socket) -> None:
        """Accept connections in an endless loop.

        Args:
            listener: Listening socket.
        """
        while True:
            client, (source, _) = listener.accept()
            control = self._control_of(source)
            if control.mode == "cut":
                self.counts["refused"] += 1
                reset(client)
                continue
            self.counts["accepted"] += 1
            connection = Connection(client, source, Gate())
            if control.drop_new:
                connection.gate.close()
            self._connections.add(connection)
            eventlet.spawn(self._forward, connection)

    def _control_of(self, source: str) -> Control:
        return self._by_source.get(source, self.control)

    def set_control(self, values: dict[str, object], source: str = "") -> Control:
        """Change the faults of new and existing connections.

        Args:
            values: New values of Control fields by name; other fields are kept.
            source: Source address of the affected connections; if empty, all
                connections are affected and faults by source are removed.

        Returns:
            The resulting faults of these connections.
        """
        if source:
            control = self._by_source.setdefault(source, replace(self.control))
        else:
            self._by_source.clear()
            control = self.control
        for name, value in values.items():
            setattr(control, name, value)
        for connection in list(self._connections):
            if not source or connection.source == source:
                self._apply(control, connection)
        return control

    def describe(self) -> dict[str, int]:
        """Return the counts, with the numbers of open and frozen connections."""
        frozen = sum(not item.gate.is_open for item in self._connections)
        return {**self.counts, "open": len(self._connections), "frozen": frozen}

    def _apply(self, control: Control, connection: Connection) -> None:
        if control.mode == "cut" or self._is_cut(control, connection):
            self._close(connection)
        elif control.mode == "freeze":
            connection.gate.close()
        elif not control.drop_new:
            connection.gate.open()

    def _is_cut(self, control: Control, connection: Connection) -> bool:
        text = control.cut_from.encode()
        return bool(text) and text in connection.first_chunk

    def _close(self, connection: Connection) -> None:
        if connection not in self._connections:
            return
        self._connections.discard(connection)
        reset(connection.client)
        reset(connection.target)
        connection.gate.open()

    def _forward(self, connection: Connection) -> None:
        try:
            connection.gate.wait()
            if connection not in self._connections:
                return
            connection.target = eventlet.connect(self._target)
            connection.target.setsockopt(
                green_socket.IPPROTO_TCP, green_socket.TCP_NODELAY, 1
            )
            answers = eventlet.spawn(
                self._forward_direction,
                connection,
                connection.target,
                connection.client,
                "in",
            )
            self._forward_direction(
                connection, connection.client, connection.target, "out"
            )
            answers.wait()
        except SOCKET_ERRORS:
            self.counts["broken"] += 1
        finally:
            self._close(connection)

    def _forward_direction(
        self,
        connection: Connection,
        source: green_socket.socket,
        destination: green_socket.socket,
        direction: str,
    ) -> None:
        """Forward one direction until it ends; an error closes the whole connection."""
        in_flight = eventlet.queue.LightQueue(MAX_CHUNKS_IN_FLIGHT)
        reader = eventlet.spawn(self._enqueue_chunks, connection, source, in_flight)
        try:
            while True:
                due_ms, chunk = in_flight.get()
                eventlet.sleep(max(0.0, due_ms - self._clock.now_ms()) / 1000.0)
                connection.gate.wait()
                if direction == "out" and not connection.first_chunk:
                    connection.first_chunk = chunk
                    if self._is_cut(self._control_of(connection.source), connection):
                        self._close(connection)
                        return
                if not chunk:
                    destination.shutdown(green_socket.SHUT_WR)
                    return
                destination.sendall(chunk)
                self.counts[f"bytes_{direction}"] += len(chunk)
        except SOCKET_ERRORS:
            self._close(connection)
        finally:
            reader.kill()

    def _enqueue_chunks(
        self,
        connection: Connection,
        source: green_socket.socket,
        in_flight: eventlet.queue.LightQueue,
    ) -> None:
        chunk = b"-"
        while chunk:
            try:
                chunk = source.recv(CHUNK_BYTES)
            except SOCKET_ERRORS:
                chunk = b""
            delay_ms = self._control_of(connection.source).delay_ms
            in_flight.put((self._clock.now_ms() + delay_ms, chunk))


def make_routes(relays: list[Relay]) -> dict[tuple[str, str], Callable]:
    """Return the handlers of `/_control` and `/_record`.

    Args:
        relays: The relays of this process.

    Returns:
        Handlers by method and path.
    """

    def set_control(request: Request) -> Answer:
        values = request.json()
        target, source = values.pop("target", ""), values.pop("source", "")
        chosen = [relay for relay in relays if target in ("", relay.target)]
        unknown = set(values) - set(Control.__dataclass_fields__)
        if unknown or not chosen or values.get("mode", "pass") not in MODES:
            raise MalformedRequestError(
                f"unknown control {json.dumps(values)} of {target or 'all targets'}",
                f"mode is one of {', '.join(MODES)}",
            )
        controls = [relay.set_control(values, source) for relay in chosen]
        return answer_json(asdict(controls[0]))

    def show_counts(_request: Request) -> Answer:
        counts = Counter()
        for relay in relays:
            counts.update(relay.describe())
        return answer_json(counts)

    return {("POST", "/_control"): set_control, ("GET", "/_record"): show_counts}


def main(*, target: str, port: int = 0, control_port: int = 0) -> None:
    """Forward TCP connections until SIGTERM.

    Args:
        target: Address to forward connections to, `ip:port`; for several targets,
            separated by commas, each further one listens on any free port.
        port: TCP port; 0 takes any free one.
        control_port: TCP port of `/_control` and `/_record`; 0 takes any free one.
    """
    exit_on_sigterm()
    clock = Clock()
    relays = [Relay(address, clock) for address in target.split(",")]
    listeners = [listen(0 if number else port) for number in range(len(relays))]
    control_listener = listen(control_port)
    for relay, listener in zip(relays, listeners, strict=True):
        eventlet.spawn(relay.accept_all, listener)
    ports = [listener.getsockname()[1] for listener in listeners]
    print_listening(
        ports[0], control_port=control_listener.getsockname()[1], ports=ports
    )
    serve_listener(control_listener, make_app(make_routes(relays)))


if __name__ == "__main__":
    run(main)
