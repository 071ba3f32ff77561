"""Encodes and decodes MessagePack, with one error type for all decoding failures."""

from __future__ import annotations

import json
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")

_encoder = msgspec.msgpack.Encoder()
#: Decoders are costly to build: one is kept for each type.
_decoders: dict[Any, msgspec.msgpack.Decoder[Any]] = {}


class MessageFormatError(ValueError):
    """The bytes or the value are not a message of the expected form."""


def encode(message: Any) -> bytes:
    """Encode a message, or any value of plain types, as MessagePack."""
    return _encoder.encode(message)


def decode(kind: type[T], data: bytes) -> T:
    """Decode MessagePack as a message of type ``kind``; ``MessageFormatError`` if it is not one."""
    decoder = _decoders.get(kind)
    if decoder is None:
        decoder = _decoders[kind] = msgspec.msgpack.Decoder(kind)
    try:
        return decoder.decode(data)  # type: ignore[no-any-return]
    except (
        msgspec.DecodeError,
        msgspec.ValidationError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        raise MessageFormatError(str(error)) from None


def convert(kind: type[T], value: Any) -> T:
    """Convert a value that was decoded without a type, such as the state service's, to ``kind``.

    Raises ``MessageFormatError`` if it is not of that form.
    """
    try:
        return msgspec.convert(value, kind)
    except (msgspec.ValidationError, RecursionError) as error:
        raise MessageFormatError(str(error)) from None


def json_size(value: Any) -> int:
    """Return the size in bytes of a value as JSON, the unit of the platform's size limits.

    This is an upper bound: it includes spaces between fields and escapes all non-ASCII characters.
    """
    return len(json.dumps(msgspec.to_builtins(value)))
