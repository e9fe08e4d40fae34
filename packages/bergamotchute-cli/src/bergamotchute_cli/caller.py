"""A caller: asks which entries to use, sends a request there and sends it again where that is safe."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpx

from bergamotchute_cli.command_error import CommandError, unreachable
from bergamotchute_model.identifiers import Address
from bergamotchute_model.problem import ProblemCode
from bergamotchute_model.verdict import Verdict

CONNECT_TIMEOUT_S = 2.0
SILENCE_TIMEOUT_S = 60.0
ADDRESSES_TIMEOUT_S = 3.0
PAUSE_S = 0.5
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
DRAFT_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
REQUEST_ID_HEADER = "x-request-id"


@dataclass(frozen=True)
class CallerRequest:
    """What to send.

    :param path: path and query.
    :param key: the idempotency key; empty for none.
    :param deadline_s: when the answer is of no more use; ``None`` for the service's default.
    """

    method: str
    path: str
    body: bytes = b""
    key: str = ""
    deadline_s: float | None = None

    @property
    def may_repeat(self) -> bool:
        """Whether the request may be sent again after it may have run."""
        return bool(self.key) or self.method in IDEMPOTENT_METHODS or self.path in DRAFT_PATHS

    def headers(self, token: str) -> dict[str, str]:
        """Return the headers to send."""
        headers = {"authorization": f"Bearer {token}"}
        if self.body:
            headers["content-type"] = "application/json"
        if self.key:
            headers["idempotency-key"] = self.key
        if self.deadline_s is not None:
            headers["x-deadline-s"] = f"{self.deadline_s:g}"
        return headers


@dataclass(frozen=True)
class CallerAnswer:
    """How a request ended.

    :param status: the HTTP status; 0 when no answer came.
    :param verdict: whether the request may have run.
    :param detail: what went wrong; empty for a whole answer.
    """

    status: int
    verdict: Verdict
    detail: str = ""
    code: str = ""

    @property
    def is_whole(self) -> bool:
        """Whether the answer came whole and is no error."""
        return not self.detail and 200 <= self.status < 400


@dataclass
class _Try:
    """One sending.

    :param status: the HTTP status, once the answer began.
    :param written: whether some of the answer was handed on, so that no other may follow.
    :param events: server-sent events handed on.
    """

    answer: CallerAnswer
    status: int = 0
    written: bool = False
    request_id: str = ""
    events: int = 0
    retry_after_s: float | None = None
    addresses: tuple[Address, ...] = ()


@dataclass
class Caller:
    """Sends requests as a team.

    :param entries: entries that are asked for addresses, in order.
    :param patience_s: how long to go on trying, in seconds.
    :param say: told of each try that failed.
    :param transport: stands in for the network in tests.
    """

    entries: Sequence[Address]
    token: str
    availability_zone: str = ""
    patience_s: float = 30.0
    say: Callable[[str], None] = lambda text: None
    transport: httpx.AsyncBaseTransport | None = None
    verdict: Verdict = field(default=Verdict.NOT_RUN, init=False)

    async def send(self, request: CallerRequest, write: Callable[[bytes], None]) -> CallerAnswer:
        """Send a request, and again where that is safe; hand its answer to ``write`` as it comes.

        :raises CommandError: when no entry tells addresses.
        """
        timeout = httpx.Timeout(SILENCE_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        end = anyio.current_time() + self.patience_s
        async with httpx.AsyncClient(
            transport=self.transport, timeout=timeout, trust_env=False
        ) as client:
            addresses = await self._ask_addresses(client)
            while True:
                tried = await self._try(client, addresses[0], request, write)
                answer = self._judge(tried)
                if self._is_final(request, tried) or anyio.current_time() >= end:
                    return answer
                self.say(f"{addresses[0]}: {answer.detail}")
                await anyio.sleep(tried.retry_after_s or PAUSE_S)
                addresses = list(tried.addresses) or addresses[1:]
                while not addresses:
                    try:
                        addresses = await self._ask_addresses(client)
                    except CommandError:
                        if anyio.current_time() >= end:
                            return answer
                        await anyio.sleep(PAUSE_S)

    def _judge(self, tried: _Try) -> CallerAnswer:
        """Return the answer, with what all sendings together say of whether it ran."""
        answer = tried.answer
        if answer.verdict is Verdict.MAY_HAVE_RUN:
            self.verdict = Verdict.MAY_HAVE_RUN
        if answer.verdict is Verdict.NOT_RUN and self.verdict is Verdict.MAY_HAVE_RUN:
            return CallerAnswer(answer.status, self.verdict, answer.detail, answer.code)
        return answer

    def _is_final(self, request: CallerRequest, tried: _Try) -> bool:
        """Tell whether the request must not, or need not, be sent again."""
        answer = tried.answer
        if answer.verdict is Verdict.COMPLETED or tried.written:
            return True
        if answer.verdict is Verdict.MAY_HAVE_RUN and not request.may_repeat:
            return True
        return answer.status != 0 and tried.retry_after_s is None

    async def _ask_addresses(self, client: httpx.AsyncClient) -> list[Address]:
        """Return the entries to use now, the best first.

        :raises CommandError: when none of the known entries tells.
        """
        query = {"zone": self.availability_zone} if self.availability_zone else {}
        reasons: list[str] = []
        for address in self.entries:
            url = f"http://{address}/v1/addresses"
            try:
                response = await client.get(url, params=query, timeout=ADDRESSES_TIMEOUT_S)
                found = [Address.parse(text) for text in response.json()["addresses"]]
            except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
                reasons.append(f"{address}: {str(error) or type(error).__name__}")
                continue
            if found:
                return found
            reasons.append(f"{address}: names no entry")
        raise unreachable("no entry told addresses: " + "; ".join(reasons))

    async def _try(
        self,
        client: httpx.AsyncClient,
        address: Address,
        request: CallerRequest,
        write: Callable[[bytes], None],
    ) -> _Try:
        """Send the request to one entry; a stream that breaks off is taken up again there."""
        tried = _Try(CallerAnswer(0, Verdict.MAY_HAVE_RUN, "no answer came"))
        url = f"http://{address}{request.path}"
        try:
            async with client.stream(
                request.method, url, content=request.body, headers=request.headers(self.token)
            ) as response:
                tried.status = response.status_code
                tried.request_id = response.headers.get(REQUEST_ID_HEADER, "")
                await _read(response, tried, write)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            tried.answer = CallerAnswer(0, Verdict.NOT_RUN, f"can't connect: {error}")
        except httpx.HTTPError as error:
            detail = str(error) or type(error).__name__
            tried.answer = CallerAnswer(tried.status, Verdict.MAY_HAVE_RUN, f"broke off: {detail}")
            tried.retry_after_s = 0.0
            if tried.events:
                await self._resume(client, address, tried, write)
        return tried

    async def _resume(
        self,
        client: httpx.AsyncClient,
        address: Address,
        tried: _Try,
        write: Callable[[bytes], None],
    ) -> None:
        """Ask once for the rest of a stream, from the first event that did not come."""
        url = f"http://{address}/v1/requests/{tried.request_id}/answer"
        headers = {"authorization": f"Bearer {self.token}"}
        self.say(f"{address}: {tried.answer.detail}; asking for the rest")
        try:
            async with client.stream(
                "GET", url, params={"offset": str(tried.events)}, headers=headers
            ) as response:
                await _read(response, tried, write)
        except httpx.HTTPError as error:
            detail = str(error) or type(error).__name__
            text = f"broke off again: {detail}"
            tried.answer = CallerAnswer(tried.status, Verdict.MAY_HAVE_RUN, text)


async def _read(response: httpx.Response, tried: _Try, write: Callable[[bytes], None]) -> None:
    """Read an answer into ``tried``; hand on events as they come, any other answer when whole."""
    media_type = response.headers.get("content-type", "")
    if media_type.startswith("application/problem+json"):
        await response.aread()
        _read_problem(response, tried)
        return
    if media_type.startswith("text/event-stream"):
        async for event in _events(response):
            if event.startswith(b"event: error"):
                tried.answer = _error_event(event)
                return
            tried.written = True
            tried.events += 1
            write(event)
    else:
        body = await response.aread()
        tried.written = True
        write(body)
    detail = "" if response.status_code < 400 else f"the service answered {response.status_code}"
    tried.answer = CallerAnswer(response.status_code, Verdict.COMPLETED, detail)


async def _events(response: httpx.Response) -> AsyncIterator[bytes]:
    """Yield whole server-sent events.

    :raises httpx.RemoteProtocolError: when the stream ends within one.
    """
    rest = b""
    async for data in response.aiter_bytes():
        *whole, rest = (rest + data).split(b"\n\n")
        for event in whole:
            yield event + b"\n\n"
    if rest:
        raise httpx.RemoteProtocolError("the stream ended within an event")


def _read_problem(response: httpx.Response, tried: _Try) -> None:
    """Take over what a problem says; one that can't be read may have run."""
    try:
        document: dict[str, Any] = response.json()
        verdict = Verdict(document["verdict"])
        code, detail = str(document["code"]), str(document["detail"])
        tried.addresses = tuple(Address.parse(text) for text in document.get("addresses", ()))
    except (ValueError, KeyError, TypeError, AttributeError):
        detail = f"an answer {response.status_code} that can't be read"
        tried.answer = CallerAnswer(response.status_code, Verdict.MAY_HAVE_RUN, detail)
        return
    tried.answer = CallerAnswer(response.status_code, verdict, f"{code}: {detail}", code)
    if document.get("retry") is True:
        tried.retry_after_s = float(document.get("retry_after_s") or 0.0)
    elif code == ProblemCode.INTERNAL:
        tried.retry_after_s = 0.0


def _error_event(event: bytes) -> CallerAnswer:
    """Return how a stream ended that says itself that it broke off."""
    _, _, data = event.partition(b"data: ")
    try:
        document = json.loads(data)
        return CallerAnswer(
            int(document["status"]),
            Verdict(document["verdict"]),
            f"{document['code']}: {document['detail']}",
            str(document["code"]),
        )
    except (ValueError, KeyError, TypeError):
        return CallerAnswer(0, Verdict.MAY_HAVE_RUN, "the stream ended with an error")
