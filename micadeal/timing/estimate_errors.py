"""How far off the users' estimates are, by class of work, learned from what ended.

Kept in high dynamic range histograms (``hdrhistogram``, the extra ``timing``): a few kilobytes for
each class, with one hundredth of precision, however much ends.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

#: A hold allows for the worst error seen of its class, and some more: with a percentile below it
#: deadlines were missed that had been kept without holds (docs/timing.md).
BEYOND_WORST = 1.1
#: With fewer ends than this a class is not known, and nothing of it is held.
LEAST_ENDS = 20
LEAST, MOST = 1.0, 10.0
MOST_CLASSES = 100
#: Ratios are kept in thousandths, from 0.001 to 100.
SCALE = 1000
HIGHEST = 100 * SCALE


class EstimateErrors:
    """Ratios of time taken to time estimated."""

    def __init__(self) -> None:
        # Imported here: a controller that holds nothing starts without it.
        from hdrh.histogram import HdrHistogram

        self._new: Any = HdrHistogram
        self._classes: OrderedDict[str, Any] = OrderedDict()

    def ended(self, job_class: str, ratio: float) -> None:
        """One task took ``ratio`` times what was estimated."""
        histogram = self._classes.pop(job_class, None)
        if histogram is None:
            histogram = self._new(1, HIGHEST, 2)
        self._classes[job_class] = histogram
        if len(self._classes) > MOST_CLASSES:
            # Class names are the users' choice: the one that ended least lately goes.
            self._classes.popitem(last=False)
        histogram.record_value(int(min(max(ratio * SCALE, 1), HIGHEST)))

    def factor(self, job_class: str) -> float | None:
        """What to multiply an estimate of this class with, to be on the safe side; None: too few
        have ended to tell, or estimates are worth nothing."""
        histogram = self._classes.get(job_class)
        if histogram is None or histogram.get_total_count() < LEAST_ENDS:
            return None
        value: float = histogram.get_max_value() / SCALE * BEYOND_WORST
        return max(value, LEAST) if value <= MOST else None
