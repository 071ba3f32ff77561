"""The list of tests with known failures: ``KNOWN-RED.txt`` at the root.

Each line is one entry: test, command and seed, what was seen, open issue, separated by `` | ``.

    python -m tests.known_failures

checks the list and prints it to standard error.  To standard output it prints the arguments that
make pytest deselect exactly these tests, one per line.  The exit code is 1 if the list is invalid.
"""

from __future__ import annotations

import re
import sys
from dataclasses import dataclass
from pathlib import Path

import click

ROOT = Path(__file__).resolve().parent.parent
LIST = ROOT / "KNOWN-RED.txt"
#: With more known failures, some have to be fixed before any other change is merged.
MAX_ENTRIES = 3
SEPARATOR = " | "
FIELDS = ("test", "command and seed", "what was seen", "open issue")
ISSUE = re.compile(r"issue \d+\Z")
#: File and name of a test, and its parameters in brackets, if any.
TEST_ID = re.compile(r"(?P<file>tests/\w+\.py)::(?P<name>test_\w+)(\[.+\])?\Z")


class KnownFailuresError(Exception):
    """The list is invalid; the message names the entry and the error."""


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One entry of the list."""

    test: str
    command: str
    seen: str
    issue: str


def parse(text: str, root: Path) -> list[KnownFailure]:
    """Return the entries of a list; their tests are files below ``root``.

    Raises ``KnownFailuresError`` for the first invalid entry.
    """
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_ENTRIES:
        raise KnownFailuresError(f"{len(lines)} entries, {MAX_ENTRIES} at most: mend some first")
    return [_parse_entry(number, line, root) for number, line in enumerate(lines, start=1)]


def _parse_entry(number: int, line: str, root: Path) -> KnownFailure:
    parts = [part.strip() for part in line.split(SEPARATOR)]
    for index, field in enumerate(FIELDS):
        if index >= len(parts) or not parts[index]:
            raise KnownFailuresError(f"entry {number} lacks: {field}")
    if len(parts) > len(FIELDS):
        raise KnownFailuresError(f"entry {number} has {len(parts)} parts instead of {len(FIELDS)}")
    entry = KnownFailure(*parts)
    if not ISSUE.match(entry.issue):
        raise KnownFailuresError(f"entry {number}: not an open issue: {entry.issue!r}")
    if not _exists(entry.test, root):
        raise KnownFailuresError(f"entry {number}: no such test: {entry.test}")
    return entry


def _exists(test: str, root: Path) -> bool:
    match = TEST_ID.match(test)
    if match is None:
        return False
    file = root / match["file"]
    definition = re.compile(rf"^(async )?def {match['name']}\(", re.MULTILINE)
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
