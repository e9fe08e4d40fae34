"""One caller's request that the entry has admitted, and its refusal."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property

from bergamotchute_daemon.direct.request_format import RequestMetadata
from bergamotchute_model.headers import Headers
from bergamotchute_model.prompt_parts import request_name
from bergamotchute_model.request_digest import digest_request
from bergamotchute_model.versioned_configuration import RouteKind, RouteRule, ServiceRule
from bergamotchute_wire.http1_messages import RequestHead


@dataclass(frozen=True)
class AdmittedRequest:
    """A request that passed the filters.

    :param team: the caller's team; empty for a route open to all.
    :param priority: 0 is the most urgent.
    :param arrived_at: when the request was read completely, on the runtime's clock.
    :param first_sent_at: when the caller first sent the request, on the runtime's clock. A retry
        has less time left than the route's timeout; the difference is the time since then.
    :param deadline: when the complete response is due, on the runtime's clock.
    :param version: the version of the configuration that admitted the request.
    :param has_priorities: whether the requests of its service have different priorities.
    """

    head: RequestHead
    body: bytes
    metadata: RequestMetadata
    route: RouteRule
    service: ServiceRule
    team: str
    priority: int
    arrived_at: float
    first_sent_at: float
    deadline: float
    version: int
    has_priorities: bool = False

    @cached_property
    def digest(self) -> str:
        """The digest of what the request has in common with one that comes again."""
        return digest_request(self.team, self.head.method, self.head.target, self.body)

    @cached_property
    def suspects(self) -> tuple[str, ...]:
        """What a crash of an endpoint could be due to: this request, and parts of its prompt."""
        return (request_name(self.digest), *self.metadata.shared_parts)

    @property
    def tokens(self) -> int:
        """The tokens of the prompt and the longest output; 0 if unknown."""
        return sum(self.metadata.token_counts or ())

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self.route.kind is RouteKind.STREAM


class RequestRefused(Exception):
    """The entry responds to a request with an error of its own.

    :param status: the HTTP status; 429 and 503 guarantee that the request has not run.
    :param reason: the cause, for the log and the caller.
    :param retry_after_s: seconds after which the caller may retry; ``None`` if a retry can't help.
    """

    def __init__(self, status: int, reason: str, retry_after_s: float | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s

    @property
    def headers(self) -> Headers:
        """The headers of the response."""
        headers: Headers = (("content-type", "text/plain"),)
        if self.retry_after_s is not None:
            headers = (*headers, ("retry-after", f"{self.retry_after_s:.2f}"))
        return headers
