"""Counters, gauges and histograms."""

from pimentogap.metrics._loop_holds import LoopHolds, measured_event_loop
from pimentogap.metrics._service import MetricService, Series

__all__ = ["LoopHolds", "MetricService", "Series", "measured_event_loop"]
