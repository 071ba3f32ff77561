"""Features that are switched on for a deployment.

They stand in a TOML file under ``deploy/``, the same for all its controllers.  Without a file
everything is off.
"""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from micadeal.operator.platform import InvalidSettingsError


class Options(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"renew_leases_as_follower": "stand_in"},
):
    """Optional features; each is off by default."""

    #: Followers keep workers' leases alive while nobody can lead (leadership/follower_leases.py).
    renew_leases_as_follower: bool = False


def load(path: Path) -> Options:
    """Read and check an options file.

    Raises ``InvalidSettingsError`` with one line that says what is wrong.
    """
    try:
        return msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), Options)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as problem:
        raise InvalidSettingsError(f"{path}: {problem}") from None
    except msgspec.ValidationError as problem:
        raise InvalidSettingsError(f"{path}: {str(problem).replace('`', chr(39))}") from None
