"""A small stand-in of the platform: store, servers, clients and router processes.

It uses the standard library only. Store and servers answer as the users' pages say;
where a page is silent, they behave like sound ones. Each case writes what was sent,
answered and run to its record.
"""

from __future__ import annotations

import base64
import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
"""Root of the repository."""
HOST = "races.example"
"""Host name of all routes."""
KEY = "key-of-norte"
"""API key of the only tenant."""
DRAIN_MS = 2000
"""`drain-ms` of the settings."""
GRACE_S = 8
"""`grace-s` of the settings."""


MAX_CASE_S = 110
"""Time after which a case ends with all its processes, as one that could not run."""


class Record:
    """The record of a case: one line for each event, with seconds since its start."""

    def __init__(self, folder: Path) -> None:
        self._start = time.monotonic()
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Write a line."""
        with self._lock:
            self._file.write(f"{self.now():9.3f}  {text}\n")
            self._file.flush()

    def say(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self.write(text)
        print(text, flush=True)


class Head:
    """The head of an HTTP message, and what was received after it."""

    def __init__(self, first: str, fields: dict[str, str], rest: bytes) -> None:
        self.first = first
        self.fields = fields
        self.rest = rest


def read_head(sock: socket.socket, rest: bytes = b"") -> Head | None:
    """Read the head of a message; None if the channel ends before it is complete."""
    while b"\r\n\r\n" not in rest:
        part = sock.recv(65_536)
        if not part:
            return None
        rest += part
    head, _, rest = rest.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return Head(first, {k.lower(): v.strip() for k, v in pairs}, rest)


def read_exactly(sock: socket.socket, rest: bytes, length: int) -> tuple[bytes, bytes]:
    """Return a body of a known length, and what follows it.

    Raises:
        ConnectionError: If the channel ends before.
    """
    while len(rest) < length:
        part = sock.recv(65_536)
        if not part:
            raise ConnectionError(f"closed after {len(rest)} of {length} bytes")
        rest += part
    return rest[:length], rest[length:]


def read_until(sock: socket.socket, rest: bytes, mark: bytes) -> tuple[bytes, bytes]:
    """Return the bytes before a mark, and what follows it.

    Raises:
        ConnectionError: If the channel ends before.
    """
    while mark not in rest:
        part = sock.recv(65_536)
        if not part:
            raise ConnectionError("closed before the end of the answer")
        rest += part
    before, _, after = rest.partition(mark)
    return before, after


def reset(sock: socket.socket) -> None:
    """Close a channel with a reset, as the end of a process with unread data does."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RD)
        sock.close()
    except OSError:
        return


class Port:
    """A listening port, with a thread for each channel."""

    def __init__(self, handle: Callable[[socket.socket], None]) -> None:
        self._handle = handle
        self._channels: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                channel, _ = self._listener.accept()
            except OSError:
                return
            channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._channels.add(channel)
            threading.Thread(target=self._run, args=(channel,), daemon=True).start()

    def _run(self, channel: socket.socket) -> None:
        # The other end may break the channel, or this end.
        with contextlib.suppress(OSError, ValueError):
            self._handle(channel)
        with self._lock:
            self._channels.discard(channel)
        channel.close()

    def reset_channels(self) -> None:
        """Reset all open channels; new ones are accepted."""
        with self._lock:
            channels, self._channels = self._channels, set()
        for channel in channels:
            reset(channel)

    def close(self) -> None:
        """Stop listening and reset all channels, as the end of a process does."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.reset_channels()


class Store:
    """The platform's metadata store."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._changed = threading.Condition()
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._revision = 1
        self.is_down = False
        self.port = Port(self._serve)
        threading.Thread(target=self._expire, daemon=True).start()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key and return the revision."""
        with self._changed:
            self._revision += 1
            text = base64.b64encode(value).decode()
            created = self._items.get(key, {}).get("created", self._revision)
            item = {"key": key, "value": text, "revision": self._revision}
            item |= {"created": created, "lease": lease}
            self._items[key] = item
            self._events.append(item)
            self._changed.notify_all()
            return self._revision

    def put_json(self, key: str, value: dict) -> int:
        """Write a key whose value is an object, and return the revision."""
        return self.put(key, json.dumps(value).encode())

    def remove(self, key: str) -> None:
        """Remove a key."""
        with self._changed:
            if self._items.pop(key, None) is None:
                return
            self._revision += 1
            event = {"key": key, "revision": self._revision, "deleted": True}
            self._events.append(event)
            self._changed.notify_all()

    def set_down(self, is_down: bool) -> None:
        """Let the store answer each call with 503, or serve again."""
        with self._changed:
            self.is_down = is_down
            self._changed.notify_all()
        self._record.say("store: down (503)" if is_down else "store: serves again")

    def _expire(self) -> None:
        # Leases pause while the store is down.
        while True:
            time.sleep(0.1)
            now = time.monotonic()
            with self._changed:
                if self.is_down:
                    paused = {n: (end + 0.1, t) for n, (end, t) in self._leases.items()}
                    self._leases = paused
                    continue
                ended = [n for n, (end, _) in self._leases.items() if end < now]
                for number in ended:
                    del self._leases[number]
                items = self._items.items()
                keys = [k for k, item in items if item["lease"] in ended]
            for key in keys:
                self.remove(key)

    def _serve(self, channel: socket.socket) -> None:
        rest = b""
        while (head := read_head(channel, rest)) is not None:
            method, target, _ = head.first.split(" ", 2)
            length = int(head.fields.get("content-length", 0))
            body, rest = read_exactly(channel, head.rest, length)
            url = urlsplit(target)
            query = {k: v[-1] for k, v in parse_qs(url.query).items()}
            fields = json.loads(body) if body else {}
            status, answer = self._answer(method, url.path, query, fields)
            data = json.dumps(answer).encode()
            lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(data)}"]
            lines.append("Content-Type: application/json")
            channel.sendall("\r\n".join([*lines, "", ""]).encode() + data)

    def _answer(
        self, method: str, path: str, query: dict[str, str], fields: dict
    ) -> tuple[int, dict]:
        with self._changed:
            if self.is_down:
                return 503, {}
            if path == "/-/kv-range":
                prefix, after = query.get("prefix", ""), query.get("after", "")
                keys = sorted(self._items)
                keys = [k for k in keys if k.startswith(prefix) and k > after]
                items = [self._items[key] for key in keys]
                return 200, {
                    "items": items,
                    "has-more": False,
                    "current-rev": self._revision,
                }
            if path == "/-/kv-watch":
                return self._watch(int(query["after"]), int(query["wait-ms"]))
            if path == "/-/kv-lease":
                ttl_ms = float(fields["ttl-ms"])
                number = 1000 + len(self._leases) + self._revision
                while number in self._leases:
                    number += 1
                self._leases[number] = (time.monotonic() + ttl_ms / 1000.0, ttl_ms)
                return 200, {"lease": number, "ttl-ms": ttl_ms}
            if path.startswith("/-/kv-keep/"):
                number = int(path.rpartition("/")[2])
                if number not in self._leases:
                    return 404, {}
                ttl_ms = self._leases[number][1]
                self._leases[number] = (time.monotonic() + ttl_ms / 1000.0, ttl_ms)
                return 200, {"ttl-ms": ttl_ms}
            if path == "/-/kv-txn":
                return self._commit(fields)
            return 404, {}

    def _commit(self, fields: dict) -> tuple[int, dict]:
        rows = fields.get("set-keys", [])
        if any(r.get("lease") and r["lease"] not in self._leases for r in rows):
            return 404, {}
        for row in rows:
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease") or 0)
        return 200, {"revision": self._revision}

    def _watch(self, after: int, wait_ms: int) -> tuple[int, dict]:
        end = time.monotonic() + wait_ms / 1000.0
        while not self.is_down:
            events = [event for event in self._events if event["revision"] > after]
            remaining = end - time.monotonic()
            if events or remaining <= 0:
                return 200, {"events": events, "current-rev": self._revision}
            self._changed.wait(remaining)
        return 503, {}


class Request:
    """A request as a server received it."""

    def __init__(self, server: str, head: Head, body: bytes, at: float) -> None:
        self.server = server
        self.method, self.target, _ = head.first.split(" ", 2)
        self.fields = head.fields
        self.request_id = head.fields.get("lagoonsail-attempt-id", "")
        self.body = body
        self.at = at
        self.is_answered = False


class Server:
    """A server of one service, which answers each request after some work."""

    def __init__(
        self, record: Record, store: Store, server_id: str, service: str
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.work_s = 0.09
        self.body = b"a" * 800
        self.requests: list[Request] = []
        self._record = record
        self._store = store
        self._is_ended = False
        self.port = Port(self._serve)
        store.put_json(f"servers/{server_id}", self.entry())

    def entry(self, state: str = "ready") -> dict:
        """Return what the server says of itself in the store."""
        return {
            "service": self.service,
            "address": self.port.address,
            "zone": "banos",
            "version": "v1",
            "slots": 6,
            "state": state,
            "cold-left-ms": 0,
            "call-seq": 0,
            "born": 1_790_000_000_000,
        }

    def end(self) -> None:
        """End the process of the server."""
        self._is_ended = True
        self.port.close()

    def _serve(self, channel: socket.socket) -> None:
        rest = b""
        while (head := read_head(channel, rest)) is not None:
            length = int(head.fields.get("content-length", 0))
            body, rest = read_exactly(channel, head.rest, length)
            request = Request(self.server_id, head, body, self._record.now())
            lines = [f"Lagoonsail-Attempt-Id: {request.request_id}"]
            expected = head.fields.get("lagoonsail-expect-instance", self.server_id)
            if expected != self.server_id:
                status, body = "421 Misdirected Request", b""
            else:
                self.requests.append(request)
                self._record.write(
                    f"{self.server_id} runs {request.request_id} "
                    f"({request.method} {request.target})"
                )
                time.sleep(self.work_s)
                status, body = "200 OK", self.body
                seal = f"seal.{self.server_id}.{request.request_id}"
                lines.append(f"Lagoonsail-Server-Seal: {seal}")
            if self._is_ended:
                return
            lines = [f"HTTP/1.1 {status}", *lines, f"Content-Length: {len(body)}"]
            channel.sendall("\r\n".join([*lines, "", ""]).encode() + body)
            request.is_answered = True


class Answer:
    """What a client got for a request: the status is 0 if the channel was cut."""

    def __init__(self) -> None:
        self.status = 0
        self.fields: dict[str, str] = {}
        self.body = b""
        self.is_whole = False
        self.reason = ""


class Client:
    """A client that keeps its channel as long as the router does."""

    def __init__(self, record: Record, port: int) -> None:
        self._record = record
        self._port = port
        self._sock: socket.socket | None = None

    def ask(self, method: str, target: str, request_id: str) -> Answer:
        """Send a request without a body and read its answer."""
        answer = Answer()
        self._record.write(f"client sends {request_id} ({method} {target})")
        try:
            self._exchange(method, target, request_id, answer)
        except (OSError, ValueError) as error:
            answer.reason = str(error)
            self.close()
        outcome = "whole" if answer.is_whole else f"not whole: {answer.reason}"
        self._record.write(f"client gets {request_id}: {answer.status}, {outcome}")
        return answer

    def _exchange(
        self, method: str, target: str, request_id: str, answer: Answer
    ) -> None:
        if self._sock is None:
            self._sock = socket.create_connection(("127.0.0.1", self._port), 1.0)
            self._sock.settimeout(15.0)
        self._sock.sendall(request_bytes(method, target, request_id))
        head = read_head(self._sock)
        if head is None:
            raise ConnectionError("closed without an answer")
        answer.status = int(head.first.split()[1])
        answer.fields = head.fields
        if head.fields.get("transfer-encoding") == "chunked":
            answer.body = self._read_chunks(head.rest)
        else:
            length = int(head.fields.get("content-length", 0))
            answer.body, _ = read_exactly(self._sock, head.rest, length)
        answer.is_whole = True
        if head.fields.get("connection", "").lower() == "close":
            self.close()

    def _read_chunks(self, rest: bytes) -> bytes:
        body = b""
        while True:
            line, rest = read_until(self._sock, rest, b"\r\n")
            size = int(line, 16)
            part, rest = read_exactly(self._sock, rest, size + 2)
            if size == 0:
                return body
            body += part[:-2]

    def close(self) -> None:
        """Close the channel."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None


def request_bytes(method: str, target: str, request_id: str) -> bytes:
    """Return the bytes of a request without a body."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"Lagoonsail-Attempt-Id: {request_id}",
        "Lagoonsail-Request-Deadline: 12000",
        f"Authorization: Bearer {KEY}",
    ]
    if method == "POST":
        lines.append("Content-Length: 0")
    return "\r\n".join([*lines, "", ""]).encode()


def route(name: str, kind: str, service: str, **changes: object) -> dict:
    """Return a route of the manifest."""
    return {
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "route-type": kind,
        "timeout-ms": 3000,
        "goal-ms": 400,
        "priority": 1,
        "service": service,
        "max-attempts": 2 if kind == "idempotent" else 1,
        "public": False,
        "affinity": False,
        "resumable": False,
    } | changes


def put_manifest(store: Store, version: int, routes: list[dict]) -> None:
    """Write a version of the manifest, as the operator does."""
    services = {item["service"] for item in routes}
    store.put_json(
        "op/config",
        {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "health-path": "/health",
                    "max-conns": 96,
                    "protocol": "h1",
                    "tls": False,
                    "cold-s": 0.0,
                    "cold-per-s": 0.0,
                }
                for name in sorted(services)
            ],
            "limits": {
                "max-header-bytes": 16_384,
                "max-body-bytes": 4_194_304,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15_000,
                "tokens-per-s": 240_000,
            },
            "tenants": [{"name": "norte", "api-keys": [KEY], "priority": 1}],
        },
    )


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return an unused port."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(self, record: Record, folder: Path, name: str, store: str) -> None:
        self.name = name
        self.port = free_port()
        self._record = record
        self._readiness_port = free_port()
        self._metrics_port = free_port()
        self._folder = folder
        digests_port = free_port(socket.SOCK_DGRAM)
        self._settings = folder / f"{name}.conf"
        lines = [
            f"node-name={name}",
            "role=router",
            "machine-class=edge",
            "serves=edge",
            "ip=127.0.0.1",
            "zone=banos",
            "region=sierra-central",
            "zones.banos=sierra-central",
            f"listen.front=127.0.0.1:{self.port}",
            f"listen.readiness=127.0.0.1:{self._readiness_port}",
            f"port-range={digests_port},{digests_port + 15}",
            "bootstrap=true",
            "limits.cpu-share=0.537",
            "limits.cores=2",
            "limits.memory-mb=300",
            "limits.max-fds=4100",
            "limits.link-mbps=1000.0",
            "discovery=platform",
            "entry=vip",
            "heartbeat-ms=1200",
            "bounds.contact-ms=3000",
            "bounds.ack-ms=4000",
            f"bounds.drain-ms={DRAIN_MS}",
            f"bounds.grace-s={GRACE_S}",
            "bounds.loss-slack-ms=200",
            "bounds.config-ms=2000",
            "bounds.retry-ratio=0.2",
            "bounds.budget-window-s=10",
            "bounds.retry-slack=52",
            "bounds.cold-overrun=1.5",
            "bounds.cold-slack=5",
            "bounds.evacuation-ms=5000",
            f"platform.address={store}",
            "platform.form=kv",
            "platform.writes-per-s=400",
            "platform.reads-per-s=2000",
            "platform.history-s=20",
            "platform.value-bytes=1048576",
            "platform.ttl-min-ms=1000",
        ]
        self._settings.write_text("\n".join([*lines, ""]))
        self.process = self.start()

    def start(self) -> subprocess.Popen:
        """Start the process, also after it has ended."""
        environment = {name: os.environ[name] for name in ("PATH",)}
        environment["LAGOONSAIL_CONFIG"] = str(self._settings)
        environment["LAGOONSAIL_METRICS_PORT"] = str(self._metrics_port)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "platform/lagoonsail_edge.py"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.write(f"{self.name} starts")
        return self.process

    def change_settings(self, line: str) -> None:
        """Put one line with a new value into the settings file, as a whole."""
        name = line.partition("=")[0]
        lines = self._settings.read_text().splitlines()
        lines = [old for old in lines if old.partition("=")[0] != name]
        new = self._settings.with_suffix(".new")
        new.write_text("\n".join([*lines, line, ""]))
        new.replace(self._settings)

    def is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        address = ("127.0.0.1", self._readiness_port)
        try:
            with socket.create_connection(address, 1.0) as sock:
                sock.sendall(b"GET /-/readiness HTTP/1.1\r\nHost: r\r\n\r\n")
                head = read_head(sock)
        except OSError:
            return False
        return head is not None and head.first.split()[1] == "200"

    def wait_ready(self, timeout_s: float = 15.0) -> bool:
        """Wait until the process is ready; return whether it is."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end and self.process.poll() is None:
            if self.is_ready():
                return True
            time.sleep(0.05)
        return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._record.say(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Case:
    """A case: its record, its folder, its stand-ins and its processes."""

    def __init__(self, folder: Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder)
        self.store = Store(self.record)
        self.routers: list[Router] = []
        self._folder = tempfile.TemporaryDirectory()

    def start_router(self, name: str) -> Router:
        """Start a router."""
        folder = Path(self._folder.name)
        router = Router(self.record, folder, name, self.store.port.address)
        self.routers.append(router)
        return router

    def end(self, code: int) -> None:
        """End all processes and exit with 0 (held), 1 (broken) or 2 (did not run)."""
        for router in self.routers:
            router.end()
        self._folder.cleanup()
        sys.stdout.flush()
        os._exit(code)


def run_case(folder: Path, body: Callable[[Case], int]) -> None:
    """Run a case and exit with its code; 2 also if it fails for another reason."""
    case = Case(folder)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, lambda *_: case.end(2))
    signal.alarm(MAX_CASE_S)
    code = 2
    try:
        code = body(case)
    except Exception as error:
        case.record.say(f"the case could not run: {error!r}")
    case.end(code)
