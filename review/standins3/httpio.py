"""Minimal HTTP/1.1 on asyncio streams, for the stand-ins of review 3."""

from __future__ import annotations

import asyncio

MAX_LINE_BYTES = 1 << 20


class Message:
    """A request or a response."""

    def __init__(self, start: str, headers: dict[str, str], body: bytes = b"") -> None:
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])

    def get(self, name: str, default: str = "") -> str:
        """Return a header by its name in lower case."""
        return self.headers.get(name, default)


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    start = line.decode("latin-1").rstrip("\r\n")
    headers = {}
    while (line := await reader.readline()) not in (b"\r\n", b"\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if line == b"":
        raise ConnectionError("the head breaks off")
    return Message(start, headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read a body that has a length or comes in chunks."""
    if "chunked" in message.get("transfer-encoding").lower():
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if not size:
                while (await reader.readline()) not in (b"\r\n", b""):
                    continue
                return b"".join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
    length = int(message.get("content-length", "0") or 0)
    return await reader.readexactly(length) if length else b""


def encode(start: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def ask(
    address: tuple[str, int], data: bytes, timeout_s: float
) -> tuple[Message | None, str]:
    """Send a request on a new connection; return the answer, or why there is none."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                *address, limit=MAX_LINE_BYTES
            )
            writer.write(data)
            await writer.drain()
            answer = await read_head(reader)
            if answer is None:
                return None, "closed"
            answer.body = await read_body(reader, answer)
            return answer, str(answer.status)
    except TimeoutError:
        return None, "no answer"
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        return None, f"cut ({type(error).__name__})"
    finally:
        if writer is not None:
            writer.transport.abort()
