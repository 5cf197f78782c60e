"""Stand-in for a back end: a model server, or a plain service, as a process.

Usage: server.py ID PORT KIND RUNS-FILE TOKENS-PER-MS [PART]
A model server (KIND engine) reads prompts one after another at its rate, then sends
events; a plain one answers after 20 ms. Each run is written to RUNS-FILE. A model
server crashes as it begins to write an answer on a prompt with PART.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time

from httpio import MAX_LINE_BYTES, encode, read_body, read_head

EVENTS = 6
EVENT_S = 0.02
WORK_S = 0.02


class Server:
    """The server, which records what it runs."""

    def __init__(
        self, name: str, kind: str, runs: str, rate: float, deadly: str
    ) -> None:
        self.name, self.kind, self.rate, self.deadly = name, kind, rate, deadly
        self._prefill = asyncio.Lock()
        self._runs = open(runs, "a", buffering=1)  # noqa: SIM115
        self._running = self._waiting = 0
        # Parts that it keeps, with the parts before them, as the key.
        self._kept: set[str] = set()

    async def serve(self, reader, writer) -> None:
        """Serve a connection."""
        try:
            while (head := await read_head(reader)) is not None:
                head.body = await read_body(reader, head)
                await self._answer(head, writer)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, head, writer) -> None:
        method, target, _ = head.start.split(" ")
        load = f"{self._running},{self._waiting},64"
        if target == "/health":
            headers = [
                ("Lagoonsail-Instance-Id", self.name),
                ("Lagoonsail-Server-Load", load),
            ]
            writer.write(encode("HTTP/1.1 200 OK", headers))
            return
        number = head.get("lagoonsail-attempt-id")
        headers = [
            ("Lagoonsail-Attempt-Id", number),
            ("Lagoonsail-Server-Load", load),
        ]
        if head.get("lagoonsail-expect-instance", self.name) != self.name:
            headers.append(("Lagoonsail-Instance-Id", self.name))
            writer.write(encode("HTTP/1.1 421 Misdirected Request", headers))
            return
        run = {"at": round(time.time(), 3), "server": self.name, "id": number}
        run |= {"method": method, "target": target, "bytes": len(head.body)}
        run["deadly"] = is_deadly = self._is_deadly(head)
        self._runs.write(json.dumps(run) + "\n")
        headers.append(("Lagoonsail-Server-Seal", f"{self.name}.{number}"))
        if self.kind == "plain":
            await asyncio.sleep(WORK_S)
            writer.write(encode("HTTP/1.1 200 OK", headers, b"r" * 200))
            return
        await self._stream(head, headers, writer, is_deadly)

    def _is_deadly(self, head) -> bool:
        entries = head.get("lagoonsail-prompt-prefix").split(",")[:-1]
        parts = [entry.partition(":")[0] for entry in entries]
        return bool(self.deadly) and self.deadly in parts

    async def _stream(self, head, headers, writer, is_deadly) -> None:
        unread = self._unread_tokens(head)
        self._waiting += 1
        try:
            async with self._prefill:
                await asyncio.sleep(unread / self.rate / 1000.0)
        finally:
            self._waiting -= 1
        if is_deadly:
            os.kill(os.getpid(), signal.SIGKILL)
        self._running += 1
        first = {"server": self.name, "first": head.get("lagoonsail-attempt-id")}
        self._runs.write(json.dumps(first) + "\n")
        try:
            lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
            lines += [f"{name}: {value}" for name, value in headers]
            lines.append("Transfer-Encoding: chunked")
            writer.write("\r\n".join([*lines, "", ""]).encode())
            for event in range(1, EVENTS + 1):
                data = f"id: {event}\ndata: token {event}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                await asyncio.sleep(EVENT_S)
            writer.write(b"0\r\n\r\n")
        finally:
            self._running -= 1

    def _unread_tokens(self, head) -> int:
        unread, chain = 0, ""
        for entry in head.get("lagoonsail-prompt-prefix").split(","):
            part, _, tokens = entry.partition(":")
            chain = str(hash((chain, part)))
            if chain not in self._kept:
                unread += int(tokens or 0)
                self._kept.add(chain)
        return unread


async def main() -> None:
    """Serve until killed."""
    name, port, kind, runs, rate = sys.argv[1:6]
    server = Server(name, kind, runs, float(rate), "".join(sys.argv[6:]))
    listener = await asyncio.start_server(
        server.serve, "127.0.0.1", int(port), limit=MAX_LINE_BYTES, backlog=512
    )
    async with listener:
        await listener.serve_forever()


asyncio.run(main())
