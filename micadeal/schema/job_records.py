"""Descriptions of jobs as the state service holds them: in one value, or split over several.

A description that one value holds is written as every version reads it.  A larger one, which only a
service with lower limits than at first makes necessary, goes into ``job/<id>`` and ``part/<id>/…``
in one transaction, as compressed text.
"""

from __future__ import annotations

import base64
import zlib
from collections.abc import Mapping, Sequence
from typing import Any

from micadeal.schema.keys import JOBS, PARTS
from micadeal.state.limits import Limits
from micadeal.state.service import StateService, Urgency
from micadeal.wire.codec import MessageFormatError, convert, decode, encode
from micadeal.wire.state import Item, JobNeeds, JobRecord, PartRecord, Put, SplitRecord

#: What a value has beside its text.
FRAME = 64
#: Larger than any submission: a bound on what a damaged record could unpack to.
MOST_BYTES = 1 << 20


def split(record: JobRecord, limits: Limits) -> list[Put] | None:
    """Changes that store a large description; None if they do not fit into one transaction."""
    text = base64.b64encode(zlib.compress(encode(record), 9)).decode()
    size = limits.value_bytes - FRAME
    texts = [text[start : start + size] for start in range(0, len(text), size)]
    if len(texts) > limits.operations:
        return None
    job_id = record.submission.job_id
    first = Put(JOBS + job_id, SplitRecord(len(texts) - 1, texts[0]))
    return [first, *(Put(part_key(job_id, n), PartRecord(t)) for n, t in enumerate(texts) if n)]


def part_key(job_id: str, number: int) -> str:
    return f"{PARTS}{job_id}/{number}"


def part_keys(value: Any, job_id: str) -> list[str]:
    """Keys of the rest of a description; none if it is in one value."""
    if not isinstance(value, Mapping) or "parts" not in value:
        return []
    parts = convert(SplitRecord, value).parts
    if not 0 <= parts < 100:
        raise MessageFormatError(f"{parts} parts")
    return [part_key(job_id, number) for number in range(1, parts + 1)]


def join_parts(value: Any, parts: Sequence[Any]) -> JobRecord:
    """Join a description from the values of its parts; ``MessageFormatError`` if damaged."""
    if not isinstance(value, Mapping) or "parts" not in value:
        return convert(JobRecord, value)
    text = convert(SplitRecord, value).text
    text += "".join(convert(PartRecord, part).text for part in parts)
    try:
        data = zlib.decompressobj().decompress(base64.b64decode(text), MOST_BYTES)
    except (ValueError, zlib.error) as problem:
        raise MessageFormatError(str(problem)) from None
    return decode(JobRecord, data)


async def read_job_record(state: StateService, item: Item, urgency: Urgency) -> JobRecord:
    """A description, its parts read if it has any.

    Raises ``MessageFormatError`` if one is missing: the job has
    ended between two reads, or the record is damaged."""
    parts: list[Any] = []
    for key in part_keys(item.value, item.key.removeprefix(JOBS)):
        part = await state.get(key, urgency)
        if part is None:
            raise MessageFormatError(f"{key} is missing")
        parts.append(part.value)
    return join_parts(item.value, parts)


def has_dependencies(value: Any) -> bool:
    """Whether the job may name others; a quick look, since every poll asks."""
    try:
        return bool(convert(JobNeeds, value).submission.prerequisites)
    except MessageFormatError:
        # Split or damaged: to be looked at more closely.
        return True
