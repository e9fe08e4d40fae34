"""Tests for the settings file of processes that discover each other from seeds."""

from __future__ import annotations

from pathlib import Path

import pytest

from bergamotchute_daemon.node_settings import NodeSettingsError, SettingsFile
from bergamotchute_model.identifiers import Address

VALID = """
name = "control-1"
availability_zone = "north"
host = "10.0.0.1"
link_port = 7280
seeds = ["10.0.0.1:80", "10.0.0.2:80"]
found = true
disks_to_lose = 1
heartbeat_ms = 1200
stop_s = 8
retry_ratio = 0.2
retry_slack = 92
[listen]
control = "10.0.0.1:80"
"""


def write_settings(folder: Path, text: str) -> SettingsFile:
    path = folder / "settings.toml"
    path.write_text(text, encoding="utf-8")
    return SettingsFile(path)


def test_a_valid_file_is_read(tmp_path: Path) -> None:
    settings = write_settings(tmp_path, VALID).read()
    assert settings.link_address == Address("10.0.0.1", 7280)
    assert settings.seed_link_addresses == (Address("10.0.0.1", 7280), Address("10.0.0.2", 7280))
    assert settings.listen.control == "10.0.0.1:80"
    assert settings.data_folder == ""
    assert (settings.cold_excess, settings.cold_slack) == (1.0, 0.0)
    bounds = "retry_slack = 92\ncold_excess = 1.5\ncold_slack = 5"
    settings = write_settings(tmp_path, VALID.replace("retry_slack = 92", bounds)).read()
    assert (settings.cold_excess, settings.cold_slack) == (1.5, 5.0)


@pytest.mark.parametrize(
    ("old", "new", "expected_text"),
    [
        ("link_port = 7280", 'link_port = "x"', "link_port"),
        ("found = true", "", "found"),
        ("found = true", "found = true\nsurprise = 1", "surprise"),
        ("name = ", "name = = ", "settings.toml"),
    ],
)
def test_the_error_for_an_invalid_setting_names_it(
    tmp_path: Path, old: str, new: str, expected_text: str
) -> None:
    with pytest.raises(NodeSettingsError, match=expected_text):
        write_settings(tmp_path, VALID.replace(old, new)).read()


def test_the_error_for_a_missing_file_names_it(tmp_path: Path) -> None:
    with pytest.raises(NodeSettingsError, match=r"none\.toml"):
        SettingsFile(tmp_path / "none.toml").read()


@pytest.mark.parametrize("share", ["-0.1", "1.5", "nan"])
def test_share_of_extra_requests_that_is_none_is_accepted(tmp_path: Path, share: str) -> None:
    assert write_settings(tmp_path, VALID).read().second_send_share == 0.0
    text = f"second_send_share = 0.02\n{VALID}"
    assert write_settings(tmp_path, text).read().second_send_share == 0.02
    with pytest.raises(NodeSettingsError, match="second_send_share"):
        write_settings(tmp_path, text.replace("0.02", share)).read()


def test_a_change_is_reported_until_the_file_is_read_again(tmp_path: Path) -> None:
    file = write_settings(tmp_path, VALID)
    file.read()
    assert not file.changed()
    write_settings(tmp_path, VALID.replace("10.0.0.2:80", "10.0.0.3:80"))
    assert file.changed()
    assert file.read().seeds[1] == "10.0.0.3:80"
    assert not file.changed()
