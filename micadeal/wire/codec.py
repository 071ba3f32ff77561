"""MessagePack in and out, with one error type for everything that does not decode."""

from __future__ import annotations

import json
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")

_encoder = msgspec.msgpack.Encoder()
_decoders: dict[Any, msgspec.msgpack.Decoder[Any]] = {}


class MessageFormatError(ValueError):
    """The bytes are not a message of the expected form."""


def encode(message: Any) -> bytes:
    return _encoder.encode(message)


def decode(kind: type[T], data: bytes) -> T:
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
    """Read a value that was decoded without a type (state service data) as ``kind``."""
    try:
        return msgspec.convert(value, kind)
    except (msgspec.ValidationError, RecursionError) as error:
        raise MessageFormatError(str(error)) from None


def json_size(value: Any) -> int:
    """Bytes of a value as JSON, in which the platform counts its size limits; from above: with
    spaces between fields and escapes for all that is not ASCII."""
    return len(json.dumps(msgspec.to_builtins(value)))
