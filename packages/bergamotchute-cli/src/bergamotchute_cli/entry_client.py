"""HTTP client that tries entries in turn until one gives a definite response."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpx

from bergamotchute_cli.command_error import unreachable_error
from bergamotchute_model.identifiers import Address

REQUEST_TIMEOUT_S = 12.0
CONNECT_TIMEOUT_S = 2.0
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 3.0
RETRYABLE_STATUSES = frozenset({500, 502, 503, 504})


@dataclass(frozen=True)
class EntryClient:
    """Client of a deployment's entries, for idempotent requests only.

    :param addresses: entries, tried in this order and then from the start again.
    :param token: the bearer token; empty for none.
    :param patience_s: how long to keep retrying, in seconds.
    :param transport: replaces the network in tests.
    :param last_failures: the last failure of each entry, by address.
    """

    addresses: Sequence[Address]
    token: str = ""
    patience_s: float = 30.0
    transport: httpx.AsyncBaseTransport | None = None
    last_failures: dict[str, str] = field(default_factory=dict)

    async def send_request(
        self,
        method: str,
        path: str,
        params: dict[str, str] | None = None,
        content: bytes | None = None,
    ) -> httpx.Response:
        """Return the first response that is not a temporary failure.

        Without a response it is unknown whether the request took effect, so it is sent again, to
        the next entry.

        :raises CommandError: when no entry gave such a response in time.
        """
        retry_delay_s = MIN_RETRY_DELAY_S
        async with self._create_http_client() as client:
            with anyio.move_on_after(self.patience_s):
                while True:
                    for address in self.addresses:
                        url = f"http://{address}{path}"
                        request = client.build_request(method, url, params=params, content=content)
                        response = await self._send_once(client, address, request)
                        if response is not None:
                            return response
                    await anyio.sleep(retry_delay_s)
                    retry_delay_s = min(retry_delay_s * 2, MAX_RETRY_DELAY_S)
        reasons = "; ".join(f"{entry}: {why}" for entry, why in self.last_failures.items())
        raise unreachable_error(f"no entry answered within {self.patience_s:g} s: {reasons}")

    def _create_http_client(self) -> httpx.AsyncClient:
        """Return an HTTP client that sends the bearer token."""
        return httpx.AsyncClient(
            transport=self.transport,
            headers={"authorization": f"Bearer {self.token}"} if self.token else None,
            timeout=httpx.Timeout(REQUEST_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            trust_env=False,
        )

    async def _send_once(
        self, client: httpx.AsyncClient, address: Address, request: httpx.Request
    ) -> httpx.Response | None:
        """Return one entry's response; ``None`` for a failure worth retrying."""
        try:
            response = await client.send(request)
        except httpx.HTTPError as error:
            self.last_failures[str(address)] = str(error) or type(error).__name__
            return None
        if response.status_code not in RETRYABLE_STATUSES:
            return response
        self.last_failures[str(address)] = format_problem(response)
        return None


def parse_json_object(response: httpx.Response) -> dict[str, Any]:
    """Return the JSON object in a response; empty when the body is anything else."""
    try:
        document = response.json()
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def format_problem(response: httpx.Response) -> str:
    """Return a problem document as one line of text."""
    document = parse_json_object(response)
    detail = document.get("detail") or response.reason_phrase
    code = document.get("code", "")
    return f"{response.status_code} {code}: {detail}".replace(" :", ":")
