"""Filters that are applied to a caller's request before it is queued for an endpoint.

Each filter checks one aspect and raises a problem to refuse the request. It stores its results in
the :class:`IncomingRequest`, where later filters use them.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, TypeAlias

import anyio

from bergamotchute_daemon._asgi import HttpRequestHead, Receive, read_body
from bergamotchute_daemon.configuration_holder import ConfigurationHolder
from bergamotchute_daemon.exchange import CallerRequest, Exchange
from bergamotchute_daemon.team_limiter import TeamLimiter
from bergamotchute_daemon.view_holder import ViewHolder
from bergamotchute_model.configuration import Configuration
from bergamotchute_model.operator_file import Service, ServiceKind, Team
from bergamotchute_model.problem import Problem, ProblemCode, ProblemError
from bergamotchute_model.verdict import Verdict
from bergamotchute_policy.work import Work
from bergamotchute_policy.work_estimator import WorkEstimate, WorkEstimator
from bergamotchute_wire.endpoint_client import forwardable_headers

MODEL_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
SERVICE_PREFIX = "/v1/services/"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
DEADLINE_HEADER = "x-deadline-s"
MAX_KEY_CHARACTERS = 200
MAX_BODY_BYTES = 16 * 1024 * 1024
DEFAULT_MAX_TOKENS = 256
PROMPT_BYTES_PER_TOKEN = 4
PREFIX_HASH_BYTES = 512

RESERVED_HEADERS = frozenset(
    {IDEMPOTENCY_KEY_HEADER, DEADLINE_HEADER, "x-request-id", "x-attempt", "x-priority"}
)
"""Headers of callers that aren't forwarded, because this system sets them for endpoints."""


@dataclass
class IncomingRequest:
    """A caller's request and the results of the filters so far.

    :param receive: the ASGI callable that returns the body.
    :param request_id: unique over all entries.
    :param configuration: the configuration that all filters use for this request.
    :param received_at: on the runtime's clock, in seconds.
    :param fields: the JSON object in the body of a completion request.
    :param endpoint_path: the path and query to request from the endpoint.
    """

    head: HttpRequestHead
    receive: Receive
    request_id: str
    configuration: Configuration
    received_at: float = field(default_factory=anyio.current_time)
    team: Team | None = None
    body: bytes = b""
    fields: dict[str, Any] = field(default_factory=dict)
    service: Service | None = None
    endpoint_path: str = ""
    request: CallerRequest | None = None
    exchange: Exchange | None = None


RequestFilter: TypeAlias = Callable[[IncomingRequest], Awaitable[None]]


async def apply_filters(incoming: IncomingRequest, filters: tuple[RequestFilter, ...]) -> Exchange:
    """Apply the filters to a request and return its exchange.

    :raises ProblemError: when a filter refuses the request.
    """
    for request_filter in filters:
        await request_filter(incoming)
    assert incoming.exchange is not None
    return incoming.exchange


def require_confirmed_view(
    view: ViewHolder, holder: ConfigurationHolder, other_entries: Callable[[], tuple[str, ...]]
) -> RequestFilter:
    """Refuse requests while this entry's view isn't confirmed."""

    async def check(incoming: IncomingRequest) -> None:
        if not view.is_confirmed(anyio.current_time()):
            raise ProblemError(
                Problem(
                    503,
                    ProblemCode.VIEW_EXPIRED,
                    "this entry can't confirm its configuration; send the request to another entry",
                    refusal_verdict(incoming),
                    retry=True,
                    retry_after_s=1.0,
                    addresses=other_entries(),
                )
            )
        incoming.configuration = holder.configuration

    return check


async def identify_team(incoming: IncomingRequest) -> None:
    """Find the team by its bearer token.

    Teams are looked up by the token's digest, so that the duration of the look-up reveals nothing
    about valid tokens.
    """
    token = incoming.head.bearer_token()
    digest = hashlib.sha256(token.encode()).hexdigest()
    incoming.team = incoming.configuration.team_by_token_sha256.get(digest) if token else None
    if incoming.team is None:
        detail = (
            "the Authorization header must carry a team's bearer token"
            if not token
            else "unknown bearer token"
        )
        raise ProblemError(Problem(401, ProblemCode.UNAUTHENTICATED, detail))


async def read_request_body(incoming: IncomingRequest) -> None:
    """Read the body, up to the largest body size that any service accepts.

    The service isn't known yet: for a model it is named in the body.
    """
    limits = [service.max_body_bytes for service in incoming.configuration.services]
    incoming.body = await read_body(incoming.receive, min(max(limits, default=0), MAX_BODY_BYTES))


async def find_service(incoming: IncomingRequest) -> None:
    """Find the service by its path, or by the model that the body names."""
    path = incoming.head.path
    if path in MODEL_PATHS:
        _find_model_service(incoming)
    else:
        _find_plain_service(incoming)
    service, team = incoming.service, incoming.team
    assert team is not None
    if service is None or not incoming.configuration.may_call(team, service):
        # The same answer for both cases doesn't reveal services that the team may not call.
        raise ProblemError(Problem(404, ProblemCode.NOT_FOUND, "no such service for this team"))
    if len(incoming.body) > service.max_body_bytes:
        detail = f"service {service.name} accepts bodies of up to {service.max_body_bytes} bytes"
        raise ProblemError(Problem(413, ProblemCode.BODY_TOO_LARGE, detail))


def _find_model_service(incoming: IncomingRequest) -> None:
    """Parse the body of a completion request and find the service of its model."""
    if incoming.head.method != "POST":
        raise ProblemError(
            Problem(405, ProblemCode.BAD_REQUEST, "completion requests must use the method POST")
        )
    try:
        fields = json.loads(incoming.body)
    except (ValueError, RecursionError) as error:
        raise bad_request(f"the body is not JSON: {type(error).__name__}") from error
    if not isinstance(fields, dict):
        raise bad_request("the body must be a JSON object")
    model = fields.get("model")
    if not isinstance(model, str):
        raise bad_request("the field model must be a string")
    for name, kind in (("stream", bool), ("max_tokens", int)):
        if name in fields and type(fields[name]) is not kind:
            raise bad_request(f"{name} must be of type {kind.__name__}")
    if "resume" in fields:
        raise bad_request("the field resume is reserved and must not be sent")
    incoming.fields = fields
    incoming.service = incoming.configuration.service_by_model.get(model)
    incoming.endpoint_path = incoming.head.target


def _find_plain_service(incoming: IncomingRequest) -> None:
    """Find a plain service by the path ``/v1/services/NAME/...``."""
    name, slash, _ = incoming.head.path.removeprefix(SERVICE_PREFIX).partition("/")
    service = incoming.configuration.service_by_name.get(name)
    if service is None or service.kind is not ServiceKind.PLAIN:
        return
    incoming.service = service
    path_in_service = incoming.head.target.removeprefix(f"{SERVICE_PREFIX}{name}")
    incoming.endpoint_path = (
        path_in_service
        if slash and path_in_service.startswith("/")
        else "/" + path_in_service.lstrip("/")
    )


async def classify_request(incoming: IncomingRequest) -> None:
    """Set deadline, idempotency and priority; a non-idempotent request must carry a key."""
    service, team, head = incoming.service, incoming.team, incoming.head
    assert service is not None
    assert team is not None
    key = head.header(IDEMPOTENCY_KEY_HEADER)
    idempotent = service.kind is ServiceKind.MODEL or service.is_idempotent(head.method)
    if not idempotent and not key:
        detail = (
            f"{head.method} at service {service.name} requires an {IDEMPOTENCY_KEY_HEADER} header"
        )
        raise ProblemError(Problem(400, ProblemCode.IDEMPOTENCY_KEY_REQUIRED, detail))
    if len(key) > MAX_KEY_CHARACTERS:
        raise bad_request(
            f"{IDEMPOTENCY_KEY_HEADER} is longer than {MAX_KEY_CHARACTERS} characters"
        )
    is_model = service.kind is ServiceKind.MODEL
    incoming.request = CallerRequest(
        request_id=incoming.request_id,
        service=service.name,
        team=team.name,
        method=head.method,
        path=incoming.endpoint_path,
        headers=tuple(
            pair for pair in forwardable_headers(head.headers) if pair[0] not in RESERVED_HEADERS
        ),
        body=incoming.body,
        stream=is_model and incoming.fields.get("stream") is True,
        idempotent=not key,
        idempotency_key=key,
        deadline=incoming.received_at + _deadline_s(head, service),
        priority=incoming.configuration.level(team),
        prompt_tokens=len(incoming.body) // PROMPT_BYTES_PER_TOKEN if is_model else 0,
        max_tokens=_max_tokens(incoming.fields, service) if is_model else 1,
    )


def _deadline_s(head: HttpRequestHead, service: Service) -> float:
    """Return the caller's deadline in seconds, at most the service's maximum."""
    text = head.header(DEADLINE_HEADER)
    if not text:
        return service.deadline_s
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds < float("inf"):
        raise bad_request(f"{DEADLINE_HEADER} must be a number of seconds above 0")
    return min(seconds, service.max_deadline_s)


def _max_tokens(fields: dict[str, Any], service: Service) -> int:
    """Return the maximum number of tokens in the answer."""
    max_tokens = int(fields.get("max_tokens", service.max_tokens or DEFAULT_MAX_TOKENS))
    if max_tokens < 1:
        raise bad_request("max_tokens must be at least 1")
    if service.max_tokens and max_tokens > service.max_tokens:
        raise bad_request(f"service {service.name} allows max_tokens of up to {service.max_tokens}")
    return max_tokens


def enforce_team_limits(limiter: TeamLimiter) -> RequestFilter:
    """Enforce each team's rate and concurrency limits."""

    async def check(incoming: IncomingRequest) -> None:
        assert incoming.team is not None
        limiter.acquire(incoming.team, anyio.current_time())

    return check


def create_exchange(estimators: dict[str, WorkEstimator]) -> RequestFilter:
    """Estimate the request's work and create its exchange."""

    async def estimate(incoming: IncomingRequest) -> None:
        request, service = incoming.request, incoming.service
        assert request is not None
        assert service is not None
        estimator = estimators.setdefault(service.name, WorkEstimator())
        estimator.long_tokens = float(service.long_tokens)
        work = _build_work(request, _estimate_request(estimator, request))
        incoming.exchange = Exchange(request, work)

    return estimate


def _estimate_request(estimator: WorkEstimator, request: CallerRequest) -> WorkEstimate:
    return estimator.estimate(
        request.team, request.service, request.prompt_tokens, request.max_tokens
    )


def _build_work(request: CallerRequest, estimate: WorkEstimate) -> Work:
    prefix = hashlib.blake2b(request.body[:PREFIX_HASH_BYTES], digest_size=8).digest()
    return Work(
        request_id=request.request_id,
        service=request.service,
        team=request.team,
        expected_tokens=estimate.expected_tokens,
        size=estimate.size,
        deadline=request.deadline,
        body_bytes=len(request.body),
        idempotent=request.idempotent,
        priority=request.priority,
        prefix_hash=int.from_bytes(prefix, "big") if request.prompt_tokens else 0,
    )


def refusal_verdict(incoming: IncomingRequest) -> Verdict:
    """Return the verdict of a refusal by a filter.

    A request with a key may be the resend of a request that ran; only the quorum knows.
    """
    return Verdict.MAY_HAVE_RUN if incoming.head.header(IDEMPOTENCY_KEY_HEADER) else Verdict.NOT_RUN


def bad_request(detail: str) -> ProblemError:
    """Return the refusal of a malformed request."""
    return ProblemError(Problem(400, ProblemCode.BAD_REQUEST, detail))
