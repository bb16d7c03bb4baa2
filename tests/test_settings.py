import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from passgate.errors import SettingsError
from passgate.settings import Credential, Settings, load_settings, parse_address, parse_settings

GOOD = """
daemon_id: caruaru-1
zone: caruaru
log_address: 127.0.0.1:9000
machine_list_address: 127.0.0.1:9001
seeds: ["127.0.0.1:8200"]
labels: {site: caruaru}
limits: {max_body_bytes: 1000}
credentials: {operators: s3cret-words}
"""


def failing(text, overrides=None):
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, overrides, source="daemon.yaml")
    return caught.value.details


def test_file_and_flags():
    settings = parse_settings(
        GOOD,
        {"daemon_id": "1e5", "stop.notice_s": "2.5", "seeds": "127.0.0.1:1,127.0.0.1:2", "labels": "a=b"},
    )
    assert settings.daemon_id == "1e5"
    assert settings.stop.notice_s == 2.5
    assert settings.seeds == ("127.0.0.1:1", "127.0.0.1:2")
    assert settings.labels == {"a": "b"}
    assert settings.limits.max_body_bytes == 1000


def test_flags_alone_are_enough():
    flags = {
        "daemon_id": "a",
        "zone": "z",
        "log_address": "127.0.0.1:1",
        "machine_list_address": "127.0.0.1:2",
    }
    assert load_settings("", flags).zone == "z"


@pytest.mark.parametrize(
    ("text", "key", "expected"),
    [
        (GOOD + "zoen: x", "zoen", "zone"),
        (GOOD.replace("max_body_bytes", "max_bytes"), "limits.max_bytes", "max_body_bytes"),
        (GOOD.replace("1000", "many"), "limits.max_body_bytes", "int"),
        (GOOD.replace("1000", "-1"), "limits.max_body_bytes", "above 0"),
        (GOOD.replace("1000", ".nan"), "limits.max_body_bytes", "int"),
        (GOOD + "stop: {notice_s: .nan}", "stop.notice_s", "at least 0"),
        (GOOD.replace("127.0.0.1:9000", "log.example:9000"), "log_address", "numeric IP"),
        (GOOD.replace("127.0.0.1:9000", "127.0.0.1:0"), "log_address", "port"),
        (GOOD.replace("127.0.0.1:8200", "127.0.0.1:99999"), "seeds[0]", "port"),
        (GOOD.replace("{site: caruaru}", "{site: a, site: b}"), "site", "once"),
        (GOOD + "zone: again", "zone", "once"),
        (GOOD.replace("{site: caruaru}", "{site: 'a b'}"), "labels.site", "matching"),
        ("daemon_id: a", "zone", "required"),
        ("[1, 2]", "", "mapping"),
        ("a: [", "", "YAML"),
        ("? [1]\n: 2", "", "YAML"),
        (GOOD + "log_level: LOUD", "log_level", "DEBUG"),
    ],
)
def test_mistakes_name_file_key_and_form(text, key, expected):
    details = failing(text)
    assert details["file"] == "daemon.yaml"
    assert details["key"] == key
    assert expected in details["expected"]


def test_unknown_flag_and_twice_given_label():
    assert failing(GOOD, {"limits.max_bytes": "1"})["key"] == "limits.max_bytes"
    assert failing(GOOD, {"labels": "a=b,a=c"})["key"] == "labels.a"


def test_missing_file_is_typed(tmp_path):
    with pytest.raises(SettingsError):
        load_settings(tmp_path / "absent.yaml")


def test_credential_text_is_never_shown():
    settings = parse_settings(GOOD)
    assert settings.credentials.operators == Credential("s3cret-words")
    assert "s3cret" not in repr(settings)
    assert "s3cret" not in str(failing(GOOD.replace("{operators: s3cret-words}", "s3cret-words")))


@given(st.text(max_size=60))
def test_any_text_gives_settings_or_a_typed_error(text):
    with contextlib.suppress(SettingsError):
        assert isinstance(parse_settings(text), Settings)


@given(st.text(max_size=30))
def test_any_address_text_is_accepted_or_typed(text):
    try:
        host, port = parse_address(text)
        assert host and 0 <= port <= 65535
    except SettingsError:
        pass
