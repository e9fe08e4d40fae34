"""The time line as a picture: one lane a process, one dot an event, one line a request."""

from __future__ import annotations

from collections.abc import Iterator
from html import escape
from itertools import pairwise

from bergamotchute_model.event_record import EventRecord
from bergamotchute_model.hybrid_clock import HybridStamp

LANE_PX = 34
LEFT_PX = 150
TOP_PX = 40
WIDTH_PX = 1500
DOT_PX = 5
TICKS = 10
COLOURS = {10: "#5b6770", 11: "#1f77b4", 12: "#2ca02c", 13: "#9467bd", 14: "#ff7f0e", 15: "#17becf"}
OTHER_COLOUR = "#8c564b"
TROUBLE_COLOUR = "#d62728"
GROUPS = "process, request, attempt, control group, views and members, rank groups"
STYLE = "text{font:12px sans-serif}line{stroke:#ddd}polyline{fill:none;stroke:#1f77b455}"


def draw_svg(records: list[EventRecord]) -> str:
    """Return an SVG of events that are in the order of the time line."""
    lanes = {name: index for index, name in enumerate(sorted({r.process for r in records}))}
    times = [HybridStamp.parse(record.stamp).wall_us for record in records] or [0]
    first, span = times[0], max(times[-1] - times[0], 1)
    spots = [
        (LEFT_PX + (t - first) / span * (WIDTH_PX - LEFT_PX - 30), _lane_y(lanes[r.process]))
        for r, t in zip(records, times, strict=False)
    ]
    height = TOP_PX + LANE_PX * (len(lanes) + 1)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH_PX}" height="{height}">',
        f"<style>{STYLE}</style>",
        *_lanes(lanes),
        *_ticks(span, height),
        *_requests(records, spots),
        *(_dot(record, spot) for record, spot in zip(records, spots, strict=True)),
        "</svg>",
    ]
    return "\n".join(parts)


def draw_html(records: list[EventRecord]) -> str:
    """Return a page with the picture and, below it, each event as a row."""
    rows = "\n".join(
        f"<tr><td>{escape(r.stamp)}<td>{escape(r.process)}<td>{r.number} {escape(r.event)}"
        f"<td>{escape(_details(r))}</tr>"
        for r in records
    )
    colours = " ".join(
        f'<span style="color:{colour}">&#9679; {name}</span>'
        for colour, name in zip(COLOURS.values(), GROUPS.split(", "), strict=True)
    )
    style = "body{font:13px sans-serif}td{padding:1px 8px;font-family:monospace}"
    return (
        f"<!doctype html><meta charset=utf-8><title>Time line</title><style>{style}</style>"
        f"<p>{len(records)} events. {colours} "
        f'<span style="color:{TROUBLE_COLOUR}">&#9679; warning or error</span></p>'
        f"{draw_svg(records)}<table>{rows}</table>"
    )


def _lane_y(lane: int) -> float:
    return TOP_PX + LANE_PX * (lane + 0.5)


def _lanes(lanes: dict[str, int]) -> Iterator[str]:
    for name, index in lanes.items():
        y = _lane_y(index)
        yield f'<text x="8" y="{y + 4}">{escape(name)}</text>'
        yield f'<line x1="{LEFT_PX}" x2="{WIDTH_PX - 30}" y1="{y}" y2="{y}"/>'


def _ticks(span_us: int, height: int) -> Iterator[str]:
    for tick in range(TICKS + 1):
        x = LEFT_PX + tick / TICKS * (WIDTH_PX - LEFT_PX - 30)
        yield f'<line x1="{x:.1f}" x2="{x:.1f}" y1="{TOP_PX - 8}" y2="{height}"/>'
        seconds = span_us * tick / TICKS / 1e6
        yield f'<text x="{x:.1f}" y="20" text-anchor="middle">{seconds:.2f} s</text>'


def _requests(records: list[EventRecord], spots: list[tuple[float, float]]) -> Iterator[str]:
    """Yield a line for each request through the processes that it touched."""
    paths: dict[str, list[tuple[float, float]]] = {}
    for record, spot in zip(records, spots, strict=True):
        if record.request_id:
            paths.setdefault(record.request_id, []).append(spot)
    for request_id, path in paths.items():
        if any(a[1] != b[1] for a, b in pairwise(path)):
            points = " ".join(f"{x:.1f},{y:.1f}" for x, y in path)
            yield f'<polyline points="{points}"><title>{escape(request_id)}</title></polyline>'


def _dot(record: EventRecord, spot: tuple[float, float]) -> str:
    colour = COLOURS.get(record.number // 100, OTHER_COLOUR)
    if record.level in ("WARNING", "ERROR", "CRITICAL"):
        colour = TROUBLE_COLOUR
    title = escape(f"{record.stamp} {record.process} {record.event} {_details(record)}")
    x, y = spot
    return (
        f'<circle cx="{x:.1f}" cy="{y:.1f}" r="{DOT_PX}" fill="{colour}">'
        f"<title>{title}</title></circle>"
    )


def _details(record: EventRecord) -> str:
    values = {
        "request": record.request_id,
        "endpoint": record.endpoint,
        "group": record.group,
        "revision": "" if record.revision < 0 else record.revision,
        **record.fields,
    }
    return " ".join(f"{name}={value}" for name, value in values.items() if value != "")
