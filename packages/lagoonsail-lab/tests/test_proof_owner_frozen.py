from __future__ import annotations

LEASE_MS = 2000.0
"""Lease duration in the fleet."""
START_WINDOW_MS = 1000.0
"""Time for which a grant is valid."""
FREEZE_MS = 7500.0
"""Long enough for another router to take over and grant."""


def test_owner_frozen_beyond_its_lease_grants_nothing_when_it_resumes(proof):
    with proof.start_fleet(3) as fleet:
        traffic = proof.traffic(fleet, seed=6)
        traffic.loop(lambda: traffic.search(60.0), 8)
        traffic.loop(lambda: traffic.bib(60.0), 4)
        traffic.loop(lambda: traffic.stream(10), 8)
        traffic.wait(2500.0)
        victim = proof.find_owner(fleet)
        epochs_before = {run["epoch"] for run in proof.runs_of(fleet)}
        frozen_ms = proof.clock.wall_ms()
        fleet.freeze_router(victim)
        traffic.wait(1500.0)
        # The server is cold now; the frozen owner does not know that when it resumes.
        fleet.control_backend("cordero/registro-1", restart=True)
        traffic.wait(FREEZE_MS - 1500.0)
        thawed_ms = proof.clock.wall_ms()
        fleet.thaw_router(victim)
        traffic.wait(2500.0)
        traffic.finish()
        assert traffic.faults() == []
        runs = proof.runs_of(fleet)
        runs_of_next_epochs = [run for run in runs if run["epoch"] > max(epochs_before)]
        assert (
            runs_of_next_epochs
            and runs_of_next_epochs[0]["started_wall_ms"] > frozen_ms
        )
        assert runs_of_next_epochs[0]["started_wall_ms"] < thawed_ms
        assert proof.late_runs(runs, START_WINDOW_MS + 100.0) == []
        runs_after_thaw = [run for run in runs if run["started_wall_ms"] > thawed_ms]
        assert runs_after_thaw
        assert min(run["epoch"] for run in runs_after_thaw) > max(epochs_before)
        for name, record in fleet.records().items():
            if proof.engine in name:
                accepted = [r for r in record["runs"] if r["state"] != "refused"]
                assert proof.late_runs(accepted, 0.0) == []


def test_late_runs_are_found(proof):
    runs = [
        {"epoch": epoch, "started_wall_ms": started_ms}
        for epoch, started_ms in [(1, 0.0), (2, 10.0), (1, 1000.0), (1, 1200.0)]
    ]
    assert proof.late_runs(runs, START_WINDOW_MS + 100.0) == [runs[3]]
    assert proof.late_runs(runs, 0.0) == runs[2:]
