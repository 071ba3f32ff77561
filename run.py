"""Run micadeal from a checkout whose dependencies were installed into ``target/deps``."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from micadeal.cli.main import main  # noqa: E402

main()
