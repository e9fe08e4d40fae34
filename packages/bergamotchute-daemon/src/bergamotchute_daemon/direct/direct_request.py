"""One caller's request on its way through the entry."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotchute_daemon.direct.dialect import CallerWishes
from bergamotchute_model.headers import Headers
from bergamotchute_model.node_messages import EnginePace
from bergamotchute_model.whole_configuration import RouteKind, RouteRule, ServiceRule
from bergamotchute_wire.http1_messages import RequestHead


@dataclass(frozen=True)
class DirectRequest:
    """A request that the filters let on.

    :param team: empty for a route open to all.
    :param priority: 0 is the highest.
    :param arrived_at: when it was read whole, on the runtime's clock.
    :param asked_at: when its caller first asked. One that comes back has less time left than its
        route allows.
    :param deadline: when its final answer is due, on the runtime's clock.
    :param version: the configuration that decided.
    :param pace: how the engines of the service work; ``None`` where that is not known.
    """

    head: RequestHead
    body: bytes
    wishes: CallerWishes
    route: RouteRule
    service: ServiceRule
    team: str
    priority: int
    arrived_at: float
    asked_at: float
    deadline: float
    version: int
    pace: EnginePace | None = None

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.route.kind is RouteKind.STREAM


class Refusal(Exception):
    """The entry answers a request itself.

    :param status: the HTTP status; 429 and 503 promise that the request has not run.
    :param reason: why, for the log and the caller.
    :param retry_after_s: when the caller may come back; ``None`` where that would not help.
    """

    def __init__(self, status: int, reason: str, retry_after_s: float | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s

    @property
    def headers(self) -> Headers:
        """The headers of the answer."""
        headers: Headers = (("content-type", "text/plain"),)
        if self.retry_after_s is not None:
            headers = (*headers, ("retry-after", f"{self.retry_after_s:.2f}"))
        return headers
