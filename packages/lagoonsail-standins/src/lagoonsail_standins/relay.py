"""Stand-in for the network between processes: a TCP relay that fails on demand.

One relay process may stand before several targets, each with a port of its own. What
it does to connections can differ by target, and by the address that they come from.
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
    source: str
    """Address that the client's connection comes from."""
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
    """How connections are treated now, but for the sources with orders of their own."""
    target: str
    """Where connections are passed on to."""
    counts: Counter
    """Connections accepted and refused, and bytes in each direction."""

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
        """Accept connections for ever.

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
                connection.gate.shut()
            self._connections.add(connection)
            eventlet.spawn(self._carry, connection)

    def _control_of(self, source: str) -> Control:
        return self._by_source.get(source, self.control)

    def set_control(self, values: dict[str, object], source: str = "") -> Control:
        """Treat connections in another way from now on.

        Args:
            values: Fields of Control by name; others stay as they are.
            source: Address whose connections are meant; all if empty.

        Returns:
            How these connections are treated now.
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
        """Return counts, and how many connections are open and frozen now."""
        frozen = sum(not item.gate.is_open for item in self._connections)
        return {**self.counts, "open": len(self._connections), "frozen": frozen}

    def _apply(self, control: Control, connection: Connection) -> None:
        if control.mode == "cut" or self._is_cut(control, connection):
            self._end(connection)
        elif control.mode == "freeze":
            connection.gate.shut()
        elif not control.drop_new:
            connection.gate.open()

    def _is_cut(self, control: Control, connection: Connection) -> bool:
        text = control.cut_from.encode()
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
        reader = eventlet.spawn(self._read_all, connection, source, under_way)
        try:
            while True:
                due_ms, chunk = under_way.get()
                eventlet.sleep(max(0.0, due_ms - self._clock.now_ms()) / 1000.0)
                connection.gate.wait()
                if direction == "out" and not connection.opening:
                    connection.opening = chunk
                    if self._is_cut(self._control_of(connection.source), connection):
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
        self,
        connection: Connection,
        source: green_socket.socket,
        under_way: eventlet.queue.LightQueue,
    ) -> None:
        chunk = b"-"
        while chunk:
            try:
                chunk = source.recv(CHUNK_BYTES)
            except BROKEN:
                chunk = b""
            delay_ms = self._control_of(connection.source).delay_ms
            under_way.put((self._clock.now_ms() + delay_ms, chunk))


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
    """Pass TCP connections on until SIGTERM.

    Args:
        target: Where connections are passed on to, `ip:port`; several separated by
            commas, of which each further one gets any free port.
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
