"""Losses as a picture: time across, causes stacked."""

from __future__ import annotations

from html import escape

from bergamotchute_cli.loss_ledger import LossCause, LossLedger

BAR_PX = 12
HEIGHT_PX = 320
LEFT_PX = 40
LEGEND_PX = 18
COLOURS = (
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


def draw_losses(ledger: LossLedger) -> str:
    """Return an SVG with a bar for each second: in time at the bottom, losses above."""
    seconds = range(min(ledger.asked, default=0), max(ledger.asked, default=0) + 1)
    scale = HEIGHT_PX / max([*ledger.asked.values(), 1])
    causes = list(LossCause)
    width = LEFT_PX + BAR_PX * len(seconds) + 20
    height = HEIGHT_PX + LEGEND_PX * (len(causes) + 3)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{max(width, 480)}" height="{height}">',
        "<style>text{font:12px sans-serif}</style>",
    ]
    for place, second in enumerate(seconds):
        x = LEFT_PX + place * BAR_PX
        lost = [ledger.losses[second, cause] for cause in causes]
        counts = [ledger.asked[second] - sum(lost), *lost]
        y = float(HEIGHT_PX)
        for count, colour in zip(counts, (IN_TIME_COLOUR, *COLOURS), strict=True):
            y -= count * scale
            if count:
                parts.append(_bar(x, y, count * scale, colour))
        if second % 5 == 0:
            parts.append(f'<text x="{x}" y="{HEIGHT_PX + 14}">{second}</text>')
    for place, (cause, colour) in enumerate(zip(causes, COLOURS, strict=True)):
        y = HEIGHT_PX + LEGEND_PX * (place + 2)
        parts.append(_bar(LEFT_PX, y, 10, colour))
        parts.append(f'<text x="{LEFT_PX + 18}" y="{y + 10}">{escape(cause)}</text>')
    return "\n".join([*parts, "</svg>"])


def _bar(x: float, y: float, height: float, colour: str) -> str:
    return f'<rect x="{x}" y="{y:.1f}" width="{BAR_PX - 2}" height="{height:.1f}" fill="{colour}"/>'
