"""Optional features of a deployment.

A TOML file under ``deploy/`` enables them, the same file for all controllers of the deployment.
Without a file all are off.
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

    #: Followers renew workers' leases while no controller can lead (leadership/follower_leases.py).
    renew_leases_as_follower: bool = False


def load(path: Path) -> Options:
    """Read and check an options file.

    Raises ``InvalidSettingsError`` with a text of one line.
    """
    try:
        return msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), Options)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as problem:
        raise InvalidSettingsError(f"{path}: {problem}") from None
    except msgspec.ValidationError as problem:
        raise InvalidSettingsError(f"{path}: {str(problem).replace('`', chr(39))}") from None
