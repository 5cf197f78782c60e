"""The event loop: short rounds, and urgent tasks that do not wait."""

from __future__ import annotations

import functools
import resource
import socket
import threading
import time

from lagoonsail_core.fair_hub import (
    MAX_REPORTED_SOCKETS,
    MAX_SOCKETS_PER_ROUND,
    mark_urgent,
    use_fair_hub,
)
from lagoonsail_core.green import eventlet, trampoline

CROWD = 400
"""Connections that always have something to read."""
WORK_S = 0.001
"""Time that a task of the crowd computes for each read."""
DELAY_S = 0.1
"""Longest delay of an urgent task: some rounds of work."""


def in_fair_hub(test):
    """Run a test in a thread of its own, since each thread has its own event loop."""

    @functools.wraps(test)
    def run():
        results = []

        def run_in_thread():
            use_fair_hub()
            try:
                test()
            except BaseException as error:
                results.append(error)
            else:
                results.append(None)

        thread = threading.Thread(target=run_in_thread)
        thread.start()
        thread.join()
        if results[0] is not None:
            raise results[0]

    return run


def allow_descriptors(count):
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(count, hard)), hard))


class Crowd:
    """Tasks that are ready all the time, and the number of turns of each."""

    __slots__ = ("_is_over", "_pairs", "_tasks", "_work_s", "turns")

    def __init__(self, size=CROWD, work_s=WORK_S):
        self.turns = [0] * size
        self._is_over = False
        self._work_s = work_s
        self._pairs = [socket.socketpair() for _ in range(size)]
        self._tasks = [eventlet.spawn(self._run, number) for number in range(size)]
        for writer, _ in self._pairs:
            # Never read, so the other end stays ready.
            writer.send(b"x")

    def _run(self, number):
        while not self._is_over:
            trampoline(self._pairs[number][1], read=True)
            self.turns[number] += 1
            end_s = time.monotonic() + self._work_s
            while time.monotonic() < end_s:
                continue

    def end(self):
        self._is_over = True
        for task in self._tasks:
            task.wait()
        for pair in self._pairs:
            for sock in pair:
                sock.close()


def wait_for_times():
    """Start an urgent task that reads times; return their sender and the delays."""
    sender, reader = socket.socketpair()
    delays_s = []

    def read():
        mark_urgent()
        while True:
            trampoline(reader, read=True)
            data = reader.recv(64)
            if not data:
                return
            delays_s.append(time.monotonic() - float(data))

    eventlet.spawn(read)
    return sender, delays_s


# CONFIG: the view of the store was read after all callers that were ready.
@in_fair_hub
def test_urgent_task_does_not_wait_for_a_crowd():
    crowd = Crowd()
    sender, delays_s = wait_for_times()
    for _ in range(5):
        eventlet.sleep(0.05)
        sender.send(repr(time.monotonic()).encode())
        eventlet.sleep(DELAY_S)
    crowd.end()
    assert len(delays_s) == 5
    assert max(delays_s) < DELAY_S
    assert sum(crowd.turns) > 5 * MAX_SOCKETS_PER_ROUND


@in_fair_hub
def test_every_task_of_a_crowd_has_its_turn():
    crowd = Crowd()
    eventlet.sleep(4 * CROWD * WORK_S)
    crowd.end()
    assert min(crowd.turns) > 0


@in_fair_hub
def test_timers_do_not_wait_for_a_crowd():
    crowd = Crowd()
    start_s = time.monotonic()
    eventlet.sleep(0.05)
    late_s = time.monotonic() - start_s - 0.05
    crowd.end()
    assert late_s < DELAY_S


# CONFIG: an epoll reports 1,023 sockets unless asked for more.
@in_fair_hub
def test_urgent_task_does_not_wait_if_more_are_ready_than_are_reported():
    allow_descriptors(4 * MAX_REPORTED_SOCKETS)
    crowd = Crowd(MAX_REPORTED_SOCKETS + 100, work_s=0.0)
    # Registered last, and so reported last.
    sender, delays_s = wait_for_times()
    eventlet.sleep(0.05)
    sender.send(repr(time.monotonic()).encode())
    eventlet.sleep(DELAY_S)
    crowd.end()
    assert len(delays_s) == 1
    assert delays_s[0] < DELAY_S
