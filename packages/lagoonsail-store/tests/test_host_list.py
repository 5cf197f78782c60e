from __future__ import annotations

import pytest

from lagoonsail_core.unavailable import Unavailable
from lagoonsail_store.host_list import Host, parse_hosts

LABELS = {"name": "banos-1", "state": "leaving", "failure_domain": "banos"}
GROUP = {"targets": ["10.0.0.1:80", "10.0.0.1:81"], "labels": LABELS}


@pytest.fixture
def hosts(start):
    return start("host_list")


def test_list_shows_every_target_with_its_labels(hosts, read_hosts):
    host_list = read_hosts(hosts.address)
    assert isinstance(host_list.hosts, Unavailable)
    assert host_list.age_ms() == float("inf")
    hosts.control(hosts=[GROUP])
    listed = [Host("banos-1", target, "leaving", LABELS) for target in GROUP["targets"]]
    assert host_list.read() == listed
    assert host_list.hosts == listed
    assert 0.0 <= host_list.age_ms() < 10_000.0


def test_changes_show_after_the_lag(hosts, read_hosts, wait_until):
    host_list = read_hosts(hosts.address)
    hosts.control(lag_ms=700)
    hosts.control(hosts=[GROUP])
    assert host_list.read() == []
    wait_until(lambda: len(host_list.read()) == 2)
    hosts.control(hosts=[])
    assert len(host_list.read()) == 2
    wait_until(lambda: host_list.read() == [])


def test_last_list_is_kept_while_there_is_no_answer(hosts, start, read_hosts):
    relay = start("relay", "--target", hosts.address)
    host_list = read_hosts(relay.address, timeout_ms=300.0)
    hosts.control(hosts=[GROUP])
    host_list.read()
    read_at_ms = host_list.read_at_ms
    for orders in ({"mode": "freeze", "drop_new": True}, {"mode": "cut"}):
        relay.control(**orders)
        assert isinstance(host_list.read(), Unavailable)
    assert len(host_list.hosts) == 2
    assert host_list.read_at_ms == read_at_ms
    assert host_list.counters["read", "unavailable"] == 2


@pytest.mark.parametrize(
    ("body", "problem"),
    [
        (b"{}", "not a list"),
        (b"[", "Expecting"),
        (b"[1]", "not an object"),
        (b'[{"targets":"a"}]', "list of targets"),
        (b'[{"targets":["a:1"]}]', "without a name"),
        (
            b'[{"targets":[1],"labels":{"name":"a"}}]',
            "targets of 'a' are not all strings",
        ),
        (b'[{"targets":[],"labels":{"name":"a","state":"up"}}]', "state 'up'"),
        (b'[{"targets":[],"labels":[]}]', "labels"),
    ],
)
def test_malformed_list_is_refused_whole(body, problem):
    with pytest.raises(ValueError, match=problem):
        parse_hosts(body)
