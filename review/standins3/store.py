"""Stand-in for the store of PROTOCOL: items, watches, transactions, leases."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from httpio import MAX_LINE_BYTES, encode, read_body, read_head


class Store:
    """An in-memory store that loses nothing and is never away."""

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 1
        self.granted = 0
        self.address = ("", 0)
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Serve on a free port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=MAX_LINE_BYTES
        )
        self.address = self._server.sockets[0].getsockname()[:2]

    async def put(self, key: str, fields: dict) -> None:
        """Write a key as the operator or a server does."""
        self.revision += 1
        self._set(key, json.dumps(fields).encode(), 0)
        await self._notify()

    async def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_deletion(key)
            await self._notify()

    def _set(self, key: str, value: bytes, lease: int) -> None:
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.events.append(item)

    def _add_deletion(self, key: str) -> None:
        self.events.append({"key": key, "revision": self.revision, "deleted": True})

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _expire(self) -> None:
        now_s = time.monotonic()
        for lease in [n for n, (end_s, _) in self.leases.items() if end_s < now_s]:
            await self._end(lease)

    async def _end(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            await self.remove(key)

    async def _serve(self, reader, writer) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                await self._expire()
                status, fields = await self._answer(head.start, body)
                data = json.dumps(fields).encode()
                headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
                writer.write(encode(f"HTTP/1.1 {status} Answer", headers, data))
                await writer.drain()
        except (
            OSError,
            ValueError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # The router has gone, or the case ends.
            pass
        finally:
            writer.close()

    async def _answer(self, start: str, body: bytes) -> tuple[int, dict]:
        method, target, _ = start.split(" ")
        url = urlsplit(target)
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        path = url.path
        if path == "/-/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[key] for key in keys]
            return 200, {
                "items": items,
                "has-more": False,
                "current-rev": self.revision,
            }
        if path == "/-/kv-watch":
            return await self._watch(query)
        fields = json.loads(body or b"{}")
        if path == "/-/kv-lease":
            self.granted += 1
            ttl_s = fields["ttl-ms"] / 1000.0
            self.leases[self.granted] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease": self.granted, "ttl-ms": fields["ttl-ms"]}
        if path == "/-/kv-txn":
            return await self._commit(fields)
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            await self._end(lease)
            return 200, {}
        ttl_s = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {"ttl-ms": int(ttl_s * 1000)}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        after, prefix = int(query["after"]), query.get("prefix", "")
        end_s = time.monotonic() + int(query["wait-ms"]) / 1000.0
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "current-rev": self.revision}
            try:
                async with asyncio.timeout(left_s), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _commit(self, fields: dict) -> tuple[int, dict]:
        rows = fields.get("expected-rev", [])
        known = {k: i["revision"] for k, i in self.items.items()}
        if any(known.get(row["key"], 0) != row["revision"] for row in rows):
            found = [self.items[r["key"]] for r in rows if r["key"] in self.items]
            return 412, {"items": found}
        changes = fields.get("set-keys", [])
        if any(r.get("lease") and r["lease"] not in self.leases for r in changes):
            return 404, {}
        self.revision += 1
        for row in changes:
            value = base64.b64decode(row["value"])
            self._set(row["key"], value, row.get("lease", 0))
        for key in fields.get("remove", []):
            if self.items.pop(key, None) is not None:
                self._add_deletion(key)
        await self._notify()
        return 200, {"revision": self.revision}
