"""Stand-in for the network between two processes: a TCP relay that fails on demand."""

from __future__ import annotations

import json
import struct
from collections import Counter
from dataclasses import asdict, dataclass
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
"""Bytes that are read at a time."""
CHUNKS_IN_FLIGHT = 64
"""Chunks of one direction that may be under way at a time."""
MODES = ("pass", "cut", "freeze")
"""Accepted values of `Control.mode`."""

BROKEN = (OSError, EOFError)
"""What green sockets raise when they break, or are closed by another green thread."""

_RESET_AT_CLOSE = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class Control:
    """How the relay treats connections."""

    mode: str = "pass"
    """One of MODES."""
    delay_ms: float = 0.0
    """Time under way in each direction."""
    drop_new: bool = False
    """Accept new connections, but pass nothing on while this is set."""
    cut_from: str = ""
    """Cut only the connections whose client sends this text in its first bytes."""


class Gate:
    """Open or shut; green threads wait at it while it is shut."""

    __slots__ = ("_opened", "is_open")

    is_open: bool
    """Whether one may pass now."""

    def __init__(self) -> None:
        self.is_open = True
        self._opened = eventlet.event.Event()

    def shut(self) -> None:
        """Let nobody pass from now on."""
        self.is_open = False

    def open(self) -> None:
        """Let all pass who wait."""
        self.is_open = True
        opened, self._opened = self._opened, eventlet.event.Event()
        opened.send()

    def wait(self) -> None:
        """Return when the gate is open."""
        while not self.is_open:
            self._opened.wait()


@dataclass(slots=True, eq=False)
class Connection:
    """A client's connection and the one to the target."""

    client: green_socket.socket
    """Towards the client."""
    gate: Gate
    """Shut while the connection is frozen."""
    target: green_socket.socket | None = None
    """Towards the target, once it is open."""
    opening: bytes = b""
    """What the client sent first."""


def reset(sock: green_socket.socket | None) -> None:
    """Close a socket such that the other side sees a reset.

    Args:
        sock: The socket, or None.
    """
    if sock is None:
        return
    try:
        sock.setsockopt(
            green_socket.SOL_SOCKET, green_socket.SO_LINGER, _RESET_AT_CLOSE
        )
        # Wakes the green threads that read from it.
        sock.shutdown(green_socket.SHUT_RD)
    except OSError:
        # It is closed already.
        pass
    sock.close()


class Relay:
    """Passes connections on to a target.

    Freezing shuts the gates of the connections that exist: they stay open and what is
    under way in them waits.
    """

    __slots__ = ("_clock", "_connections", "_target", "control", "counts")

    control: Control
    """How connections are treated now."""
    counts: Counter
    """Connections accepted and refused, and bytes in each direction."""

    def __init__(self, target: str, clock: Clock) -> None:
        host, _, port = target.rpartition(":")
        self.control = Control()
        self.counts = Counter()
        self._target = (host, int(port))
        self._clock = clock
        self._connections: set[Connection] = set()

    def accept_all(self, listener: green_socket.socket) -> None:
        """Accept connections for ever.

        Args:
            listener: Listening socket.
        """
        while True:
            client, _ = listener.accept()
            if self.control.mode == "cut":
                self.counts["refused"] += 1
                reset(client)
                continue
            self.counts["accepted"] += 1
            connection = Connection(client, Gate())
            if self.control.drop_new:
                connection.gate.shut()
            self._connections.add(connection)
            eventlet.spawn(self._carry, connection)

    def set_control(self, request: Request) -> Answer:
        """Handle `POST /_control`."""
        body = request.json()
        unknown = set(body) - set(Control.__dataclass_fields__)
        if unknown or body.get("mode", "pass") not in MODES:
            raise MalformedRequestError(
                f"unknown control {json.dumps(body)}",
                f"mode is one of {', '.join(MODES)}",
            )
        for name, value in body.items():
            setattr(self.control, name, value)
        self._apply_mode()
        return answer_json(asdict(self.control))

    def show_counts(self, _request: Request) -> Answer:
        """Handle `GET /_record`."""
        frozen = sum(not item.gate.is_open for item in self._connections)
        return answer_json(
            {**self.counts, "open": len(self._connections), "frozen": frozen}
        )

    def _apply_mode(self) -> None:
        for connection in list(self._connections):
            if self.control.mode == "cut" or self._is_cut(connection):
                self._end(connection)
            elif self.control.mode == "freeze":
                connection.gate.shut()
            elif not self.control.drop_new:
                connection.gate.open()

    def _is_cut(self, connection: Connection) -> bool:
        text = self.control.cut_from.encode()
        return bool(text) and text in connection.opening

    def _end(self, connection: Connection) -> None:
        if connection not in self._connections:
            return
        self._connections.discard(connection)
        reset(connection.client)
        reset(connection.target)
        connection.gate.open()

    def _carry(self, connection: Connection) -> None:
        try:
            connection.gate.wait()
            if connection not in self._connections:
                return
            connection.target = eventlet.connect(self._target)
            connection.target.setsockopt(
                green_socket.IPPROTO_TCP, green_socket.TCP_NODELAY, 1
            )
            answers = eventlet.spawn(
                self._pass_on, connection, connection.target, connection.client, "in"
            )
            self._pass_on(connection, connection.client, connection.target, "out")
            answers.wait()
        except BROKEN:
            self.counts["broken"] += 1
        finally:
            self._end(connection)

    def _pass_on(
        self,
        connection: Connection,
        source: green_socket.socket,
        sink: green_socket.socket,
        direction: str,
    ) -> None:
        """Pass one direction on until it ends; a break ends both directions."""
        under_way = eventlet.queue.LightQueue(CHUNKS_IN_FLIGHT)
        reader = eventlet.spawn(self._read_all, source, under_way)
        try:
            while True:
                due_ms, chunk = under_way.get()
                eventlet.sleep(max(0.0, due_ms - self._clock.now_ms()) / 1000.0)
                connection.gate.wait()
                if direction == "out" and not connection.opening:
                    connection.opening = chunk
                    if self._is_cut(connection):
                        self._end(connection)
                        return
                if not chunk:
                    sink.shutdown(green_socket.SHUT_WR)
                    return
                sink.sendall(chunk)
                self.counts[f"bytes_{direction}"] += len(chunk)
        except BROKEN:
            self._end(connection)
        finally:
            reader.kill()

    def _read_all(
        self, source: green_socket.socket, under_way: eventlet.queue.LightQueue
    ) -> None:
        chunk = b"-"
        while chunk:
            try:
                chunk = source.recv(CHUNK_BYTES)
            except BROKEN:
                chunk = b""
            under_way.put((self._clock.now_ms() + self.control.delay_ms, chunk))


def main(*, target: str, port: int = 0, control_port: int = 0) -> None:
    """Pass TCP connections on until SIGTERM.

    Args:
        target: Where connections are passed on to, `ip:port`.
        port: TCP port; 0 takes any free one.
        control_port: TCP port of `/_control` and `/_record`; 0 takes any free one.
    """
    exit_on_sigterm()
    relay = Relay(target, Clock())
    listener, control_listener = listen(port), listen(control_port)
    routes: dict[tuple[str, str], Callable[[Request], Answer]] = {
        ("POST", "/_control"): relay.set_control,
        ("GET", "/_record"): relay.show_counts,
    }
    eventlet.spawn(relay.accept_all, listener)
    print_listening(
        listener.getsockname()[1], control_port=control_listener.getsockname()[1]
    )
    serve_listener(control_listener, make_app(routes))


if __name__ == "__main__":
    run(main)
