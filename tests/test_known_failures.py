"""The list of known failures is short, complete, and names tests that exist."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from tests import known_failures
from tests.known_failures import KnownFailuresError, main, parse

TEST = "tests/test_known_failures.py::test_entry_is_read"
ENTRY = f"{TEST} | pytest {TEST}, no seed | it is an example | issue 41"


def test_entry_is_read() -> None:
    (entry,) = parse(f"\n{ENTRY}\n", known_failures.ROOT)
    assert (entry.test, entry.seen, entry.issue) == (TEST, "it is an example", "issue 41")
    one_case = ENTRY.replace(TEST, f"{TEST}[a-1]", 1)
    assert [entry.test for entry in parse(one_case, known_failures.ROOT)] == [f"{TEST}[a-1]"]


@pytest.mark.parametrize(
    ("text", "expected_error"),
    [
        ("\n".join([ENTRY] * 4), "4 entries, 3 at most"),
        (TEST, "entry 1 lacks: command and seed"),
        (f"{ENTRY}\n{TEST} | command | seen", "entry 2 lacks: open issue"),
        (f"{TEST} |  | seen | issue 41", "entry 1 lacks: command and seed"),
        (" | command | seen | issue 41", "entry 1 lacks: test"),
        (f"{ENTRY} | more", "has 5 parts instead of 4"),
        (ENTRY.replace("issue 41", "soon"), "not an open issue: 'soon'"),
        (ENTRY.replace("_read |", "_gone |", 1), "no such test: tests/test_known_failures.py"),
        (ENTRY.replace("test_known", "test_un", 1), "no such test: tests/test_un_failures"),
        (ENTRY.replace("tests/", "../tests/", 1), "no such test"),
    ],
)
def test_unusable_list_is_refused(text: str, expected_error: str) -> None:
    assert expected_error in _parse_error(text)


def test_program_prints_the_list_and_the_arguments_that_deselect_its_tests(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    list_file = tmp_path / "KNOWN-RED.txt"
    monkeypatch.setattr(known_failures, "LIST", list_file)
    assert CliRunner().invoke(main).output == ""
    list_file.write_text(f"{ENTRY}\n")
    result = CliRunner().invoke(main)
    assert result.exit_code == 0 and result.stdout == f"--deselect={TEST}\n"
    assert "Known to fail, not run:" in result.stderr and ENTRY in result.stderr
    list_file.write_text("nonsense\n")
    refused = CliRunner().invoke(main)
    assert refused.exit_code == 1 and refused.stdout == ""
    assert refused.stderr == "KNOWN-RED.txt: entry 1 lacks: command and seed\n"


def _parse_error(text: str) -> str:
    try:
        parse(text, known_failures.ROOT)
    except KnownFailuresError as problem:
        return str(problem)
    return ""
