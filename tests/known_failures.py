"""The list of tests that fail for a known fault: ``KNOWN-RED.txt`` at the root.

One entry a line: test, command and seed, what was seen, open issue, separated by `` | ``.

    python -m tests.known_failures

checks the list, prints it on standard error, and prints on standard output the arguments with which
pytest passes over just these tests, one a line.  The exit code is 1 if the list can't be used.
"""

from __future__ import annotations

import re
import sys
from dataclasses import dataclass
from pathlib import Path

import click

ROOT = Path(__file__).resolve().parent.parent
LIST = ROOT / "KNOWN-RED.txt"
#: More known failures than these are to be mended before anything else lands.
MAX_ENTRIES = 3
SEPARATOR = " | "
PARTS = ("test", "command and seed", "what was seen", "open issue")
ISSUE = re.compile(r"issue \d+\Z")
#: A test's file and name, and the parameters in brackets if it has any.
TEST_ID = re.compile(r"(?P<file>tests/\w+\.py)::(?P<name>test_\w+)(\[.+\])?\Z")


class KnownFailuresError(Exception):
    """The list can't be used; the text says which line is wrong, and how."""


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One entry of the list."""

    test: str
    command: str
    seen: str
    issue: str


def parse(text: str, root: Path) -> list[KnownFailure]:
    """Return the entries of a list whose tests are below ``root``.

    Raises ``KnownFailuresError`` for the first fault.
    """
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_ENTRIES:
        raise KnownFailuresError(f"{len(lines)} entries, {MAX_ENTRIES} at most: mend some first")
    return [_parse_entry(number, line, root) for number, line in enumerate(lines, start=1)]


def _parse_entry(number: int, line: str, root: Path) -> KnownFailure:
    parts = [part.strip() for part in line.split(SEPARATOR)]
    for index, part in enumerate(PARTS):
        if index >= len(parts) or not parts[index]:
            raise KnownFailuresError(f"entry {number} lacks: {part}")
    if len(parts) > len(PARTS):
        raise KnownFailuresError(f"entry {number} has {len(parts)} parts instead of {len(PARTS)}")
    entry = KnownFailure(*parts)
    if not ISSUE.match(entry.issue):
        raise KnownFailuresError(f"entry {number}: not an open issue: {entry.issue!r}")
    if not _exists(entry.test, root):
        raise KnownFailuresError(f"entry {number}: no such test: {entry.test}")
    return entry


def _exists(test: str, root: Path) -> bool:
    found = TEST_ID.match(test)
    if found is None:
        return False
    file = root / found["file"]
    definition = re.compile(rf"^(async )?def {found['name']}\(", re.MULTILINE)
    return file.is_file() and definition.search(file.read_text()) is not None


@click.command()
def main() -> None:
    """Print what pytest has to pass over."""
    try:
        entries = parse(LIST.read_text() if LIST.exists() else "", ROOT)
    except KnownFailuresError as problem:
        click.echo(f"{LIST.name}: {problem}", err=True)
        sys.exit(1)
    if entries:
        click.echo("Known to fail, not run:", err=True)
    for entry in entries:
        click.echo(SEPARATOR.join((entry.test, entry.command, entry.seen, entry.issue)), err=True)
        click.echo(f"--deselect={entry.test}")


if __name__ == "__main__":
    main()
