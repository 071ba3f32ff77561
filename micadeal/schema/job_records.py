"""Job descriptions in the state service: stored in one value, or split over several.

A description that fits into one value is stored in the layout that every version can read.  A
larger one is stored as compressed text in ``job/<id>`` and ``part/<id>/<number>``, written in one
transaction.  This is needed only if the service has lowered its limits.
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
from micadeal.wire.state import Item, JobPrerequisites, JobRecord, PartRecord, Put, SplitRecord

#: Size of a stored part without its text.
TEXT_OVERHEAD_BYTES = 64
#: Limit on the decompressed size of a damaged record; larger than any submission.
MAX_DECOMPRESSED_BYTES = 1 << 20
#: Limit on the number of keys that a damaged record causes to be read.
MAX_PARTS = 99
BEST_COMPRESSION = 9


def split_record(record: JobRecord, limits: Limits) -> list[Put] | None:
    """Return puts that store a large description; None if one transaction can't hold them."""
    text = base64.b64encode(zlib.compress(encode(record), BEST_COMPRESSION)).decode()
    size = limits.value_bytes - TEXT_OVERHEAD_BYTES
    texts = [text[start : start + size] for start in range(0, len(text), size)]
    if len(texts) > limits.operations:
        return None
    job_id = record.submission.job_id
    first = Put(JOBS + job_id, SplitRecord(len(texts) - 1, texts[0]))
    rest = [
        Put(part_key(job_id, number), PartRecord(text))
        for number, text in enumerate(texts[1:], start=1)
    ]
    return [first, *rest]


def part_key(job_id: str, number: int) -> str:
    """Return the key of a part; parts are numbered from 1."""
    return f"{PARTS}{job_id}/{number}"


def part_keys(value: Any, job_id: str) -> list[str]:
    """Return the keys of a description's other parts; empty if ``value`` holds all of it.

    Raises ``MessageFormatError`` if the value is damaged.
    """
    if not _is_split(value):
        return []
    parts = convert(SplitRecord, value).parts
    if not 0 <= parts <= MAX_PARTS:
        raise MessageFormatError(f"{parts} parts")
    return [part_key(job_id, number) for number in range(1, parts + 1)]


def join_parts(value: Any, parts: Sequence[Any]) -> JobRecord:
    """Decode a description from the value of its job key and the values of its other parts.

    Raises ``MessageFormatError`` if it is damaged.
    """
    if not _is_split(value):
        return convert(JobRecord, value)
    text = convert(SplitRecord, value).text
    text += "".join(convert(PartRecord, part).text for part in parts)
    try:
        compressed = base64.b64decode(text)
        data = zlib.decompressobj().decompress(compressed, MAX_DECOMPRESSED_BYTES)
    except (ValueError, zlib.error) as error:
        raise MessageFormatError(str(error)) from None
    return decode(JobRecord, data)


def _is_split(value: Any) -> bool:
    return isinstance(value, Mapping) and "parts" in value


async def read_job_record(state: StateService, item: Item, urgency: Urgency) -> JobRecord:
    """Decode the description that ``item`` holds, after reading its other parts if it has any.

    Raises ``MessageFormatError`` if one is missing: the job has ended between two reads, or the
    record is damaged.
    """
    parts: list[Any] = []
    for key in part_keys(item.value, item.key.removeprefix(JOBS)):
        part = await state.get(key, urgency)
        if part is None:
            raise MessageFormatError(f"{key} is missing")
        parts.append(part.value)
    return join_parts(item.value, parts)


def may_have_dependencies(value: Any) -> bool:
    """Return whether the job with this description may depend on others.

    Decodes only the prerequisites, since every poll of a job calls this.
    """
    try:
        return bool(convert(JobPrerequisites, value).submission.prerequisites)
    except MessageFormatError:
        # Split or damaged: the caller has to read the whole description.
        return True
