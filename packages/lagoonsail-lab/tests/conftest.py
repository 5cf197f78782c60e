from __future__ import annotations

import base64
from types import SimpleNamespace

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_lab.caller import (
    Balancer,
    Caller,
    call_in_loop,
    make_plain,
    make_prompt,
)
from lagoonsail_lab.checker import Kill, check_all
from lagoonsail_lab.deployments import Deployment, ServerShape, ServiceShape
from lagoonsail_lab.fleet import ROUTER_PREFIX, Fleet
from lagoonsail_lab.regions import SLOTS, runs_at
from lagoonsail_sharing.assignment import rendezvous_owner
from lagoonsail_standins.runs import RUNNING

SIDE = "cordero"
REGION = "sierra-central"
DOMAINS = ["banos", "puyo"]
ACCOUNTS = {"club-norte": 3.0, "prensa": 1.0}
SETTINGS = {
    "store": {"lease_ttl_ms": 2000, "timeout_ms": 500},
    "host-list": {"max_lag_ms": 2000},
}
PLAIN = "registro"
ENGINE = "asistente"
FILL_MS = 1300.0
"""Time in which calls must occupy all slots of a region; else they are made again."""
MAX_FILLS = 5
"""How often calls are made to occupy all slots of a region."""


def make_deployment(routers, servers=2, **limits):
    def make(name, kind):
        shapes = [
            ServerShape(f"{name}-{n + 1}", DOMAINS[n % 2]) for n in range(servers)
        ]
        values = {"queue_timeout_ms": 15000, **limits}
        return ServiceShape(
            SIDE, name, kind, REGION, shapes, ACCOUNTS, 4, limits=values
        )

    services = [make(PLAIN, "plain"), make(ENGINE, "engine")]
    return Deployment(SIDE, REGION, DOMAINS, services, routers)


def start_fleet(routers=3, servers=2, limits=(), settings=(), **options):
    merged = {name: dict(values) for name, values in SETTINGS.items()}
    for section, values in dict(settings).items():
        merged.setdefault(section, {}).update(values)
    deployment = make_deployment(routers, servers, **dict(limits))
    return Fleet([deployment], settings=merged, **options)


class Traffic:
    """Runs callers in loops and checks their records and those of the servers."""

    def __init__(self, fleet, routers=None, seed=1):
        self.fleet = fleet
        self.clock = Clock()
        names = routers or list(fleet.routers)
        self.balancer = Balancer(
            {n: (fleet.routers[n].callers, fleet.routers[n].admin) for n in names},
            seed,
        )
        self.caller = Caller(self.balancer, keep_alive=False)
        self.threads = []
        self.is_over = False

    def loop(self, make_call, callers=1, pause_ms=10.0):
        def run():
            while not self.is_over:
                until_ms = self.clock.now_ms() + 1.0
                call_in_loop(
                    self.caller, make_call, until_ms, lambda: pause_ms / 1000.0
                )

        self.threads += [eventlet.spawn(run) for _ in range(callers)]

    def search(self, work_ms=20.0):
        return make_plain(SIDE, PLAIN, "prensa", work_ms, "/search", True)

    def bib(self, work_ms=20.0):
        return make_plain(SIDE, PLAIN, "club-norte", work_ms, "/bibs", False)

    def stream(self, tokens=20):
        number = len(self.caller.records)
        return make_prompt(SIDE, ENGINE, "prensa", tokens, True, f"stream {number}")

    def mixed(self):
        self.loop(self.search, 2)
        self.loop(self.stream, 2)
        self.loop(self.bib, 1)

    def wait(self, duration_ms):
        eventlet.sleep(duration_ms / 1000.0)

    def finish(self):
        self.is_over = True
        for thread in self.threads:
            thread.wait()
        self.balancer.stop()
        return self.caller.records

    def whole_between(self, from_wall_ms, until_wall_ms, path=""):
        return [
            record
            for record in self.caller.whole()
            if from_wall_ms < record.last.started_wall_ms < until_wall_ms
            and record.call.path.startswith(path)
        ]

    def faults(self, **options):
        ended = [
            name
            for name, router in self.fleet.routers.items()
            if router.process.exit_code == 70
        ]
        assert not ended, "a router exited because of an invariant violation"
        return check_all(self.caller.records, self.fleet.records(), **options)


def put_document(fleet, service, text):
    """Write a service document and return its revision."""
    key = f"{ROUTER_PREFIX}documents/{service.qualified()}"
    value = {
        "key": base64.b64encode(key.encode()).decode(),
        "value": base64.b64encode(text.encode()).decode(),
    }
    return int(
        fleet.fetch("POST", fleet.store, "/v3/kv/put", value)["header"]["revision"]
    )


def wait_until(condition, timeout_ms):
    """Return the time until a condition held, or None after a timeout."""
    clock = Clock()
    started_ms = clock.now_ms()
    while clock.now_ms() - started_ms < timeout_ms:
        if condition():
            return clock.now_ms() - started_ms
        eventlet.sleep(0.05)
    return None


def kill(fleet, name):
    """Kill a router and return a Kill for each millisecond until its process ended."""
    killed_wall_ms = Clock().wall_ms()
    fleet.kill_router(name)
    offsets_ms = range(int(Clock().wall_ms() - killed_wall_ms) + 1)
    return [Kill(name, killed_wall_ms + offset_ms) for offset_ms in offsets_ms]


def find_owner(fleet, service=PLAIN, ask=None):
    """Return the owner of a service's shard once all routers agree on it."""
    shard = f"{SIDE}/{service}@{REGION}"

    def owners():
        found = [fleet.status(name) for name in ask or fleet.routers]
        return {(status or {}).get("owners", {}).get(shard) for status in found}

    assert wait_until(lambda: len(owners()) == 1 and all(owners()), 10000.0) is not None
    return owners().pop()


def settle(fleet):
    """Wait until no shard will move for balancing."""

    def is_balanced():
        owners = [find_owner(fleet, service) for service in (PLAIN, ENGINE)]
        shards = [f"{SIDE}/{service}@{REGION}" for service in (PLAIN, ENGINE)]
        best = {rendezvous_owner(shard, list(fleet.routers)) for shard in shards}
        return len(set(owners)) == 2 or set(owners) == best

    assert wait_until(is_balanced, 15000.0) is not None


def read_revisions(fleet, service, names=None):
    """Return the applied revision of a service's document at each answering router."""
    key = f"documents/{service.qualified()}"
    statuses = {name: fleet.status(name) for name in names or fleet.routers}
    return {
        name: status["configuration"].get(key, 0)
        for name, status in statuses.items()
        if status
    }


def runs_of(fleet, service=PLAIN):
    """Return the accepted runs of a service's servers, by start time."""
    runs = [
        run
        for name, record in fleet.records().items()
        if name.split("/")[1].startswith(service)
        for run in record["runs"]
        if run["state"] != "refused"
    ]
    return sorted(runs, key=lambda run: run["started_wall_ms"])


def warm_up(fleet, service, running):
    """Wait until a server of a service runs the given number of requests at once."""

    def is_warm():
        return any(
            run["running_at_start"] >= running for run in runs_of(fleet, service)
        )

    assert wait_until(is_warm, 12000.0) is not None


def start_searches(traffic, work_ms, calls):
    """Start calls of the plain service; return their green threads."""
    return [
        eventlet.spawn(traffic.caller.make, traffic.search(work_ms))
        for _ in range(calls)
    ]


def fill_slots(fleet, traffic, region, work_ms):
    """Occupy all slots of a region's plain server; return the calls' green threads.

    While an owner's process is late, a call can move to another region, or wait behind
    the call under test, which then gets a slot of its own region. So this waits until
    the server runs all calls, for at most FILL_MS of their work.
    """
    for _ in range(MAX_FILLS):
        first = len(traffic.caller.records)
        threads = start_searches(traffic, work_ms, SLOTS)

        def are_all_running(first=first):
            sent = {
                attempt.request_id
                for record in traffic.caller.records[first:]
                for attempt in record.attempts
                if record.call.path == "/search"
            }
            runs = runs_at(fleet, PLAIN, region)
            running = {run["request_id"] for run in runs if run["state"] == RUNNING}
            return len(sent & running) == SLOTS

        if wait_until(are_all_running, FILL_MS) is not None:
            return threads
        for thread in threads:
            thread.wait()
    pytest.fail(f"calls did not occupy all slots of {region} at the same time")


def applied_revisions(fleet, name, service):
    """Return the revisions of a document that a router applied, in order."""
    key = f"documents/{service.qualified()}"
    events = fleet.fetch("GET", fleet.routers[name].admin, "/timeline")
    applied = [event for event in events if event["event"] == "document_applied"]
    return [event["revision"] for event in applied if event["key"] == key]


def late_runs(runs, within_ms):
    """Return the runs that started after a later epoch had started.

    Args:
        runs: Runs of one service in order of their start.
        within_ms: Allowed time after the first run of a later epoch, milliseconds.
    """
    first_ms = {}
    for run in runs:
        first_ms.setdefault(run["epoch"], run["started_wall_ms"])
    return [
        run
        for run in runs
        if any(
            epoch > run["epoch"]
            and run["started_wall_ms"] - epoch_started_ms > within_ms
            for epoch, epoch_started_ms in first_ms.items()
        )
    ]


def cut_off(fleet, name, mode="cut"):
    """Cut one of two routers off from the key-value service and from the other router.

    The streams between two routers pass the relay of either one, so both are cut.
    """
    fleet.control_relay(f"store-{name}", mode=mode)
    for router in fleet.routers:
        fleet.control_relay(f"peers-{router}", mode=mode)


@pytest.fixture(scope="session")
def proof():
    """Helpers shared by the failure tests."""
    return SimpleNamespace(
        start_fleet=start_fleet,
        traffic=Traffic,
        put_document=put_document,
        wait_until=wait_until,
        find_owner=find_owner,
        settle=settle,
        warm_up=warm_up,
        fill_slots=fill_slots,
        fill_ms=FILL_MS,
        applied_revisions=applied_revisions,
        kill=kill,
        read_revisions=read_revisions,
        runs_of=runs_of,
        late_runs=late_runs,
        cut_off=cut_off,
        clock=Clock(),
        plain=PLAIN,
        engine=ENGINE,
    )
