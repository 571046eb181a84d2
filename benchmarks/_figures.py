"""Prints figures, and reads what the operating system counts for a process."""

import os
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor time in seconds and resident memory in bytes of a process."""

    cpu_s: float
    memory_bytes: int


def figure(name, value, unit):
    """Print one figure in the form that other programs read."""
    print(f"figure {name} {value:.6g} {unit}", flush=True)


def usage(pid):
    """Return the `Usage` of the process ``pid``."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2]
    values = fields.split()
    cpu_s = (int(values[11]) + int(values[12])) / TICKS_PER_S
    return Usage(cpu_s, int(values[21]) * PAGE_BYTES)


def percentile(values, share):
    """Return the value below which ``share`` of ``values`` lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def slope(points):
    """Return the slope, the intercept and the largest residual in percent.

    :param points: pairs of size and value; fitted by least squares.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    gradient = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - gradient * mean_x
    worst = max(
        abs(y - gradient * x - intercept) / max(abs(y), 1e-12) for x, y in points
    )
    return gradient, intercept, 100 * worst
