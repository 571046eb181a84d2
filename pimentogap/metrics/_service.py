"""Counters, gauges and histograms of a daemon."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

LOWEST_TRACKED_US = 1
HIGHEST_TRACKED_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
EXPORTED_PERCENTILES = (50.0, 95.0, 99.0)


@dataclass(frozen=True, slots=True)
class Series:
    """Identifies a counter, gauge or histogram by its name and labels."""

    name: str
    service: str
    workspace: str
    outcome: str = ""
    model: str = ""
    backend: str = ""


class MetricService:
    """Keeps counters, gauges and histograms and exports them as text.

    Durations go into HDR histograms, which merge without a loss of precision.
    """

    name = "metrics"
    requires = ()
    __slots__ = (
        "counts_by_series",
        "histograms_by_series",
        "gauges_by_series",
        "_loop_holds",
    )

    def __init__(self, loop_holds=None):
        """Create the service.

        :param loop_holds: the `LoopHolds` of the event loop, which are exported too.
        """
        self._loop_holds = loop_holds
        self.counts_by_series = {}
        self.histograms_by_series = {}
        self.gauges_by_series = {}

    async def start(self, kernel):
        """Do nothing; metrics need no other service."""

    async def stop(self):
        """Do nothing; metrics last until the process ends."""

    def count(self, series, amount=1):
        """Add ``amount`` to a counter."""
        self.counts_by_series[series] = self.counts_by_series.get(series, 0) + amount

    def set_gauge(self, series, value):
        """Set a gauge."""
        self.gauges_by_series[series] = value

    def remove_gauges(self, name):
        """Remove the gauges called ``name`` once this daemon no longer updates them."""
        for series in [s for s in self.gauges_by_series if s.name == name]:
            del self.gauges_by_series[series]

    def record_duration(self, series, seconds):
        """Record a duration in the histogram of ``series``."""
        self.histogram(series).record_value(max(LOWEST_TRACKED_US, int(seconds * 1e6)))

    def histogram(self, series):
        """Return the histogram of ``series`` in microseconds, a new one if needed."""
        histogram = self.histograms_by_series.get(series)
        if histogram is None:
            histogram = HdrHistogram(
                LOWEST_TRACKED_US, HIGHEST_TRACKED_US, SIGNIFICANT_DIGITS
            )
            self.histograms_by_series[series] = histogram
        return histogram

    def text(self):
        """Return every metric in the Prometheus text format."""
        lines = []
        for series, count in self.counts_by_series.items():
            lines.append(f"{_name(series)}_total{_labels(series)} {count}")
        for series, value in self.gauges_by_series.items():
            lines.append(f"{_name(series)}{_labels(series)} {value:g}")
        for series, histogram in self.histograms_by_series.items():
            for percentile in EXPORTED_PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / 1e6
                labels = _labels(series, quantile=percentile / 100)
                lines.append(f"{_name(series)}_seconds{labels} {value:.6f}")
            count = histogram.get_total_count()
            lines.append(f"{_name(series)}_seconds_count{_labels(series)} {count}")
        lines.sort()
        if self._loop_holds is not None:
            lines += self._loop_holds.lines()
        return "\n".join(lines) + "\n"


def _name(series):
    return f"pimentogap_{series.name}"


def _labels(series, **extra_labels):
    labels = {"service": series.service, "workspace": series.workspace, **extra_labels}
    if series.outcome:
        labels["outcome"] = series.outcome
    if series.model:
        labels["model"] = series.model
    if series.backend:
        labels["backend"] = series.backend
    pairs = (f'{key}="{_escape(value)}"' for key, value in labels.items())
    return "{" + ",".join(pairs) + "}"


def _escape(value):
    """Return ``value`` as the Prometheus text format writes it between quotes."""
    text = str(value).encode("utf-8", "backslashreplace").decode()
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
