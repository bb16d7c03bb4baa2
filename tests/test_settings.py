import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from passgate.errors import SettingsError
from passgate.settings import Credential, Settings, load_settings, parse_address, parse_settings

VALID_SETTINGS = """
daemon_id: caruaru-1
zone: caruaru
log_address: 127.0.0.1:9000
machine_list_address: 127.0.0.1:9001
seeds: ["127.0.0.1:8200"]
labels: {site: caruaru}
limits: {max_body_bytes: 1000}
credentials: {operators: s3cret-words}
"""


def error_details(text, overrides=None):
    """Parse invalid settings and return the details of the error."""
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, overrides, source="daemon.yaml")
    return caught.value.details


def test_flags_override_the_file_and_are_converted_from_text():
    settings = parse_settings(
        VALID_SETTINGS,
        {"daemon_id": "1e5", "stop.notice_s": "2.5", "seeds": "127.0.0.1:1,127.0.0.1:2", "labels": "a=b"},
    )
    assert settings.daemon_id == "1e5"
    assert settings.stop.notice_s == 2.5
    assert settings.seeds == ("127.0.0.1:1", "127.0.0.1:2")
    assert settings.labels == {"a": "b"}
    assert settings.limits.max_body_bytes == 1000


def test_flags_without_a_file_are_sufficient():
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
        (VALID_SETTINGS + "zoen: x", "zoen", "zone"),
        (VALID_SETTINGS.replace("max_body_bytes", "max_bytes"), "limits.max_bytes", "max_body_bytes"),
        (VALID_SETTINGS.replace("1000", "many"), "limits.max_body_bytes", "int"),
        (VALID_SETTINGS.replace("1000", "-1"), "limits.max_body_bytes", "above 0"),
        (VALID_SETTINGS.replace("1000", ".nan"), "limits.max_body_bytes", "int"),
        (VALID_SETTINGS + "stop: {notice_s: .nan}", "stop.notice_s", "at least 0"),
        (VALID_SETTINGS.replace("127.0.0.1:9000", "log.example:9000"), "log_address", "numeric IP"),
        (VALID_SETTINGS.replace("127.0.0.1:9000", "127.0.0.1:0"), "log_address", "port"),
        (VALID_SETTINGS.replace("127.0.0.1:8200", "127.0.0.1:99999"), "seeds[0]", "port"),
        (VALID_SETTINGS.replace("{site: caruaru}", "{site: a, site: b}"), "site", "once"),
        (VALID_SETTINGS + "zone: again", "zone", "once"),
        (VALID_SETTINGS.replace("{site: caruaru}", "{site: 'a b'}"), "labels.site", "matching"),
        ("daemon_id: a", "zone", "required"),
        ("[1, 2]", "", "mapping"),
        ("a: [", "", "YAML"),
        ("? [1]\n: 2", "", "YAML"),
        (VALID_SETTINGS + "log_level: LOUD", "log_level", "DEBUG"),
    ],
)
def test_error_gives_file_key_and_expected_form(text, key, expected):
    details = error_details(text)
    assert details["file"] == "daemon.yaml"
    assert details["key"] == key
    assert expected in details["expected"]


def test_unknown_flag_and_duplicate_label_are_refused():
    assert error_details(VALID_SETTINGS, {"limits.max_bytes": "1"})["key"] == "limits.max_bytes"
    assert error_details(VALID_SETTINGS, {"labels": "a=b,a=c"})["key"] == "labels.a"


def test_missing_file_raises_settings_error(tmp_path):
    with pytest.raises(SettingsError):
        load_settings(tmp_path / "absent.yaml")


def test_credential_is_not_shown_in_repr_or_errors():
    settings = parse_settings(VALID_SETTINGS)
    assert settings.credentials.operators == Credential("s3cret-words")
    assert "s3cret" not in repr(settings)
    assert "s3cret" not in str(
        error_details(VALID_SETTINGS.replace("{operators: s3cret-words}", "s3cret-words"))
    )


@given(st.text(max_size=60))
def test_arbitrary_text_raises_only_settings_error(text):
    with contextlib.suppress(SettingsError):
        assert isinstance(parse_settings(text), Settings)


@given(st.text(max_size=30))
def test_arbitrary_address_raises_only_settings_error(text):
    try:
        host, port = parse_address(text)
        assert host and 0 <= port <= 65535
    except SettingsError:
        pass
