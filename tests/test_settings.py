"""The platform's settings file and the operators' script: valid and invalid values."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path

import pytest
from click.testing import CliRunner

from micadeal.cli.main import main
from micadeal.operator.platform import InvalidSettingsError, parse
from micadeal.operator.script import EXAMPLE, InvalidScriptError, evaluate
from tests.fakes.deployment_settings import TEAMS, settings


def test_platform_settings_are_read_and_unknown_fields_ignored() -> None:
    platform = parse('colour = "red"\n' + settings(0, TEAMS))
    assert platform.workers.lease == timedelta(seconds=14)
    assert [peer.name for peer in platform.peers] == ["c1", "c2"]
    assert platform.teams["red"].gpus_max == 8 and platform.teams["red"].cpus_max is None


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ("lease_s = 14.0", "", "lease_s"),
        ("lease_s = 14.0", 'lease_s = "long"', "lease_s"),
        ("lease_s = 14.0", "lease_s = -1.0", "lease_s"),
        ("lease_s = 14.0", "lease_s = nan", "lease_s"),
        ('domain = "north"', 'domain = "east"', "domain"),
        ('api_addr = "10.0.0.1:8080"', 'api_addr = "here"', "api_addr"),
        ("gpus_max = 8.0", "gpus_max = 1.0", "gpus_max"),
        ("txn_ops = 16", "txn_ops = 0", "txn_ops"),
        ("size = 3", "size = = 3", "not TOML"),
    ],
)
def test_invalid_platform_settings_are_named_in_one_line(
    tmp_path: Path, old: str, new: str, named: str
) -> None:
    text = settings(0, TEAMS)
    assert old in text
    with pytest.raises(InvalidSettingsError, match=named):
        parse(text.replace(old, new, 1))
    file = tmp_path / "settings.toml"
    file.write_text(text.replace(old, new, 1))
    for arguments in (["check", str(file)], ["--config", str(file)]):
        result = CliRunner().invoke(main, arguments)
        assert result.exit_code == 2
        assert named in result.output and result.output.count("\n") == 1


def test_script_is_evaluated_to_values_and_highest_level() -> None:
    script = EXAMPLE + "share_timeout_s = 2 * minimum_timeout_s + 60\nhighest_level = 1\n"
    values, level = evaluate(script, "s.star")
    assert level == 1 and "highest_level" not in values  # earlier versions refuse such a value
    assert values["share_timeout_s"] == 90
    assert values["teams"]["team-a"] == {"weight": 2.0, "running_jobs": 40}


@pytest.mark.parametrize(
    ("script", "reason"),
    [
        ("x = 1\nrefresh_s = 0\n", "s.star:2: refresh_s must be"),
        ("teams = {'a': {'wieght': 2.0}}\n", "s.star:1: "),
        ("x = 1\nx = = 2\n", "s.star:2"),
        ("x = undefined\n", "s.star:1"),
        ("teams = {'a': {'order': 'random'}}", "order must be"),
    ],
)
def test_invalid_script_is_refused_with_its_line(script: str, reason: str) -> None:
    with pytest.raises(InvalidScriptError) as refused:
        evaluate(script, "s.star")
    assert reason in str(refused.value)
