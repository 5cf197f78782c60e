from __future__ import annotations

from lagoonsail_ctl.documents import Documents

KEY = "documents/cordero/asistente"


def test_apply_new_document_pushes_it_and_waits(
    run, store, fleet, document, write_document
):
    path = write_document(document)
    code, output, _ = run("apply", path, "--wait-s", 5)
    assert code == 0
    entry = store.get(KEY)
    assert (entry.value, entry.revision) == (document, output["revision"])
    assert (output["key"], output["pushed"], output["in_force_on"]) == (KEY, 2, 2)
    assert "[service] added" in output["changes"][0]
    for router in fleet:
        expected = {"key": KEY, "revision": entry.revision, "value": document}
        assert router.pushed == [expected]
        assert router.refused == 0
    # Applying it again writes nothing, but pushes the document again.
    code, again, _ = run("apply", path, "--replace-revision", 0)
    assert (code, again["revision"]) == (0, entry.revision)
    assert store.get(KEY).revision == entry.revision


def test_text_output_shows_changes_and_failed_pushes(
    run, store, fleet, document, write_document
):
    fleet[1].stop()
    path = write_document(document.replace("share = 3", "share = 4"))
    store.put(KEY, document)
    code, output, _ = run("apply", path, json_output=False)
    assert code == 0
    assert "[account club-norte] share: 3 -> 4" in output
    assert "handed to 1 routers" in output
    assert "not to r2: no answer" in output


def test_dry_run_writes_nothing(run, store, document, write_document):
    code, output, _ = run("apply", write_document(document), "--dry-run")
    assert (code, output["revision"]) == (0, 0)
    assert not hasattr(store.get(KEY), "revision")


def test_replaced_revision_must_match(run, store, document, write_document):
    first = store.put(KEY, document)
    second = store.put(KEY, document.replace("share = 3", "share = 7"))
    path = write_document(document.replace("slots = 8", "slots = 6"))
    code, output, _ = run("apply", path, "--replace-revision", first)
    assert code == 4
    assert (output["error"], output["revision"]) == ("ConflictError", second)
    assert "[account club-norte] share: 7 -> 3" in output["changes"]
    assert store.get(KEY).revision == second
    code, output, _ = run("apply", path, "--replace-revision", second)
    assert code == 0
    assert store.get(KEY).revision == output["revision"]


def test_get_writes_the_revision_that_an_edit_replaces(
    run, store, document, write_document
):
    revision = store.put(KEY, document)
    code, text, _ = run("get", "cordero/asistente", json_output=False)
    assert (code, text) == (0, f"# lagoonctl: revision {revision}\n{document}")
    path = write_document(text.replace("share = 3", "share = 5"))
    store.put(KEY, document.replace("share = 3", "share = 7"))
    assert run("apply", path)[0] == 4
    path = write_document(run("get", "cordero/asistente", json_output=False)[1])
    path.write_text(path.read_text().replace("share = 7", "share = 5"))
    assert run("apply", path)[0] == 0
    assert store.get(KEY).value == document.replace("share = 3", "share = 5")


def test_conflict_shows_the_concurrent_change(
    run, store, document, write_document, monkeypatch
):
    store.put(KEY, document)
    path = write_document(document.replace("slots = 8", "slots = 6"))
    replace = Documents.replace

    def replace_after_concurrent_change(self, documents):
        store.put(KEY, document.replace("share = 3", "share = 9"))
        return replace(self, documents)

    monkeypatch.setattr(Documents, "replace", replace_after_concurrent_change)
    code, output, _ = run("apply", path)
    assert code == 4
    assert output["changed_meanwhile"] == ["[account club-norte] share: 3 -> 9"]
    assert "share = 9" in store.get(KEY).value


def test_old_file_does_not_bring_a_domain_back_in(run, store, document, write_document):
    path = write_document(document)
    assert run("apply", path)[0] == 0
    assert run("domain-out", "cordero/norte")[0] == 0
    path.write_text(document.replace("share = 3", "share = 5"))
    code, output, _ = run("apply", path)
    assert (code, output["brought_in"]) == (4, ["failure-domain norte"])
    code, output, _ = run("apply", path, "--replace-revision", output["revision"])
    assert code == 0


def test_lost_answer_is_no_conflict(run, store, document, write_document):
    store.control(lose_answers=1.0)
    code, output, _ = run("apply", write_document(document), "--timeout-ms", 1000)
    store.control(lose_answers=0.0)
    # The client may or may not find out the outcome; repeating the command tells it.
    assert code in (0, 3)
    code, output, _ = run("apply", write_document(document))
    assert (code, store.get(KEY).revision) == (0, output["revision"])


def test_store_down(run, store, document, write_document):
    store.control(mode="down")
    code, output, _ = run("apply", write_document(document), "--timeout-ms", 500)
    assert (code, output["exit_code"]) == (3, 3)
    assert output["remedy"]


def test_not_in_force_in_time(run, store, fleet, document, write_document):
    fleet[1].accepts_documents = False
    code, output, _ = run("apply", write_document(document), "--wait-s", 0.3)
    assert code == 5
    assert [item["router"] for item in output["lagging"]] == ["r2"]
    assert f"{KEY} is at revision 0" in output["lagging"][0]["reason"]
    assert output["revision"] == store.get(KEY).revision


def test_check_lists_mistakes_of_all_files(run, document, write_document):
    good = write_document(document)
    bad = write_document(document.replace("slots = 8", "slots = none"), "bad.ini")
    code, output, _ = run("check", good, bad, good.parent / "missing.ini")
    assert code == 2
    found = [(item["section"], item["key"]) for item in output["problems"]]
    assert found == [
        ("server asistente-1", "slots"),
        ("server asistente-2", "slots"),
        ("", ""),
    ]
    code, output, _ = run("check", good)
    assert (code, output["documents"][0]["service"]) == (0, "cordero/asistente")
    assert run("check", good, write_document(document, "copy.ini"))[0] == 2
    assert run("check")[0] == 2
