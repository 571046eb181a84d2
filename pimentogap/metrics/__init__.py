"""Counters, gauges and histograms."""

from pimentogap.metrics._service import MetricService, Series

__all__ = ["MetricService", "Series"]
