"""Files that the documentation names exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PAGES = sorted(page.name for page in (ROOT / "docs").glob("*.md"))


def test_every_path_on_the_architecture_page_exists() -> None:
    text = (ROOT / "docs" / "architecture.md").read_text(encoding="utf-8")
    named = re.findall(r"`((?:micadeal|tests|bench)/[\w/.]*|run\.py|\.importlinter)`", text)
    assert len(named) > 20
    assert [path for path in named if not (ROOT / path).exists()] == []


@pytest.mark.parametrize("page", PAGES)
def test_relative_links_of_pages_lead_to_files(page: str) -> None:
    text = (ROOT / "docs" / page).read_text(encoding="utf-8")
    targets = re.findall(r"\]\((?!https?:|#)([^)#\s]+)", text)
    assert [target for target in targets if not (ROOT / "docs" / target).exists()] == []
