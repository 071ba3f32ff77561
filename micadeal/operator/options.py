"""What operators switch on for a deployment: a TOML file under ``deploy/``, the same for all its
controllers.  Everything is off where no file is given."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from micadeal.operator.platform import BadSettings


class Options(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    #: Followers keep workers' leases alive while nobody can lead (leadership/standin.py).
    stand_in: bool = False


def load(path: Path) -> Options:
    """Raises ``BadSettings`` with one line that says what is wrong."""
    try:
        return msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), Options)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as problem:
        raise BadSettings(f"{path}: {problem}") from None
    except msgspec.ValidationError as problem:
        raise BadSettings(f"{path}: {str(problem).replace('`', chr(39))}") from None
