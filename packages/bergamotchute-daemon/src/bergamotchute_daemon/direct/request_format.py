"""The interface between the entry and a platform's message formats."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.versioned_configuration import VersionedConfiguration
from bergamotchute_wire.http1_messages import RequestHead, ResponseHead


@dataclass(frozen=True)
class RequestMetadata:
    """Metadata that the entry reads from the head of a caller's request.

    :param team_key: the API key of the caller's team.
    :param time_left_s: how long the caller waits, in seconds; ``None`` if not given.
    :param resume_after: the id of the last event that the caller has; empty to start from the
        first.
    :param shared_parts: the identifiers of the parts of the prompt, without the last, which belongs
        to this request or its session alone.
    :param token_counts: the prompt tokens and the maximum of output tokens; ``None`` if unknown.
    """

    request_id: str
    team_key: str
    time_left_s: float | None
    resume_after: str = ""
    shared_parts: tuple[str, ...] = ()
    token_counts: tuple[int, int] | None = None


@dataclass(frozen=True)
class ForwardMetadata:
    """Metadata that the entry adds to the head of a request to an endpoint.

    :param endpoint: the endpoint that the request is meant for.
    :param time_left_s: how long the endpoint may work on the request, in seconds.
    :param team: the team whose key the caller has; empty for a route open to all.
    :param resume_after: the id of the last event that the caller has; empty to start from the
        first.
    :param urgency: from 0, the most urgent, to 9.
    :param body_bytes: the size of the body.
    """

    endpoint: EndpointHeartbeat
    time_left_s: float
    team: str
    resume_after: str
    urgency: int
    body_bytes: int


@dataclass(frozen=True)
class ResponseMetadata:
    """Metadata that the entry reads from the head of an endpoint's response.

    :param request_id: the request that the response belongs to.
    :param signed: whether the endpoint signed the response.
    :param not_run: whether the endpoint confirms that the request has not run and will not.
    :param wrong_endpoint: whether another endpoint has taken over the address.
    :param requests: requests that the endpoint holds; ``None`` if not given.
    :param leaving: whether the endpoint is about to stop and accepts no new requests.
    :param retry_after_s: seconds for which an endpoint that refused wants no requests; ``None`` if
        not given.
    :param rate_limit: the requests a second that the endpoint takes from all entries together;
        infinity for no limit, ``None`` if the value can't be read.
    """

    request_id: str
    signed: bool
    not_run: bool
    wrong_endpoint: bool
    requests: int | None
    leaving: bool = False
    retry_after_s: float | None = None
    rate_limit: float | None = math.inf


@dataclass(frozen=True)
class RequestFormat:
    """The functions that read and write one platform's messages; they decide nothing.

    :param read_configuration: raises :class:`ValueError` for an invalid configuration.
    """

    read_request: Callable[[RequestHead], RequestMetadata]
    write_request: Callable[[RequestHead, ForwardMetadata], RequestHead]
    read_response: Callable[[ResponseHead], ResponseMetadata]
    read_configuration: Callable[[bytes], VersionedConfiguration]
