"""Counters and histograms of a daemon."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
SHOWN_PERCENTILES = (50.0, 95.0, 99.0)


@dataclass(frozen=True, slots=True)
class Series:
    """Names one counter, gauge or histogram: what it measures, and for whom."""

    name: str
    service: str
    workspace: str
    outcome: str = ""
    model: str = ""


class MetricService:
    """Counts what happened and keeps times in histograms that merge exactly.

    Gauges show what holds at present.
    """

    name = "metrics"
    requires = ()
    __slots__ = ("counts_by_series", "histograms_by_series", "gauges_by_series")

    def __init__(self):
        self.counts_by_series = {}
        self.histograms_by_series = {}
        self.gauges_by_series = {}

    async def start(self, kernel):
        """Do nothing; metrics need no other service."""

    async def stop(self):
        """Do nothing."""

    def count(self, series, amount=1):
        """Add ``amount`` to a counter."""
        self.counts_by_series[series] = self.counts_by_series.get(series, 0) + amount

    def show(self, series, value):
        """Set a gauge."""
        self.gauges_by_series[series] = value

    def hide(self, name):
        """Remove the gauges called ``name``, of which this daemon knows no more."""
        for series in [s for s in self.gauges_by_series if s.name == name]:
            del self.gauges_by_series[series]

    def observe(self, series, seconds):
        """Put a time into a histogram."""
        self.histogram(series).record_value(max(LOWEST_US, int(seconds * 1e6)))

    def histogram(self, series):
        """Return the histogram of ``series``, in microseconds."""
        histogram = self.histograms_by_series.get(series)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self.histograms_by_series[series] = histogram
        return histogram

    def text(self):
        """Return every metric in the usual text format."""
        lines = []
        for series, count in self.counts_by_series.items():
            lines.append(f"{_name(series)}_total{_labels(series)} {count}")
        for series, value in self.gauges_by_series.items():
            lines.append(f"{_name(series)}{_labels(series)} {value:g}")
        for series, histogram in self.histograms_by_series.items():
            for percentile in SHOWN_PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / 1e6
                labels = _labels(series, quantile=percentile / 100)
                lines.append(f"{_name(series)}_seconds{labels} {value:.6f}")
            count = histogram.get_total_count()
            lines.append(f"{_name(series)}_seconds_count{_labels(series)} {count}")
        return "\n".join(sorted(lines)) + "\n"


def _name(series):
    return f"pimentogap_{series.name}"


def _labels(series, **more):
    labels = {"service": series.service, "workspace": series.workspace, **more}
    if series.outcome:
        labels["outcome"] = series.outcome
    if series.model:
        labels["model"] = series.model
    return "{" + ",".join(f'{key}="{value}"' for key, value in labels.items()) + "}"
