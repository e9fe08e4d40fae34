"""Client of a service: finds entries, sends a request and retries it where that is safe."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpx

from bergamotchute_cli.command_error import CommandError, unreachable_error
from bergamotchute_model.identifiers import Address
from bergamotchute_model.problem import ProblemCode
from bergamotchute_model.verdict import Verdict
from bergamotchute_wire.http1_messages import MAX_STATUS

CONNECT_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 60.0
ADDRESSES_TIMEOUT_S = 3.0
RETRY_DELAY_S = 0.5
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
GENERATION_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
REQUEST_ID_HEADER = "x-request-id"


@dataclass(frozen=True)
class CallerRequest:
    """A request to a service.

    :param path: path and query.
    :param key: the idempotency key; empty for none.
    :param deadline_s: time from sending after which the response is useless, in seconds; ``None``
        for the service's default.
    """

    method: str
    path: str
    body: bytes = b""
    key: str = ""
    deadline_s: float | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may be sent again although it may have run."""
        return bool(self.key) or self.method in IDEMPOTENT_METHODS or self.path in GENERATION_PATHS

    def headers(self, token: str) -> dict[str, str]:
        """Return the request headers."""
        headers = {"authorization": f"Bearer {token}"}
        if self.body:
            headers["content-type"] = "application/json"
        if self.key:
            headers["idempotency-key"] = self.key
        if self.deadline_s is not None:
            headers["x-deadline-s"] = f"{self.deadline_s:g}"
        return headers


@dataclass(frozen=True)
class CallerOutcome:
    """Outcome of a request.

    :param status: the HTTP status; 0 when there was no response.
    :param verdict: whether the request may have run.
    :param detail: what went wrong; empty for a complete, successful response.
    :param code: the problem code; empty for none.
    """

    status: int
    verdict: Verdict
    detail: str = ""
    code: str = ""

    @property
    def is_success(self) -> bool:
        """Whether the response is complete and reports no error."""
        return not self.detail and 200 <= self.status < 400


@dataclass
class _SendAttempt:
    """One attempt to send a request.

    :param answer: the outcome so far.
    :param status: the HTTP status, once response headers arrived.
    :param is_output_written: whether part of the body was written out, which rules out a retry.
    :param events: number of server-sent events written out.
    :param request_id: the request's id, as named by the response.
    :param retry_after_s: delay in seconds before a retry that the response allows, if any.
    :param addresses: entries to retry at, as named by the response.
    """

    answer: CallerOutcome
    status: int = 0
    is_output_written: bool = False
    request_id: str = ""
    events: int = 0
    retry_after_s: float | None = None
    addresses: tuple[Address, ...] = ()


@dataclass
class Caller:
    """Sends requests on behalf of a team.

    :param entries: entries to ask for addresses, in order.
    :param patience_s: how long to keep retrying, in seconds.
    :param report_failure: called with a message for each failed attempt.
    :param transport: replaces the network in tests.
    :param verdict: the combined verdict of all attempts.
    """

    entries: Sequence[Address]
    token: str
    availability_zone: str = ""
    patience_s: float = 30.0
    report_failure: Callable[[str], None] = lambda text: None
    transport: httpx.AsyncBaseTransport | None = None
    verdict: Verdict = field(default=Verdict.NOT_RUN, init=False)

    async def send(
        self, request: CallerRequest, write_output: Callable[[bytes], None]
    ) -> CallerOutcome:
        """Send a request, retry it where that is safe, and pass the body to ``write_output``.

        :raises CommandError: when no entry returns addresses.
        """
        timeout = httpx.Timeout(IDLE_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        give_up_at_s = anyio.current_time() + self.patience_s
        async with httpx.AsyncClient(
            transport=self.transport, timeout=timeout, trust_env=False
        ) as client:
            addresses = await self._fetch_addresses(client)
            while True:
                send_attempt = await self._send_once(client, addresses[0], request, write_output)
                answer = self._combine_verdicts(send_attempt)
                if self._is_final(request, send_attempt) or anyio.current_time() >= give_up_at_s:
                    return answer
                self.report_failure(f"{addresses[0]}: {answer.detail}")
                await anyio.sleep(send_attempt.retry_after_s or RETRY_DELAY_S)
                addresses = list(send_attempt.addresses) or addresses[1:]
                while not addresses:
                    try:
                        addresses = await self._fetch_addresses(client)
                    except CommandError:
                        if anyio.current_time() >= give_up_at_s:
                            return answer
                        await anyio.sleep(RETRY_DELAY_S)

    def _combine_verdicts(self, send_attempt: _SendAttempt) -> CallerOutcome:
        """Return the attempt's outcome with the combined verdict of all attempts.

        Once an attempt may have run, a later one that did not run can't rule that out.
        """
        answer = send_attempt.answer
        if answer.verdict is Verdict.MAY_HAVE_RUN:
            self.verdict = Verdict.MAY_HAVE_RUN
        if answer.verdict is Verdict.NOT_RUN and self.verdict is Verdict.MAY_HAVE_RUN:
            return CallerOutcome(answer.status, self.verdict, answer.detail, answer.code)
        return answer

    def _is_final(self, request: CallerRequest, send_attempt: _SendAttempt) -> bool:
        """Return whether the request must not, or need not, be sent again."""
        answer = send_attempt.answer
        if answer.verdict is Verdict.COMPLETED or send_attempt.is_output_written:
            return True
        if answer.verdict is Verdict.MAY_HAVE_RUN and not request.is_repeatable:
            return True
        return answer.status != 0 and send_attempt.retry_after_s is None

    async def _fetch_addresses(self, client: httpx.AsyncClient) -> list[Address]:
        """Return the addresses of the entries to use, best first.

        :raises CommandError: when none of the known entries returns any.
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
            reasons.append(f"{address}: returned an empty list of addresses")
        raise unreachable_error("no entry returned addresses: " + "; ".join(reasons))

    async def _send_once(
        self,
        client: httpx.AsyncClient,
        address: Address,
        request: CallerRequest,
        write_output: Callable[[bytes], None],
    ) -> _SendAttempt:
        """Send the request to one entry, and resume an interrupted stream there."""
        send_attempt = _SendAttempt(CallerOutcome(0, Verdict.MAY_HAVE_RUN, "no response"))
        url = f"http://{address}{request.path}"
        try:
            async with client.stream(
                request.method, url, content=request.body, headers=request.headers(self.token)
            ) as response:
                if response.status_code > MAX_STATUS:
                    raise httpx.RemoteProtocolError(
                        f"malformed response: {response.status_code} is no HTTP status"
                    )
                send_attempt.status = response.status_code
                send_attempt.request_id = response.headers.get(REQUEST_ID_HEADER, "")
                await _read_response(response, send_attempt, write_output)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            send_attempt.answer = CallerOutcome(0, Verdict.NOT_RUN, f"connection failed: {error}")
        except httpx.HTTPError as error:
            detail = str(error) or type(error).__name__
            send_attempt.answer = CallerOutcome(
                send_attempt.status, Verdict.MAY_HAVE_RUN, f"connection lost: {detail}"
            )
            send_attempt.retry_after_s = 0.0
            if send_attempt.events:
                await self._resume_stream(client, address, send_attempt, write_output)
        return send_attempt

    async def _resume_stream(
        self,
        client: httpx.AsyncClient,
        address: Address,
        send_attempt: _SendAttempt,
        write_output: Callable[[bytes], None],
    ) -> None:
        """Request the rest of a stream once, from the first missing event."""
        url = f"http://{address}/v1/requests/{send_attempt.request_id}/answer"
        headers = {"authorization": f"Bearer {self.token}"}
        self.report_failure(f"{address}: {send_attempt.answer.detail}; resuming the stream")
        try:
            async with client.stream(
                "GET", url, params={"offset": str(send_attempt.events)}, headers=headers
            ) as response:
                await _read_response(response, send_attempt, write_output)
        except httpx.HTTPError as error:
            detail = str(error) or type(error).__name__
            text = f"connection lost while resuming: {detail}"
            send_attempt.answer = CallerOutcome(send_attempt.status, Verdict.MAY_HAVE_RUN, text)


async def _read_response(
    response: httpx.Response, send_attempt: _SendAttempt, write_output: Callable[[bytes], None]
) -> None:
    """Read a response into ``send_attempt``.

    Server-sent events are written out as they arrive, any other body once it is complete.
    """
    media_type = response.headers.get("content-type", "")
    if media_type.startswith("application/problem+json"):
        await response.aread()
        _read_problem(response, send_attempt)
        return
    if media_type.startswith("text/event-stream"):
        async for event in _iter_events(response):
            if event.startswith(b"event: error"):
                send_attempt.answer = _parse_error_event(event)
                return
            send_attempt.is_output_written = True
            send_attempt.events += 1
            write_output(event)
    else:
        body = await response.aread()
        send_attempt.is_output_written = True
        write_output(body)
    detail = (
        ""
        if response.status_code < 400
        else f"the service responded with status {response.status_code}"
    )
    send_attempt.answer = CallerOutcome(response.status_code, Verdict.COMPLETED, detail)


async def _iter_events(response: httpx.Response) -> AsyncIterator[bytes]:
    """Yield complete server-sent events.

    :raises httpx.RemoteProtocolError: when the stream ends within an event.
    """
    incomplete = b""
    async for data in response.aiter_bytes():
        *whole, incomplete = (incomplete + data).split(b"\n\n")
        for event in whole:
            yield event + b"\n\n"
    if incomplete:
        raise httpx.RemoteProtocolError("the stream ended within a server-sent event")


def _read_problem(response: httpx.Response, send_attempt: _SendAttempt) -> None:
    """Read a problem document; a malformed one counts as "may have run"."""
    try:
        document: dict[str, Any] = response.json()
        verdict = Verdict(document["verdict"])
        code, detail = str(document["code"]), str(document["detail"])
        send_attempt.addresses = tuple(
            Address.parse(text) for text in document.get("addresses", ())
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        detail = f"malformed problem document in a {response.status_code} response"
        send_attempt.answer = CallerOutcome(response.status_code, Verdict.MAY_HAVE_RUN, detail)
        return
    send_attempt.answer = CallerOutcome(response.status_code, verdict, f"{code}: {detail}", code)
    if document.get("retry") is True:
        send_attempt.retry_after_s = float(document.get("retry_after_s") or 0.0)
    elif code == ProblemCode.INTERNAL:
        send_attempt.retry_after_s = 0.0


def _parse_error_event(event: bytes) -> CallerOutcome:
    """Return the outcome that a stream's final error event reports."""
    _, _, data = event.partition(b"data: ")
    try:
        document = json.loads(data)
        return CallerOutcome(
            int(document["status"]),
            Verdict(document["verdict"]),
            f"{document['code']}: {document['detail']}",
            str(document["code"]),
        )
    except (ValueError, KeyError, TypeError):
        return CallerOutcome(0, Verdict.MAY_HAVE_RUN, "the stream ended with an error")
