"""Tests of ``bench.scale_site``, which scales a site file to another number of machines."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest
from click.testing import CliRunner

from bench.scale_site import ROOT, machine_count, main

SITE = """
name = "small"
wire = "wire.json"
duration_s = 300.0
[nodes]
count = 3
memory_mb = 110.0
max_connections = 1500
cpu_share = 0.36
[state]
rps = 150.0
write_rps = 25.0
[cloud]
rps = 5.0
[[capacity]]
type = "box"
zone = "north"
count = 7
spot = 6
[[capacity]]
type = "box"
zone = "south"
count = 7
[[machines]]
type = "box"
zone = "north"
spot = false
count = 4
[[teams]]
name = "red"
gpus = 8.0
gpus_max = 16.0
[[jobs]]
name = "scan"
initial = 3
tasks = { sizes = [1, 2] }
arrivals = { rate = 0.05, swing = 0.3 }
[[day]]
name = "calm"
"""

EMPTY_SITE = SITE.replace("count = 7", "count = 0").replace("spot = 6", "")


@pytest.fixture
def source(tmp_path: Path) -> Path:
    path = tmp_path / "given" / "small.toml"
    path.parent.mkdir()
    path.write_text(SITE)
    (path.parent / "wire.json").write_text("{}")
    return path


def test_machines_limits_and_arrivals_grow_together(source: Path, tmp_path: Path) -> None:
    out = tmp_path / "out"
    arguments = [str(source), "--machines", "107", "--out", str(out), "--connections", "5000"]
    result = CliRunner().invoke(main, [*arguments, "--core-share", "0.75", "--duration-s", "200"])
    assert result.exit_code == 0, result.output
    written = tomllib.loads((out / "small-107.toml").read_text())
    assert result.output.strip() == str(out / "small-107.toml")
    assert machine_count(written) == 107
    assert [entry["count"] for entry in written["capacity"]] == [38, 37]
    assert written["machines"][0]["count"] == 21
    assert written["teams"] == [{"name": "red", "gpus": 43.0, "gpus_max": 86.0}]
    job = written["jobs"][0]
    assert job["initial"] == 16 and job["tasks"] == {"sizes": [1, 2]}
    assert job["arrivals"]["rate"] == pytest.approx(0.05 * 107 / 20)
    assert written["nodes"] == {
        "count": 3, "memory_mb": 110.0, "max_connections": 5000, "cpu_share": 0.75
    }  # fmt: skip
    assert written["state"] == {"rps": 150.0, "write_rps": 25.0}
    assert written["duration_s"] == 200
    assert (out / "wire.json").read_text() == "{}"


@pytest.mark.parametrize(
    ("content", "arguments", "problem"),
    [
        (SITE, ["--machines", "0"], "--machines"),
        (SITE, ["--machines", "many"], "--machines"),
        (SITE, ["--machines", "9", "--core-share", "0"], "--core-share"),
        ("name = 'x'", ["--machines", "9"], "not a site file: it lacks nodes"),
        ("no toml", ["--machines", "9"], "small.toml: "),
        (EMPTY_SITE, ["--machines", "9"], "no machines"),
    ],
)  # fmt: skip
def test_bad_input_is_reported_and_nothing_is_written(
    source: Path, tmp_path: Path, content: str, arguments: list[str], problem: str
) -> None:
    source.write_text(content)
    out = tmp_path / "out"
    result = CliRunner().invoke(main, [str(source), "--out", str(out), *arguments])
    assert result.exit_code != 0 and problem in result.output
    assert not out.exists()


def test_target_inside_the_repository_is_refused(source: Path) -> None:
    out = ROOT / "bench" / "sites"
    result = CliRunner().invoke(main, [str(source), "--machines", "9", "--out", str(out)])
    assert result.exit_code == 2 and "inside the repository" in result.output
    assert not out.exists()
