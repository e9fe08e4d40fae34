"""A small fixed part of the fault matrix; ``make matrix`` runs the whole."""

from __future__ import annotations

import pytest
from tools.matrix import SEED, evaluate
from tools.proof.matrix_cells import Cell

SLICE = (
    "3:crash",
    "11:partition-inward",
    "19:stall",
    "27:drop",
    "35:mute",
    "43:partition",
    "51:delay",
    "12:crash+40:partition-outward",
)


@pytest.mark.parametrize("cell", SLICE)
def test_cell_holds_every_promise(cell: str) -> None:
    result = evaluate(cell, SEED)
    assert result.promises == (), result.detail


@pytest.mark.parametrize("text", ["", "3", "3:fire", "x:crash", "3:crash+"])
def test_a_malformed_cell_is_refused(text: str) -> None:
    with pytest.raises(ValueError, match="expected STEP:FAULT"):
        Cell.parse(text)
