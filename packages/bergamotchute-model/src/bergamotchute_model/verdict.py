"""Verdicts on whether a request may have run."""

from __future__ import annotations

from enum import StrEnum


class Verdict(StrEnum):
    """Knowledge about the execution of a request or an attempt.

    :attr:`NOT_RUN` requires proof: nothing was written to the endpoint, or its agent confirmed that
    the attempt never started and never will. Any other failure is :attr:`MAY_HAVE_RUN`.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    COMPLETED = "completed"


def combine_verdicts(first: Verdict, second: Verdict) -> Verdict:
    """Combine the verdicts of two attempts into the verdict of their request.

    A completed attempt takes precedence, then one that may have run.
    """
    if Verdict.COMPLETED in (first, second):
        return Verdict.COMPLETED
    if Verdict.MAY_HAVE_RUN in (first, second):
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN
