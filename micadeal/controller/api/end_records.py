"""Reads and writes the records of how jobs ended, for users' requests."""

from __future__ import annotations

import logging
from datetime import timedelta

from micadeal.clock import seconds, utc_now
from micadeal.schema.decoding import decode_item
from micadeal.schema.job_records import read_job_record
from micadeal.schema.keys import ENDS
from micadeal.state.service import StateService, StateServiceError, Urgency
from micadeal.wire.codec import MessageFormatError, convert
from micadeal.wire.state import Condition, Delete, EndRecord, EndStatus, Item, Put
from micadeal.wire.users import Status

log = logging.getLogger(__name__)

#: Timeout of a transaction that a user waits for.
USER_WRITE_TIMEOUT: timedelta = seconds(2)


class UnreadableRecordError(StateServiceError):
    """A record can't be decoded, and a retry will not help."""

    def __init__(self, key: str, reason: Exception) -> None:
        super().__init__(f"unreadable record: key={key} reason={reason}")
        self.key = key
        self.reason = reason


def decode_end(item: Item) -> EndRecord:
    """Decode the end of a job; raise ``UnreadableRecordError`` if not even its status is readable.

    Guards ``forgotten``: if only the status of a damaged record is readable, users still get it.
    """
    record = decode_item(item, EndRecord)
    if record is not None:
        return record
    try:
        return EndRecord(convert(EndStatus, item.value).status)
    except MessageFormatError as problem:
        raise UnreadableRecordError(item.key, problem) from None


async def write_cancellation(state: StateService, job_id: str, item: Item) -> None:
    """Replace the record of a job, ``item``, by the record of its end as cancelled.

    Raises ``ConflictError`` if the job has ended meanwhile, ``StateServiceError`` if the outcome
    is unknown.
    """
    try:
        spec = (await read_job_record(state, item, Urgency.USER)).submission
        end = EndRecord.for_job(Status.CANCELLED, spec, utc_now().timestamp())
    except MessageFormatError:
        end = EndRecord(Status.CANCELLED, 0, utc_now().timestamp())
    await state.commit(
        [Condition(item.key, item.version), Condition(ENDS + job_id, 0)],
        [Put(ENDS + job_id, end), Delete(item.key)],
        Urgency.USER,
        timeout=USER_WRITE_TIMEOUT,
    )
