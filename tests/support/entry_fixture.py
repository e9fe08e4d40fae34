"""An entry that sends requests to scripted endpoints over loopback sockets."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from random import Random

import anyio
import anyio.lowlevel
import h11
from anyio.abc import Listener, SocketStream, TaskGroup

from bergamotchute_daemon.direct.admitted_request import RequestRefused
from bergamotchute_daemon.direct.attempt_steps import AttemptSteps
from bergamotchute_daemon.direct.caller_stream import UnreadStreams
from bergamotchute_daemon.direct.direct_forwarder import DirectForwarder
from bergamotchute_daemon.direct.endpoint_calls import EndpointCalls
from bergamotchute_daemon.direct.endpoint_chooser import EndpointChooser
from bergamotchute_daemon.direct.filters import admit_request, require_routing_table
from bergamotchute_daemon.direct.hedged_requests import HedgedRequests
from bergamotchute_daemon.direct.prompt_guard import PromptGuard
from bergamotchute_daemon.direct.rate_permits import RatePermits
from bergamotchute_daemon.direct.retry_decisions import RetryDecisions
from bergamotchute_daemon.direct.routing_table import RoutingTable
from bergamotchute_daemon.direct.slot_reservations import SlotReservations
from bergamotchute_daemon.direct.takeover import Takeover
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.node_metrics import NodeMetrics
from bergamotchute_daemon.prompt_evidence_table import PromptEvidenceTable
from bergamotchute_daemon.ranks.slot_reservation_server import SlotReservationServer
from bergamotchute_daemon.rate_limit_log import RateLimitLog
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.identifiers import Address
from bergamotchute_model.prompt_parts import PromptEvidence
from bergamotchute_model.rate_limits import RateLimitsReported
from bergamotchute_model.versioned_configuration import (
    RouteKind,
    RouteRule,
    RouteShare,
    ServiceRule,
    TeamRule,
    VersionedConfiguration,
)
from bergamotchute_platform.request_format import REQUEST_FORMAT
from bergamotchute_policy.direct_placement import DirectPlacement
from bergamotchute_wire.http1_server import CallerRequest, Http1Server, ResponseWriter
from support.memory_links import MemoryNetwork


def _route(name: str, kind: RouteKind, endpoints: int) -> RouteRule:
    return RouteRule(
        name=name,
        host="api.example",
        path_prefix=f"/{name}/",
        kind=kind,
        shares=(RouteShare("model", 1),),
        timeout_s=2.0,
        objective_s=0.1,
        priority=1,
        max_endpoints=endpoints,
        open_to_all=False,
        resumable=kind is RouteKind.STREAM,
        gap_objective_s=0.12,
    )


CONFIGURATION = VersionedConfiguration(
    version=7,
    routes=(
        _route("status", RouteKind.IDEMPOTENT, 2),
        _route("order", RouteKind.AT_MOST_ONCE, 1),
        _route("stream", RouteKind.STREAM, 2),
    ),
    services=(ServiceRule("model", 100),),
    teams=(TeamRule("team-1", ("key-1",), 1),),
)

EndpointScript = Callable[["ReceivedRequest", SocketStream], Awaitable[None]]


@dataclass
class ReceivedRequest:
    """A request as the endpoint received it."""

    endpoint: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


def answer(
    request: ReceivedRequest, status: int = 200, body: bytes = b"done", **headers: str
) -> bytes:
    """Return the bytes of a signed response; ``headers`` replace the default ones, by name."""
    usual = {
        "bergamotchute-request-id": request.headers["bergamotchute-request-id"],
        "bergamotchute-server-seal": f"seal-{request.endpoint}",
        "content-length": str(len(body)),
    }
    usual |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = "".join(f"{name}: {value}\r\n" for name, value in usual.items() if value)
    return f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode() + body


def respond_with(make_response: Callable[[ReceivedRequest], bytes]) -> EndpointScript:
    """Return a script that sends a response and closes the connection."""

    async def run(request: ReceivedRequest, stream: SocketStream) -> None:
        await stream.send(make_response(request))

    return run


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: word{number}\n\n".encode()


def chunked(data: bytes) -> bytes:
    """Return data as one chunk of HTTP chunked encoding."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def stream_head(request: ReceivedRequest) -> bytes:
    """Return the head of the response with a stream."""
    return answer(
        request,
        body=b"",
        content_length="",
        transfer_encoding="chunked",
        content_type="text/event-stream",
    )


@dataclass
class CallerResponse:
    """A response as the caller received it.

    :param whole: whether the response was complete.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False


class EntryFixture:
    """An entry with its endpoints and one caller.

    ``closed_endpoints`` names the endpoints whose connection was closed before their script ended;
    ``has_rank_group`` tells whether a crash of one of them stops the others.
    """

    def __init__(self, tasks: TaskGroup) -> None:
        self.tasks = tasks
        self.received_requests: list[ReceivedRequest] = []
        self.closed_endpoints: list[str] = []
        self.leaving_endpoints: list[EndpointHeartbeat] = []
        self.listeners: dict[Address, Listener[SocketStream]] = {}
        self.posted_evidence: list[PromptEvidence] = []
        self.posted_limits: list[RateLimitsReported] = []
        self.endpoints: list[EndpointHeartbeat] = []
        self.has_rank_group = True
        self.routing_table: RoutingTable | None = RoutingTable(CONFIGURATION)
        self.placement = DirectPlacement("north", Random(1))
        self.network = MemoryNetwork(tasks)
        self.log = EventLog("entry-1", "entry", "incarnation-1", lambda: 0)
        self.slots = SlotReservations(self.network.dial("entry-1", "/slots"), Random(1), self.log)
        rate_permits = RatePermits(
            limits=RateLimitLog(self.log),
            post_request=lambda _: False,
            post_limits=self.posted_limits.append,
            entry_count=lambda: 1,
            random=Random(1),
            log=self.log,
        )
        prompt_guard = PromptGuard(
            PromptEvidenceTable(self.log),
            self.posted_evidence.append,
            self.log,
            stops_group=lambda _: self.has_rank_group,
        )
        self.calls = EndpointCalls(
            REQUEST_FORMAT, self.placement, self._on_leaving, self.log, prompt_guard, rate_permits
        )
        metrics = NodeMetrics(dict)
        self.retries = RetryDecisions(
            self.log, retry_ratio=0.2, retry_capacity=100.0, retry_refill_per_s=0.0
        )
        chooser = EndpointChooser(
            self.placement, self.slots, rate_permits, lambda _: self.endpoints, Random(1)
        )
        steps = AttemptSteps(self.calls, self.placement, self.log, metrics)
        self.hedges = HedgedRequests(0.0, steps, chooser, prompt_guard, self.retries, self.log)
        self.forwarder = DirectForwarder(
            calls=self.calls,
            steps=steps,
            takeover=Takeover(
                steps,
                self.placement,
                chooser,
                lambda _: self.endpoints,
                prompt_guard,
                self.retries,
            ),
            hedges=self.hedges,
            retries=self.retries,
            placement=self.placement,
            chooser=chooser,
            random=Random(1),
            log=self.log,
            metrics=metrics,
            prompt_guard=prompt_guard,
            rate_permits=rate_permits,
            unread=UnreadStreams(self.log),
        )
        self.server = Http1Server(self._handle)
        self.address = Address("127.0.0.1", 0)

    async def _handle(self, request: CallerRequest, writer: ResponseWriter) -> None:
        try:
            metadata = REQUEST_FORMAT.read_request(request.head)
            routing_table = require_routing_table(self.routing_table, 0.3)
            await self.forwarder.forward_request(
                admit_request(routing_table, request, metadata, Random(1), anyio.current_time()),
                writer,
            )
        except RequestRefused as refusal:
            await writer.respond(refusal.status, refusal.headers, refusal.reason.encode())

    async def start(self) -> None:
        """Listen for callers on a free port."""
        self.tasks.start_soon(self.slots.run)
        self.address = await self._listen(self.server._accept)

    async def _listen(self, accept: Callable[[SocketStream], Awaitable[None]]) -> Address:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")

        async def serve() -> None:
            # Closing the listener in a crash ends its task group with an error.
            with suppress(BaseExceptionGroup):
                await listener.serve(accept)

        self.tasks.start_soon(serve)
        address = Address(*listener.extra(anyio.abc.SocketAttribute.local_address))
        self.listeners[address] = listener
        return address

    async def crash(self, name: str) -> None:
        """Refuse new connections to an endpoint and close those it has."""
        address = next(each.address for each in self.endpoints if each.endpoint == name)
        listener = self.listeners[address]
        await listener.aclose()

    async def add_endpoint(self, name: str, script: EndpointScript) -> EndpointHeartbeat:
        """Add an endpoint that runs ``script`` for each request that it receives."""

        async def accept(stream: SocketStream) -> None:
            async with stream:
                request = await _read_request(name, stream)
                if request is None:
                    return
                self.received_requests.append(request)
                try:
                    await script(request, stream)
                except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                    self.closed_endpoints.append(name)

        return self.announce(name, await self._listen(accept))

    def announce(self, name: str, address: Address) -> EndpointHeartbeat:
        """Add the heartbeat of an endpoint at an address."""
        heartbeat = EndpointHeartbeat(name, 1, 1, "model", address, "north", 6, EndpointPhase.READY)
        self.endpoints.append(heartbeat)
        return heartbeat

    def _on_leaving(self, endpoint: EndpointHeartbeat) -> None:
        self.leaving_endpoints.append(endpoint)
        index = [each.endpoint for each in self.endpoints].index(endpoint.endpoint)
        self.endpoints[index] = replace(endpoint, phase=EndpointPhase.LEAVING)

    def restart(self, index: int) -> None:
        """Replace an endpoint by a new incarnation."""
        previous = self.endpoints[index]
        born_ms = previous.born_ms + 1
        self.endpoints[index] = replace(previous, born_ms=born_ms, phase=EndpointPhase.READY)

    async def send_request(
        self, route: str, method: str = "POST", body: bytes = b"", **headers: str
    ) -> CallerResponse:
        """Send one request on a new connection and read the response to its end."""
        async with await anyio.connect_tcp(self.address.host, self.address.port) as stream:
            return await exchange(stream, route, method, body, **headers)


async def add_agent(
    path: EntryFixture, endpoint: EndpointHeartbeat, number: int
) -> SlotReservationServer:
    """Add an agent that manages the slots of an endpoint, and link the entry to it."""
    agent_slots = SlotReservationServer()
    address = Address(f"10.0.0.{number}", 7000)
    path.network.serve(f"agent-{number}", address, "/slots", agent_slots.serve_entry)
    path.slots.set_used_endpoints(path.slots.used | {endpoint.address})
    path.slots.set_agent(endpoint.address, address)
    while path.slots.links[address].outbox is None:
        await anyio.lowlevel.checkpoint()
    return agent_slots


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; the time limit of the test ends the wait if it never does."""
    while not condition():  # noqa: ASYNC110 - the condition has no event of its own.
        await anyio.sleep(0.01)


async def exchange(
    stream: SocketStream, route: str, method: str = "POST", body: bytes = b"", **headers: str
) -> CallerResponse:
    """Send one request on a connection and read the response."""
    protocol = h11.Connection(h11.CLIENT)
    usual = {
        "host": "api.example",
        "bergamotchute-request-id": "request-1",
        "bergamotchute-deadline-remaining": "1500",
        "x-api-key": "key-1",
        "content-length": str(len(body)),
    }
    usual |= {name.replace("_", "-"): value for name, value in headers.items()}
    fields = [(name, value) for name, value in usual.items() if value]
    request = h11.Request(method=method, target=f"/{route}/one?a=b", headers=fields)
    messages = (request, h11.Data(data=body), h11.EndOfMessage())
    await stream.send(b"".join(protocol.send(each) or b"" for each in messages))
    response = CallerResponse()
    while True:
        try:
            read = protocol.next_event()
            if read is h11.NEED_DATA:
                protocol.receive_data(await _receive(stream))
                continue
        except h11.RemoteProtocolError:
            return response
        if isinstance(read, h11.Response):
            response.status = read.status_code
            response.headers = {name.decode(): value.decode() for name, value in read.headers}
        elif isinstance(read, h11.Data):
            response.body += bytes(read.data)
        else:
            response.whole = isinstance(read, h11.EndOfMessage)
            return response


async def _receive(stream: SocketStream) -> bytes:
    try:
        return await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return b""


async def _read_request(endpoint: str, stream: SocketStream) -> ReceivedRequest | None:
    protocol = h11.Connection(h11.SERVER)
    head: h11.Request | None = None
    body = b""
    while True:
        read = protocol.next_event()
        if read is h11.NEED_DATA:
            data = await _receive(stream)
            if not data:
                return None
            protocol.receive_data(data)
        elif isinstance(read, h11.Request):
            head = read
        elif isinstance(read, h11.Data):
            body += bytes(read.data)
        elif head is not None:
            headers = {name.decode(): value.decode() for name, value in head.headers}
            return ReceivedRequest(
                endpoint, head.method.decode(), head.target.decode(), headers, body
            )


def run_with_entry(body: Callable[[EntryFixture], Awaitable[None]]) -> None:
    """Run a test with a started entry."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            path = EntryFixture(tasks)
            await path.start()
            with anyio.fail_after(20):
                await body(path)
            tasks.cancel_scope.cancel()

    anyio.run(main)
