"""An old report of a server is carried out after the server reported draining."""

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
ROUTERS = 3
SERVERS = 4
REQUESTS_PER_S = 60.0
HEARTBEAT_S = 1.2
DRAIN_S = 2.0
LOST_FROM_S, LOST_FOR_S = 2.0, 4.5
"""When the store loses answers of writes, and for how long."""
LATE_S = 6.0
"""Time after which such a write is carried out: 1 to 6 s by the kinds."""
DRAIN_AT_S = 9.7
"""When the server leaves: the store is stable again, 3 s after the impairment."""
EXIT_AFTER_S = 3.4
"""Time from the acknowledged report to the exit: drain-ms and a little longer."""
HERE = Path(__file__).resolve().parent


async def main() -> int:
    """Play the case."""
    store = Store()
    lines: list[str] = []
    servers: list[Server] = []
    state: dict[str, str] = {}
    answers: dict[str, object] = {}
    start = [now()]

    def note(text: str) -> None:
        lines.append(f"{now() - start[0]:8.3f} {text}")

    async def answer(server, request, reader, writer) -> bool:
        await read_body(reader, request)
        server.record_run(request)
        await asyncio.sleep(0.09)
        head = answer_head(200, request, length=2, seal=seal_of(server, request))
        writer.write(head + b"ok")
        await writer.drain()
        return True

    async def report(server: Server) -> bool:
        """Write the server's entry; return whether the store acknowledged it."""
        entry = server.entry(state[server.id])
        key = f"servers/{server.id}"
        since = now() - start[0] - LOST_FROM_S
        is_last = LOST_FOR_S - HEARTBEAT_S < since < LOST_FOR_S
        if TROUBLE and server is servers[0] and is_last:
            note(f"report of {server.id} ({state[server.id]}) gets no answer")

            async def carry_out() -> None:
                await asyncio.sleep(LATE_S)
                store.put_json(key, entry)
                note(f"that report of {server.id} is carried out")

            late.append(asyncio.ensure_future(carry_out()))
            await asyncio.sleep(1.0)
            return False
        store.put_json(key, entry)
        return True

    late: list = []

    async def beats(server: Server, offset: float) -> None:
        await asyncio.sleep(offset)
        while state[server.id] != "gone":
            await report(server)
            await asyncio.sleep(HEARTBEAT_S)

    with tempfile.TemporaryDirectory() as directory:
        for number in range(SERVERS):
            server = Server(f"i-{number}", "desk", answer)
            await server.open()
            servers.append(server)
            state[server.id] = "ready"
            store.put_json(f"servers/{server.id}", server.entry())
        store.put_json(
            "op/config",
            manifest(7, [route("assign", "non_idempotent", "desk")], [service("desk")]),
        )
        routers = []
        for number in range(1, ROUTERS + 1):
            address = await store.listen()
            routers.append(Router(number, address, Path(directory)))
        rng = random.Random(1)

        async def ask(number: int) -> None:
            request_id = f"r{number}"
            head, body = request_bytes("POST", "/assign/1", request_id, b"x")
            try:
                channel = await Channel.open(rng.choice(routers).front)
                await channel.send(head + body)
            except (OSError, TimeoutError):
                return
            answers[request_id] = await channel.read_answer(6.0)
            channel.close()

        acknowledged = [0.0]

        async def leave() -> None:
            await asyncio.sleep(DRAIN_AT_S)
            leaver = servers[0]
            state[leaver.id] = "draining"
            await report(leaver)
            acknowledged[0] = now()
            note(f"the store acknowledges that {leaver.id} is draining")
            await asyncio.sleep(EXIT_AFTER_S)
            state[leaver.id] = "gone"
            leaver.listener.close()
            store.remove(f"servers/{leaver.id}")
            note(f"{leaver.id} exits")

        try:
            for router in routers:
                router.start()
            for router in routers:
                if not await router.wait_ready():
                    return 2
            await asyncio.sleep(1.0)
            start[0] = now()
            jobs = [asyncio.ensure_future(leave())]
            for number, server in enumerate(servers):
                jobs.append(asyncio.ensure_future(beats(server, 0.3 * number + 0.3)))
            tasks, number = set(), 0
            while now() < start[0] + 15.0:
                number += 1
                task = asyncio.ensure_future(ask(number))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
            if tasks:
                await asyncio.wait(set(tasks))
            for job in [*jobs, *late]:
                job.cancel()
        finally:
            for router in routers:
                router.stop()
    bound = acknowledged[0] + DRAIN_S
    too_late = [a for a in servers[0].arrivals if a["t"] > bound]
    runs = {run["id"] for server in servers for run in server.runs}
    lost = [i for i, a in answers.items() if i in runs and a.status != 200]
    for arrival in servers[0].arrivals:
        lines.append(
            f"{arrival['t'] - start[0]:8.3f} {servers[0].id} gets {arrival['id']}"
        )
    for request_id, got in answers.items():
        lines.append(f"{got.at - start[0]:8.3f} client {request_id} gets {got.status}")
    lines.sort()
    total = (
        f"requests that reached the leaving server later than {DRAIN_S} s after the"
        f" acknowledgement: {len(too_late)}; requests that ran once and whose client"
        f" got no answer of the server: {len(lost)} {lost}"
    )
    (HERE / "record.txt").write_text("\n".join([*lines, total, ""]))
    print(total)
    return 1 if too_late else 0


def play() -> None:
    """Play the case and end the process with the code of its result."""
    run_case(main)


play()
