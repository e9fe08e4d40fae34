"""Whether a request may be sent to another endpoint: rules of its route, and the shared budget."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio

from bergamotchute_daemon.direct.admitted_request import AdmittedRequest
from bergamotchute_daemon.direct.request_progress import AttemptFailure, RequestProgress
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_model import events
from bergamotchute_model.verdict import Verdict
from bergamotchute_policy.retry import RetryBudget

MIN_BUDGET_ENTRIES = 10
"""Entries that share the retry budget until more are known."""

MAX_REFUSED_ATTEMPTS = 3
"""Attempts that may fail, by a refused connection or request, before the caller is refused."""


@dataclass
class RetryDecisions:
    """Decides on retries, and holds this entry's part of the shared retry budget of each service.

    :param retry_ratio: retries allowed per request of a service, in the long run.
    :param retry_capacity: the largest burst of retries of a service, over all entries.
    :param retry_refill_per_s: retries added to the budget of a service per second at any load, over
        all entries.
    :param entry_count: entries that share the budget, as far as this one was told.
    """

    log: EventLog
    retry_ratio: float
    retry_capacity: float
    retry_refill_per_s: float
    entry_count: int = MIN_BUDGET_ENTRIES
    retry_budgets: dict[str, RetryBudget] = field(default_factory=dict)

    def decide(
        self, request: AdmittedRequest, progress: RequestProgress, result: AttemptFailure
    ) -> bool:
        """Return whether to try another endpoint; if so, take the retry from the budget."""
        reason = self._reason_against_retry(request, progress, result)
        self.log_decision(request, progress, reason)
        return not reason

    def log_decision(
        self, request: AdmittedRequest, progress: RequestProgress, reason: str
    ) -> None:
        """Log whether another endpoint is tried.

        :param reason: why not; empty if it is.
        """
        self.log.emit(
            events.REQUEST_NOT_RETRIED if reason else events.REQUEST_RETRIED,
            request_id=request.metadata.request_id,
            attempt=progress.attempt_count + 1,
            resume_after=progress.stream.last_event_id,
            reason=reason,
            budget=round(self.budget(request).available_retries, 1),
        )

    def _reason_against_retry(
        self, request: AdmittedRequest, progress: RequestProgress, result: AttemptFailure
    ) -> str:
        """Return why the request must not be retried, or an empty string if it may be.

        Takes the retry from the budget in the latter case.
        """
        if result.verdict is Verdict.MAY_HAVE_RUN and not request.route.idempotent:
            return "the request may have run and is not idempotent"
        if progress.sent_count >= max(1, request.route.max_endpoints):
            return "the route's limit of endpoints per request is reached"
        if progress.attempt_count > MAX_REFUSED_ATTEMPTS:
            return "too many endpoints refused the connection or the request"
        if progress.sent_count and not self.budget(request).take_retry():
            return "the retry budget is exhausted"
        return ""

    def set_entry_count(self, entry_count: int) -> None:
        """Adjust this entry's part of the shared retry budget to the number of entries.

        The highest count that was told stays: entries that are not linked may still serve callers.
        """
        if entry_count <= self.entry_count:
            return
        self.entry_count = entry_count
        for budget in self.retry_budgets.values():
            budget.set_bounds(
                self.retry_capacity / entry_count, self.retry_refill_per_s / entry_count
            )

    def budget(self, request: AdmittedRequest) -> RetryBudget:
        """Return the refilled retry budget of the request's service."""
        name = request.service.name
        if name not in self.retry_budgets:
            self.retry_budgets[name] = RetryBudget(
                self.retry_ratio,
                self.retry_capacity / self.entry_count,
                self.retry_refill_per_s / self.entry_count,
            )
        self.retry_budgets[name].refill(anyio.current_time())
        return self.retry_budgets[name]
