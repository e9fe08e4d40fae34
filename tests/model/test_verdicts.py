"""The verdicts of two attempts combine into the verdict of their request, in either order."""

from __future__ import annotations

import pytest

from bergamotchute_model.verdict import Verdict, combine_verdicts


@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        (Verdict.NOT_RUN, Verdict.NOT_RUN, Verdict.NOT_RUN),
        (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.MAY_HAVE_RUN),
        (Verdict.MAY_HAVE_RUN, Verdict.COMPLETED, Verdict.COMPLETED),
        (Verdict.COMPLETED, Verdict.NOT_RUN, Verdict.COMPLETED),
    ],
)
def test_verdicts_of_two_attempts_combine(
    first: Verdict, second: Verdict, expected: Verdict
) -> None:
    assert combine_verdicts(first, second) is expected
    assert combine_verdicts(second, first) is expected
