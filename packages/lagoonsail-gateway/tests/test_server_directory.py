"""Which backend servers get new requests: draining, store outages and restarts."""

from __future__ import annotations

import pytest

from lagoonsail_gateway.server_directory import (
    DRAINING,
    REGISTRATION_GRACE_MS,
    ServerDirectory,
)

MAX_CHANGE_DELAY_MS = 2000.0
"""Time within which a removal must be in force."""


@pytest.fixture
def directory(manual_clock):
    return ServerDirectory(manual_clock.clock(), MAX_CHANGE_DELAY_MS)


def usable_ids(directory):
    return {server.record.server_id for server in directory.usable_servers("engine")}


def test_draining_server_gets_no_new_work(directory, make_record):
    directory.put(make_record())
    chosen = directory.usable_servers("engine")[0]
    directory.put(make_record(state=DRAINING))
    assert usable_ids(directory) == set()
    assert not directory.is_usable(chosen)


def test_removed_server_is_gone_at_once(directory, make_record):
    directory.put(make_record())
    directory.remove("s1")
    assert usable_ids(directory) == set()


def test_record_that_lapsed_in_an_outage_is_kept_until_servers_could_return(
    directory, make_record, manual_clock
):
    directory.put(make_record())
    directory.record_store_outage()
    directory.remove("s1")
    assert usable_ids(directory) == {"s1"}
    manual_clock.ms += REGISTRATION_GRACE_MS + 1.0
    directory.expire()
    assert usable_ids(directory) == set()


def test_record_that_comes_back_after_an_outage_stays(
    directory, make_record, manual_clock
):
    directory.put(make_record())
    directory.record_store_outage()
    directory.remove("s1")
    directory.put(make_record())
    manual_clock.ms += REGISTRATION_GRACE_MS + 1.0
    directory.expire()
    assert usable_ids(directory) == {"s1"}


def test_restart_under_the_same_id_is_another_server(directory, make_record):
    kinds = []
    directory.subscribe(lambda kind, server: kinds.append(kind))
    directory.put(make_record())
    directory.put(make_record(started_at_ms=2))
    assert kinds == ["joined", "restarted"]


def test_evacuated_domain_gets_no_new_work_until_it_is_taken_back(
    directory, make_record
):
    directory.put(make_record())
    directory.put(make_record("s2", failure_domain="south"))
    directory.evacuate({"north"})
    assert usable_ids(directory) == {"s2"}
    directory.evacuate(set())
    assert usable_ids(directory) == {"s1", "s2"}


def test_server_is_cold_as_long_as_it_says(directory, make_record, manual_clock):
    directory.put(make_record(cold_left_ms=500.0))
    server = directory.usable_servers("engine")[0]
    assert directory.is_cold(server)
    manual_clock.ms += 501.0
    assert not directory.is_cold(server)


# DRAIN: a server that left soon after an outage was kept as if its record had expired.
def test_server_that_leaves_soon_after_an_outage_is_gone_at_once(
    directory, make_record
):
    for name in ("s1", "s2", "s3", "s4"):
        directory.put(make_record(name))
    directory.record_store_outage()
    directory.remove("s1")
    directory.settle_removals()
    assert usable_ids(directory) == {"s2", "s3", "s4"}


def test_records_that_expire_together_in_an_outage_are_kept(
    directory, make_record, manual_clock
):
    for name in ("s1", "s2", "s3"):
        directory.put(make_record(name))
    directory.put(make_record("p1", service="plain"))
    directory.record_store_outage()
    directory.remove("s1")
    directory.remove("s2")
    directory.settle_removals()
    assert usable_ids(directory) == {"s1", "s2", "s3"}
    directory.put(make_record("s1"))
    manual_clock.ms += REGISTRATION_GRACE_MS + 1.0
    directory.expire()
    assert usable_ids(directory) == {"s1", "s3"}


# DRAIN: however often the store fails, a removal is in force within its time.
def test_removed_server_is_not_kept_longer_than_a_removal_may_take(
    directory, make_record, manual_clock
):
    directory.put(make_record())
    directory.record_store_outage()
    directory.remove("s1")
    directory.settle_removals()
    assert usable_ids(directory) == {"s1"}
    manual_clock.ms += MAX_CHANGE_DELAY_MS
    directory.record_store_outage()
    directory.expire()
    assert usable_ids(directory) == set()


def test_kept_server_that_registers_again_is_not_dropped_when_settled(
    directory, make_record
):
    kinds = []
    directory.put(make_record())
    directory.put(make_record("s2"))
    directory.subscribe(lambda kind, server: kinds.append(kind))
    directory.record_store_outage()
    directory.remove("s1")
    directory.put(make_record("s1"))
    directory.settle_removals()
    assert usable_ids(directory) == {"s1", "s2"}
    assert "left" not in kinds


# DRAIN: a report that the store carried out late made a leaving server ready again.
def test_late_report_does_not_make_a_draining_server_ready(directory, make_record):
    kinds = []
    directory.put(make_record())
    directory.put(make_record(state=DRAINING))
    directory.subscribe(lambda kind, server: kinds.append(kind))
    directory.put(make_record())
    assert usable_ids(directory) == set()
    assert kinds == ["outdated"]


def test_late_report_does_not_bring_back_a_server_that_drained_and_left(
    directory, make_record
):
    """Guards against requests to a server whose last report arrives after its end."""
    directory.put(make_record(state=DRAINING))
    directory.remove("s1")
    directory.put(make_record())
    assert usable_ids(directory) == set()
    assert directory.count() == 0


def test_server_whose_record_was_lost_while_it_was_ready_comes_back(
    directory, make_record
):
    """Guards against shutting out a server that was only cut off from the store."""
    directory.put(make_record())
    directory.remove("s1")
    directory.put(make_record())
    assert usable_ids(directory) == {"s1"}


def test_restarted_server_is_usable_after_it_drained(directory, make_record):
    directory.put(make_record(state=DRAINING))
    directory.put(make_record(started_at_ms=2))
    assert usable_ids(directory) == {"s1"}


# FAILBACK: a late report of the start before replaced that of a starting, cold server.
@pytest.mark.parametrize("has_left", [False, True])
def test_late_report_of_an_earlier_start_is_ignored(directory, make_record, has_left):
    directory.put(make_record(started_at_ms=1))
    directory.put(make_record(started_at_ms=2, cold_left_ms=3000.0))
    if has_left:
        directory.remove("s1")
    directory.put(make_record(started_at_ms=1))
    assert usable_ids(directory) == (set() if has_left else {"s1"})
    server = directory.find("s1")
    assert has_left or directory.is_cold(server)
    assert has_left or server.record.started_at_ms == 2


# FAILBACK: a late report from before a server became cold ended its cold time.
def test_late_report_does_not_end_the_cold_time(directory, make_record, manual_clock):
    directory.put(make_record())
    directory.put(make_record(cold_left_ms=3000.0))
    manual_clock.ms += 1000.0
    directory.put(make_record())
    assert directory.is_cold(directory.find("s1"))
    manual_clock.ms += 2001.0
    assert not directory.is_cold(directory.find("s1"))
