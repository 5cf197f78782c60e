from __future__ import annotations

import ast
import doctest
import re
from pathlib import Path

import pytest

from lagoonsail_config.document import parse_document
from lagoonsail_config.settings import parse_settings
from lagoonsail_core.metrics import PREFIX
from lagoonsail_ctl.connection import SECTION, load_connection
from lagoonsail_router.daemon import Daemon

ROOT = Path(__file__).resolve().parents[3]
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").glob("*.md")])
OPERATING = ROOT / "docs" / "OPERATING.md"
SOURCES = ROOT / "packages" / "lagoonsail-router" / "src"
KEY_SHA256 = "64 hex digits"


def read_blocks(page, language):
    return re.findall(rf"^```{language}\n(.*?)^```$", page.read_text(), re.M | re.S)


def read_examples(page):
    """Return the examples of a page as one test, so that they share a namespace."""
    blocks = [block for block in read_blocks(page, "python") if ">>>" in block]
    text = "\n".join(blocks)
    return doctest.DocTestParser().get_doctest(text, {}, page.name, str(page), 0)


def test_pages_have_examples():
    assert any(read_examples(page).examples for page in PAGES)


@pytest.mark.parametrize("page", PAGES, ids=lambda path: path.name)
def test_examples_of_page_run(page):
    report = []
    results = doctest.DocTestRunner().run(read_examples(page), out=report.append)
    assert results.failed == 0, "".join(report)


@pytest.mark.parametrize("page", PAGES, ids=lambda path: path.name)
def test_links_of_page_lead_to_files(page):
    targets = re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text())
    assert [name for name in targets if not (page.parent / name).exists()] == []


def anchors_of(page):
    headings = re.findall(r"^#+ (.+)$", page.read_text(), re.M)
    cleaned = [re.sub(r"[^\w\- ]", "", heading.lower()) for heading in headings]
    return {text.replace(" ", "-") for text in cleaned}


@pytest.mark.parametrize("page", PAGES, ids=lambda path: path.name)
def test_links_of_page_lead_to_headings(page):
    links = re.findall(r"\]\(([^)#:]*)#([^)]+)\)", page.read_text())
    for name, anchor in links:
        target = page.parent / name if name else page
        assert anchor in anchors_of(target), (name, anchor)


def read_ini(first_section):
    return [
        (page.name, block)
        for page in PAGES
        for block in read_blocks(page, "ini")
        if block.startswith(f"[{first_section}]")
    ]


def test_every_ini_example_is_of_a_known_kind():
    kinds = {"service", "router", SECTION}
    blocks = [block for page in PAGES for block in read_blocks(page, "ini")]
    assert {re.match(r"\[([a-z-]+)", block)[1] for block in blocks} <= kinds


def test_example_documents_parse():
    blocks = read_ini("service")
    names = [name for name, _ in blocks]
    assert {"INTERFACES.md", "SERVICE-DOCUMENT.md"} <= set(names)
    for name, block in blocks:
        parse_document(block.replace(KEY_SHA256, "0" * 64), name)


def test_example_settings_parse():
    blocks = read_ini("router")
    assert "INTERFACES.md" in [name for name, _ in blocks]
    for name, block in blocks:
        parse_settings(block, name, lambda _: b"an example key of the fleet")


def test_example_settings_of_lagoonctl_load(tmp_path):
    (tmp_path / "lagoonctl.key").write_text("an example key of the fleet")
    blocks = read_ini(SECTION)
    assert "LAGOONCTL.md" in [name for name, _ in blocks]
    for _name, block in blocks:
        path = tmp_path / "lagoonctl.ini"
        path.write_text(block)
        load_connection(path, {})


def router_metrics():
    settings = read_ini("router")[0][1]
    daemon = Daemon(parse_settings(settings, "page", lambda _: b""))
    rendered = daemon.render_metrics().decode()
    return set(re.findall(rf"^# TYPE ({PREFIX}\w+)", rendered, re.M))


def event_names(call, function):
    """Return the event names that a call of `record` may pass."""
    argument = call.args[0]
    if isinstance(argument, ast.Name):
        values = [
            node.value
            for node in ast.walk(function)
            if isinstance(node, ast.Assign)
            and getattr(node.targets[0], "id", "") == argument.id
        ]
    else:
        values = [argument]
    branches = [
        branch
        for value in values
        for branch in (
            [value.body, value.orelse] if isinstance(value, ast.IfExp) else [value]
        )
    ]
    return {branch.value for branch in branches}


def is_record_call(node):
    if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
        return False
    if node.func.attr == "_record_server":
        return True
    owner = getattr(node.func.value, "attr", "")
    return node.func.attr == "record" and owner == "timeline"


def router_events():
    names = set()
    for path in SOURCES.rglob("*.py"):
        for function in ast.walk(ast.parse(path.read_text())):
            # _record_server passes on the names that its callers give.
            if not isinstance(function, ast.FunctionDef) or (
                function.name == "_record_server"
            ):
                continue
            for node in ast.walk(function):
                if is_record_call(node):
                    names |= event_names(node, function)
    return names


def read_table(heading):
    """Return the names in the first column of the table below a heading."""
    section = OPERATING.read_text().split(f"\n## {heading}\n")[1].split("\n## ")[0]
    return set(re.findall(r"^\| `([a-z0-9_]+)` \|", section, re.M))


def test_page_names_every_metric_and_no_other():
    assert read_table("Metrics") == router_metrics()


def test_page_names_every_event_and_no_other():
    assert read_table("Events") == router_events()


def strip_affixes(name):
    """Return a kind without the prefix or suffix that a counter adds."""
    return re.sub("^(refused|closed|hosts)_|_(ok|conflict|unavailable)$", "", name)


def test_kinds_and_fields_named_in_the_text_occur_in_the_code():
    sources = "\n".join(
        path.read_text() for path in ROOT.glob("packages/*/src/**/*.py")
    )
    words = set(re.findall(r"[a-z]+(?:_[a-z]+)*", sources))
    named = set(re.findall(r"`([a-z]+(?:_[a-z]+)+)`", OPERATING.read_text()))
    # Names of metrics have tests of their own.
    kinds = {name for name in named if not name.startswith(PREFIX)}
    assert {name for name in kinds - words if strip_affixes(name) not in words} == set()


def test_names_used_in_the_text_exist():
    words = set(re.findall(rf"`({PREFIX}\w+)", OPERATING.read_text()))
    assert words <= router_metrics()
