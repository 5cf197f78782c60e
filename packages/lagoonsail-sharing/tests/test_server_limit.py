from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonsail_core.invariants import InvariantError
from lagoonsail_sharing.server_limit import (
    WARM_REPORT_TIMEOUT_MS,
    LoadReport,
    ServerLimit,
)


class Engine:
    """A server that counts overloads: more than one running request while cold."""

    def __init__(self, slots=8, warm_after=8, cold_factor=4.0):
        self.slots = slots
        self.warm_after = warm_after
        self.cold_factor = cold_factor
        self.incarnation = 1
        self.done = 0
        self.overloads = 0
        self.running = {}

    def turn_cold(self, restart):
        self.done = 0
        self.incarnation += restart

    def start(self, slot):
        cold = self.done < self.warm_after
        factor = self.cold_factor if cold else 1.0
        self.running[slot] = (self.incarnation, factor)
        if cold and len(self.running) > 1:
            self.overloads += 1

    def end(self, slot, cost):
        incarnation, factor = self.running.pop(slot)
        if incarnation != self.incarnation:
            return "broken", "", 0.0, 0.0
        self.done += 1
        first_ms = 20.0 * factor
        return "whole", f"i{incarnation}", first_ms, first_ms + 5.0 * factor * cost


def work(server, engine, random, answers, now_ms=0.0):
    """Keep the server at its limit and check the limit at every start."""
    slot = len(engine.running) + 1000 * int(now_ms)
    for _ in range(answers):
        while server.has_free:
            slot += 1
            server.start(slot, now_ms)
            engine.start(slot)
            assert server.running <= max(server.limit, len(engine.running))
        now_ms += 1.0
        ended = random.choice(list(engine.running))
        cost = random.choice([8.0, 20.0, 90.0])
        outcome, incarnation, first_ms, duration_ms = engine.end(ended, cost)
        server.finish(ended, outcome, incarnation, first_ms, duration_ms, cost, now_ms)
    return now_ms


def make_warm_server(slots=8, cold_slots=1):
    server = ServerLimit(slots, cold_slots, now_ms=0.0)
    engine = Engine(slots)
    now_ms = work(server, engine, Random(1), 150)
    assert server.is_warm
    return server, engine, now_ms


@given(
    slots=st.integers(1, 16),
    warm_after=st.integers(0, 9),
    seed=st.integers(0, 999),
)
@settings(derandomize=True, deadline=None)
def test_cold_server_is_never_overloaded_and_becomes_warm(slots, warm_after, seed):
    server = ServerLimit(slots, 1, now_ms=0.0)
    engine = Engine(slots, warm_after)
    work(server, engine, Random(seed), 300)
    assert engine.overloads == 0
    assert server.is_warm
    assert server.limit == slots


events = st.lists(
    st.tuples(
        st.sampled_from(
            ["start", "whole", "broken", "refused", "report", "slots", "slow", "lost"]
        ),
        st.integers(0, 8),
        st.booleans(),
    ),
    max_size=300,
)


@given(events=events)
@settings(derandomize=True, deadline=None, max_examples=300)
def test_limit_is_kept_and_grows_only_by_whole_answers(events):
    server = ServerLimit(8, 2, now_ms=0.0)
    server.expect(20.0, 5.0)
    running = []
    for now_ms, (kind, number, flag) in enumerate(events):
        before = server.limit
        if kind == "start":
            if server.has_free:
                server.start(now_ms, float(now_ms))
                running.append(now_ms)
                assert server.running <= server.limit
            else:
                with pytest.raises(InvariantError, match="server_limit"):
                    server.start(now_ms, float(now_ms))
        elif kind == "report":
            report = LoadReport(f"i{flag}", number, flag, now_ms - 10.0 * number)
            server.on_report(report, float(now_ms))
        elif kind == "slots":
            server.set_slots(number + 1, 2)
            server.set_slots(8, 2)
        elif kind == "lost":
            server.on_refused(float(now_ms))
        elif running:
            slot = running.pop(number % len(running))
            outcome = "whole" if kind == "slow" else kind
            duration = 900.0 if kind == "slow" else 70.0
            server.finish(slot, outcome, "i1", 20.0, duration, 10.0, float(now_ms))
            if kind == "whole":
                before += 1
        assert server.cold_slots <= server.limit <= min(8, before)
        assert server.running == len(running)


@pytest.mark.parametrize("cold_slots", [1, 2])
def test_each_sign_of_a_cold_start_causes_a_setback(cold_slots):
    def refused(server, now_ms):
        server.on_refused(now_ms)

    def finish(outcome, incarnation, first_ms=20.0, duration_ms=70.0, times=1):
        def trigger(server, now_ms):
            while server.running:
                slot = next(iter(server._running))
                server.finish(slot, "cancelled", "", 0.0, 0.0, 0.0, now_ms)
            for number in range(times):
                server.start(-number, now_ms)
                server.finish(
                    -number, outcome, incarnation, first_ms, duration_ms, 10.0, now_ms
                )

        return trigger

    def report(incarnation, running, is_warm):
        def trigger(server, now_ms):
            server.on_report(LoadReport(incarnation, running, is_warm, now_ms), now_ms)

        return trigger

    signs = {
        "connection_refused": refused,
        "loading": lambda server, now_ms: server.on_loading(now_ms),
        "incarnation": finish("whole", "i2"),
        "broken": finish("broken", ""),
        "refused": finish("refused", "i1"),
        "latency_step": finish("whole", "i1", 80.0, 280.0, times=2),
        "reported_incarnation": report("i2", 0, True),
        "reported_cold": report("i1", 0, False),
        "reported_load": report("i1", 14, True),
    }
    for reason, trigger in signs.items():
        server, _, now_ms = make_warm_server(cold_slots=cold_slots)
        trigger(server, now_ms + 1.0)
        assert (server.limit, server.is_warm) == (cold_slots, False), reason
        assert server.last_setback == reason
    # No setback: one slow answer, a broken answer with the known incarnation.
    for trigger in (
        finish("whole", "i1", 80.0, 280.0),
        finish("broken", "i1"),
        finish("cancelled", ""),
        report("i1", 8, True),
        report("", -1, None),
    ):
        server, _, now_ms = make_warm_server(cold_slots=cold_slots)
        trigger(server, now_ms + 1.0)
        assert server.is_warm


@pytest.mark.parametrize("reported", ["i2", "i0"])
def test_limit_grows_again_whichever_incarnation_is_newer(reported):
    server, engine, now_ms = make_warm_server()
    engine.turn_cold(restart=reported == "i2")
    server.on_report(LoadReport(reported, 0, None, now_ms), now_ms)
    assert not server.is_warm
    now_ms = work(server, engine, Random(7), 200, now_ms + 1.0)
    assert server.is_warm
    assert server.incarnation == f"i{engine.incarnation}"
    for late in ("i1", reported):
        server.on_report(LoadReport(late, 0, True, now_ms), now_ms)
    assert server.is_warm


@pytest.mark.parametrize("reported", ["i2", "i0"])
def test_warm_report_of_an_unseen_incarnation_does_not_raise_the_limit(reported):
    server, engine, now_ms = make_warm_server()
    engine.turn_cold(restart=reported == "i2")
    server.on_report(LoadReport(reported, 0, True, now_ms), now_ms)
    now_ms = work(server, engine, Random(7), 200, now_ms + 1.0)
    assert server.limit == 1
    now_ms = work(server, engine, Random(8), 200, now_ms + WARM_REPORT_TIMEOUT_MS)
    assert server.is_warm
    assert server.incarnation == f"i{engine.incarnation}"
    server.on_report(LoadReport(reported, 0, True, now_ms), now_ms)
    assert server.is_warm


def test_late_answer_does_not_decide_which_incarnation_is_newer():
    server, engine, now_ms = make_warm_server()
    late = next(iter(engine.running))
    server.on_report(LoadReport("i2", 0, None, now_ms), now_ms)
    server.finish(late, "whole", "i1", 20.0, 70.0, 10.0, now_ms)
    while not server.has_free:
        engine.running.pop(late)
        late = next(iter(engine.running))
        server.finish(late, "broken", "", 0.0, 0.0, 0.0, now_ms)
    server.start("new", now_ms)
    server.finish("new", "whole", "i2", 20.0, 70.0, 10.0, now_ms)
    assert (server.incarnation, server.limit) == ("i2", 2)


def test_limit_of_a_server_that_reports_warmth_grows_only_after_a_warm_report():
    server = ServerLimit(8, 1, now_ms=0.0)
    finished = 0

    def answer(now_ms, count=40):
        nonlocal finished
        for _ in range(count):
            finished += 1
            server.start(finished, now_ms)
            server.finish(finished, "whole", "i1", 20.0, 70.0, 10.0, now_ms)

    server.on_report(LoadReport("i1", 0, False, 0.0), 1000.0)
    answer(1100.0)
    assert server.limit == 1
    server.on_report(LoadReport("i1", 0, True, 1200.0), 3200.0)
    answer(3300.0)
    assert server.limit > 1
    server.on_refused(4000.0)
    # A report made before the refusal does not count.
    server.on_report(LoadReport("i1", 0, True, 3900.0), 5900.0)
    answer(6000.0)
    assert server.limit == 1
    # When reports stop, the speed of answers alone raises the limit.
    answer(9100.0)
    assert server.limit > 1


def test_unstreamed_answers_are_compared_only_at_similar_costs():
    server = ServerLimit(8, 1, now_ms=0.0)
    random = Random(2)
    for number in range(8):
        cost = random.choice([1.0, 3.0, 40.0, 90.0])
        duration_ms = 80.0 + 20.0 * cost
        server.start(number, 0.0)
        server.finish(number, "whole", "i", duration_ms, duration_ms, cost, 1.0)
        assert server.limit == 1
    for number in range(8, 300):
        cost = random.choice([1.0, 3.0, 40.0, 90.0])
        duration_ms = 20.0 + 5.0 * cost
        server.start(number, 0.0)
        while server.has_free:
            server.start(f"{number}/{server.running}", 0.0)
        server.finish(number, "whole", "i", duration_ms, duration_ms, cost, 1.0)
    assert server.is_warm
    assert not server.setbacks


def test_unannounced_restart_causes_a_setback_at_the_first_answers():
    for restart in (True, False):
        server, engine, now_ms = make_warm_server()
        engine.turn_cold(restart)
        work(server, engine, Random(3), 20, now_ms)
        assert sum(server.setbacks.values()) >= 1
        # It was full when it turned cold; there are no overloads after the drain.
        work(server, engine, Random(3), 20, now_ms + 100)
        before = engine.overloads
        work(server, engine, Random(4), 300, now_ms + 200)
        assert engine.overloads == before
        assert server.is_warm


def test_outdated_reports_and_answers_do_not_change_the_limit():
    server, engine, now_ms = make_warm_server()
    old = list(engine.running)
    server.on_report(LoadReport("i1", 8, False, measured_ms=1.0), now_ms)
    assert server.is_warm
    server.on_refused(now_ms)
    server.on_report(LoadReport("i1", 0, True, now_ms - 1.0), now_ms)
    assert server.limit == 1
    # Answers to requests started before the setback do not raise the limit.
    for slot in old:
        server.finish(slot, "whole", "i1", 20.0, 70.0, 10.0, now_ms)
    assert server.limit == 1
    server.start("new", now_ms)
    server.finish("new", "whole", "i2", 80.0, 280.0, 10.0, now_ms)
    server.start("late", now_ms)
    server.finish("late", "whole", "i1", 20.0, 70.0, 10.0, now_ms)
    assert (server.limit, server.incarnation) == (1, "i2")
    server.on_report(LoadReport("i1", 0, True, now_ms + 5.0), now_ms + 5.0)
    assert (server.limit, server.incarnation) == (1, "i2")


def test_requests_taken_over_do_not_raise_the_limit_of_a_server_reported_cold():
    server = ServerLimit(slots=8, cold_slots=1, now_ms=0.0)
    for number in range(4):
        server.take_over(number, now_ms=0.0)
    # It turned cold while they ran; another request would overload it.
    server.on_report(LoadReport("i1", 4, False, 10.0), now_ms=100.0)
    for number in range(3):
        server.finish(number, "whole", "i1", 20.0, 500.0, 10.0, now_ms=200.0)
    assert server.limit == 1
    assert not server.has_free


def test_requests_taken_over_raise_the_limit_to_their_number():
    server = ServerLimit(8, 1, now_ms=0.0)
    for slot in range(6):
        server.take_over(slot, now_ms=0.0)
    assert not server.has_free
    server.finish(0, "whole", "i1", 20.0, 70.0, 10.0, now_ms=1.0)
    assert server.limit == 6


def test_limit_grows_on_a_server_that_stays_slower():
    server, engine, now_ms = make_warm_server()
    engine.turn_cold(restart=True)
    engine.warm_after = 10**9
    work(server, engine, Random(5), 60, now_ms)
    assert server.limit > 1


def test_limit_of_a_plain_service_depends_on_the_duration():
    server = ServerLimit(4, 1, now_ms=0.0, cost_is_time=True)
    for number in range(30):
        server.start(number, now_ms=0.0)
        duration_ms = 40.0 if number < 4 else 10.0
        server.finish(number, "whole", "", duration_ms, duration_ms, duration_ms, 1.0)
        assert server.limit == (1 if number < 4 else 2)


def test_late_first_byte_causes_no_setback_while_the_stream_keeps_its_pace():
    """The time to the first byte grows with the uncached part of the prompt."""
    server, _, now_ms = make_warm_server()
    while server.running:
        server.finish(next(iter(server._running)), "cancelled", "", 0.0, 0.0, 0.0, 0.0)
    for number in range(200):
        first_ms = 1500.0 if number % 20 >= 17 else 20.0
        server.start(number, now_ms)
        server.finish(number, "whole", "i1", first_ms, first_ms + 500.0, 100.0, 0.0)
    assert server.is_warm


@pytest.mark.parametrize("seed", range(5))
def test_randomly_slow_answers_stop_causing_setbacks(seed):
    """One answer in ten takes 40 times as long; the first ones establish the rate."""
    server = ServerLimit(4, 1, now_ms=0.0, cost_is_time=True)
    random = Random(seed)
    for number in range(5000):
        while server.has_free:
            server.start(f"{number}/{server.running}", 0.0)
        duration_ms = 400.0 if random.random() < 0.1 else 10.0
        slot = next(iter(server._running))
        server.finish(slot, "whole", "", duration_ms, duration_ms, 1.0, 0.0)
        if number == 1000:
            early_setbacks = server.setbacks["latency_step"]
    assert server.setbacks["latency_step"] <= early_setbacks + 1
    late_setbacks = server.setbacks["latency_step"]
    for number in range(20):
        slot = next(iter(server._running))
        server.finish(slot, "whole", "", 4000.0, 4000.0, 1.0, 0.0)
        while server.has_free:
            server.start(f"late {number}/{server.running}", 0.0)
    # A real latency step is still detected.
    assert server.setbacks["latency_step"] > late_setbacks
