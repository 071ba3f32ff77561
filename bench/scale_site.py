"""Write a site file of the bench with another number of machines, based on a given site file.

    python3 -m bench.scale_site SITE.toml --machines 4000 --out FOLDER

Machines, the capacity of the cloud, the teams' guarantees and limits, and the arrivals of jobs are
scaled by the same factor.  The controllers and the limits of the services are copied unless options
replace them.  A run of the bench with such a file is a trial.
"""

from __future__ import annotations

import shutil
import tomllib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
import tomli_w

ROOT = Path(__file__).resolve().parent.parent
MAX_MACHINES = 100_000
#: Top-level keys that a site file must have.
REQUIRED = ("name", "nodes", "state", "cloud", "capacity", "teams", "jobs", "day")

Site = dict[str, Any]


class InvalidSiteError(Exception):
    """A file is not a site file of the bench, or has no machines to scale."""


@dataclass(frozen=True, slots=True)
class Change:
    """The new value of a key in a table of a site file."""

    table: str
    key: str
    value: float


def read_site(path: Path) -> Site:
    """Read a site file; raise ``InvalidSiteError`` if it can't be scaled."""
    try:
        site = tomllib.loads(path.read_text(encoding="utf-8"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, OSError) as problem:
        raise InvalidSiteError(f"{path}: {problem}") from None
    missing = [name for name in REQUIRED if name not in site]
    if missing:
        raise InvalidSiteError(f"{path} is not a site file: it lacks {', '.join(missing)}")
    if machine_count(site) < 1:
        raise InvalidSiteError(f"{path} has no machines to scale")
    return site


def machine_count(site: Site) -> int:
    """Return the total number of machines in the cloud of a site."""
    return sum(entry.get("count", 0) + entry.get("spot", 0) for entry in site["capacity"])


def scale_site(site: Site, machines: int, changes: Iterable[Change] = ()) -> Site:
    """Return a copy of ``site`` that is scaled to ``machines`` machines."""
    factor = machines / machine_count(site)
    result: Site = {**site, "name": f"{site['name']}-{machines}"}
    result["capacity"] = _scale_capacity(site["capacity"], machines, factor)
    result["machines"] = [
        {**entry, "count": max(round(entry["count"] * factor), 1)}
        for entry in site.get("machines", [])
    ]
    result["teams"] = [_scale_team(team, factor) for team in site["teams"]]
    result["jobs"] = [_scale_job(job, factor) for job in site["jobs"]]
    for change in changes:
        result[change.table] = {**result[change.table], change.key: change.value}
    return result


def _scale_capacity(entries: list[Site], machines: int, factor: float) -> list[Site]:
    """Scale the counts by the largest remainder method, so that their sum is ``machines``."""
    result = [dict(entry) for entry in entries]
    exact_counts = [
        (index, key, entry[key] * factor)
        for index, entry in enumerate(entries)
        for key in ("count", "spot")
        if entry.get(key)
    ]
    for index, key, exact_count in exact_counts:
        result[index][key] = int(exact_count)
    missing = machines - sum(int(exact_count) for _, _, exact_count in exact_counts)
    by_remainder = sorted(exact_counts, key=lambda entry: int(entry[2]) - entry[2])
    for index, key, _ in by_remainder[:missing]:
        result[index][key] += 1
    return result


def _scale_team(team: Site, factor: float) -> Site:
    amounts = ("cpus", "cpus_max", "gpus", "gpus_max")
    return {**team, **{key: float(round(team[key] * factor)) for key in amounts if key in team}}


def _scale_job(job: Site, factor: float) -> Site:
    result = dict(job)
    if "initial" in job:
        result["initial"] = round(job["initial"] * factor)
    if "arrivals" in job:
        result["arrivals"] = {**job["arrivals"], "rate": job["arrivals"]["rate"] * factor}
    return result


def write_site(site: Site, source: Path, folder: Path) -> Path:
    """Write a site and its file of wire examples into a folder outside the repository.

    Returns the path of the site file; raises ``click.UsageError`` for a folder in the repository.
    """
    folder = folder.resolve()
    if folder.is_relative_to(ROOT):
        raise click.UsageError(f"{folder} is inside the repository")
    folder.mkdir(parents=True, exist_ok=True)
    target = folder / f"{site['name']}.toml"
    target.write_text(tomli_w.dumps(site), encoding="utf-8")
    wire = site.get("wire")
    if isinstance(wire, str) and (source.parent / wire).is_file():
        shutil.copyfile(source.parent / wire, folder / Path(wire).name)
    return target


def _value_option(
    name: str, description: str
) -> Callable[[Callable[..., None]], Callable[..., None]]:
    positive = click.FloatRange(0, min_open=True)
    return click.option(name, type=positive, help=f"{description}; default: as in the site.")


@click.command()
@click.argument("source", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--machines", type=click.IntRange(1, MAX_MACHINES), required=True)
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), required=True)
@_value_option("--connections", "Connections of a controller")
@_value_option("--memory-mb", "Memory of a controller")
@_value_option("--core-share", "Share of a core of a controller")
@_value_option("--state-rps", "Requests a second that the state service takes")
@_value_option("--state-write-rps", "Changes a second that the state service takes")
@_value_option("--cloud-rps", "Calls a second that the cloud takes")
@_value_option("--duration-s", "Length of a day")
def main(source: Path, machines: int, out: Path, **options: float | None) -> None:
    """Write a site like SOURCE with another number of machines into a folder."""
    targets = {
        "connections": ("nodes", "max_connections"),
        "memory_mb": ("nodes", "memory_mb"),
        "core_share": ("nodes", "cpu_share"),
        "state_rps": ("state", "rps"),
        "state_write_rps": ("state", "write_rps"),
        "cloud_rps": ("cloud", "rps"),
    }
    changes = [
        Change(*target, int(value) if name == "connections" else value)
        for name, target in targets.items()
        if (value := options[name]) is not None
    ]
    try:
        site = scale_site(read_site(source), machines, changes)
    except InvalidSiteError as problem:
        raise click.ClickException(str(problem)) from None
    if options["duration_s"] is not None:
        site["duration_s"] = options["duration_s"]
    click.echo(write_site(site, source, out))


if __name__ == "__main__":
    main()
