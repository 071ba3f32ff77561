"""Errors of users' run time estimates, by class of jobs, learned from ended tasks.

Ratios are kept in high dynamic range histograms (``hdrhistogram``, in the optional dependencies
``timing``): a few kilobytes per class at a precision of 1 %, for any number of tasks.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

#: Multiplies the highest ratio of a class.  The highest one, since with a lower percentile jobs
#: missed deadlines that they met without deferral (docs/timing.md).
SAFETY_FACTOR = 1.1
#: With fewer ended tasks the errors of a class are unknown, and its jobs are not deferred.
MIN_SAMPLES = 20
MIN_FACTOR = 1.0
#: If the factor of a class is larger, its estimates are unusable and its jobs are not deferred.
MAX_FACTOR = 10.0
MAX_CLASSES = 100
#: Histograms hold integers: ratios in thousandths, from 0.001 to 100.
SCALE = 1000
MAX_RECORDED = 100 * SCALE
SIGNIFICANT_DIGITS = 2


class EstimateErrors:
    """Ratios of run time to estimate, by class of jobs."""

    def __init__(self) -> None:
        # An optional dependency: a controller without deferral runs without it.
        from hdrh.histogram import HdrHistogram  # noqa: PLC0415 - see above

        self._histogram_type: Any = HdrHistogram
        #: Histograms by class; the class with the latest recorded task is at the end.
        self._histograms: OrderedDict[str, Any] = OrderedDict()

    def record(self, job_class: str, ratio: float) -> None:
        """Record that a task ended after ``ratio`` times its estimate."""
        histogram = self._histograms.pop(job_class, None)
        if histogram is None:
            histogram = self._histogram_type(1, MAX_RECORDED, SIGNIFICANT_DIGITS)
        self._histograms[job_class] = histogram
        if len(self._histograms) > MAX_CLASSES:
            # Users choose the names of classes, so their number needs a bound.  The class whose
            # last recorded task is oldest is dropped.
            self._histograms.popitem(last=False)
        histogram.record_value(int(min(max(ratio * SCALE, 1), MAX_RECORDED)))

    def factor(self, job_class: str) -> float | None:
        """Return the factor by which to multiply an estimate of this class to be safe.

        None: too few tasks have ended, or the estimates of the class are unusable.
        """
        histogram = self._histograms.get(job_class)
        if histogram is None or histogram.get_total_count() < MIN_SAMPLES:
            return None
        factor: float = histogram.get_max_value() / SCALE * SAFETY_FACTOR
        return max(factor, MIN_FACTOR) if factor <= MAX_FACTOR else None
