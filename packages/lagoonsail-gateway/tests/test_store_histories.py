"""Random histories of a store that is restored, loses history and answers late."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lagoonsail_core.unavailable import Unavailable
from lagoonsail_gateway.fleet_share import FleetMembers
from lagoonsail_gateway.restored_keys import HOLD_MS
from lagoonsail_gateway.server_directory import (
    DRAINING,
    READY,
    REGISTRATION_GRACE_MS,
    ServerDirectory,
)
from lagoonsail_gateway.store_access import (
    HistoryLost,
    KeyFormat,
    StoreCalls,
    StoreItem,
    StoreItems,
    StoreRevision,
)
from lagoonsail_gateway.store_view import StoreView

MAX_CHANGE_DELAY_MS = 2000.0
SERVERS = ["a", "b"]
DOMAINS = ["north", "south"]
CHANGES = st.one_of(
    st.tuples(st.just("manifest"), st.just("")),
    st.tuples(st.sampled_from(["restart", "drain", "leave"]), st.sampled_from(SERVERS)),
    st.tuples(st.sampled_from(["evacuate", "take back"]), st.sampled_from(DOMAINS)),
)
FAULTS = st.tuples(
    st.sampled_from(
        ["copy", "restore", "restore", "write again", "lose history", "fail", "wait"]
    ),
    st.just(""),
)
STEPS = st.lists(
    st.tuples(st.one_of(CHANGES, FAULTS), st.sampled_from(["12", "12", "1", "2", ""])),
    min_size=20,
    max_size=50,
)
"""Operations of the store, and which views make a call after each."""


class ModelStore:
    """Items with revisions, a copy to restore, and what the writers want."""

    def __init__(self):
        self.generation = 1
        self.number = 1
        self.items = {}
        self.events = []
        self.oldest = 0
        self.copy = None
        self.wanted = {}
        self.starts = dict.fromkeys(SERVERS, 0)
        self.version = 0
        self.is_failing = False

    def put(self, key, value):
        self.wanted[key] = value
        self._write(key, value)

    def _write(self, key, value):
        if self.items.get(key, (None,))[0] == value:
            return
        self.number += 1
        self.events.append((self.number, key, value))
        if value is None:
            del self.items[key]
        else:
            self.items[key] = (value, self.number)

    def write_again(self):
        """What the operator and the servers wrote is written again."""
        for key, value in self.wanted.items():
            self._write(key, value)

    def take_copy(self):
        self.copy = (self.number, dict(self.items))

    def restore(self):
        if self.copy is None:
            return
        self.number, items = self.copy
        self.items = dict(items)
        self.events, self.oldest = [], self.number
        self.generation += 1

    def revision(self, number=None):
        return StoreRevision(self.generation, self.number if number is None else number)

    def list_all(self):
        if self.is_failing:
            return Unavailable("down")
        items = [
            StoreItem(key, value, self.revision(number))
            for key, (value, number) in self.items.items()
        ]
        return StoreItems(items, self.revision())

    def watch(self, after, _wait_ms):
        if self.is_failing:
            return Unavailable("down")
        if after.generation != self.generation or after.number < self.oldest:
            return HistoryLost("gone")
        items = [
            StoreItem(key, value, self.revision(number))
            for number, key, value in self.events
            if number > after.number
        ]
        return StoreItems(items, self.revision())


@pytest.fixture
def make_router(context, make_record):
    def make(store):
        directory = ServerDirectory(context.clock, MAX_CHANGE_DELAY_MS)

        def decode_server(server_id, data):
            start, state = data.decode().split(" ")
            return make_record(server_id, started_at_ms=int(start), state=state)

        key_format = KeyFormat(
            "config",
            "evacuate/",
            "servers/",
            "routers/",
            lambda data: SimpleNamespace(
                version=int(data), routes=[], limits=SimpleNamespace(tokens_per_s=0.0)
            ),
            decode_server,
        )
        versions = []
        view = StoreView(
            context,
            StoreCalls(store.list_all, store.watch, lambda: None),
            key_format,
            directory,
            FleetMembers("r1"),
            lambda manifest: versions.append(manifest.version),
        )
        return SimpleNamespace(
            view=view, directory=directory, versions=versions, evacuated=set()
        )

    return make


def play(store, kind, name):
    """Carry out one step of the operator, a server or the store."""
    if kind == "manifest":
        store.version += 1
        store.put("config", str(store.version).encode())
    elif kind == "restart":
        store.starts[name] += 1
        store.put(f"servers/{name}", f"{store.starts[name]} {READY}".encode())
    elif kind == "drain" and store.wanted.get(f"servers/{name}"):
        value = f"{store.starts[name]} {DRAINING}".encode()
        store.put(f"servers/{name}", value)
    elif kind == "leave" and store.wanted.get(f"servers/{name}"):
        store.put(f"servers/{name}", None)
    elif kind == "evacuate":
        store.put(f"evacuate/{name}", b"{}")
    elif kind == "take back" and store.wanted.get(f"evacuate/{name}"):
        store.put(f"evacuate/{name}", None)


def usable(router):
    return {s.record.server_id for s in router.directory.usable_servers("engine")}


def check_beliefs(router, store, drained, held_ms):
    """Check that no belief has gone back.

    Args:
        router: The router.
        store: The store, with what the operator wants.
        drained: Incarnations of servers that the router knew to drain.
        held_ms: Time since the last restore.
    """
    if held_ms < HOLD_MS:
        wanted = {d for d in DOMAINS if store.wanted.get(f"evacuate/{d}")}
        assert router.evacuated & wanted <= router.directory.evacuated
    router.evacuated = set(router.directory.evacuated)
    assert router.versions == sorted(set(router.versions))
    for server_id in usable(router):
        record = router.directory.find(server_id).record
        assert record.incarnation() not in drained


def note_drained(router, drained):
    for server_id in SERVERS:
        server = router.directory.find(server_id)
        if server is not None and server.record.state == DRAINING:
            drained.add(server.record.incarnation())


# A belief that goes back sends requests where the store had forbidden them.
@settings(
    max_examples=300,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(steps=STEPS)
def test_no_belief_goes_back_and_all_views_agree_in_the_end(
    make_router, manual_clock, steps
):
    store = ModelStore()
    routers = {"1": make_router(store), "2": make_router(store)}
    drained = {name: set() for name in routers}
    restored_ms = manual_clock.ms
    for (kind, name), updated in steps:
        play(store, kind, name)
        if kind == "copy":
            store.take_copy()
        elif kind == "restore":
            store.restore()
            restored_ms = manual_clock.ms
        elif kind == "write again":
            store.write_again()
        elif kind == "lose history":
            store.events, store.oldest = [], store.number
        elif kind == "fail":
            store.is_failing = not store.is_failing
        elif kind == "wait":
            manual_clock.ms += 500.0
        for key in updated:
            routers[key].view.step()
        for key, router in routers.items():
            held_ms = manual_clock.ms - restored_ms
            check_beliefs(router, store, drained[key], held_ms)
            note_drained(router, drained[key])
    store.is_failing = False
    store.write_again()
    for _ in range(4):
        manual_clock.ms += max(HOLD_MS, REGISTRATION_GRACE_MS) + 1.0
        for router in routers.values():
            router.view.step()
            router.view.check_lag()
            router.directory.expire()
    wanted = {
        key.removeprefix("servers/")
        for key, value in store.wanted.items()
        if key.startswith("servers/") and value and value.endswith(READY.encode())
    }
    evacuated = {
        key.removeprefix("evacuate/")
        for key, value in store.wanted.items()
        if key.startswith("evacuate/") and value
    }
    for router in routers.values():
        assert router.directory.evacuated == evacuated
        if "north" not in evacuated:
            assert usable(router) == wanted
        assert (router.versions or [0])[-1] == store.version
