"""Prints and computes figures, and reads the resource usage of a process."""

import os
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor time, user and system, in seconds and resident memory in bytes."""

    cpu_s: float
    memory_bytes: int


def figure(name, value, unit):
    """Print one figure as ``figure NAME VALUE UNIT``, which other programs parse."""
    print(f"figure {name} {value:.6g} {unit}", flush=True)


def usage(pid):
    """Return the `Usage` of process ``pid`` so far, from Linux's ``/proc``."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2]
    values = fields.split()
    cpu_s = (int(values[11]) + int(values[12])) / TICKS_PER_S
    return Usage(cpu_s, int(values[21]) * PAGE_BYTES)


def percentile(values, share):
    """Return the value below which a share of ``values`` lies.

    :param share: between 0 and 1, as 0.95 for the 95th percentile.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def slope(points):
    """Fit a line by least squares; return slope, intercept and largest residual.

    The residual is in percent of the measured value.

    :param points: pairs of size and value.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_of_squares = sum((x - mean_x) ** 2 for x, _ in points)
    gradient = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares
    intercept = mean_y - gradient * mean_x
    largest_residual = max(
        abs(y - gradient * x - intercept) / max(abs(y), 1e-12) for x, y in points
    )
    return gradient, intercept, 100 * largest_residual
