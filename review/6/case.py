"""The body of a request is taken for a request if a header line has a flaw."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "parts-2"))
from rig import (  # noqa: E402
    HOST,
    KEY,
    Channel,
    Router,
    Server,
    Store,
    answer_head,
    manifest,
    now,
    read_body,
    request_bytes,
    route,
    run_case,
    seal_of,
    service,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = Path(__file__).resolve().parent
LINES = {
    "space before the colon": b"X-Crew-Note : dawn",
    "space in the name": b"X-Crew Note: dawn",
    "letter beyond ASCII in the name": "X-Anotación: dawn".encode(),
    "line without a colon": b"dawn",
}
"""Header lines that HTTP does not allow, by what is wrong with them."""
GOOD_LINE = b"X-Crew-Note: dawn"


def outer_request(request_id: str, line: bytes, body: bytes) -> bytes:
    """Return a client's request with one more header line before the length."""
    lines = [
        b"POST /assign/outer HTTP/1.1",
        f"Host: {HOST}".encode(),
        f"Lagoonsail-Attempt-Id: {request_id}".encode(),
        f"Authorization: Bearer {KEY}".encode(),
        b"Lagoonsail-Request-Deadline: 3000",
        line,
        f"Content-Length: {len(body)}".encode(),
    ]
    return b"\r\n".join([*lines, b"", b""]) + body


async def main() -> int:
    """Play the case."""
    store = Store()
    lines: list[str] = []
    start = now()

    async def answer(server, request, reader, writer) -> bool:
        await read_body(reader, request)
        server.record_run(request)
        lines.append(
            f"{now() - start:8.3f} {server.id} runs {request.id}:"
            f" {request.method} {request.target}, body of {len(request.body)} bytes"
        )
        head = answer_head(200, request, length=2, seal=seal_of(server, request))
        writer.write(head + b"ok")
        await writer.drain()
        return True

    servers = [Server(f"i-{number}", "desk", answer) for number in range(2)]
    for server in servers:
        await server.open()
        store.put_json(f"servers/{server.id}", server.entry())
    store.put_json(
        "op/config",
        manifest(7, [route("assign", "non_idempotent", "desk")], [service("desk")]),
    )
    broken: list[str] = []
    with tempfile.TemporaryDirectory() as directory:
        router = Router(1, await store.listen(), Path(directory))
        try:
            router.start()
            if not await router.wait_ready():
                return 2
            for number, (flaw, line) in enumerate(LINES.items()):
                inner_id, outer_id = f"inside{number}", f"asked{number}"
                inner = request_bytes("POST", "/assign/inside", inner_id, b"")[0]
                data = outer_request(outer_id, line if TROUBLE else GOOD_LINE, inner)
                lines.append(
                    f"{now() - start:8.3f} client sends {outer_id} ({flaw}) with a"
                    f" body of {len(inner)} bytes that reads like request {inner_id}"
                )
                channel = await Channel.open(router.front)
                await channel.send(data)
                while channel.is_open:
                    got = await channel.read_answer(1.0)
                    if got.status:
                        lines.append(
                            f"{now() - start:8.3f} client gets {got.status} for"
                            f" {got.headers.get('lagoonsail-attempt-id', 'no id')}"
                        )
                channel.close()
                runs = [run for server in servers for run in server.runs]
                if any(run["id"] == inner_id for run in runs):
                    broken.append(f"{inner_id}: run, though no client sent it")
                for run in runs:
                    if run["id"] == outer_id and run["body"] != inner:
                        broken.append(
                            f"{outer_id}: run with a body of {len(run['body'])} bytes,"
                            f" sent were {len(inner)}"
                        )
            await asyncio.sleep(0.1)
        finally:
            router.stop()
    total = "\n".join([f"broken: {text}" for text in broken] or ["held"])
    (HERE / "record.txt").write_text("\n".join([*lines, total, ""]))
    print(total)
    return 1 if broken else 0


def play() -> None:
    """Play the case and end the process with the code of its result."""
    run_case(main)


play()
