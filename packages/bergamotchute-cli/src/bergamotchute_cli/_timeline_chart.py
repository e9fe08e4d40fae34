"""SVG chart of a timeline: a lane per process, a dot per event, a line per request."""

from __future__ import annotations

from collections.abc import Iterator
from html import escape
from itertools import pairwise

from bergamotchute_model.event_record import EventRecord
from bergamotchute_model.hybrid_clock import HybridTimestamp

LANE_HEIGHT_PX = 34
LEFT_MARGIN_PX = 150
TOP_MARGIN_PX = 40
WIDTH_PX = 1500
DOT_RADIUS_PX = 5
TICK_COUNT = 10
EVENT_GROUP_COLOURS = {
    10: "#5b6770",
    11: "#1f77b4",
    12: "#2ca02c",
    13: "#9467bd",
    14: "#ff7f0e",
    15: "#17becf",
}
OTHER_COLOUR = "#8c564b"
WARNING_COLOUR = "#d62728"
EVENT_GROUP_NAMES = "process, request, attempt, control group, views and members, rank groups"
STYLE = "text{font:12px sans-serif}line{stroke:#ddd}polyline{fill:none;stroke:#1f77b455}"


def draw_svg(records: list[EventRecord]) -> str:
    """Return an SVG of events, which must be in timeline order."""
    lane_indices = {name: index for index, name in enumerate(sorted({r.process for r in records}))}
    times_us = [HybridTimestamp.parse(record.stamp).wall_us for record in records] or [0]
    start_us, span_us = times_us[0], max(times_us[-1] - times_us[0], 1)
    positions = [
        (
            LEFT_MARGIN_PX + (time_us - start_us) / span_us * (WIDTH_PX - LEFT_MARGIN_PX - 30),
            _lane_y(lane_indices[r.process]),
        )
        for r, time_us in zip(records, times_us, strict=False)
    ]
    height_px = TOP_MARGIN_PX + LANE_HEIGHT_PX * (len(lane_indices) + 1)
    elements = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH_PX}" height="{height_px}">',
        f"<style>{STYLE}</style>",
        *_draw_lanes(lane_indices),
        *_draw_time_ticks(span_us, height_px),
        *_draw_request_paths(records, positions),
        *(
            _draw_event(record, position)
            for record, position in zip(records, positions, strict=True)
        ),
        "</svg>",
    ]
    return "\n".join(elements)


def draw_html(records: list[EventRecord]) -> str:
    """Return an HTML page with the chart and a table of the events below."""
    rows = "\n".join(
        f"<tr><td>{escape(r.stamp)}<td>{escape(r.process)}<td>{r.number} {escape(r.event)}"
        f"<td>{escape(_format_details(r))}</tr>"
        for r in records
    )
    legend = " ".join(
        f'<span style="color:{colour}">&#9679; {name}</span>'
        for colour, name in zip(
            EVENT_GROUP_COLOURS.values(), EVENT_GROUP_NAMES.split(", "), strict=True
        )
    )
    style = "body{font:13px sans-serif}td{padding:1px 8px;font-family:monospace}"
    return (
        f"<!doctype html><meta charset=utf-8><title>Timeline</title><style>{style}</style>"
        f"<p>{len(records)} events. {legend} "
        f'<span style="color:{WARNING_COLOUR}">&#9679; warning or error</span></p>'
        f"{draw_svg(records)}<table>{rows}</table>"
    )


def _lane_y(lane: int) -> float:
    return TOP_MARGIN_PX + LANE_HEIGHT_PX * (lane + 0.5)


def _draw_lanes(lane_indices: dict[str, int]) -> Iterator[str]:
    for name, index in lane_indices.items():
        y = _lane_y(index)
        yield f'<text x="8" y="{y + 4}">{escape(name)}</text>'
        yield f'<line x1="{LEFT_MARGIN_PX}" x2="{WIDTH_PX - 30}" y1="{y}" y2="{y}"/>'


def _draw_time_ticks(span_us: int, height_px: int) -> Iterator[str]:
    for tick in range(TICK_COUNT + 1):
        x = LEFT_MARGIN_PX + tick / TICK_COUNT * (WIDTH_PX - LEFT_MARGIN_PX - 30)
        yield f'<line x1="{x:.1f}" x2="{x:.1f}" y1="{TOP_MARGIN_PX - 8}" y2="{height_px}"/>'
        seconds = span_us * tick / TICK_COUNT / 1e6
        yield f'<text x="{x:.1f}" y="20" text-anchor="middle">{seconds:.2f} s</text>'


def _draw_request_paths(
    records: list[EventRecord], positions: list[tuple[float, float]]
) -> Iterator[str]:
    """Yield a polyline for each request that passed through several processes."""
    paths: dict[str, list[tuple[float, float]]] = {}
    for record, position in zip(records, positions, strict=True):
        if record.request_id:
            paths.setdefault(record.request_id, []).append(position)
    for request_id, path in paths.items():
        if any(start[1] != end[1] for start, end in pairwise(path)):
            points = " ".join(f"{x:.1f},{y:.1f}" for x, y in path)
            yield f'<polyline points="{points}"><title>{escape(request_id)}</title></polyline>'


def _draw_event(record: EventRecord, position: tuple[float, float]) -> str:
    colour = EVENT_GROUP_COLOURS.get(record.number // 100, OTHER_COLOUR)
    if record.level in ("WARNING", "ERROR", "CRITICAL"):
        colour = WARNING_COLOUR
    title = escape(f"{record.stamp} {record.process} {record.event} {_format_details(record)}")
    x, y = position
    return (
        f'<circle cx="{x:.1f}" cy="{y:.1f}" r="{DOT_RADIUS_PX}" fill="{colour}">'
        f"<title>{title}</title></circle>"
    )


def _format_details(record: EventRecord) -> str:
    values = {
        "request": record.request_id,
        "endpoint": record.endpoint,
        "group": record.group,
        "revision": "" if record.revision < 0 else record.revision,
        **record.fields,
    }
    return " ".join(f"{name}={value}" for name, value in values.items() if value != "")
