from __future__ import annotations

import tracemalloc

import pytest

from lagoonsail_config.document import MAX_LISTED_NAMES, CallEntry, parse_document
from lagoonsail_config.document_changes import describe_changes, edit_state
from lagoonsail_config.document_schema import MAX_DOCUMENT_BYTES, DocumentError


def find_problems(text: str) -> dict[tuple[str, str], str]:
    with pytest.raises(DocumentError) as caught:
        parse_document(text, "doc.ini")
    assert all(problem.file == "doc.ini" for problem in caught.value.problems)
    return {(item.section, item.key): str(item) for item in caught.value.problems}


def test_values_and_defaults(document_text):
    document = parse_document(document_text)
    assert document.qualified() == "cordero/asistente"
    assert document.queue_limit == 64
    assert document.queue_timeout_ms == 30_000
    assert document.request_timeout_ms == 120_000
    assert document.max_body_bytes == 1_000_000
    assert document.max_cost == 4096
    assert document.retry_budget_percent == 10
    first = document.servers["asistente-1"]
    assert (first.cold_slots, first.checks_fencing, first.state) == (1, True, "in")
    assert first.region == "sierra-central"
    second = document.servers["asistente-2"]
    assert (second.cold_slots, second.checks_fencing) == (2, False)
    assert document.accounts["club-norte"].share == 3.0
    assert document.calls[0] == CallEntry("POST", "/bibs", False)
    assert document.shards() == [
        "cordero/asistente@amazonia",
        "cordero/asistente@sierra-central",
    ]


def test_server_is_usable_if_it_and_its_domain_are_in(document_text):
    document = parse_document(document_text)
    assert document.is_usable(document.servers["asistente-1"])
    assert not document.is_usable(document.servers["asistente-2"])
    document.servers["asistente-1"].state = "out"
    assert not document.is_usable(document.servers["asistente-1"])


def test_account_is_found_by_key(document_text):
    document = parse_document(document_text)
    assert document.find_account_by_key("secret").name == "club-norte"
    missing = document.find_account_by_key("Secret")
    assert not missing
    assert "cordero/asistente" in missing.reason


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("GET", "/anything", True),
        ("DELETE", "/anything", True),
        ("PATCH", "/anything", False),
        ("TRACE", "/anything", False),
        ("POST", "/other", False),
        ("POST", "/v1/completions?stream=1", True),
        ("POST", "/v1/completions/7/cancel", False),
        ("POST", "/bibs/7", False),
        ("POST", "/bibs/preview/7", True),
        ("POST", "/bibs/preview/../7", False),
        ("POST", "/bibs/%2e%2e/bibs/preview", True),
    ],
)
def test_longest_matching_prefix_decides_whether_a_call_is_repeatable(
    document_text, method, path, expected
):
    assert parse_document(document_text).is_repeatable(method, path) is expected


def test_other_spellings_of_a_path_match_its_rule(document_text):
    text = document_text + "[calls GET /assign]\nrepeatable = no\n"
    document = parse_document(text)
    for path in ("/assign", "//assign", "/./assign", "/%61ssign/1", "/x/../assign?a"):
        assert not document.is_repeatable("GET", path), path


def test_error_lists_every_mistake():
    problems = find_problems(
        """\
stray = 1
[service]
side = Cordero
name = asistente
name = again
kind = magic
queue_limit = 0
colour = red
[failure-domain a]
state = maybe
[server s]
address = localhost:80
failure_domain = b
slots = 2
cold_slots = 3
[server t]
address = 127.0.0.1:0
failure_domain = a
slots = ²
[account x]
share = nan
key_sha256 = abc
[account y]
share = 1e3
key_sha256 = abc
[account x]
share = 1
[calls FETCH /x]
[nonsense]
not a line
"""
    )
    assert set(problems) == {
        ("", ""),
        ("service", "side"),
        ("service", "name"),
        ("service", "kind"),
        ("service", "region"),
        ("service", "queue_limit"),
        ("service", "colour"),
        ("failure-domain a", "state"),
        ("server s", "address"),
        ("server s", "failure_domain"),
        ("server s", "cold_slots"),
        ("server t", "address"),
        ("server t", "slots"),
        ("account x", "share"),
        ("account x", "key_sha256"),
        ("account y", "share"),
        ("account y", "key_sha256"),
        ("account x", ""),
        ("calls FETCH /x", ""),
        ("nonsense", ""),
    }
    assert problems["service", "queue_limit"] == (
        "doc.ini: [service] queue_limit: found '0', "
        "allowed 1 to 100000 requests for each account"
    )
    assert "a second time in line 5" in problems["service", "name"]


def test_duplicate_addresses_and_keys_are_rejected(document_text):
    text = document_text.replace("9002", "9001") + (
        "[account other]\nshare = 1\nkey_sha256 = "
        "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b\n"
    )
    assert set(find_problems(text)) == {
        ("server asistente-2", "address"),
        ("account other", "key_sha256"),
    }


def test_empty_document_has_no_service_section():
    assert set(find_problems("")) == {("service", "")}


def test_values_do_not_continue_on_the_next_line(document_text):
    text = document_text.replace("kind = engine\n", "kind = engine\n   more\n")
    assert set(find_problems(text)) == {("", "")}


def test_default_section_of_configparser_is_unknown(document_text):
    assert set(find_problems(document_text + "[DEFAULT]\nstate = out\n")) == {
        ("DEFAULT", "")
    }


def test_size_limit(document_text):
    filler = "#" * (MAX_DOCUMENT_BYTES - len(document_text))
    parse_document(document_text + filler)
    assert set(find_problems(document_text + filler + "#")) == {("", "")}


def test_document_with_many_accounts_is_accepted(document_text):
    accounts = "".join(
        f"[account a-{number}]\nshare = 1\nkey_sha256 = {number:064x}\n"
        for number in range(5700)
    )
    assert len(parse_document(document_text + accounts).accounts) == 5701


def test_edit_state_changes_one_line(document_text):
    text = document_text.replace("\n", "\r\n")
    changed = edit_state(text, "failure-domain puyo", "in")
    assert changed == text.replace("  state = out\r\n", "  state = in\r\n")
    assert edit_state(changed, "failure-domain puyo", "out") == text


def test_edit_state_adds_a_missing_line(document_text):
    changed = edit_state(document_text, "server asistente-1", "out")
    assert parse_document(changed).servers["asistente-1"].state == "out"
    assert changed == document_text.replace("slots = 8\n#", "slots = 8\nstate = out\n#")
    domain = edit_state("[failure-domain puyo]", "failure-domain puyo", "out")
    assert domain == "[failure-domain puyo]\nstate = out"


def test_edit_state_lists_existing_sections_for_an_unknown_one(document_text):
    with pytest.raises(
        DocumentError, match="failure-domain banos, failure-domain puyo"
    ):
        edit_state(document_text, "failure-domain norte", "out")


def test_describe_changes(document_text):
    changed = edit_state(document_text, "server asistente-1", "out")
    changed = changed.replace("share = 3", "share = 5").replace(
        "; Races", "; All races"
    )
    changed = changed.replace("[failure-domain puyo]", "[failure-domain ambato]")
    assert describe_changes(document_text, changed) == [
        "[failure-domain puyo] removed: state = out",
        "[failure-domain ambato] added: state = out",
        "[server asistente-1] state: in (default) -> out",
        "[account club-norte] share: 3 -> 5",
    ]
    explicit = document_text.replace("slots = 8\n#", "slots = 8\ncold_slots = 1\n#")
    assert describe_changes(document_text, explicit) == []
    assert describe_changes("", "[service]\nside = a") == ["[service] added: side = a"]


MODELS = """\
[model charla]
version = 2024.1
adapters = rutas, tiempos
"""


def test_models_and_roles_of_servers(document_text):
    server = "[server asistente-1]\n"
    text = document_text.replace(server, f"{server}model = charla\nrole = decode\n")
    document = parse_document(text + MODELS)
    first, second = document.servers.values()
    assert (first.model, first.role) == ("charla", "decode")
    assert (second.model, second.role) == ("", "")
    model = document.models["charla"]
    assert (model.version, model.adapters) == ("2024.1", {"rutas", "tiempos"})
    assert describe_changes(document_text, text + MODELS) == [
        "[server asistente-1] model: none (default) -> charla",
        "[server asistente-1] role: none (default) -> decode",
        "[model charla] added: version = 2024.1, adapters = rutas, tiempos",
    ]


def test_error_lists_every_mistake_in_models(document_text):
    server = "[server asistente-1]\n"
    text = document_text.replace(server, f"{server}model = other\nrole = boss\n")
    text += MODELS.replace("2024.1", "a b").replace("rutas,", "tiempos,")
    problems = find_problems(text + "[model none]\nversion = 1\nadapters =\n")
    assert set(problems) == {
        ("server asistente-1", "model"),
        ("server asistente-1", "role"),
        ("model charla", "version"),
        ("model charla", "adapters"),
        ("model none", ""),
        ("model none", "adapters"),
    }
    assert "allowed charla, none" in problems["server asistente-1", "model"]


def test_plain_service_has_no_models(document_text):
    server = "[server asistente-1]\n"
    text = document_text.replace(server, f"{server}model = charla\nrole = mixed\n")
    text = text.replace("kind = engine", "kind = plain") + MODELS
    assert set(find_problems(text)) == {
        ("server asistente-1", "model"),
        ("server asistente-1", "role"),
    }


def test_many_mistakes_do_not_each_hold_all_names(document_text):
    """Guards against memory that grows with the product of names and mistakes.

    With a list of its own for each mistake this document took 169 MB, else 26 MB.
    """
    domains = "".join(f"[failure-domain d{n:05}]\n" for n in range(10_000))
    servers = "".join(
        f"[server s{n}]\naddress = 127.0.{n // 250}.{n % 250}:1\n"
        "failure_domain = x\nslots = 1\n"
        for n in range(2000)
    )
    tracemalloc.start()
    with pytest.raises(DocumentError) as caught:
        parse_document(document_text + domains + servers)
    _, most_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(caught.value.problems) == 2000
    assert most_bytes < 60_000_000


def test_mistake_lists_some_of_very_many_names(document_text):
    """Guards against a message that leaves out names without saying so."""
    names = [f"d{n:03}" for n in range(MAX_LISTED_NAMES)]
    domains = "".join(f"[failure-domain {name}]\n" for name in names)
    server = "[server s]\naddress = 127.0.0.1:1\nfailure_domain = x\nslots = 1\n"
    problem = find_problems(document_text + domains + server)
    listed = ", ".join(["banos", "puyo", *names[:-2]])
    expected = f"allowed {listed} and 2 more"
    assert problem["server s", "failure_domain"].endswith(expected)
