"""Requests at a voter that wait for the log or the leader: commands, reads, status queries."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeAlias

from bergamotchute_consensus.membership import Member

OnSuccess: TypeAlias = Callable[[int, bytes], None]
"""Called with the log index reached and the encoded result, empty where there is none."""

OnFailure: TypeAlias = Callable[[bool, Member | None], None]
"""Called with whether a command may still be committed, and the leader if known."""

REQUEST_TIMEOUT_S = 5.0
"""How long a request waits before it expires; by then its sender has sent it again."""


@dataclass(frozen=True)
class PendingRequest:
    """A request that waits for its outcome.

    :param expires_at: when the request expires, on the runtime's clock in seconds.
    """

    on_success: OnSuccess
    on_failure: OnFailure
    expires_at: float


@dataclass
class PendingRequests:
    """Pending requests by token, and reads that wait for the state to reach an index.

    An answer may arrive after the process that asked has been restarted on the same folder, so a
    token names the run of the process as well as the request.

    :param incarnation: identifies this run of the process; unique to each start.
    """

    incarnation: str
    waiting: dict[str, PendingRequest] = field(default_factory=dict)
    waiting_reads: list[tuple[int, PendingRequest]] = field(default_factory=list)
    request_count: int = 0

    def add(self, on_success: OnSuccess, on_failure: OnFailure, now: float) -> str:
        """Record a request and return its token."""
        self.request_count += 1
        token = f"{self.incarnation}-{self.request_count}"
        self.waiting[token] = PendingRequest(on_success, on_failure, now + REQUEST_TIMEOUT_S)
        return token

    def succeed(self, token: str, index: int, result: bytes) -> None:
        """Complete a request with a result."""
        request = self.waiting.pop(token, None)
        if request is not None:
            request.on_success(index, result)

    def fail(self, token: str, committed_maybe: bool, leader: Member | None) -> None:
        """Complete a request as failed."""
        request = self.waiting.pop(token, None)
        if request is not None:
            request.on_failure(committed_maybe, leader)

    def allow_read(self, token: str, index: int, applied_index: int) -> None:
        """Answer a read, once the state has reached ``index``."""
        request = self.waiting.pop(token, None)
        if request is not None:
            self.waiting_reads.append((index, request))
            self.on_applied(applied_index)

    def on_applied(self, applied_index: int) -> None:
        """Answer the reads whose index the state has reached."""
        reached = [request for index, request in self.waiting_reads if index <= applied_index]
        self.waiting_reads = [
            (index, request) for index, request in self.waiting_reads if index > applied_index
        ]
        for request in reached:
            request.on_success(applied_index, b"")

    def expire_requests(self, now: float) -> None:
        """Fail the requests and drop the reads that have expired."""
        for token, request in list(self.waiting.items()):
            if request.expires_at <= now:
                del self.waiting[token]
                request.on_failure(True, None)
        self.waiting_reads = [
            (index, request) for index, request in self.waiting_reads if request.expires_at > now
        ]

    def fail_all(self) -> None:
        """Fail every request and drop every read, because the replica stops."""
        for token in list(self.waiting):
            self.fail(token, True, None)
        self.waiting_reads.clear()
