"""Whether a request may have run."""

from __future__ import annotations

from enum import StrEnum


class Verdict(StrEnum):
    """What is known about the execution of a request or an attempt.

    Only proof gives :attr:`NOT_RUN`: nothing was written to the endpoint, or its agent confirmed
    that the attempt never started and never will. Everything else that failed is
    :attr:`MAY_HAVE_RUN`.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    COMPLETED = "completed"


def combine(first: Verdict, second: Verdict) -> Verdict:
    """Return what two attempts of one request say together.

    One completed attempt completes the request; one that may have run leaves it so.
    """
    if Verdict.COMPLETED in (first, second):
        return Verdict.COMPLETED
    if Verdict.MAY_HAVE_RUN in (first, second):
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN
