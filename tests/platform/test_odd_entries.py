"""Odd entries that another writer leaves among those of the servers."""

from __future__ import annotations

import json

import pytest

from lagoonsail_core.green import eventlet

ROUTER = "router-1"
SERVICES = ("plain", "engine")
CHANGE_S = 2.0
"""Time within which a change must be in force."""


def odd_record(name, **changes):
    """Return a record with some of its fields changed."""
    record = {
        "service": name,
        "address": "127.0.0.1:1",
        "zone": "north",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold-left-ms": 0,
        "born": 1,
    }
    return json.dumps(record | changes).encode()


DEEP = b'{"service":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
HUGE = 10**400


def with_bytes(name, field, text):
    """Return a record with a field whose value JSON of Python would not write."""
    return odd_record(name, **{field: 77}).replace(b"77", text)


ODD_VALUES = {
    "deep": lambda service: DEEP,
    "deep in a field": lambda service: with_bytes(
        service, "slots", b"[" * 100_000 + b"]" * 100_000
    ),
    "huge number": lambda service: with_bytes(
        service, "cold-left-ms", str(HUGE).encode()
    ),
    "number of 5000 digits": lambda service: with_bytes(
        service, "cold-left-ms", b"9" * 5000
    ),
    "infinite": lambda service: with_bytes(service, "cold-left-ms", b"1e999"),
    "not a number": lambda service: with_bytes(service, "cold-left-ms", b"NaN"),
    "negative": lambda service: with_bytes(service, "cold-left-ms", b"-1e300"),
    "huge start": lambda service: with_bytes(service, "born", str(HUGE).encode()),
    "negative start": lambda service: with_bytes(service, "born", b"-5"),
    "port out of range": lambda service: odd_record(service, address="127.0.0.1:99999"),
    "port zero": lambda service: odd_record(service, address="127.0.0.1:0"),
    "odd digits": lambda service: odd_record(service, address="127.0.0.1:\u00b2"),
    "long port": lambda service: odd_record(service, address="127.0.0.1:" + "9" * 5000),
    "no number": lambda service: odd_record(service, address="host.example:80"),
    "spaces": lambda service: odd_record(service, address="127.0.0.1 x:80"),
    "address with a null": lambda service: odd_record(service, address="127.0\0.1:80"),
    "lone surrogate": lambda service: odd_record(service, zone="\ud800"),
    "service of another type": lambda service: with_bytes(service, "service", b'["a"]'),
    "bytes": lambda service: b"\xff\xfe\x00",
    "empty": lambda service: b"",
}


# LOST, CONFIG: routers ended, or stopped following the store, at one odd entry.
@pytest.mark.parametrize("name", ODD_VALUES)
def test_odd_entry_of_a_server_harms_nothing_else(fleet, name):
    for service in SERVICES:
        fleet.store.put(f"servers/odd-{service}", ODD_VALUES[name](service))
    eventlet.sleep(0.1)
    for number in range(12):
        path = "/read/1" if number % 2 else "/stream/1"
        method = "GET" if number % 2 else "POST"
        assert fleet.ask(ROUTER, method, path, f"id-{number}")[0] == 200
    fleet.put_manifest(routes=[])
    with eventlet.Timeout(CHANGE_S):
        while fleet.ask(ROUTER, "GET", "/read/1", "id-last")[0] != 404:
            eventlet.sleep(0.02)
    assert fleet.routers[ROUTER].poll() is None
    assert not [line for line in fleet.read_log(ROUTER) if line["event"] == "failure"]


def test_server_behind_an_odd_key_is_ignored(fleet):
    fleet.store.put("servers/a\r\nX: y", odd_record("plain"))
    eventlet.sleep(0.1)
    for number in range(6):
        assert fleet.ask(ROUTER, "GET", "/read/1", f"id-{number}")[0] == 200
