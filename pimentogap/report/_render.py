"""Renders a report as text for a terminal and as an HTML page with plots."""

from html import escape

from pimentogap.objectives import Burning, WithinBudget

PLOT_WIDTH = 600
PLOT_HEIGHT = 80
PLOT_MINUTES = 360
MAX_CAUSES_SHOWN = 10
PAGE_START = (
    '<!doctype html><html lang="en"><meta charset="utf-8">'
    "<title>Service-level burn</title><style>body{font:14px sans-serif;max-width:60em;"
    "margin:2em auto}svg{background:#f4f4f4}td,th{padding:0 1em 0 0;text-align:left}"
    ".fast{color:#b00}.slow{color:#a60}.within{color:#060}</style>"
)


def render_text(report):
    """Return ``report`` as lines for a terminal."""
    lines = []
    for objective in report.objectives:
        lines.append(
            f"{objective.name}: {_title(objective)}: {_burn_state_text(objective)}"
        )
        lines.extend(
            f"  last {window.minutes:4d} min: burn {window.burn:7.2f}  "
            f"good {window.good:g}  bad {window.bad:g}"
            for window in objective.burn_state.windows
        )
        lines.extend(f"  {cause}" for cause in objective.causes[-MAX_CAUSES_SHOWN:])
    lines.append(
        f"group downtime: {sum(report.downtime_by_minute.values()):.1f} group-s"
    )
    stranded = sum(report.stranded_by_minute.values())
    lines.append(f"stranded accelerators: {stranded:.0f} accelerator-s")
    return "\n".join(lines) + "\n"


def render_page(report):
    """Return ``report`` as one HTML page with a plot for each objective."""
    parts = [PAGE_START, "<h1>Service-level burn</h1>"]
    for objective in report.objectives:
        bad = {minute: bad for minute, (_, bad) in objective.sums_by_minute.items()}
        parts.append(f"<h2>{escape(objective.name)}</h2>")
        parts.append(
            f"<p>{escape(_title(objective))}: {_burn_state_html(objective)}</p>"
        )
        parts.append(_plot(bad, report.at_minute, "bad each minute"))
        parts.append(_table(objective.burn_state.windows))
        items = "".join(
            f"<li>{escape(cause)}</li>"
            for cause in objective.causes[-MAX_CAUSES_SHOWN:]
        )
        parts.append(f"<ul>{items}</ul>" if items else "")
    parts.append("<h2>Group downtime</h2>")
    parts.append(_plot(report.downtime_by_minute, report.at_minute, "group-s a minute"))
    parts.append("<h2>Stranded accelerators</h2>")
    label = "accelerator-s a minute"
    parts.append(_plot(report.stranded_by_minute, report.at_minute, label))
    return "".join([*parts, "</html>\n"])


def _title(objective):
    threshold = f" within {objective.threshold_s:g} s" if objective.threshold_s else ""
    return (
        f"{objective.measure} of {objective.service} for {objective.workspace}, "
        f"{100 * objective.target:g} %{threshold}"
    )


def _burn_state_text(objective):
    match objective.burn_state:
        case Burning(speed, _):
            return f"burns {speed}"
        case WithinBudget():
            return "within budget"


def _burn_state_html(objective):
    match objective.burn_state:
        case Burning(speed, _):
            return f'<b class="{speed}">burns {speed}</b>'
        case WithinBudget():
            return '<b class="within">within budget</b>'


def _table(windows):
    rows = "".join(
        f"<tr><td>{w.minutes} min</td><td>{w.burn:.2f}</td><td>{w.good:g}</td>"
        f"<td>{w.bad:g}</td></tr>"
        for w in windows
    )
    head = "<tr><th>window</th><th>burn</th><th>good</th><th>bad</th></tr>"
    return f"<table>{head}{rows}</table>"


def _plot(values_by_minute, at_minute, label):
    """Return an SVG bar chart of the last `PLOT_MINUTES` minutes and its label."""
    top = max(values_by_minute.values(), default=0) or 1
    width = PLOT_WIDTH / PLOT_MINUTES
    bars = []
    for minute, value in values_by_minute.items():
        age = at_minute - minute
        if value and 0 <= age < PLOT_MINUTES:
            x = PLOT_WIDTH - (age + 1) * width
            height = PLOT_HEIGHT * value / top
            bars.append(
                f'<rect x="{x:.1f}" y="{PLOT_HEIGHT - height:.1f}" '
                f'width="{width:.2f}" height="{height:.1f}" fill="#36c"/>'
            )
    return (
        f'<svg width="{PLOT_WIDTH}" height="{PLOT_HEIGHT}" role="img">'
        f"<title>{escape(label)}, the last {PLOT_MINUTES} minutes</title>"
        f"{''.join(bars)}</svg><div>{escape(label)}, highest {top:g}</div>"
    )
