"""A server becomes cold while the store is away: how many requests does it get?"""

from __future__ import annotations

import asyncio
import os
import random
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "parts-2"))
from rig import (  # noqa: E402
    Channel,
    Router,
    Server,
    Store,
    answer_head,
    chunk,
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
COLD_PER_S = 6.3
BOUND = COLD_PER_S * 1.5 + 5
"""The rule FAILBACK: cold-per-s x cold-overrun + cold-slack requests in a second."""
CRASH_PER_S = 4 * COLD_PER_S
"""Rate, well above what a cold server tolerates, at which it crashes."""
ROUTERS = 3
SERVERS = 3
REQUESTS_PER_S = 75.0
OUTAGE_S = 4.5
COLD_S = 3.0
HERE = Path(__file__).resolve().parent


class Case:
    """The state of one run."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.start = now()
        self.cold: dict[str, tuple[float, float]] = {}
        self.sent: dict[str, float] = {}
        self.answers: dict[str, object] = {}
        self.crashed_at = 0.0

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{now() - self.start:8.3f} {text}")


async def main() -> int:
    """Play the case."""
    case = Case()
    store = Store()
    servers: list[Server] = []

    def is_cold(server: Server) -> bool:
        begin, end = case.cold.get(server.id, (0.0, 0.0))
        return begin <= now() < end

    async def answer(server, request, reader, writer) -> bool:
        await read_body(reader, request)
        if request.target == "/health":
            left = case.cold.get(server.id, (0, 0))[1] - now()
            more = [
                ("Lagoonsail-Instance-Id", server.id),
                ("Lagoonsail-Cold-Ms", str(max(0, int(left * 1000)))),
            ]
            writer.write(answer_head(200, request, more, length=0))
            await writer.drain()
            return True
        run = server.record_run(request)
        if is_cold(server) and not case.crashed_at:
            recent = [r for r in server.runs if r["t"] > run["t"] - 1.0]
            recent = [r for r in recent if r["t"] >= case.cold[server.id][0]]
            if len(recent) > CRASH_PER_S:
                case.crashed_at = now()
                case.note(f"server {server.id} crashes: {len(recent)} in a second")
                server.listener.close()
                return False
        writer.write(
            answer_head(200, request, chunked=True, seal=seal_of(server, request))
        )
        slow = 3 if is_cold(server) else 1
        for number in range(1, 6):
            await asyncio.sleep(0.03 * slow)
            writer.write(chunk(f"id: {number}\ndata: t{number}\n\n".encode()))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    with tempfile.TemporaryDirectory() as directory:
        for number in range(SERVERS):
            server = Server(f"i-{number}", "model", answer)
            await server.open()
            servers.append(server)
            store.put_json(f"servers/{server.id}", server.entry())
        engine = {"slots": 64, "kv-capacity": 498633}
        store.put_json(
            "op/config",
            manifest(
                7,
                [route("ask", "streaming", "model", affinity=True)],
                [
                    service(
                        "model",
                        engine=engine,
                        **{"cold-s": COLD_S, "cold-per-s": COLD_PER_S},
                    )
                ],
            ),
        )
        routers = []
        for number in range(1, ROUTERS + 1):
            address = await store.listen()
            routers.append(Router(number, address, Path(directory)))
        try:
            for router in routers:
                router.start()
            for router in routers:
                if not await router.wait_ready():
                    return 2
            await asyncio.sleep(1.0)
            await send_requests(case, store, servers, routers)
        finally:
            for router in routers:
                router.stop()
    return judge(case, servers)


async def send_requests(case, store, servers, routers) -> None:
    """Send requests; let the store fall silent and a server become cold."""
    rng = random.Random(1)
    end = now() + 14.0
    tasks = set()

    async def ask(number: int) -> None:
        request_id = f"r{number}"
        more = [
            ("Lagoonsail-Model", "m"),
            ("Lagoonsail-Token-Count", "300,20"),
            (
                "Lagoonsail-Prompt-Prefix",
                f"a{rng.randrange(30):x}:200,{number + 4096:x}:100",
            ),
        ]
        head, body = request_bytes("POST", "/ask/1", request_id, b"x", 3000, more)
        case.sent[request_id] = now()
        try:
            channel = await Channel.open(rng.choice(routers).front)
            await channel.send(head + body)
        except (OSError, TimeoutError):
            return
        case.answers[request_id] = await channel.read_answer(6.0)
        channel.close()

    async def beats() -> None:
        while True:
            await asyncio.sleep(1.2)
            for server in servers:
                left = case.cold.get(server.id, (0, 0))[1] - now()
                if left > 0 and not store_is_away[0]:
                    entry = server.entry(cold_ms=int(left * 1000))
                    store.put_json(f"servers/{server.id}", entry)

    store_is_away = [False]

    async def trouble() -> None:
        await asyncio.sleep(4.0)
        victim = servers[0]
        if TROUBLE:
            store_is_away[0] = True
            for router in routers:
                text = router.settings.read_text()
                port = text.partition("platform.address=")[2].split()[0]
                store.refused_ports[int(port.rpartition(":")[2])] = "silent"
            case.note("the store falls silent")
        await asyncio.sleep(1.0)
        case.cold[victim.id] = (now(), now() + COLD_S)
        case.note(f"server {victim.id} becomes cold for {COLD_S} s")
        if not TROUBLE:
            entry = victim.entry(cold_ms=int(COLD_S * 1000))
            store.put_json(f"servers/{victim.id}", entry)
        await asyncio.sleep(OUTAGE_S - 1.0)
        store.refused_ports.clear()
        store_is_away[0] = False
        if TROUBLE:
            case.note("the store is back")

    jobs = [asyncio.ensure_future(trouble()), asyncio.ensure_future(beats())]
    number = 0
    while now() < end:
        number += 1
        task = asyncio.ensure_future(ask(number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
    await asyncio.wait(set(tasks) | {asyncio.ensure_future(asyncio.sleep(0))})
    for job in jobs:
        job.cancel()


def judge(case: Case, servers: list[Server]) -> int:
    """Write the record and return the exit code."""
    worst, at = 0, 0.0
    for server in servers:
        if server.id not in case.cold:
            continue
        begin, end = case.cold[server.id]
        times = [
            (a["t"], case.sent.get(a["id"], 0.0))
            for a in server.arrivals
            if begin <= a["t"] < end
        ]
        for first, _ in times:
            inside = [
                t for t, sent in times if first <= t < first + 1.0 and sent >= first
            ]
            if len(inside) > worst:
                worst, at = len(inside), first
    lost = 0
    runs = {run["id"] for server in servers for run in server.runs}
    for request_id, answer in case.answers.items():
        if request_id in runs and not (answer.status == 200 and answer.is_whole):
            lost += 1
    for server in servers:
        for arrival in server.arrivals:
            case.lines.append(
                f"{arrival['t'] - case.start:8.3f} {server.id} gets {arrival['id']}"
            )
    for request_id, answer in case.answers.items():
        case.lines.append(
            f"{answer.at - case.start:8.3f} client {request_id} gets {answer.status}"
            f"{'' if answer.is_whole else ' cut ' + answer.error}"
        )
    case.lines.sort()
    total = f"requests to the cold server in its worst second: {worst}"
    total += f" (from {at - case.start:.3f}), allowed {BOUND:.2f};"
    total += f" requests that ran and got no whole answer: {lost}"
    (HERE / "record.txt").write_text("\n".join([*case.lines, total, ""]))
    print(total)
    return 1 if worst > BOUND else 0


def play() -> None:
    """Play the case and end the process with the code of its result."""
    run_case(main)


play()
