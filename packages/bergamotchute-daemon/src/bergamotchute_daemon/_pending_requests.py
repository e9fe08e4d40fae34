"""What waits at a voter for the log: commands, reads and questions to the leader."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeAlias

from bergamotchute_consensus.membership import Member

OnSuccess: TypeAlias = Callable[[int, bytes], None]
"""Given the index that was reached, and the encoded result where there is one."""

OnFailure: TypeAlias = Callable[[bool, Member | None], None]
"""Given whether a command may still be committed, and the leader where known."""

REQUEST_S = 5.0
"""How long a request waits before it is forgotten; whoever asked has asked again by then."""


@dataclass(frozen=True)
class WaitingRequest:
    """One request.

    :param until: when it is forgotten, on the runtime's clock.
    """

    on_success: OnSuccess
    on_failure: OnFailure
    until: float


@dataclass
class VoterRequests:
    """Requests by token, and reads that wait for the state to reach an index."""

    waiting: dict[str, WaitingRequest] = field(default_factory=dict)
    reads: list[tuple[int, WaitingRequest]] = field(default_factory=list)
    count: int = 0

    def add(self, on_success: OnSuccess, on_failure: OnFailure, now: float) -> str:
        """Note a request and return its token."""
        self.count += 1
        token = str(self.count)
        self.waiting[token] = WaitingRequest(on_success, on_failure, now + REQUEST_S)
        return token

    def succeed(self, token: str, index: int, result: bytes) -> None:
        """Answer a request."""
        request = self.waiting.pop(token, None)
        if request is not None:
            request.on_success(index, result)

    def fail(self, token: str, committed_maybe: bool, leader: Member | None) -> None:
        """Refuse a request."""
        request = self.waiting.pop(token, None)
        if request is not None:
            request.on_failure(committed_maybe, leader)

    def allow_read(self, token: str, index: int, applied: int) -> None:
        """Answer a read once the state has reached ``index``."""
        request = self.waiting.pop(token, None)
        if request is not None:
            self.reads.append((index, request))
            self.on_applied(applied)

    def on_applied(self, applied: int) -> None:
        """Answer the reads that the state has reached."""
        reached = [request for index, request in self.reads if index <= applied]
        self.reads = [(index, request) for index, request in self.reads if index > applied]
        for request in reached:
            request.on_success(applied, b"")

    def forget_old(self, now: float) -> None:
        """Drop requests that nobody waits for any more."""
        for token, request in list(self.waiting.items()):
            if request.until <= now:
                del self.waiting[token]
                request.on_failure(True, None)
        self.reads = [(index, request) for index, request in self.reads if request.until > now]

    def fail_all(self) -> None:
        """Refuse everything, because the replica stops."""
        for token in list(self.waiting):
            self.fail(token, True, None)
        self.reads.clear()
