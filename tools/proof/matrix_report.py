"""The fault matrix as a page: a row a step, a column a fault, pairs below."""

from __future__ import annotations

from collections.abc import Sequence
from html import escape
from typing import Protocol

from tools.proof.matrix_cells import FAULTS

STYLE = """body{font:13px sans-serif;margin:20px}table{border-collapse:collapse}
td,th{border:1px solid #ddd;padding:2px 6px;font-size:12px}th{position:sticky;top:0;background:#fff}
.ok{background:#cfe8cf}.red{background:#e05252;color:#fff}.none{background:#f4f4f4}"""


class Judged(Protocol):
    """What the page needs of a cell's result."""

    @property
    def cell(self) -> str:
        """The cell's name."""

    @property
    def promises(self) -> tuple[str, ...]:
        """The promises that it broke."""

    @property
    def detail(self) -> str:
        """The first violation."""


def draw_report(steps: list[str], results: Sequence[Judged], seed: int) -> str:
    """Return the page.

    :param steps: process and event of each step of the clean run.
    """
    by_name = {result.cell: result for result in results}
    red = [result for result in results if result.promises]
    head = "".join(f"<th>{fault}</th>" for fault in FAULTS)
    rows = "".join(
        f"<tr><td>{number}</td><td>{escape(step)}</td>"
        + "".join(_square(by_name.get(f"{number}:{fault}")) for fault in FAULTS)
        + "</tr>"
        for number, step in enumerate(steps)
    )
    pairs = [result for result in results if "+" in result.cell]
    red_pairs = [result for result in pairs if result.promises]
    listed = "".join(
        f"<li><code>python -m tools.matrix --seed {seed} --cell {result.cell}</code> "
        f"{escape(', '.join(result.promises))}: {escape(result.detail)}</li>"
        for result in red
    )
    return (
        f"<!doctype html><meta charset=utf-8><title>Fault matrix</title><style>{STYLE}</style>"
        f"<h1>Fault matrix, seed {seed}</h1><p>{len(results)} cells run, "
        f"{len(results) - len(red)} passed, {len(red)} red; of {len(pairs)} pairs "
        f"{len(red_pairs)} red.</p><ol>{listed}</ol>"
        f"<table><tr><th>step</th><th>event of the clean run</th>{head}</tr>{rows}</table>"
    )


def _square(result: Judged | None) -> str:
    if result is None:
        return "<td class=none></td>"
    if not result.promises:
        return "<td class=ok></td>"
    return (
        f'<td class=red title="{escape(result.detail)}">{escape(", ".join(result.promises))}</td>'
    )
