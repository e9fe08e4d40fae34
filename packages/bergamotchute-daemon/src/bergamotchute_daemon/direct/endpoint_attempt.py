"""One attempt at a request: its connection to an endpoint, and what it holds until it ends."""

from __future__ import annotations

from contextlib import ExitStack
from dataclasses import dataclass, field

import anyio

from bergamotchute_daemon.direct.admitted_request import AdmittedRequest
from bergamotchute_daemon.direct.endpoint_chooser import ChosenEndpoint
from bergamotchute_daemon.direct.request_progress import RequestProgress
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_wire.http1_client import EndpointExchange
from bergamotchute_wire.http1_messages import ResponseHead
from bergamotchute_wire.http1_server import ResponseWriter


@dataclass
class EndpointAttempt:
    """One request on its connection to one endpoint.

    :param number: counts the attempts of the request, from 1.
    :param events_before: events that the caller had when the attempt began.
    :param started_at: when the attempt began, on the runtime's clock.
    :param sent_at: when the request was sent on the open connection, on the runtime's clock.
    :param exchange: ``None`` until the connection is open.
    :param head: the head of a response that can be forwarded; ``None`` until it was read.
    :param body: the body that was read ahead: the first chunk of a stream, or all of another
        response; ``None`` if nothing was.
    :param is_hedge: whether it was sent beside an attempt that was slow.
    :param has_failed: whether a failure of the endpoint was recorded.
    :param resources: the slot, the buffered bytes and the load that the attempt counts as.
    """

    request: AdmittedRequest
    writer: ResponseWriter
    progress: RequestProgress
    chosen: ChosenEndpoint
    number: int
    events_before: int
    started_at: float = field(default_factory=anyio.current_time)
    sent_at: float = 0.0
    exchange: EndpointExchange | None = None
    head: ResponseHead | None = None
    body: bytes | None = None
    is_hedge: bool = False
    has_failed: bool = False
    resources: ExitStack = field(default_factory=ExitStack)

    @property
    def endpoint(self) -> EndpointHeartbeat:
        """The endpoint to which the request is sent."""
        return self.chosen.candidate.heartbeat

    @property
    def connection(self) -> EndpointExchange:
        """The open connection."""
        assert self.exchange is not None
        return self.exchange

    @property
    def is_stream(self) -> bool:
        """Whether the response is forwarded event by event."""
        return self.head is not None and self.request.is_stream and 200 <= self.head.status < 300

    async def close(self) -> None:
        """Close the connection and release what the attempt holds."""
        self.resources.close()
        if self.exchange is not None:
            await self.exchange.close()
