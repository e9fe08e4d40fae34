"""What the entry reads from the headers of an endpoint's response, in the platform's format."""

from __future__ import annotations

import math

import pytest

from bergamotchute_platform.request_format import REQUEST_FORMAT
from bergamotchute_wire.http1_messages import ResponseHead


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([], math.inf),
        (["0"], 0.0),
        (["0.3"], 0.3),
        ([".5"], 0.5),
        (["12"], 12.0),
        (["9" * 15], float("9" * 15)),
        (["9" * 16], None),
        (["5", "2.5"], 2.5),
        (["5", "five"], None),
        (["5,3"], None),
        (["-1"], None),
        (["+1"], None),
        (["nan"], None),
        (["inf"], None),
        (["1e400"], None),
        (["9" * 4000], None),
        (["٣"], None),
        (["1_000"], None),
        ([""], None),
    ],
)
def test_rate_limit_is_a_plain_decimal_number(values: list[str], expected: float | None) -> None:
    head = ResponseHead(200, tuple(("server-limit", value) for value in values))
    assert REQUEST_FORMAT.read_response(head).rate_limit == expected
