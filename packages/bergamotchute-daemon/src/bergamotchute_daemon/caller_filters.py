"""The filters that a caller's request passes before it may wait for an endpoint.

Each filter looks at one matter and either lets the request on or raises the problem that refuses
it. What a filter finds, the later ones use.
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
from bergamotchute_wire.endpoint_client import pass_on

MODEL_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
SERVICE_PREFIX = "/v1/services/"
KEY_HEADER = "idempotency-key"
DEADLINE_HEADER = "x-deadline-s"
MAX_KEY_CHARACTERS = 200
MAX_BODY_BYTES = 16 * 1024 * 1024
DEFAULT_MAX_TOKENS = 256
PROMPT_BYTES_PER_TOKEN = 4
PREFIX_BYTES = 512

OWN_HEADERS = frozenset({KEY_HEADER, DEADLINE_HEADER, "x-request-id", "x-attempt", "x-priority"})
"""Headers that this system sets towards endpoints."""


@dataclass
class Incoming:
    """A caller's request on its way through the filters.

    :param receive: gives the body.
    :param request_id: unique over all entries.
    :param configuration: the one configuration by which this request is judged.
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


RequestFilter: TypeAlias = Callable[[Incoming], Awaitable[None]]


async def pass_filters(incoming: Incoming, filters: tuple[RequestFilter, ...]) -> Exchange:
    """Take a request through the filters.

    :raises ProblemError: by the filter that refuses it.
    """
    for one in filters:
        await one(incoming)
    assert incoming.exchange is not None
    return incoming.exchange


def require_confirmed_view(
    view: ViewHolder, holder: ConfigurationHolder, other_entries: Callable[[], tuple[str, ...]]
) -> RequestFilter:
    """Refuse while this entry's view isn't confirmed."""

    async def check(incoming: Incoming) -> None:
        if not view.is_confirmed(anyio.current_time()):
            raise ProblemError(
                Problem(
                    503,
                    ProblemCode.VIEW_EXPIRED,
                    "this entry can't confirm its configuration now; use another",
                    refusal_verdict(incoming),
                    retry=True,
                    retry_after_s=1.0,
                    addresses=other_entries(),
                )
            )
        incoming.configuration = holder.configuration

    return check


async def identify_team(incoming: Incoming) -> None:
    """Find the team by its bearer token.

    The look-up goes by the token's digest, so that its time says nothing about the token.
    """
    token = incoming.head.bearer_token()
    digest = hashlib.sha256(token.encode()).hexdigest()
    incoming.team = incoming.configuration.team_by_token_sha256.get(digest) if token else None
    if incoming.team is None:
        detail = "a team's bearer token is needed" if not token else "unknown bearer token"
        raise ProblemError(Problem(401, ProblemCode.UNAUTHENTICATED, detail))


async def read_request_body(incoming: Incoming) -> None:
    """Read the body, up to the largest that any service takes."""
    limits = [service.max_body_bytes for service in incoming.configuration.services]
    incoming.body = await read_body(incoming.receive, min(max(limits, default=0), MAX_BODY_BYTES))


async def find_service(incoming: Incoming) -> None:
    """Find the service by path or by the model that the body names."""
    path = incoming.head.path
    if path in MODEL_PATHS:
        _find_model(incoming)
    else:
        _find_plain_service(incoming)
    service, team = incoming.service, incoming.team
    assert team is not None
    if service is None or not incoming.configuration.may_call(team, service):
        # One answer for both, so that a team learns nothing of services that aren't its own.
        raise ProblemError(Problem(404, ProblemCode.NOT_FOUND, "no such service for this team"))
    if len(incoming.body) > service.max_body_bytes:
        detail = f"service {service.name} takes bodies of up to {service.max_body_bytes} bytes"
        raise ProblemError(Problem(413, ProblemCode.BODY_TOO_LARGE, detail))


def _find_model(incoming: Incoming) -> None:
    """Read a completion body and find the service of its model."""
    if incoming.head.method != "POST":
        raise ProblemError(Problem(405, ProblemCode.BAD_REQUEST, "completions take POST"))
    try:
        fields = json.loads(incoming.body)
    except (ValueError, RecursionError) as error:
        raise bad_request(f"the body is not JSON: {type(error).__name__}") from error
    if not isinstance(fields, dict):
        raise bad_request("the body must be a JSON object")
    model = fields.get("model")
    if not isinstance(model, str):
        raise bad_request("the body must name a model")
    for name, kind in (("stream", bool), ("max_tokens", int)):
        if name in fields and type(fields[name]) is not kind:
            raise bad_request(f"{name} must be of type {kind.__name__}")
    if "resume" in fields:
        raise bad_request("resume is set by this system alone")
    incoming.fields = fields
    incoming.service = incoming.configuration.service_by_model.get(model)
    incoming.endpoint_path = incoming.head.target


def _find_plain_service(incoming: Incoming) -> None:
    """Find a plain service by the path ``/v1/services/NAME/...``."""
    name, slash, _ = incoming.head.path.removeprefix(SERVICE_PREFIX).partition("/")
    service = incoming.configuration.service_by_name.get(name)
    if service is None or service.kind is not ServiceKind.PLAIN:
        return
    incoming.service = service
    rest = incoming.head.target.removeprefix(f"{SERVICE_PREFIX}{name}")
    incoming.endpoint_path = rest if slash and rest.startswith("/") else "/" + rest.lstrip("/")


async def classify_request(incoming: Incoming) -> None:
    """Read deadline, idempotency and priority; a non-idempotent request must carry a key."""
    service, team, head = incoming.service, incoming.team, incoming.head
    assert service is not None
    assert team is not None
    key = head.header(KEY_HEADER)
    idempotent = service.kind is ServiceKind.MODEL or service.is_idempotent(head.method)
    if not idempotent and not key:
        detail = f"{head.method} at service {service.name} needs an {KEY_HEADER} header"
        raise ProblemError(Problem(400, ProblemCode.KEY_REQUIRED, detail))
    if len(key) > MAX_KEY_CHARACTERS:
        raise bad_request(f"{KEY_HEADER} has over {MAX_KEY_CHARACTERS} characters")
    is_model = service.kind is ServiceKind.MODEL
    incoming.request = CallerRequest(
        request_id=incoming.request_id,
        service=service.name,
        team=team.name,
        method=head.method,
        path=incoming.endpoint_path,
        headers=tuple(pair for pair in pass_on(head.headers) if pair[0] not in OWN_HEADERS),
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
    """Return the seconds that the caller gives for the answer."""
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
    """Return the most tokens that the answer can have."""
    asked = int(fields.get("max_tokens", service.max_tokens or DEFAULT_MAX_TOKENS))
    if asked < 1:
        raise bad_request("max_tokens must be at least 1")
    if service.max_tokens and asked > service.max_tokens:
        raise bad_request(f"service {service.name} gives up to {service.max_tokens} tokens")
    return asked


def enforce_team_limits(limiter: TeamLimiter) -> RequestFilter:
    """Hold each team to its rate and concurrency."""

    async def check(incoming: Incoming) -> None:
        assert incoming.team is not None
        limiter.take(incoming.team, anyio.current_time())

    return check


def create_exchange(estimators: dict[str, WorkEstimator]) -> RequestFilter:
    """Estimate the work and make the exchange."""

    async def estimate(incoming: Incoming) -> None:
        request, service = incoming.request, incoming.service
        assert request is not None
        assert service is not None
        estimator = estimators.setdefault(service.name, WorkEstimator())
        estimator.long_tokens = float(service.long_tokens)
        work = _work(request, _estimate(estimator, request))
        incoming.exchange = Exchange(request, work)

    return estimate


def _estimate(estimator: WorkEstimator, request: CallerRequest) -> WorkEstimate:
    return estimator.estimate(
        request.team, request.service, request.prompt_tokens, request.max_tokens
    )


def _work(request: CallerRequest, estimate: WorkEstimate) -> Work:
    prefix = hashlib.blake2b(request.body[:PREFIX_BYTES], digest_size=8).digest()
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


def refusal_verdict(incoming: Incoming) -> Verdict:
    """Return what a refusal here says of the request.

    A request with a key may be the resend of one that ran, which only the quorum can tell.
    """
    return Verdict.MAY_HAVE_RUN if incoming.head.header(KEY_HEADER) else Verdict.NOT_RUN


def bad_request(detail: str) -> ProblemError:
    """Return the refusal of a request that can't be understood."""
    return ProblemError(Problem(400, ProblemCode.BAD_REQUEST, detail))
