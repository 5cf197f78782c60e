"""Whole roll-outs by several routers, without a network and with a manual clock.

The routers are real from the selection of a server to the writes of the leader. Store,
digests and servers are simulated, with the age that digests have in a large fleet.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
from types import SimpleNamespace

import pytest

from lagoonsail_core.unavailable import Unavailable
from lagoonsail_gateway.admission import Refusal
from lagoonsail_gateway.digest import Digest
from lagoonsail_gateway.dispatcher import Dispatcher
from lagoonsail_gateway.fleet_counts import FleetCounts
from lagoonsail_gateway.fleet_share import FleetMembers
from lagoonsail_gateway.gateway_call import GatewayCall
from lagoonsail_gateway.rollout_control import RolloutControl
from lagoonsail_gateway.rollout_evidence import WINDOW_MS
from lagoonsail_gateway.rollout_leader import RETRY_MS, RolloutLeader
from lagoonsail_gateway.rollout_records import (
    LeaseLost,
    RolloutOrder,
    RolloutPhase,
    RolloutStore,
    WriteConflict,
)
from lagoonsail_gateway.server_directory import ServerDirectory
from lagoonsail_gateway.store_access import NO_REVISION, StoreItem, StoreRevision
from lagoonsail_gateway.store_generation import StoreGeneration
from lagoonsail_rollout.exposure import ExposureBounds
from lagoonsail_rollout.phases import COMPLETED, Step
from lagoonsail_router.context import RouterContext

BOUNDS = ExposureBounds(share=0.1, slack=50.0, rollback_ms=5000.0)
ROUTERS = 5
RATE_PER_S = 200
LIMIT_S = 30
STEP_MS = 20.0
DIGEST_MS = 100.0
DIGEST_AGE_MS = 300.0
ROUTES = {"read": 0.7, "write": 0.25, "rare": 0.05}
BAD_ANSWERS = 50


class FakeStore:
    """Compare-and-swap, leases, and faults of one router's link or of the store."""

    def __init__(self, clock):
        self.clock, self.items, self.log, self.leases = clock, {}, [], {}
        self.revision = 10
        self.is_down = self.loses_answers = False
        self.on_keep = lambda: None
        self.numbers = itertools.count(1)

    def put(self, key, value, lease=""):
        self.revision += 1
        revision = StoreRevision(0, self.revision)
        self.items[key] = (value, revision, lease)
        self.log.append(StoreItem(key, value, revision))
        return revision

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        self.log.append(StoreItem(key, None, StoreRevision(0, self.revision)))

    def expire(self):
        for lease, (end_ms, _) in list(self.leases.items()):
            if end_ms < self.clock.now_ms():
                self.end(lease)

    def end(self, lease):
        self.leases.pop(lease, None)
        for key, (_, _, of) in list(self.items.items()):
            if of == lease:
                self.remove(key)

    def grant(self, ttl_ms):
        lease = str(next(self.numbers))
        self.leases[lease] = (self.clock.now_ms() + ttl_ms, ttl_ms)
        return lease

    def keep(self, lease):
        self.on_keep()
        if lease not in self.leases:
            return LeaseLost("no such lease")
        ttl_ms = self.leases[lease][1]
        self.leases[lease] = (self.clock.now_ms() + ttl_ms, ttl_ms)
        return None

    def write(self, expected, values, lease):
        if lease and lease not in self.leases:
            return LeaseLost("no such lease")
        current = {
            key: self.items.get(key, (b"", NO_REVISION, ""))[1] for key in expected
        }
        if current != expected:
            return WriteConflict(
                [
                    StoreItem(key, *self.items[key][:2])
                    for key in expected
                    if key in self.items
                ]
            )
        self.revision += 1
        revision = StoreRevision(0, self.revision)
        for key, value in values.items():
            self.items[key] = (value, revision, lease)
            self.log.append(StoreItem(key, value, revision))
        return revision

    def calls_of(self, router):
        def guarded(call):
            def run(*arguments):
                if self.is_down or router.is_cut:
                    return Unavailable("no answer")
                result = call(*arguments)
                return Unavailable("no answer") if self.loses_answers else result

            return run

        def encode_phase(phase):
            names = ("target", "order", "phase", "in_service", "remaining_ms")
            return json.dumps([getattr(phase, name) for name in names]).encode()

        def decode_phase(data):
            target, order, phase, versions, left_ms = json.loads(data)
            revision = StoreRevision(*order)
            return RolloutPhase(target, revision, phase, tuple(versions), left_ms)

        def decode_order(service, data):
            target, limit_ms = json.loads(data)
            return RolloutOrder(service, target, limit_ms)

        return RolloutStore(
            "op/",
            "status/",
            "phase/",
            "leader",
            decode_order,
            decode_phase,
            encode_phase,
            lambda phase: f"{phase.phase} {phase.target}".encode(),
            guarded(self.grant),
            guarded(self.keep),
            guarded(self.end),
            guarded(self.write),
        )


class Router:
    """A router without sockets."""

    def __init__(self, name, fleet):
        settings = SimpleNamespace(
            name=name, max_connections=100, max_change_delay_ms=2000.0
        )
        self.name = name
        self.is_cut = self.is_frozen = self.is_dead = False
        self.events = []
        self.context = RouterContext(settings, fleet.clock)
        self.context.timeline.subscribe(self.events.append)
        self.routers = FleetMembers(name)
        self.routers.update(
            {f"r{n}": f"127.0.0.1:{n + 1} north" for n in range(ROUTERS)}
        )
        self.directory = ServerDirectory(fleet.clock, 2000.0)
        self.dispatcher = Dispatcher(self.context, self.directory, self.routers)
        self.counts = FleetCounts(fleet.clock)
        store = fleet.store.calls_of(self)
        self.control = RolloutControl(
            self.context,
            BOUNDS,
            store,
            self.directory,
            self.dispatcher,
            self.routers,
            self.counts,
        )
        self.store_generation = StoreGeneration()
        self.leader = RolloutLeader(
            self.context,
            BOUNDS,
            store,
            self.control,
            self.routers,
            self.store_generation,
        )
        manifest = SimpleNamespace(
            routes=[
                SimpleNamespace(
                    name=name, destinations=[SimpleNamespace(service="plain")]
                )
                for name in ROUTES
            ],
            services={"plain": SimpleNamespace(engine=None, cold_requests_per_s=0)},
            limits=SimpleNamespace(tokens_per_s=0.0),
        )
        self.dispatcher.apply_manifest(manifest)
        self.control.apply_manifest(manifest)
        self.seen = 0
        self.digest = None

    def read_store(self, log):
        for item in log[self.seen :]:
            self.leader.apply_item(item, self.context.clock.now_ms())
            if item.key.startswith(self.control.prefixes()):
                self.control.apply_item(item, self.context.clock.now_ms())
        self.seen = len(log)

    def replace_peer(self, previous, newest):
        self.dispatcher.replace_digest(previous, newest)
        self.counts.replace_peer(
            previous.counts if previous else {}, newest.counts if newest else {}
        )


class RolloutFleet:
    """Routers, servers and requests; `bad` decides which answers are bad."""

    def __init__(self, manual_clock, make_record, seed=1):
        self.manual, self.clock = manual_clock, manual_clock.clock()
        self.make_record = make_record
        self.rng = random.Random(seed)
        random.seed(seed)
        self.store = FakeStore(self.clock)
        self.routers = [Router(f"r{n}", self) for n in range(ROUTERS)]
        self.peers = {}
        self.running = []
        self.order = itertools.count()
        self.sent = []
        self.bad_times = []
        self.requests = 0
        self.is_bad = lambda route, age_ms, load: False
        self.is_slow = lambda route, age_ms, load: False
        self.recent_new = []
        self.ordered_ms = 0.0
        self.time_factor = 1.0
        self.crashed = set()

    def add_servers(self, version, count=4):
        for number in range(count):
            for router in self.routers:
                record = self.make_record(
                    f"{version}-{number}", service="plain", version=version
                )
                router.directory.put(record)

    def remove_server(self, server_id):
        for router in self.routers:
            router.directory.remove(server_id)

    def crash(self, server_id):
        """Lose all that runs at a server; return how much that is."""
        self.crashed.add(server_id)
        lost = [
            entry
            for entry in self.running
            if entry[3].state.server.record.server_id == server_id
        ]
        for entry in lost:
            entry[3].finish(is_success=False)
            self.running.remove(entry)
        heapq.heapify(self.running)
        return len(lost)

    def give_order(self, target="v2", limit_s=LIMIT_S):
        self.ordered_ms = self.manual.ms
        value = json.dumps([target, 1000.0 * limit_s]).encode()
        return self.store.put("op/plain", value)

    def run(self, seconds):
        end_ms = self.manual.ms + 1000.0 * seconds
        while self.manual.ms < end_ms:
            self.manual.ms += STEP_MS
            self.step()

    def step(self):
        now_ms = self.manual.ms
        self.store.expire()
        while self.running and self.running[0][0] <= now_ms:
            *_, router, run, is_success = heapq.heappop(self.running)
            if not router.is_dead:
                run.record_first_token()
                run.finish(is_success=is_success)
        working = [r for r in self.routers if not r.is_dead and not r.is_frozen]
        is_round = now_ms % DIGEST_MS < STEP_MS
        for router in working:
            if is_round:
                router.control.step()
                router.leader.step()
            if not router.is_cut and not self.store.is_down:
                router.read_store(self.store.log)
        if now_ms % DIGEST_AGE_MS < STEP_MS:
            self.exchange_digests()
        for _ in range(int(RATE_PER_S * STEP_MS / 1000.0)):
            self.request(self.rng.choice(working))

    def exchange_digests(self):
        digests = {
            r.name: Digest(
                r.name,
                1,
                0,
                r.dispatcher.pending_by_server(),
                counts=r.counts.own(),
            )
            for r in self.routers
            if not r.is_dead
        }
        for router in self.routers:
            for peer in self.routers:
                if peer is router:
                    continue
                previous = self.peers.get((router.name, peer.name))
                newest = digests.get(peer.name)
                if previous or newest:
                    router.replace_peer(previous, newest)
                self.peers[router.name, peer.name] = newest

    def request(self, router):
        self.requests += 1
        name = self.rng.choices(list(ROUTES), ROUTES.values())[0]
        route = SimpleNamespace(name=name, objective_ms=200.0)
        call = GatewayCall(
            None, route, "plain", "", "GET", "/", b"", self.manual.ms, 1e12, None
        )
        state = router.dispatcher.select_server(call)
        if isinstance(state, Refusal):
            return
        call.tried_server_ids.add(state.server.record.server_id)
        run = router.dispatcher.start_request(call, state)
        if state.server.record.server_id in self.crashed:
            run.finish(is_success=False)
            return
        run.record_sent()
        version = state.server.record.version
        is_success, time_ms = self.play(version, name)
        self.sent.append((self.manual.ms, version))
        entry = (self.manual.ms + time_ms, next(self.order), router, run, is_success)
        heapq.heappush(self.running, entry)

    def play(self, version, route):
        """Return success and duration of an answer."""
        time_ms = self.time_factor * self.rng.lognormvariate(3.4, 0.4)
        is_success = self.rng.random() > 0.002
        if version == "v2":
            now_ms = self.manual.ms
            self.recent_new.append(now_ms)
            self.recent_new = [t for t in self.recent_new if t > now_ms - 1000.0]
            arguments = (route, now_ms - self.ordered_ms, len(self.recent_new))
            if self.is_slow(*arguments):
                time_ms *= 4.0
                self.bad_times.append(now_ms)
            if self.is_bad(*arguments):
                is_success = False
                self.bad_times.append(now_ms)
        return is_success, time_ms

    # What the operator and a judge see.

    def status(self):
        value = self.store.items.get("status/plain", (b"", 0, ""))[0]
        return value.decode()

    def exposed(self):
        return sum(version == "v2" for _, version in self.sent)

    def last_sent_ms(self, version="v2"):
        return max((ms for ms, sent in self.sent if sent == version), default=0.0)

    def leader(self):
        leaders = [r for r in self.routers if r.leader.is_leader() and not r.is_dead]
        return leaders[0] if leaders else None

    def check_bounds(self):
        assert self.exposed() <= BOUNDS.share * self.requests + BOUNDS.slack
        if len(self.bad_times) > BAD_ANSWERS:
            limit_ms = self.bad_times[BAD_ANSWERS - 1] + BOUNDS.rollback_ms
            assert self.last_sent_ms() <= limit_ms


@pytest.fixture
def fleet(manual_clock, make_record):
    fleet = RolloutFleet(manual_clock, make_record)
    fleet.add_servers("v1")
    fleet.run(1.0)
    return fleet


def start(fleet, **fields):
    fleet.sent.clear()
    fleet.requests = 0
    fleet.give_order(**fields)
    fleet.add_servers("v2")


def test_without_an_order_all_versions_are_treated_alike(fleet):
    fleet.add_servers("v2")
    fleet.run(2.0)
    share = fleet.exposed() / fleet.requests
    assert 0.15 < share < 0.5
    assert all(r.dispatcher._rollouts is None for r in fleet.routers)


def test_good_version_is_completed_before_the_limit_within_the_exposure(fleet):
    start(fleet)
    fleet.run(5.0)
    assert fleet.status() == "canary v2"
    assert 0 < fleet.exposed() < BOUNDS.share * fleet.requests + BOUNDS.slack
    fleet.run(LIMIT_S - 5.2)
    assert fleet.status() == "completed v2"
    # Requests have long moved when old servers are stopped.
    assert fleet.last_sent_ms("v1") < fleet.manual.ms - 700.0
    fleet.run(2.0)
    assert fleet.last_sent_ms("v1") < fleet.manual.ms - 2500.0


def test_good_version_is_completed_where_the_service_has_no_traffic(fleet, monkeypatch):
    monkeypatch.setattr(fleet, "request", lambda router: None)
    start(fleet)
    fleet.run(LIMIT_S - 0.2)
    assert fleet.status() == "completed v2"


BAD_VERSIONS = {
    "at once": {"is_bad": lambda route, age_ms, load: random.random() < 0.5},
    "seldom": {"is_bad": lambda route, age_ms, load: random.random() < 0.1},
    "slow": {"is_slow": lambda route, age_ms, load: True},
    "later": {"is_bad": lambda route, age_ms, load: age_ms > 15_000.0},
    "later slow": {"is_slow": lambda route, age_ms, load: age_ms > 15_000.0},
    "under load": {"is_bad": lambda route, age_ms, load: load > 60},
    "slow under load": {"is_slow": lambda route, age_ms, load: load > 60},
    "one route": {"is_bad": lambda route, age_ms, load: route == "rare"},
    "one route slow": {"is_slow": lambda route, age_ms, load: route == "write"},
}


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("kind", BAD_VERSIONS)
def test_bad_version_is_rolled_back_within_the_bounds(
    manual_clock, make_record, kind, seed
):
    fleet = RolloutFleet(manual_clock, make_record, seed)
    fleet.add_servers("v1")
    fleet.run(1.0)
    for name, function in BAD_VERSIONS[kind].items():
        setattr(fleet, name, function)
    start(fleet)
    fleet.run(LIMIT_S - 0.2)
    assert fleet.status() == "rolled_back v2"
    fleet.check_bounds()
    sent = fleet.exposed()
    fleet.run(1.0)
    assert fleet.exposed() == sent


@pytest.mark.parametrize("seed", range(10))
def test_good_version_is_not_condemned(manual_clock, make_record, seed):
    fleet = RolloutFleet(manual_clock, make_record, seed)
    fleet.add_servers("v1")
    start(fleet, limit_s=20)
    fleet.run(19.8)
    assert fleet.status() == "completed v2"


@pytest.mark.parametrize("fault", ["is_dead", "is_frozen", "is_cut"])
@pytest.mark.parametrize("is_good", [True, False])
def test_roll_out_goes_on_without_its_leader(fleet, fault, is_good):
    start(fleet)
    fleet.run(4.0)
    first = fleet.leader()
    setattr(first, fault, True)
    fleet.run(6.0)
    second = fleet.leader() if fault == "is_dead" else None
    others = [r for r in fleet.routers if r is not first and r.leader.is_leader()]
    assert len(others) == 1
    assert second in (None, others[0])
    if not is_good:
        fleet.is_bad = lambda route, age_ms, load: True
    if fault == "is_frozen":
        # It resumes as a leader of an old term.
        first.is_frozen = False
    fleet.run(LIMIT_S - 10.2)
    assert fleet.status() == ("completed v2" if is_good else "rolled_back v2")
    leaders = [r for r in fleet.routers if r.leader.is_leader()]
    assert set(leaders) <= {first, others[0]}
    if fault == "is_frozen":
        assert not first.leader.is_leader()
    if not is_good:
        fleet.check_bounds()


def test_late_write_of_a_former_leader_changes_nothing(fleet):
    start(fleet)
    fleet.run(4.0)
    first = fleet.leader()
    term = first.leader._term
    first.is_frozen = True
    fleet.run(6.0)
    expected = {"leader": term, "phase/plain": fleet.store.items["phase/plain"][1]}
    late = fleet.store.write(expected, {"status/plain": b"completed v2"}, "")
    assert isinstance(late, WriteConflict)
    assert fleet.status() == "canary v2"


def test_former_leader_that_resumes_before_its_write_changes_nothing(fleet):
    start(fleet)
    fleet.run(4.0)
    first = fleet.leader()
    first.is_frozen = True
    fleet.run(6.0)
    # Nothing but the leader's key has changed meanwhile.
    rollout = first.control.services["plain"]
    assert rollout.phase_revision == fleet.store.items["phase/plain"][1]
    first.leader._write(rollout, Step(COMPLETED, "decided before the freeze"))
    assert fleet.status() == "canary v2"
    fleet.manual.ms += 2 * RETRY_MS
    first.leader.step()
    assert not first.leader.is_leader()


def test_leader_stops_leading_when_the_store_was_restored(fleet):
    """Guards against writes under a term that a restored store gives out again."""
    start(fleet)
    fleet.run(4.0)
    first = fleet.leader()
    old_key, old_term = first.leader._leader_key(), first.leader._term
    for router in fleet.routers:
        router.store_generation.accept(1)
    first.leader.step()
    # It may have been elected again already, with another key and term.
    assert first.leader._term != old_term
    fleet.run(6.0)
    key = fleet.leader().leader._leader_key()
    assert key != old_key
    assert fleet.leader().leader._term == fleet.store.items[key][1]


# A roll-out was rolled back 20 ms after its completion, with no server left in service:
# the view brought the completion while the leader waited for a renewal.
def test_completion_without_an_answer_is_final(fleet):
    start(fleet)
    fleet.run(LIMIT_S - 2.2)
    fleet.store.loses_answers = True
    leader = fleet.leader()
    read_store, leader.read_store = leader.read_store, lambda log: None
    while fleet.status() != "completed v2":
        fleet.run(STEP_MS / 1000.0)
        assert fleet.manual.ms < fleet.ordered_ms + 1000.0 * LIMIT_S
    fleet.store.loses_answers = False
    leader.control.services["plain"].is_stopped = True
    leader.leader._renewed_ms = float("-inf")
    fleet.store.on_keep = lambda: read_store(fleet.store.log)
    fleet.run(4.0)
    assert fleet.status() == "completed v2"
    assert fleet.last_sent_ms("v1") < fleet.manual.ms - 3000.0


def test_version_that_turns_bad_after_many_good_answers_is_stopped(fleet):
    start(fleet)
    fleet.run(1.0)
    router = fleet.routers[0]
    key = router.control.services["plain"].key()

    def add(new, old, number):
        router.counts.add(f"{key}/n/read", 0, new)
        router.counts.add(f"{key}/n/read", number, new)
        router.counts.add(f"{key}/o/read", 0, old)
        router.counts.add(f"{key}/o/read", 4, old)
        router.control.step()

    for _ in range(4):
        add(500, 5000, 4)
        fleet.manual.ms += WINDOW_MS
    assert not router.control.services["plain"].is_stopped
    add(40, 400, 9)
    assert router.control.services["plain"].is_stopped


def test_outage_of_the_store_keeps_the_canary_and_stops_a_bad_version(fleet):
    start(fleet)
    fleet.run(4.0)
    fleet.store.is_down = True
    fleet.run(6.0)
    fleet.check_bounds()
    fleet.is_bad = lambda route, age_ms, load: True
    # A version that was found good gets few requests, which tell of its change.
    fleet.run(8.0)
    assert len(fleet.bad_times) < BAD_ANSWERS / 2
    assert fleet.last_sent_ms() < fleet.manual.ms - 1000.0
    assert fleet.status() == "canary v2"
    fleet.store.is_down = False
    fleet.run(3.0)
    assert fleet.status() == "rolled_back v2"
    fleet.check_bounds()


def test_good_version_is_completed_after_an_outage_of_the_store(fleet):
    start(fleet)
    fleet.run(4.0)
    fleet.store.is_down = True
    fleet.run(12.0)
    fleet.store.is_down = False
    fleet.run(LIMIT_S - 16.2)
    assert fleet.status() == "completed v2"


def test_newer_order_counts(fleet):
    start(fleet)
    fleet.run(5.0)
    fleet.give_order("v3")
    fleet.add_servers("v3")
    fleet.run(1.0)
    before = fleet.exposed()
    fleet.run(LIMIT_S - 1.2)
    assert fleet.exposed() == before
    assert fleet.status() == "completed v3"


def test_rolled_back_version_gets_nothing_until_a_new_order(fleet):
    fleet.is_bad = lambda route, age_ms, load: True
    start(fleet)
    fleet.run(10.0)
    assert fleet.status() == "rolled_back v2"
    fleet.is_bad = lambda route, age_ms, load: False
    start(fleet)
    fleet.run(LIMIT_S - 0.2)
    assert fleet.status() == "completed v2"


def test_withdrawn_order_changes_nothing_more(fleet):
    start(fleet)
    fleet.run(5.0)
    fleet.store.remove("op/plain")
    fleet.run(0.2)
    before = fleet.exposed()
    fleet.run(LIMIT_S)
    assert fleet.exposed() == before
    assert fleet.status() == "canary v2"


def test_crash_of_a_new_server_does_not_condemn_a_good_version(fleet):
    fleet.time_factor = 40.0
    start(fleet)
    fleet.run(6.0)
    trial = sorted(fleet.routers[0].control.services["plain"].trial_ids)[0]
    assert fleet.crash(trial) >= 5
    fleet.run(2.0)
    # Its record expires later than connections to it are refused.
    fleet.remove_server(trial)
    fleet.run(LIMIT_S - 8.2)
    assert fleet.status() == "completed v2"


def test_version_whose_servers_crash_again_and_again_is_rolled_back(fleet):
    start(fleet)
    for number in range(4):
        fleet.run(2.0)
        trial = sorted(fleet.routers[0].control.services["plain"].trial_ids)[0]
        fleet.crash(trial)
        fleet.remove_server(trial)
        fleet.crashed.clear()
        fleet.add_servers("v2", count=number % 4 + 1)
    fleet.run(1.0)
    assert fleet.status() == "rolled_back v2"


def test_order_without_servers_of_the_version_is_rolled_back_at_the_end(fleet):
    fleet.give_order()
    fleet.run(LIMIT_S - 2.0)
    assert fleet.status() == "canary v2"
    fleet.run(1.8)
    assert fleet.status() == "rolled_back v2"


def test_version_that_never_answers_is_rolled_back(fleet, monkeypatch):
    play = fleet.play

    def hang(version, route):
        return (True, 1e9) if version == "v2" else play(version, route)

    monkeypatch.setattr(fleet, "play", hang)
    start(fleet)
    fleet.run(LIMIT_S - 0.2)
    assert fleet.status() == "rolled_back v2"
    fleet.check_bounds()


def test_router_that_starts_later_takes_over_phase_and_limit(fleet):
    start(fleet)
    fleet.run(10.0)
    router = Router("r9", fleet)
    for item in fleet.store.log:
        router.leader.apply_item(item, None)
        if item.key.startswith(router.control.prefixes()):
            router.control.apply_item(item, None)
    rollout = router.control.services["plain"]
    assert rollout.current_phase() == "canary"
    assert rollout.deadline_ms <= fleet.manual.ms + 1000.0 * LIMIT_S
    assert not rollout.has_exact_deadline
