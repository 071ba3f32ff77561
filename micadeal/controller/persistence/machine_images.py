"""Records which images machines hold, as a hint for placement by the next leader.

The machines are spread over a fixed number of records, the pages.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from datetime import timedelta

from micadeal.clock import seconds
from micadeal.controller.persistence.batches import BatchDraft
from micadeal.controller.persistence.value_sizes import max_json_size
from micadeal.controller.persistence.writer_context import WriterContext
from micadeal.fleet.machines import Machine
from micadeal.schema.keys import IMAGES
from micadeal.wire.state import ImagesRecord

IMAGE_PAGES = 48
#: Minimum time between two writes of one page.
PAGE_INTERVAL = seconds(20)
MAX_IMAGES_PER_MACHINE = 12
#: Bytes of a page excluding its entries, and of an entry excluding its texts.
PAGE_OVERHEAD = 32
ENTRY_OVERHEAD = 4

#: Images by machine name, the most recently used first.
ImagesByMachine = dict[str, list[str]]


@dataclass(frozen=True, slots=True)
class _Page:
    record: ImagesRecord
    #: When the page was last compared with the images on the machines.
    checked_at: timedelta


class MachineImagesWriter:
    """Writes one page at a time, if the images on its machines have changed."""

    def __init__(self, context: WriterContext) -> None:
        self._context = context
        self._cluster = context.cluster
        self._keys = context.keys
        self._pages: dict[str, _Page] = {}

    def load(self, key: str, record: ImagesRecord, now: timedelta) -> None:
        """Adopt a page that an earlier leader has written."""
        self._pages[key] = _Page(record, now)

    def add_changed_page(self, draft: BatchDraft, now: timedelta) -> None:
        """Add one page that is due and has changed, if there is one."""
        images_of_pages: list[ImagesByMachine] | None = None
        for number in range(IMAGE_PAGES):
            key = f"{IMAGES}{number}"
            last = self._pages.get(key)
            if last is not None and now - last.checked_at < PAGE_INTERVAL:
                continue
            if images_of_pages is None:
                images_of_pages = self._images_of_pages()
            record = self._fitting_record(images_of_pages[number])
            self._pages[key] = _Page(record, now)
            # The order of use changes constantly, and a change of it alone is not written.
            if last is not None and _unordered(last.record) == _unordered(record):
                continue
            if record.machines or self._keys.versions.get(key, 0):
                draft.put(key, record)
                return

    def _images_of_pages(self) -> list[ImagesByMachine]:
        pages: list[ImagesByMachine] = [{} for _ in range(IMAGE_PAGES)]
        for machine in self._cluster.machines.values():
            if machine.images:
                page = zlib.crc32(machine.name.encode()) % IMAGE_PAGES
                pages[page][machine.name] = _latest_images(machine)
        return pages

    def _fitting_record(self, images_by_machine: ImagesByMachine) -> ImagesRecord:
        """Return a record of the machines that fit into a value; the rest is left out."""
        size, fitting = PAGE_OVERHEAD, ImagesByMachine()
        for name, images in images_by_machine.items():
            size += max_json_size(name) + sum(map(max_json_size, images)) + ENTRY_OVERHEAD
            if size > self._context.limits.guaranteed.value_bytes:
                break
            fitting[name] = images
        return ImagesRecord(fitting)


def _latest_images(machine: Machine) -> list[str]:
    by_last_use = sorted(machine.images, key=lambda image: machine.images[image], reverse=True)
    return by_last_use[:MAX_IMAGES_PER_MACHINE]


def _unordered(record: ImagesRecord) -> dict[str, set[str]]:
    return {name: set(images) for name, images in record.machines.items()}
