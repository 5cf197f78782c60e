from __future__ import annotations

import time

import pytest

from lagoonsail_core.green import eventlet
from lagoonsail_store.store_client import Entry, WatchBatch, Write


@pytest.fixture
def follow():
    """Run a watch in a green thread and collect its batches."""
    threads = []

    def start(client, *arguments, **options):
        batches = []
        thread = eventlet.spawn(
            lambda: batches.extend(client.watch(*arguments, **options))
        )
        # list.extend appends each batch as the watch yields it.
        threads.append(thread)
        return thread, batches

    yield start
    for thread in threads:
        thread.kill()


def test_watch_delivers_what_happened_since_and_what_happens(
    client, follow, wait_until
):
    client.put_if("/w/a", "1", 0)
    client.put_if("/w/a", "2", 2)
    client.put_if("/x", "1", 0)
    _, batches = follow(client, "/w/", 3)
    wait_until(lambda: len(batches) == 1)
    client.put_if("/y", "1", 0)
    client.put_all_if([Write("/w/b", "1", 0), Write("/w/c", "1", 0)])
    client.delete("/w/a")
    wait_until(lambda: len(batches) == 3)
    same_revision = [Entry("/w/b", "1", 6, 0), Entry("/w/c", "1", 6, 0)]
    assert batches == [
        WatchBatch(3, [Entry("/w/a", "2", 3, 0)]),
        WatchBatch(6, same_revision),
        WatchBatch(7, [Entry("/w/a", "", 7, 0, deleted=True)]),
    ]


def test_watch_ends_when_the_service_goes_down(key_value, client, follow):
    thread, batches = follow(client, "/w/", 1)
    client.put_if("/w/a", "1", 0)
    eventlet.sleep(0.2)
    key_value.control(mode="down")
    with eventlet.Timeout(5.0):
        thread.wait()
    assert [batch.revision for batch in batches] == [2]


def test_watch_ends_after_silence_but_not_after_mere_quiet(
    key_value, client, follow, wait_until
):
    thread, batches = follow(client, "/w/", 1, idle_ms=1500.0)
    # The service sends progress notifications more often than the idle timeout.
    eventlet.sleep(2.5)
    assert not thread.dead
    client.put_if("/w/a", "1", 0)
    wait_until(lambda: len(batches) == 1)
    key_value.control(mode="silent")
    started = time.monotonic()
    with eventlet.Timeout(6.0):
        thread.wait()
    assert time.monotonic() - started > 0.5


def test_watch_of_a_silent_service_is_bounded(key_value, connect):
    key_value.control(mode="silent")
    started = time.monotonic()
    assert list(connect(key_value.address, timeout_ms=300.0).watch("/", 1)) == []
    assert time.monotonic() - started < 1.3


def test_watch_that_is_left_closes_its_connection(key_value, client, wait_until):
    client.put_if("/w/a", "1", 0)
    watch = client.watch("/w/", 1)
    assert next(watch).revision == 2
    assert key_value.record()["watches"] == 1
    watch.close()
    wait_until(lambda: key_value.record()["watches"] == 0)
