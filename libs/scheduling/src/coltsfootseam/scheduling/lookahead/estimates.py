"""Learns how run times differ from their estimates, by image or by size."""

from collections import OrderedDict, deque

import msgspec

from coltsfootseam.jobs import Step

_WINDOW = 24
"""The median follows a change after half of this number of runs."""
_MIN_SAMPLES = 5
_MAX_CLASSES = 256
_LOW_QUANTILE = 0.15
_HIGH_QUANTILE = 0.85
_UNKNOWN_SPREAD = 2.0
_MAX_RATIO = 20.0

StepClass = tuple[str, int]


class RatioSpread(msgspec.Struct, frozen=True):
    """Ratio of run times to their estimates, with its spread."""

    low: float
    middle: float
    high: float


class EstimateRatios:
    """Ratios of recent run times to their estimates for classes of steps.

    A class has the same image, or a similar size if no image is named. The
    median and quantiles of a short window ignore a few outliers.
    """

    __slots__ = ("_spreads_by_class", "_windows_by_class")

    def __init__(self) -> None:
        self._windows_by_class: OrderedDict[StepClass, deque[float]] = (
            OrderedDict()
        )
        self._spreads_by_class: dict[StepClass, RatioSpread] = {}

    def record(self, step: Step, duration_ratio: float) -> None:
        """Records the ratio of a run time to its estimate."""
        name = _class_of(step)
        window = self._windows_by_class.get(name)
        if window is None:
            window = deque(maxlen=_WINDOW)
            self._windows_by_class[name] = window
            self._drop_oldest_class()
        self._windows_by_class.move_to_end(name)
        window.append(min(_MAX_RATIO, duration_ratio))
        self._spreads_by_class.pop(name, None)

    def spread_of(self, step: Step, pool_ratio: float) -> RatioSpread:
        """Returns the ratio to expect for a step.

        Args:
            step: The step.
            pool_ratio: Ratio of all runs of the pool, for a class of which too
                few runs have ended.
        """
        name = _class_of(step)
        known = self._spreads_by_class.get(name)
        if known is not None:
            return known
        window = self._windows_by_class.get(name, ())
        if len(window) < _MIN_SAMPLES:
            return RatioSpread(
                pool_ratio / _UNKNOWN_SPREAD,
                pool_ratio,
                pool_ratio * _UNKNOWN_SPREAD,
            )
        ratios = sorted(window)
        last = len(ratios) - 1
        spread = RatioSpread(
            ratios[round(_LOW_QUANTILE * last)],
            ratios[last // 2],
            ratios[round(_HIGH_QUANTILE * last)],
        )
        self._spreads_by_class[name] = spread
        return spread

    def _drop_oldest_class(self) -> None:
        while len(self._windows_by_class) > _MAX_CLASSES:
            name, _ = self._windows_by_class.popitem(last=False)
            self._spreads_by_class.pop(name, None)


def _class_of(step: Step) -> StepClass:
    """Returns the class of a step; each doubling of the size is one."""
    if step.image:
        return step.image, 0
    return "", step.cpu_millis.bit_length()
