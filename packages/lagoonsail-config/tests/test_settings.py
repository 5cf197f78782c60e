from __future__ import annotations

import pytest

from lagoonsail_config.settings import SettingsError, load_settings


@pytest.fixture
def write_settings(tmp_path):
    def write(text: str):
        path = tmp_path / "router.ini"
        path.write_text(text)
        return path

    return write


def find_problems(path) -> dict[tuple[str, str], str]:
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    assert all(problem.file == str(path) for problem in caught.value.problems)
    return {(item.section, item.key): str(item) for item in caught.value.problems}


def test_values_and_defaults(write_settings, settings_text):
    settings = load_settings(write_settings(settings_text))
    assert settings.name == "cordero-1"
    assert settings.peers_address == "[::1]:8082"
    assert settings.store_endpoints == ["127.0.0.1:2379", "127.0.0.1:2380"]
    assert settings.store_prefix == "/lagoonsail/"
    assert (settings.store_timeout_ms, settings.lease_ttl_ms) == (1000, 3000)
    assert (settings.host_list_poll_ms, settings.host_list_max_lag_ms) == (1000, 10000)
    assert settings.shared_key == b""
    assert (settings.heartbeat_ms, settings.silence_ms) == (500, 2000)
    assert (settings.flush_ms, settings.start_window_ms) == (2, 1000)
    assert settings.peers_transport == "tcp"
    assert (settings.drain_lag_ms, settings.stop_timeout_ms) == (1000, 60_000)
    assert (settings.max_connections, settings.reject_after_ms) == (2000, 5000)
    assert settings.memory_mb == 512
    assert (settings.invariants, settings.log_level) == ("fatal", "info")


def test_error_lists_every_mistake(write_settings, settings_text):
    text = settings_text.replace("name = cordero-1\n", "").replace("8081", "8080")
    path = write_settings(
        f"{text}poll_ms = 1\n[peers]\nheartbeat_ms = 1500\nshared_key_file = none\n"
        "[limits]\ninvariants = maybe\n[log]\nlevel = 3\n[logs]\n"
    )
    problems = find_problems(path)
    assert set(problems) == {
        ("router", "name"),
        ("listen", "admin"),
        ("host-list", "poll_ms"),
        ("peers", "silence_ms"),
        ("peers", "shared_key_file"),
        ("limits", "invariants"),
        ("log", "level"),
        ("logs", ""),
    }
    assert "allowed 50 to 60000 ms" in problems["host-list", "poll_ms"]


def test_shared_key_is_required_beyond_loopback(
    write_settings, settings_text, tmp_path
):
    text = settings_text.replace("127.0.0.1:8080", "10.0.0.7:8080")
    assert set(find_problems(write_settings(text))) == {("peers", "shared_key_file")}
    with_key = text + "[peers]\nshared_key_file = key\n"
    (tmp_path / "key").write_text("too short\n")
    assert set(find_problems(write_settings(with_key))) == {
        ("peers", "shared_key_file")
    }
    (tmp_path / "key").write_text("0123456789abcdef\n")
    settings = load_settings(write_settings(with_key))
    assert settings.shared_key == b"0123456789abcdef"


def test_addresses_to_connect_to_must_be_reachable(write_settings, settings_text):
    text = settings_text.replace("127.0.0.1:8081", "0.0.0.0:8081")
    text = text.replace("[::1]:8082", "127.0.0.1:0")
    text += "[peers]\nshared_key_file = none\n"
    assert set(find_problems(write_settings(text))) == {
        ("listen", "admin"),
        ("listen", "peers"),
        ("peers", "shared_key_file"),
    }


def test_advertised_address_overrides_the_listen_address(
    write_settings, settings_text, tmp_path
):
    settings = load_settings(write_settings(settings_text))
    assert settings.advertised_peers_address == "[::1]:8082"
    (tmp_path / "key").write_text("0123456789abcdef\n")
    text = settings_text.replace("[::1]:8082", "0.0.0.0:8082")
    text += "[peers]\nshared_key_file = key\nadvertised = 10.0.0.7:8082\n"
    settings = load_settings(write_settings(text))
    assert settings.advertised_peers_address == "10.0.0.7:8082"
    text = text.replace("10.0.0.7", "host-7")
    assert set(find_problems(write_settings(text))) == {("peers", "advertised")}


def test_lease_ttl_must_exceed_the_store_timeout(write_settings, settings_text):
    text = settings_text.replace("[store]", "[store]\nlease_ttl_ms = 1000")
    assert set(find_problems(write_settings(text))) == {("store", "timeout_ms")}


def test_unreadable_files_are_reported(tmp_path):
    assert set(find_problems(tmp_path / "missing.ini")) == {("", "")}
    (tmp_path / "binary.ini").write_bytes(b"\xff\xfe")
    assert set(find_problems(tmp_path / "binary.ini")) == {("", "")}


def test_peer_transport_is_grpc_or_tcp(write_settings, settings_text):
    path = write_settings(f"{settings_text}[peers]\ntransport = grpc\n")
    assert load_settings(path).peers_transport == "grpc"
    path = write_settings(f"{settings_text}[peers]\ntransport = udp\n")
    assert set(find_problems(path)) == {("peers", "transport")}
