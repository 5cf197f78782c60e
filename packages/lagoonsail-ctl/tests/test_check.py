from __future__ import annotations

import pytest

KEY = "documents/cordero/asistente"
UNUSED = "[failure-domain ambato]\n"


def test_check_compares_with_the_version_in_force_and_changes_nothing(
    run, store, fleet, document, write_document
):
    """Guards against a check that writes, pushes, or fails because of differences."""
    revision = store.put(KEY, document)
    path = write_document(document.replace("share = 3", "share = 4"))
    code, output, _ = run("check", path)
    (checked,) = output["documents"]
    assert (code, checked["revision"], checked["findings"]) == (0, revision, [])
    assert checked["changes"] == ["[account club-norte] share: 3 -> 4"]
    entry = store.get(KEY)
    assert (entry.revision, entry.value) == (revision, document)
    assert [router.pushed for router in fleet] == [[], []]
    code, text, _ = run("check", path, json_output=False)
    assert f"compared with revision {revision}:\n  [account club-norte] share" in text


def test_check_reports_findings(run, document, write_document):
    """Guards against a finding without its remedy or its exit code."""
    path = write_document(document + UNUSED)
    code, output, _ = run("check", path)
    (finding,) = output["documents"][0]["findings"]
    assert (code, output["exit_code"], output["error"]) == (8, 8, "FindingsError")
    assert finding["kind"] == "unused_domain"
    assert finding["section"] == "failure-domain ambato"
    assert "remove the section" in finding["message"]
    code, text, _ = run("check", path, json_output=False)
    assert (code, "[failure-domain ambato] has no server" in text) == (8, True)


def test_check_reports_what_apply_would_refuse(run, store, document, write_document):
    """Guards against a file that passes the check and that apply refuses."""
    revision = store.put(KEY, document.replace("state = in", "state = out"))
    unmarked = write_document(document)
    marked_text = f"# lagoonctl: revision {revision + 1}\n{document}"
    marked = write_document(marked_text, "marked.ini")
    for path, part in ((unmarked, "out of service"), (marked, f"not {revision + 1}")):
        code, output, _ = run("check", path)
        (finding,) = output["documents"][0]["findings"]
        assert (code, finding["kind"]) == (8, "refused")
        assert part in finding["message"]
        assert run("apply", path)[0] == 4


@pytest.mark.parametrize("mode", ["down", "silent"])
def test_check_without_the_service_checks_the_rest(
    run, store, document, write_document, mode
):
    """Guards against a missing comparison that hides findings or looks like none."""
    store.control(mode=mode)
    path = write_document(document + UNUSED)
    code, output, _ = run("check", path, "--timeout-ms", 200)
    (checked,) = output["documents"]
    assert (code, checked["revision"]) == (3, None)
    assert [item["kind"] for item in checked["findings"]] == ["unused_domain"]
    assert output["not_compared"]
    code, text, _ = run("check", path, "--timeout-ms", 200, json_output=False)
    assert (code, "not compared with the version in force: " in text) == (3, True)


def test_check_without_an_address(run, monkeypatch, document, write_document):
    """Guards against code 0 for a comparison that was expected and not made."""
    monkeypatch.delenv("LAGOONCTL_SETTINGS")
    path = write_document(document)
    code, output, _ = run("check", path)
    assert (code, "no address" in output["not_compared"]) == (3, True)
    code, output, _ = run("check", path, "--offline")
    assert (code, output["documents"][0]["revision"]) == (0, None)
    assert output["not_compared"] == "--offline"
    code, text, _ = run("check", path, "--offline", json_output=False)
    assert "not compared with the version in force: --offline" in text


def test_mistakes_take_precedence_and_hide_nothing(
    run, store, document, write_document
):
    """Guards against mistakes of one file that hide findings of another."""
    store.control(mode="down")
    good = write_document(document + UNUSED)
    other = document.replace("name = asistente", "name = registro")
    bad_text = other.replace("failure_domain = norte", "failure_domain = nada")
    bad_text = bad_text.replace(f"key_sha256 = {'ab' * 32}\n", "")
    bad = write_document(bad_text, "bad.ini")
    code, output, _ = run("check", good, bad, "--timeout-ms", 200)
    found = {(item["section"], item["key"]) for item in output["problems"]}
    assert code == 2
    assert found == {
        ("server asistente-1", "failure_domain"),
        ("account club-norte", "key_sha256"),
    }
    assert output["documents"][0]["findings"][0]["kind"] == "unused_domain"
    assert output["not_compared"]
