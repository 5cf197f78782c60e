"""Fleets of hundreds of routers: what each knows of the others, how old, at what cost.

The routers exchange digests over a simulated network that loses datagrams; routers die,
restart and freeze. No sockets are used.
"""

from __future__ import annotations

import heapq
import itertools
import random
from types import SimpleNamespace

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_gateway.admission import AccountLoad
from lagoonsail_gateway.crash_check import CrashCheck
from lagoonsail_gateway.digest import Digest
from lagoonsail_gateway.digest_relay import RELAY_RETRY_MS, RelayChoice
from lagoonsail_gateway.fleet_share import FleetMembers, format_location, rank_routers
from lagoonsail_gateway.peer_digests import ROUND_INTERVAL_MS, PeerDigests
from lagoonsail_gateway.sent_prompts import RecentPrompts, SentPrompt, sender_number
from lagoonsail_router.context import RouterContext
from lagoonsail_sharing.crash_suspects import CrashSuspects
from lagoonsail_sharing.first_token import Prompt, SharedPart

DOMAINS = 6
LOSS = 0.02
DELAY_MS = 1.0
MARKED = 20
"""Routers whose reports carry the time at which they were made."""
MAX_AGE_MS = 300.0
MAX_DEATH_COST_MS = 300.0
"""Age that the death of a router may add."""


class SimulatedRouter:
    """A router without sockets; its load is a counter by server."""

    def __init__(self, network, number, incarnation):
        self.network = network
        self.name = f"r{number}"
        self.address = ("10.0.0.1", number)
        self.is_alive = True
        self.others = {}
        self.accounts = AccountLoad(network.clock)
        self.prompts = []
        settings = SimpleNamespace(name=self.name, max_connections=10)
        context = RouterContext(settings, network.clock)
        context.incarnation = 1000 * number + incarnation
        self.members = FleetMembers(self.name)
        self.own_prompts = RecentPrompts(network.clock)
        self.pending = {"shared": (1, 10)}
        self.digests = PeerDigests(
            context,
            self.members,
            network.domain_of(number),
            self.own_prompts,
            CrashCheck(context, CrashSuspects(context.clock)),
            self.make_digest,
            self.replace,
            self.prompts.append,
        )
        send = SimpleNamespace(
            sendto=lambda data, flags, to: network.send(self, data, to)
        )
        self.digests._sock = SimpleNamespace(fd=send)

    def make_digest(self, number, _age_ms):
        pending = dict(self.pending)
        if self.address[1] <= MARKED:
            pending[self.name] = (1, int(self.network.now_ms))
        sums = {"norte": (100, 50)}
        incarnation = self.digests._context.incarnation
        return Digest(self.name, incarnation, number, pending, sums)

    def replace(self, _previous, newest):
        self.others = newest.pending if newest else {}
        if newest is not None:
            self.accounts.apply_peer_sums(
                newest.router, newest.incarnation, newest.sums
            )

    def demand_of_others(self):
        return self.accounts._peer_demand.value("norte", self.network.now_ms)


class Network:
    """Delivers datagrams late, or never."""

    def __init__(self, size, seed=1):
        self.now_ms = 0.0
        self.clock = Clock(lambda: self.now_ms, lambda: self.now_ms)
        self.random = random.Random(seed)
        self.loss = LOSS
        self.events = []
        self.order = itertools.count()
        self.sent = {}
        self.bytes_between_domains = 0
        self.routers = {n: SimulatedRouter(self, n, 1) for n in range(1, size + 1)}
        self.update_members()
        for router in self.routers.values():
            self.start(router)

    def domain_of(self, number):
        return f"d{number % DOMAINS}"

    def update_members(self):
        locations = {
            router.name: format_location(f"10.0.0.1:{number}", self.domain_of(number))
            for number, router in self.routers.items()
        }
        for router in self.routers.values():
            router.members.update(locations)

    def at(self, time_ms, action):
        heapq.heappush(self.events, (time_ms, next(self.order), action))

    def start(self, router):
        self.at(
            self.now_ms + self.random.uniform(0, ROUND_INTERVAL_MS),
            self.round_of(router),
        )

    def round_of(self, router):
        def run():
            if router.is_alive:
                router.digests.send_round()
                self.at(self.now_ms + ROUND_INTERVAL_MS, run)

        return run

    def send(self, sender, data, address):
        self.sent[sender.name] = self.sent.get(sender.name, 0) + 1
        number = address[1]
        if self.domain_of(sender.address[1]) != self.domain_of(number):
            self.bytes_between_domains += len(data)
        if self.random.random() >= self.loss:
            self.at(self.now_ms + DELAY_MS, lambda: self.deliver(sender, data, number))

    def deliver(self, sender, data, number):
        if self.routers[number].is_alive:
            self.routers[number].digests.handle_datagram(data, sender.address)

    def run(self, duration_ms, on_step=lambda: None, step_ms=50.0):
        end_ms = self.now_ms + duration_ms
        next_step_ms = self.now_ms + step_ms
        while self.events and self.events[0][0] <= end_ms:
            time_ms, _, action = heapq.heappop(self.events)
            while next_step_ms <= time_ms:
                self.now_ms = next_step_ms
                on_step()
                next_step_ms += step_ms
            self.now_ms = time_ms
            action()
        self.now_ms = end_ms

    def alive(self):
        return [router for router in self.routers.values() if router.is_alive]

    def ages_ms(self):
        """Return how old each live marked router is at each other live router."""
        alive = self.alive()
        return [
            self.now_ms - router.others.get(origin.name, (0, -1e9))[1]
            for router in alive
            for origin in alive
            if origin.address[1] <= MARKED and origin is not router
        ]

    def relays(self, number):
        names = [r.name for n, r in self.routers.items() if n % DOMAINS == number]
        return RelayChoice(self.clock).choose(rank_routers(f"d{number}", names), "")

    def router(self, name):
        return self.routers[int(name[1:])]


def p99(values):
    return sorted(values)[int(0.99 * len(values))]


@pytest.mark.parametrize("size", [73, 195, 330])
def test_sums_are_fresh_while_routers_die_and_datagrams_are_lost(size):
    network = Network(size)
    network.run(1500.0)
    ages = []
    network.run(500.0, lambda: ages.extend(network.ages_ms()))
    assert p99(ages) < MAX_AGE_MS
    dead = network.random.sample(sorted(network.routers), size // 10)
    for number in dead:
        network.routers[number].is_alive = False
    ages.clear()
    network.run(600.0, lambda: ages.extend(network.ages_ms()))
    assert p99(ages) < MAX_AGE_MS + MAX_DEATH_COST_MS
    ages.clear()
    network.run(1000.0, lambda: ages.extend(network.ages_ms()))
    assert p99(ages) < MAX_AGE_MS
    dead_names = {f"r{number}" for number in dead}
    assert not any(dead_names & router.others.keys() for router in network.alive())


@pytest.mark.parametrize("stops", [1, 2])
def test_death_of_the_relays_of_a_domain_costs_little_age(stops):
    network = Network(195)
    network.run(1500.0)
    for name in network.relays(1)[:stops]:
        network.router(name).is_alive = False
    ages = []
    network.run(1500.0, lambda: ages.append(p99(network.ages_ms())))
    assert max(ages) < MAX_AGE_MS + MAX_DEATH_COST_MS
    assert ages[-1] < MAX_AGE_MS


@pytest.mark.parametrize("size", [73, 195, 330])
def test_datagrams_of_a_router_do_not_grow_with_the_fleet(size):
    network = Network(size)
    network.run(1500.0)
    network.sent.clear()
    rounds = 10
    network.run(rounds * ROUND_INTERVAL_MS)
    by_router = sorted(count / rounds for count in network.sent.values())
    assert by_router[len(by_router) // 2] <= 2.0
    # Relays send to the routers of their domain and to the other domains' relays.
    assert by_router[-1] <= size / DOMAINS + 2 + 2 * (DOMAINS - 1)


def test_nothing_counts_twice_and_the_own_load_is_left_out():
    network = Network(195)
    network.loss = 0.0
    network.run(2000.0)
    for router in network.alive():
        assert router.others["shared"] == (194, 1940)


def test_sums_of_accounts_do_not_grow_as_relays_take_turns():
    network = Network(195)
    network.run(3000.0)
    demand = 194 * 100
    for router in network.alive():
        assert 0.8 * demand < router.demand_of_others() <= demand


def test_fleet_that_has_lost_its_relays_counts_each_router_once():
    network = Network(73)
    network.loss = 0.0
    network.run(1500.0)
    for number in range(DOMAINS):
        for name in network.relays(number):
            network.router(name).is_alive = False
    network.run(2000.0)
    others = 73 - 2 * DOMAINS - 1
    for router in network.alive():
        assert router.others["shared"] == (others, 10 * others)


def test_router_that_restarts_under_its_name_replaces_its_load():
    network = Network(73)
    network.loss = 0.0
    network.run(1500.0)
    old = network.routers[5]
    old.is_alive = False
    new = network.routers[5] = SimulatedRouter(network, 5, 2)
    new.pending = {"shared": (1, 7)}
    network.update_members()
    network.start(new)
    network.run(1500.0)
    assert network.routers[9].others["shared"] == (72, 717)
    assert new.others["shared"] == (72, 720)


def test_router_that_was_frozen_is_left_out_and_comes_back():
    network = Network(73)
    network.run(1500.0)
    frozen = network.routers[4]
    frozen.is_alive = False
    network.run(1500.0)
    assert network.routers[9].others["shared"][0] == 71
    frozen.is_alive = True
    network.start(frozen)
    network.run(1000.0)
    assert network.routers[9].others["shared"][0] == 72


def test_each_prompt_reaches_all_others_once():
    network = Network(195)
    network.run(1500.0)
    senders = [network.routers[number] for number in range(1, 101)]
    for number, router in enumerate(senders):
        prompt = Prompt((SharedPart(number, 10),), 5)
        sent = SentPrompt("s1", prompt, sender_number(router.name))
        router.own_prompts.add(sent.encode())
        network.run(10.0)
    network.run(1500.0)
    for router in network.alive():
        keys = [
            sent.prompt.prefix
            for sent in router.prompts
            if sent.sender != sender_number(router.name)
        ]
        assert len(keys) == len(set(keys))
        assert len(keys) >= 0.99 * (len(senders) - (router in senders))


def test_names_of_routers_that_are_gone_are_forgotten():
    network = Network(1)
    choice = RelayChoice(network.clock)
    for number in range(1000):
        choice.record_heard(f"r{number}")
    network.now_ms += RELAY_RETRY_MS + 1.0
    choice.record_heard("last")
    choice.drop_silent()
    assert len(choice._heard_ms) == 1
