"""SVG chart of lost requests: a stacked bar of causes for each second."""

from __future__ import annotations

from html import escape

from bergamotchute_cli.loss_report import LossCause, LossReport

BAR_WIDTH_PX = 12
CHART_HEIGHT_PX = 320
LEFT_MARGIN_PX = 40
LEGEND_ROW_HEIGHT_PX = 18
CAUSE_COLOURS = (
    "#ff7f0e",
    "#d62728",
    "#9467bd",
    "#8c564b",
    "#e377c2",
    "#bcbd22",
    "#17becf",
    "#1f77b4",
    "#7f7f7f",
    "#2f4f4f",
    "#c0c0c0",
)
IN_TIME_COLOUR = "#d9ead3"


def draw_loss_chart(report: LossReport) -> str:
    """Return an SVG with a bar for each second: served in time at the bottom, losses above."""
    seconds = range(
        min(report.request_counts, default=0), max(report.request_counts, default=0) + 1
    )
    px_per_request = CHART_HEIGHT_PX / max([*report.request_counts.values(), 1])
    causes = list(LossCause)
    width = LEFT_MARGIN_PX + BAR_WIDTH_PX * len(seconds) + 20
    height = CHART_HEIGHT_PX + LEGEND_ROW_HEIGHT_PX * (len(causes) + 3)
    elements = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{max(width, 480)}" height="{height}">',
        "<style>text{font:12px sans-serif}</style>",
    ]
    for index, second in enumerate(seconds):
        x = LEFT_MARGIN_PX + index * BAR_WIDTH_PX
        loss_counts = [report.losses[second, cause] for cause in causes]
        counts = [report.request_counts[second] - sum(loss_counts), *loss_counts]
        y = float(CHART_HEIGHT_PX)
        for count, colour in zip(counts, (IN_TIME_COLOUR, *CAUSE_COLOURS), strict=True):
            y -= count * px_per_request
            if count:
                elements.append(_draw_bar(x, y, count * px_per_request, colour))
        if second % 5 == 0:
            elements.append(f'<text x="{x}" y="{CHART_HEIGHT_PX + 14}">{second}</text>')
    for index, (cause, colour) in enumerate(zip(causes, CAUSE_COLOURS, strict=True)):
        y = CHART_HEIGHT_PX + LEGEND_ROW_HEIGHT_PX * (index + 2)
        elements.append(_draw_bar(LEFT_MARGIN_PX, y, 10, colour))
        elements.append(f'<text x="{LEFT_MARGIN_PX + 18}" y="{y + 10}">{escape(cause)}</text>')
    return "\n".join([*elements, "</svg>"])


def _draw_bar(x: float, y: float, height: float, colour: str) -> str:
    return (
        f'<rect x="{x}" y="{y:.1f}" width="{BAR_WIDTH_PX - 2}" '
        f'height="{height:.1f}" fill="{colour}"/>'
    )
