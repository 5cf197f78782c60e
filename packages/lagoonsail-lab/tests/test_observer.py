from __future__ import annotations

import pytest

from lagoonsail_core.unavailable import Unavailable
from lagoonsail_lab import observer as observer_module
from lagoonsail_lab.checker import BROKEN_INVARIANT, REVERTED
from lagoonsail_lab.observer import Observer

KEY = "documents/s/v"


class FakeFleet:
    def __init__(self):
        self.routers = {}
        self.revision = 5
        self.incarnation = 1
        self.violations = 0

    def status(self, name):
        configuration = {KEY: self.revision} if self.revision else {}
        return {
            "incarnation": self.incarnation,
            "configuration": configuration,
            "invariant_violations": self.violations,
        }

    def fetch(self, *_arguments):
        return Unavailable("no timeline")


@pytest.fixture
def fleet(monkeypatch):
    monkeypatch.setattr(observer_module, "START_GRACE_MS", 0.0)
    return FakeFleet()


@pytest.fixture
def observer(fleet):
    observer = Observer(fleet)
    # The tests poll this router themselves.
    fleet.routers["r1"] = type("Router", (), {"admin": ""})
    return observer


def poll_fault_kinds(observer):
    observer.poll("r1")
    return [fault.kind for fault in observer.faults]


def test_growing_revisions_are_accepted(observer, fleet):
    assert poll_fault_kinds(observer) == []
    fleet.revision = 7
    assert poll_fault_kinds(observer) == []


@pytest.mark.parametrize("revision", [4, 0])
def test_falling_or_vanished_revision_is_found(observer, fleet, revision):
    assert poll_fault_kinds(observer) == []
    fleet.revision = revision
    assert poll_fault_kinds(observer) == [REVERTED]


def test_restarted_router_may_lag_only_within_grace_period(
    observer, fleet, monkeypatch
):
    assert poll_fault_kinds(observer) == []
    fleet.revision, fleet.incarnation = 4, 2
    monkeypatch.setattr(observer_module, "START_GRACE_MS", 60_000.0)
    assert poll_fault_kinds(observer) == []
    monkeypatch.setattr(observer_module, "START_GRACE_MS", 0.0)
    assert poll_fault_kinds(observer) == [REVERTED]


def test_violated_invariant_is_found(observer, fleet):
    fleet.violations = 1
    assert poll_fault_kinds(observer) == [BROKEN_INVARIANT]
