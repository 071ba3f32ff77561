"""Write a site file of the bench for another number of machines, from a given one.

    python3 -m bench.scale_site SITE.toml --machines 4000 --out FOLDER

Machines, what the cloud has of them, teams' guarantees and limits, and arrivals of jobs grow or
shrink together.  The controllers and the limits of the services stay as they are unless options
say otherwise.  What is played from such a file is a trial of our own.
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
#: What a site file has to hold for this command.
REQUIRED = ("name", "nodes", "state", "cloud", "capacity", "teams", "jobs", "day")

Site = dict[str, Any]


class NotASiteError(Exception):
    """A file is not a site file of the bench."""


@dataclass(frozen=True, slots=True)
class Change:
    """A value of a site file to be replaced, by its table and key."""

    table: str
    key: str
    value: float


def read_site(path: Path) -> Site:
    """Read a site file; raise ``NotASiteError`` if it is none."""
    try:
        site = tomllib.loads(path.read_text(encoding="utf-8"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, OSError) as problem:
        raise NotASiteError(f"{path}: {problem}") from None
    missing = [name for name in REQUIRED if name not in site]
    if missing:
        raise NotASiteError(f"{path} is not a site file: it lacks {', '.join(missing)}")
    if machines_of(site) < 1:
        raise NotASiteError(f"{path} has no machines to scale")
    return site


def machines_of(site: Site) -> int:
    """Return how many machines the cloud of a site has in all."""
    return sum(entry.get("count", 0) + entry.get("spot", 0) for entry in site["capacity"])


def scaled(site: Site, machines: int, changes: Iterable[Change] = ()) -> Site:
    """Return a site of ``machines`` machines; ``site`` is left as it is."""
    factor = machines / machines_of(site)
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
    """Scale the machines of each type, zone and kind so that their sum is exact."""
    result = [dict(entry) for entry in entries]
    shares = [
        (index, key, entry[key] * factor)
        for index, entry in enumerate(entries)
        for key in ("count", "spot")
        if entry.get(key)
    ]
    for index, key, share in shares:
        result[index][key] = int(share)
    missing = machines - sum(int(share) for _, _, share in shares)
    largest_rest_first = sorted(shares, key=lambda entry: int(entry[2]) - entry[2])
    for index, key, _ in largest_rest_first[:missing]:
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
    """Write a site into a folder outside the repository, with the wire examples that it names."""
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


def _setting(name: str, about: str) -> Callable[[Callable[..., None]], Callable[..., None]]:
    positive = click.FloatRange(0, min_open=True)
    return click.option(name, type=positive, help=f"{about}; default: as in the site.")


@click.command()
@click.argument("source", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--machines", type=click.IntRange(1, MAX_MACHINES), required=True)
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), required=True)
@_setting("--connections", "Connections of a controller")
@_setting("--memory-mb", "Memory of a controller")
@_setting("--core-share", "Share of a core of a controller")
@_setting("--state-rps", "Requests a second that the state service takes")
@_setting("--state-write-rps", "Changes a second that the state service takes")
@_setting("--cloud-rps", "Calls a second that the cloud takes")
@_setting("--duration-s", "Length of a day")
def main(source: Path, machines: int, out: Path, **options: float | None) -> None:
    """Write a site like SOURCE with another number of machines into a folder."""
    tables = {
        "connections": ("nodes", "max_connections"),
        "memory_mb": ("nodes", "memory_mb"),
        "core_share": ("nodes", "cpu_share"),
        "state_rps": ("state", "rps"),
        "state_write_rps": ("state", "write_rps"),
        "cloud_rps": ("cloud", "rps"),
    }
    changes = [
        Change(*place, int(value) if name == "connections" else value)
        for name, place in tables.items()
        if (value := options[name]) is not None
    ]
    try:
        site = scaled(read_site(source), machines, changes)
    except NotASiteError as problem:
        raise click.ClickException(str(problem)) from None
    if options["duration_s"] is not None:
        site["duration_s"] = options["duration_s"]
    click.echo(write_site(site, source, out))


if __name__ == "__main__":
    main()
