"""Exit codes of a router that does not start."""

from __future__ import annotations

import subprocess
import sys

import logbook
import pytest

from lagoonsail_core.green import eventlet
from lagoonsail_lab.processes import Process, free_port
from lagoonsail_router.main import LINE_FORMAT, _make_log_processor

SETTINGS = """\
[router]
name = cordero-1
side = cordero
region = sierra-central
failure_domain = banos
[listen]
callers = 127.0.0.1:{callers}
admin = 127.0.0.1:{admin}
peers = 127.0.0.1:{peers}
[store]
endpoints = 127.0.0.1:{store}
timeout_ms = 200
[host-list]
url = http://127.0.0.1:{store}/hosts
"""


@pytest.fixture
def ports():
    return {name: free_port() for name in ("callers", "admin", "peers", "store")}


@pytest.fixture
def run(tmp_path):
    """Runs a router until it exits; returns its exit code and error output."""

    def run_router(text, *options):
        path = tmp_path / "router.ini"
        path.write_text(text)
        arguments = ["--settings", str(path), *options]
        process = Process("router", "lagoonsail_router", arguments, tmp_path)
        process.start()
        try:
            return process.wait(30_000.0), process.errors()
        finally:
            process.kill()

    return run_router


def test_bad_settings_exit_with_2_and_all_mistakes(run, ports):
    text = SETTINGS.format(**ports)
    text = text.replace("side = cordero\n", "").replace(
        "timeout_ms = 200", "timeout_ms = x"
    )
    text = text.replace("admin = 127.0.0.1", "admin = nowhere") + "[none]\na = b\n"
    code, errors = run(text)
    assert code == 2
    for part in ("router.ini", "side", "timeout_ms", "'x'", "admin", "none"):
        assert part in errors
    assert "Traceback" not in errors


def test_missing_settings_exit_with_2(tmp_path, run):
    process = subprocess.run(
        [sys.executable, "-m", "lagoonsail_router", "--settings", str(tmp_path / "no")],
        env={"PYTHONPATH": ":".join(sys.path)},
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert process.returncode == 2
    assert str(tmp_path / "no") in process.stderr
    assert "Traceback" not in process.stderr


def test_check_only_reads_the_settings(run, ports):
    assert run(SETTINGS.format(**ports), "--check") == (0, "")


@pytest.mark.parametrize("name", ["callers", "admin", "peers"])
def test_address_in_use_exits_with_3_and_names_it(run, ports, name):
    listener = eventlet.listen(("127.0.0.1", ports[name]))
    try:
        code, errors = run(SETTINGS.format(**ports))
    finally:
        listener.close()
    assert code == 3
    assert f"127.0.0.1:{ports[name]}" in errors
    assert "of the settings" in errors
    assert "Traceback" not in errors


def test_key_value_service_that_cannot_be_reached_exits_with_4(run, ports):
    code, errors = run(SETTINGS.format(**ports))
    assert code == 4
    assert "neither the key-value service nor another router answered" in errors
    assert "endpoints in [store]" in errors
    assert "Traceback" not in errors


def test_each_line_of_the_log_names_router_incarnation_and_event(capsys):
    handler = logbook.StreamHandler(sys.stderr, format_string=LINE_FORMAT)
    logger = logbook.Logger("lagoonsail.peer")
    with (
        handler.applicationbound(),
        _make_log_processor("cordero-1", 7).applicationbound(),
    ):
        logger.info("lease={}", 9, extra={"event": "lease_granted"})
        logger.error("something else")
    lines = capsys.readouterr().err.splitlines()
    head = "router=cordero-1 incarnation=7 event="
    assert lines[0].endswith(f"INFO: {head}lease_granted lease=9")
    assert lines[1].endswith(f"ERROR: {head}failure something else")
