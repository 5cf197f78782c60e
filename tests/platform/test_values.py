"""Decoding of the platform's manifests, server records and headers."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from lagoonsail_platform_standin.fleet import HOSTNAME, StandInServer, make_manifest

from lagoonsail_core.unavailable import Unavailable
from lagoonsail_gateway.manifest import STREAMING, Manifest
from lagoonsail_gateway.server_directory import ServerRecord
from lagoonsail_platform.headers import read_request, read_response, write_request
from lagoonsail_platform.manifest_values import decode_manifest, decode_server
from lagoonsail_sharing.server_load import LoadReport

WORDS = st.sampled_from(["", "a", "/x/", "10.0.0.1:80", "ready", "name", "\x00é"])
JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 2**60) | st.floats() | WORDS,
    lambda children: (
        st.lists(children, max_size=3) | st.dictionaries(WORDS, children, max_size=3)
    ),
    max_leaves=8,
)


def decode(fields):
    return decode_manifest(json.dumps(fields).encode())


def test_manifest_is_decoded():
    manifest = decode(make_manifest(7))
    assert manifest.version == 7
    route = manifest.find_route(f"{HOSTNAME}:80", "/resume/x")
    assert (route.kind, route.is_retryable()) == (STREAMING, True)
    assert not manifest.find_route(HOSTNAME, "/stream/x").is_retryable()
    assert manifest.find_route(HOSTNAME, "/other") is None


def test_longest_prefix_wins():
    fields = make_manifest(7)
    fields["routes"].append(fields["routes"][0] | {"name": "x", "prefix": "/read/x/"})
    assert decode(fields).find_route(HOSTNAME, "/read/x/1").name == "x"
    assert decode(fields).find_route(HOSTNAME, "/read/y/1").name == "read"


def test_split_route_has_its_destinations():
    fields = make_manifest(7)
    split = [{"service": "plain", "weight": 90}, {"service": "engine", "weight": 10}]
    fields["routes"][0]["traffic-split"] = split
    destinations = decode(fields).find_route(HOSTNAME, "/read/1").destinations
    assert [(d.service, d.weight) for d in destinations] == [
        ("plain", 90.0),
        ("engine", 10.0),
    ]


@pytest.mark.parametrize(
    "change",
    [
        {"version": "7"},
        {"routes": None},
        {"services": [{}]},
        {"routes": [{"route-type": "new"}]},
        {"limits": []},
    ],
)
def test_malformed_manifest_gives_a_reason(change):
    result = decode(make_manifest(7) | change)
    assert isinstance(result, Unavailable)
    assert result.reason


@given(st.dictionaries(st.sampled_from(["version", "routes", "services"]), JSON))
def test_no_manifest_breaks_the_reader(fields):
    assert isinstance(decode(make_manifest(1) | fields), Manifest | Unavailable)


@given(
    st.dictionaries(
        st.sampled_from(["state", "address", "service", "zone", "born"]), JSON
    )
)
def test_no_server_record_breaks_the_reader(fields):
    record = StandInServer("s1", "plain", "10.0.0.1:80").record() | fields
    decoded = decode_server("s1", json.dumps(record).encode())
    assert isinstance(decoded, ServerRecord | Unavailable)


def env(**headers):
    names = {name.upper(): value for name, value in headers.items()}
    return {f"HTTP_{name}": value for name, value in names.items()}


def test_request_head_is_decoded():
    head = read_request(
        env(
            lagoonsail_attempt_id="id",
            lagoonsail_token_count="1460,80",
            lagoonsail_prompt_prefix="5c:800,91:410,e4:250",
            lagoonsail_request_deadline="8000",
            authorization="Bearer key",
            kv_from="10.0.0.1:1/x",
        )
    )
    assert (head.prompt_tokens, head.max_output_tokens) == (1460, 80)
    assert [part.tokens for part in head.prompt_parts] == [800, 410, 250]
    assert (head.api_key, head.caller_timeout_ms) == ("key", 8000.0)
    names = {name.lower() for name, _ in head.headers}
    assert "authorization" not in names
    assert "kv-from" not in names


@pytest.mark.parametrize(
    "headers",
    [
        {},
        {"lagoonsail_attempt_id": "id", "lagoonsail_token_count": "many"},
        {"lagoonsail_attempt_id": "id", "lagoonsail_request_deadline": "soon"},
        {"lagoonsail_attempt_id": "id", "lagoonsail_prompt_prefix": "5c:x"},
    ],
)
def test_malformed_head_is_none(headers):
    assert read_request(env(**headers)) is None


def test_resumed_stream_sends_one_last_event_id():
    head = read_request(env(lagoonsail_attempt_id="id", last_event_id="2"))
    headers = write_request(head, "s1", "norte", 1500.9, "4")
    assert [v for n, v in headers if n.lower() == "last-event-id"] == ["4"]
    assert dict(headers)["Lagoonsail-Request-Deadline"] == "1500"


def test_answer_head_is_decoded():
    head = read_response(503, [("Lagoonsail-Not-Executed", "1")])
    assert head.is_not_executed
    head = read_response(
        200, [("lagoonsail-server-seal", "x"), ("Lagoonsail-Server-Load", "3,0,8")]
    )
    assert (head.is_sealed, head.load) == (True, LoadReport(3, 0, 8))
    assert read_response(200, [("Lagoonsail-Server-Load", "3,x")]).load is None


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3, 1,8,250", LoadReport(3, 1, 8, 2.5)),
        ("3,1,8,0", LoadReport(3, 1, 8, 0.0)),
        ("3,1,8,", None),
        ("3,1,8,-5", None),
        ("3,1,8,1e3", None),
        ("3,1", None),
        ("3,1,8,100,7", None),
    ],
)
def test_load_report_has_three_or_four_figures(text, load):
    """Guards against a report that is ignored because its server tells its slowdown."""
    assert read_response(200, [("Lagoonsail-Server-Load", text)]).load == load
