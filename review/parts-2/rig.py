"""Stand-ins of the platform for the scripts of this review: store, servers, routers.

They use the standard library only, so that they need no part of the project.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parents[2]
"""Root of the repository."""
KEY = "key-of-tenant-a"
"""API key of the first tenant."""
HOST = "race.example"
"""Host name of the routes."""


def now() -> float:
    """Return the steady clock in seconds."""
    return time.monotonic()


class Request:
    """A request as it was read from a channel."""

    def __init__(self, method: str, target: str, headers: dict[str, str]) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""

    @property
    def id(self) -> str:
        """Id of the client's attempt."""
        return self.headers.get("lagoonsail-attempt-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Return the next request of a channel without its body."""
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ")
    return Request(method, target, headers)


async def read_body(reader: asyncio.StreamReader, request: Request) -> bytes:
    """Return the body of a request that has a length."""
    request.body = await reader.readexactly(
        int(request.headers.get("content-length", 0))
    )
    return request.body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a channel."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(1, 13, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    writer.transport.abort()


class Listener:
    """A port that serves each channel by a coroutine."""

    def __init__(self, serve) -> None:
        self._serve = serve
        self._server = None
        self.tasks: set = set()
        self.writers: set = set()
        self.address = ""

    async def open(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Open the port and return its address."""
        self._server = await asyncio.start_server(
            self._handle, host, port, backlog=512, limit=1 << 20
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    async def _handle(self, reader, writer) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.transport.abort()

    def close(self) -> None:
        """Close the port and reset its channels."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            reset(writer)
        for task in list(self.tasks):
            task.cancel()


class Store:
    """The platform's store."""

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 10
        self.oldest = 0
        self.leases: dict[int, list[float]] = {}
        self._lease = 100
        self._changed = asyncio.Event()
        self.refused_ports: dict[int, str] = {}
        self.calls: list[tuple[float, int, str]] = []

    def put(self, key: str, value: bytes, lease: int = 0) -> float:
        """Write a key; return the time of the acknowledgement."""
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.events.append(item)
        self._wake()
        return now()

    def put_json(self, key: str, value: dict) -> float:
        """Write a key whose value is JSON."""
        return self.put(key, json.dumps(value).encode())

    def remove(self, key: str) -> float:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "deleted": True})
            self._wake()
        return now()

    def forget_history(self) -> None:
        """Drop the history of changes."""
        self.oldest = self.revision
        self.events.clear()
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        for number, (end, _) in list(self.leases.items()):
            if end < now():
                del self.leases[number]
                for key in [k for k, i in self.items.items() if i["lease"] == number]:
                    self.remove(key)

    async def listen(self) -> str:
        """Open one more address of the store."""
        listener = Listener(self.serve)
        return await listener.open()

    async def serve(self, reader, writer) -> None:
        """Serve a channel."""
        port = writer.get_extra_info("sockname")[1]
        while True:
            request = await read_request(reader)
            await read_body(reader, request)
            self.calls.append((now(), port, request.target))
            how = self.refused_ports.get(port, "")
            if how == "reset":
                reset(writer)
                return
            if how == "silent":
                await asyncio.sleep(3600)
            if how:
                status, fields = int(how), {}
            else:
                status, fields = await self._answer(request, port)
                if self.refused_ports.get(port) == "silent":
                    await asyncio.sleep(3600)
            body = json.dumps(fields).encode()
            head = f"HTTP/1.1 {status} A\r\nContent-Type: application/json\r\n"
            head += f"Content-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()

    async def _answer(self, request: Request, port: int) -> tuple[int, dict]:
        self._expire()
        path, _, text = request.target.partition("?")
        query = {k: v[-1] for k, v in parse_qs(text).items()}
        if path == "/-/kv-key":
            item = self.items.get(unquote(query["key"]))
            if item is None:
                return 404, {}
            return 200, item | {"current-rev": self.revision}
        if path == "/-/kv-range":
            return self._range(query)
        if path == "/-/kv-watch":
            return await self._watch(query, port)
        fields = json.loads(request.body or b"{}")
        if path == "/-/kv-lease":
            self._lease += 1
            ttl = float(fields["ttl-ms"])
            self.leases[self._lease] = [now() + ttl / 1000, ttl]
            return 200, {"lease": self._lease, "ttl-ms": ttl}
        if path.startswith("/-/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {}
            lease[0] = now() + lease[1] / 1000
            return 200, {"ttl-ms": lease[1]}
        if path.startswith("/-/kv-lease-end/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is not None:
                lease[0] = 0.0
            self._expire()
            return 200, {}
        if path == "/-/kv-txn":
            return self._commit(fields)
        return 404, {}

    def _range(self, query: dict) -> tuple[int, dict]:
        keys = sorted(
            k
            for k in self.items
            if k.startswith(query.get("prefix", "")) and k > query.get("after", "")
        )
        page, size = [], 0
        for key in keys:
            size += len(self.items[key]["value"]) + 100
            if page and (size > 1_000_000 or len(page) == 500):
                break
            page.append(self.items[key])
        more = len(page) < len(keys)
        return 200, {"items": page, "has-more": more, "current-rev": self.revision}

    async def _watch(self, query: dict, port: int) -> tuple[int, dict]:
        after = int(query["after"])
        end = now() + int(query["wait-ms"]) / 1000
        prefix = query.get("prefix", "")
        while True:
            self._expire()
            if after < self.oldest:
                return 410, {}
            events = [
                e
                for e in self.events
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            if events or now() >= end:
                return 200, {"events": events, "current-rev": self.revision}
            if self.refused_ports.get(port):
                return 503, {}
            try:
                left = min(0.1, max(0.0, end - now()))
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _commit(self, fields: dict) -> tuple[int, dict]:
        for row in fields["expected-rev"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for row in fields["set-keys"]:
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        for row in fields["set-keys"]:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in fields["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}


class Server:
    """A back-end server whose answers are chosen by a function."""

    def __init__(self, server_id: str, service: str, answer, zone: str = "z1") -> None:
        self.id = server_id
        self.service = service
        self.zone = zone
        self.answer = answer
        self.born = int(time.time() * 1000)
        self.listener = Listener(self._serve)
        self.address = ""
        self.runs: list[dict] = []
        self.arrivals: list[dict] = []
        self.beats = 0

    def entry(self, state: str = "ready", cold_ms: int = 0) -> dict:
        """Return the server's entry in the store."""
        self.beats += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": state,
            "cold-left-ms": cold_ms,
            "call-seq": 0,
            "born": self.born,
        }

    async def open(self, port: int = 0) -> None:
        """Open the port."""
        self.address = await self.listener.open(port=port)

    async def _serve(self, reader, writer) -> None:
        number = 0
        while True:
            request = await read_request(reader)
            number += 1
            request.headers["x-number"] = str(number)
            arrival = {"t": now(), "id": request.id, "server": self.id}
            self.arrivals.append(arrival)
            expected = request.headers.get("lagoonsail-expect-instance", self.id)
            if expected != self.id:
                await read_body(reader, request)
                arrival["refused"] = 421
                writer.write(
                    answer_head(
                        421,
                        request,
                        [("Lagoonsail-Instance-Id", self.id)],
                        length=0,
                        seal="",
                    )
                )
                await writer.drain()
                continue
            if not await self.answer(self, request, reader, writer):
                return

    def record_run(self, request: Request) -> dict:
        """Note that the server begins to work on a request."""
        run = {
            "t": now(),
            "id": request.id,
            "server": self.id,
            "method": request.method,
            "target": request.target,
            "body": request.body,
            "headers": request.headers,
        }
        self.runs.append(run)
        return run


def seal_of(server: Server, request: Request) -> str:
    """Return the proof of an answer."""
    return f"seal-{server.id}-{request.id}"


def answer_head(
    status: int,
    request: Request,
    more=(),
    length: int | None = None,
    chunked: bool = False,
    seal: str = "",
) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} A", f"Lagoonsail-Attempt-Id: {request.id}"]
    if seal:
        lines.append(f"Lagoonsail-Server-Seal: {seal}")
    lines += [f"{name}: {value}" for name, value in more]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    if chunked:
        lines.append("Transfer-Encoding: chunked")
    return "\r\n".join([*lines, "", ""]).encode()


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Answer:
    """What a client got."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False
        self.is_kept = False
        self.extra = b""
        self.at = 0.0
        self.error = ""


class Channel:
    """A client's channel to a router."""

    def __init__(self, reader, writer) -> None:
        self.reader = reader
        self.writer = writer
        self.is_open = True
        self.requests = 0

    @classmethod
    async def open(cls, address: str, limit_s: float = 1.0) -> Channel:
        """Open a channel."""
        host, _, port = address.rpartition(":")
        streams = await asyncio.wait_for(
            asyncio.open_connection(host, int(port), limit=1 << 20), limit_s
        )
        return cls(*streams)

    def close(self) -> None:
        """Close the channel."""
        self.is_open = False
        self.writer.transport.abort()

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def read_answer(self, limit_s: float, method: str = "POST") -> Answer:
        """Read the answer to a request."""
        answer = Answer()
        try:
            await asyncio.wait_for(self._read(answer, method), limit_s)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as e:
            answer.error = type(e).__name__
            self.close()
        except TimeoutError:
            answer.error = "timeout"
            self.close()
        answer.at = now()
        return answer

    async def _read(self, answer: Answer, method: str) -> None:
        while True:
            first, headers = await read_head(self.reader)
            status = int(first.split(" ")[1])
            if status >= 200:
                break
        answer.status, answer.headers = status, headers
        self.requests += 1
        if method == "HEAD" or status in (204, 304):
            answer.is_whole = True
        elif headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                line = await self.reader.readuntil(b"\r\n")
                size = int(line, 16)
                data = await self.reader.readexactly(size + 2)
                if not size:
                    break
                answer.body += data[:-2]
            answer.is_whole = True
        elif "content-length" in headers:
            left = int(headers["content-length"])
            while left:
                data = await self.reader.read(min(left, 65536))
                if not data:
                    raise asyncio.IncompleteReadError(b"", left)
                answer.body += data
                left -= len(data)
            answer.is_whole = True
        else:
            while data := await self.reader.read(65536):
                answer.body += data
            answer.is_whole = True
            self.is_open = False
        if headers.get("connection", "").lower() == "close":
            self.close()


def request_bytes(
    method: str,
    target: str,
    request_id: str,
    body: bytes = b"",
    deadline_ms: int | None = 3000,
    more=(),
    chunks: int = 0,
    key: str = KEY,
) -> tuple[bytes, bytes]:
    """Return head and body of a request as they are sent."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"Lagoonsail-Attempt-Id: {request_id}",
        f"Authorization: Bearer {key}",
    ]
    if deadline_ms is not None:
        lines.append(f"Lagoonsail-Request-Deadline: {deadline_ms}")
    lines += [f"{name}: {value}" for name, value in more]
    if chunks:
        lines.append("Transfer-Encoding: chunked")
        size = max(1, len(body) // chunks)
        parts = [chunk(body[i : i + size]) for i in range(0, len(body), size)]
        data = b"".join(parts) + b"0\r\n\r\n"
    else:
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        data = body
    return "\r\n".join([*lines, "", ""]).encode(), data


def route(name: str, kind: str, service: str, **more: object) -> dict:
    """Return a route of the manifest."""
    return {
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "route-type": kind,
        "timeout-ms": 3000,
        "goal-ms": 800,
        "priority": 1,
        "service": service,
        "max-attempts": 2 if kind == "idempotent" else 1,
        "public": False,
        "affinity": False,
        "resumable": False,
    } | more


def service(name: str, **more: object) -> dict:
    """Return a service of the manifest."""
    return {
        "name": name,
        "health-path": "/health",
        "max-conns": 360,
        "protocol": "h1",
        "tls": False,
        "cold-s": 0.0,
        "cold-per-s": 0.0,
    } | more


def manifest(version: int, routes: list, services: list, tenants=None) -> dict:
    """Return a manifest."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
            "tokens-per-s": 240000,
        },
        "tenants": tenants or [{"name": "tenant-a", "api-keys": [KEY], "priority": 1}],
    }


SETTINGS = """node-name={name}
role=router
machine-class=edge
serves=edge
ip={ip}
zone={zone}
region=r1
zones.z1=r1
zones.z2=r1
zones.z3=r1
listen.front={ip}:{front}
listen.readiness={ip}:{ready}
listen.control={ip}:{control}
port-range={first},{last}
seeds=
bootstrap=true
limits.cpu-share=0.537
limits.cores=2
limits.memory-mb=300
limits.max-fds=4100
limits.link-mbps=1000.0
limits.disk-mb=0
discovery=platform
entry=vip
heartbeat-ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform
fault-tolerance.machines=1
fault-tolerance.zones=1
fault-tolerance.regions=0
bounds.seed-lag-s=3
bounds.reuse-after-s=2
bounds.contact-ms=3000
bounds.ack-ms=4000
bounds.catch-up-s=4
bounds.drain-ms=2000
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.config-ms=2000
bounds.downgrade-ms=250
bounds.outer-ms=5000
bounds.strict-revoke=false
bounds.revoke-ms=5000
bounds.retry-ratio=0.2
bounds.budget-window-s=10
bounds.retry-slack=52
bounds.cold-overrun=1.5
bounds.cold-slack=5
bounds.evacuation-ms=5000
bounds.recovery-s=12
bounds.pass-ms=120
bounds.reuse-window-s=10
bounds.quota-window-s=4
platform.address={store}
platform.form=kv
platform.writes-per-s=400
platform.reads-per-s=2000
platform.history-s=20
platform.value-bytes=1048576
platform.ttl-min-ms=1000
"""


def free_port(host: str, is_udp: bool = False) -> int:
    """Return a port that is free."""
    kind = socket.SOCK_DGRAM if is_udp else socket.SOCK_STREAM
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Router:
    """A router process."""

    def __init__(self, number: int, store: str, directory: Path, zone="z1") -> None:
        self.number = number
        self.name = f"edge-{zone}-{number}"
        # Each has an address of its own, as machines have.
        self.ip = (
            f"127.{20 + os.getpid() % 200}.{1 + os.getpid() // 200 % 200}.{number}"
        )
        self.directory = directory
        self.settings = directory / f"{self.name}.conf"
        self.ports = {
            "front": free_port(self.ip),
            "ready": free_port(self.ip),
            "control": free_port(self.ip),
            "metrics": free_port(self.ip),
        }
        first = free_port(self.ip, is_udp=True)
        self.ports |= {"first": first, "last": first + 15}
        self.zone = zone
        self.process = None
        self.write_settings(store)

    def write_settings(self, store: str) -> None:
        """Write the settings file."""
        self.settings.write_text(
            SETTINGS.format(
                name=self.name, ip=self.ip, zone=self.zone, store=store, **self.ports
            )
        )

    @property
    def front(self) -> str:
        """Address for clients."""
        return f"{self.ip}:{self.ports['front']}"

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        log = (self.directory / f"{self.name}.log").open("ab")
        env = {
            "LAGOONSAIL_CONFIG": str(self.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "LAGOONSAIL_METRICS_PORT": str(self.ports["metrics"]),
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
        }
        self.process = subprocess.Popen(
            ["python3", "platform/lagoonsail_edge.py"],
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_ready(self, limit_s: float = 20.0) -> bool:
        """Wait until the router says that it is ready."""
        end = now() + limit_s
        while now() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self) -> bool:
        """Ask whether the router is ready."""
        try:
            channel = await Channel.open(f"{self.ip}:{self.ports['ready']}")
        except (OSError, TimeoutError):
            return False
        await channel.send(b"GET /-/readiness HTTP/1.1\r\nHost: a\r\n\r\n")
        answer = await channel.read_answer(1.0, "GET")
        channel.close()
        return answer.status == 200

    def stop(self) -> None:
        """End the process."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def run_case(main, limit_s: float = 110.0) -> None:
    """Run the coroutine of a case and exit with its code; 2 if it could not run."""

    async def bounded() -> int:
        # The routers are ended also if the script is.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(main(), limit_s)

    try:
        code = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {type(error).__name__} {error}")
        import traceback

        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    os._exit(code)
