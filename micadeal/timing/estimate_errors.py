"""How far off users' run time estimates are, by class of jobs, learned from tasks that ended.

Ratios are kept in high dynamic range histograms (``hdrhistogram``, the extra ``timing``): a few
kilobytes for each class, to a precision of one hundredth, however many tasks end.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

#: Factors are the worst ratio seen of a class times this: with a lower percentile, deadlines were
#: missed that had been kept without holds (docs/timing.md).
SAFETY_FACTOR = 1.1
#: With fewer ended tasks a class is unknown, and nothing of it is held.
MIN_SAMPLES = 20
MIN_FACTOR = 1.0
#: Estimates that may be off by a larger factor are worth nothing.
MAX_FACTOR = 10.0
MAX_CLASSES = 100
#: Histograms hold whole numbers: ratios in thousandths, from 0.001 to 100.
SCALE = 1000
MAX_RECORDED = 100 * SCALE
SIGNIFICANT_DIGITS = 2


class EstimateErrors:
    """Ratios of time taken to time estimated, by class of jobs."""

    def __init__(self) -> None:
        # An optional dependency: a controller that defers nothing runs without it.
        from hdrh.histogram import HdrHistogram  # noqa: PLC0415 - see above

        self._histogram_type: Any = HdrHistogram
        #: By class, the one that was recorded last at the end.
        self._histograms: OrderedDict[str, Any] = OrderedDict()

    def ended(self, job_class: str, ratio: float) -> None:
        """Record that a task took ``ratio`` times its estimate."""
        histogram = self._histograms.pop(job_class, None)
        if histogram is None:
            histogram = self._histogram_type(1, MAX_RECORDED, SIGNIFICANT_DIGITS)
        self._histograms[job_class] = histogram
        if len(self._histograms) > MAX_CLASSES:
            # Users choose the names of classes: the one least recently recorded is dropped.
            self._histograms.popitem(last=False)
        histogram.record_value(int(min(max(ratio * SCALE, 1), MAX_RECORDED)))

    def factor(self, job_class: str) -> float | None:
        """Return the factor that makes an estimate of this class safe.

        None: too few tasks have ended to tell, or estimates of the class are worth nothing.
        """
        histogram = self._histograms.get(job_class)
        if histogram is None or histogram.get_total_count() < MIN_SAMPLES:
            return None
        factor: float = histogram.get_max_value() / SCALE * SAFETY_FACTOR
        return max(factor, MIN_FACTOR) if factor <= MAX_FACTOR else None
